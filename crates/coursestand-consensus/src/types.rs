//! Persistent data types of the replicated log.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, ReplicaId, Term};
use crate::membership::Membership;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The no-op that a leader appends on election, so that it can commit entries of
    /// earlier terms.
    Empty,
    /// An encoded command of the state machine. Copies of the entry share it.
    Command(Bytes),
    /// The membership that is in effect from this entry on.
    Membership(Membership),
}

impl Payload {
    /// Returns the approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Payload::Command(bytes) => bytes.len(),
            Payload::Empty | Payload::Membership(_) => 0,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Position in the log.
    pub index: LogIndex,
    /// Content.
    pub payload: Payload,
}

/// Returns the longest prefix of `entries` within `max_bytes`, but at least one entry.
pub(crate) fn prefix_within(entries: &[Entry], max_bytes: usize) -> &[Entry] {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        bytes += entry.payload.size();
        bytes <= max_bytes
    };
    let count = entries.iter().take_while(fits).count();
    &entries[..count.max(1).min(entries.len())]
}

/// State besides the log that a replica must persist across restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that this replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The state machine at an index; replaces the log up to and including that index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last included index; 0 if there is no snapshot.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Membership at `index`.
    pub membership: Membership,
    /// The encoded state machine.
    pub data: Arc<Vec<u8>>,
}
