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
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me? Changes nothing at the receiver.
    PreVote(LogPosition),
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// Whether the receiver would vote.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// End of the candidate's log.
        last: LogPosition,
        /// The leader itself asked for this election.
        is_transfer: bool,
    },
    /// Answer to a request for a vote.
    VoteAnswer {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append(Append),
    /// Answer to an append.
    AppendAnswer(AppendAnswer),
    /// A piece of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answer to a piece of a snapshot.
    SnapshotAnswer {
        /// Index of the snapshot.
        index: LogIndex,
        /// Bytes received so far.
        received: u64,
        /// Clock of the leader when it sent the piece.
        sent_at: Millis,
    },
    /// Start an election at once: the leader hands its leadership over.
    TimeoutNow,
}

/// Position of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry. Compared first: a newer term makes a newer log.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// Entries that follow `previous`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first one sent.
    pub previous: LogPosition,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: LogIndex,
    /// Clock of the leader, which the answer carries back for its lease.
    pub sent_at: Millis,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Last index known to equal the leader's log; on a mismatch, the last
    /// index of the follower.
    pub index: LogIndex,
    /// Whether the follower had the entry before the first one sent.
    pub matched: bool,
    /// Clock of the leader when it sent the append.
    pub sent_at: Millis,
}

/// A piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Last entry that the snapshot covers.
    pub last: LogPosition,
    /// Members at that entry.
    pub membership: Membership,
    /// Position of this piece.
    pub offset: u64,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// This piece.
    pub data: Vec<u8>,
    /// Clock of the leader when it sent this piece.
    pub sent_at: Millis,
}
