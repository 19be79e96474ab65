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

/// Entries that were sent and may be on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentEntries {
    /// Index of the first one.
    pub first: LogIndex,
    /// Clock of the leader when it sent them.
    pub at: Millis,
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
    /// The entries that were sent last, unless they are known to be lost.
    pub sent: Option<SentEntries>,
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
            sent: None,
        }
    }

    /// Whether entries from `first` on may be sent, because these were not, or long ago.
    /// Sent again before the first copy has arrived, they only make it later: 1.2 MB that
    /// a follower lacked became 12 MB a second (`tests/resending.rs`).
    pub fn may_send(&self, now: Millis, first: LogIndex, resend_after: Millis) -> bool {
        let is_on_its_way = |sent: SentEntries| sent.first == first && now < sent.at + resend_after;
        !self.sent.is_some_and(is_on_its_way)
    }

    /// The follower refused what was sent at `sent_at`. Messages keep their order, so what
    /// was sent before has not arrived either.
    pub fn note_refusal(&mut self, sent_at: Millis) {
        if self.sent.is_some_and(|sent| sent_at > sent.at) {
            self.sent = None;
        }
    }
}
