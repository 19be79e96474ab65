//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, Millis, Term};
use crate::membership::Membership;
use crate::types::Entry;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; for a pre-vote, the term that it would start.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender, without changing the
    /// receiver's term or vote.
    PreVote(LogPosition),
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// Whether the receiver would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Last entry of the candidate's log.
        last: LogPosition,
        /// Whether the election is part of a leadership transfer.
        is_transfer: bool,
    },
    /// Answer to a request for a vote.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append; empty for a heartbeat.
    Append(Append),
    /// Answer to an append.
    AppendAnswer(AppendAnswer),
    /// A chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answer to a snapshot chunk.
    SnapshotAnswer {
        /// Index of the snapshot.
        index: LogIndex,
        /// Bytes received so far.
        received: u64,
        /// Leader's clock when it sent the chunk.
        sent_at: Millis,
    },
    /// Asks the receiver to start an election at once, to complete a leadership
    /// transfer.
    TimeoutNow,
}

impl Body {
    /// Returns the name of the kind of message, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Body::PreVote(_) => "pre-vote",
            Body::PreVoteAnswer { .. } => "pre-vote-answer",
            Body::Vote { .. } => "vote",
            Body::VoteAnswer { .. } => "vote-answer",
            Body::Append(_) => "append",
            Body::AppendAnswer(_) => "append-answer",
            Body::Snapshot(_) => "snapshot",
            Body::SnapshotAnswer { .. } => "snapshot-answer",
            Body::TimeoutNow => "timeout-now",
        }
    }
}

/// Term and index of a log entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry. Compared first: the log with the later last term is more up
    /// to date.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// Entries to append after `previous`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry immediately before `entries`.
    pub previous: LogPosition,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: LogIndex,
    /// Leader's clock at sending; the answer echoes it, for the leader's lease.
    pub sent_at: Millis,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Last index known to match the leader's log; on a mismatch, the index that
    /// the leader should probe next.
    pub index: LogIndex,
    /// Whether the follower's log contains the entry before those sent.
    pub matched: bool,
    /// Leader's clock when it sent the append.
    pub sent_at: Millis,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Last entry included in the snapshot.
    pub last: LogPosition,
    /// Membership at that entry.
    pub membership: Membership,
    /// Byte offset of this chunk.
    pub offset: u64,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Bytes of this chunk.
    pub data: Vec<u8>,
    /// Leader's clock when it sent this chunk.
    pub sent_at: Millis,
}
