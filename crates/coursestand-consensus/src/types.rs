//! Records of the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, ReplicaId, Term};
use crate::membership::Membership;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader: lets it commit what earlier terms left.
    Empty,
    /// A command of the state machine, encoded by it.
    Command(Vec<u8>),
    /// The members from here on.
    Membership(Membership),
}

impl Payload {
    /// About the bytes that it takes in a message.
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
    /// Term of the leader that made it.
    pub term: Term,
    /// Its position.
    pub index: LogIndex,
    /// What it carries.
    pub payload: Payload,
}

/// What a replica must remember across a restart beside its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The state machine up to an index, in place of the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that it covers; 0 for none.
    pub index: LogIndex,
    /// Term of that index.
    pub term: Term,
    /// Members at that index.
    pub membership: Membership,
    /// The state machine, encoded by it.
    pub data: Arc<Vec<u8>>,
}
