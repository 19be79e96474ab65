//! What a leader knows of one follower.

use crate::ids::{LogIndex, Millis};

/// How a leader sends to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// One message at a time, until the logs are known to match.
    Probe,
    /// Messages follow each other without waiting for answers.
    Replicate,
    /// A snapshot is being sent.
    Snapshot {
        /// Index of the snapshot.
        index: LogIndex,
        /// Bytes that the follower has.
        received: u64,
    },
}

/// What a leader knows of one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Last index known to be equal and synced there.
    pub matched: LogIndex,
    /// Next index to send.
    pub next: LogIndex,
    /// How to send.
    pub state: SendState,
    /// Clock of the leader when it sent the newest message that was answered.
    pub answered_sent_at: Millis,
    /// Clock of the leader when the newest answer came; 0 before the first.
    pub heard_at: Millis,
    /// `matched` at the last heartbeat: no progress since means a lost message.
    pub matched_at_heartbeat: LogIndex,
}

impl Progress {
    /// Progress of a follower of which nothing is known.
    pub fn new(next: LogIndex) -> Progress {
        Progress {
            matched: 0,
            next,
            state: SendState::Probe,
            answered_sent_at: 0,
            heard_at: 0,
            matched_at_heartbeat: 0,
        }
    }
}
