//! A leader's view of the replication to one follower.

use crate::ids::{LogIndex, Millis};

/// Replication mode of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// Entries are sent one message at a time, until the logs are known to match.
    Probe,
    /// Entries are pipelined without waiting for answers.
    Replicate,
    /// A snapshot is being sent.
    Snapshot {
        /// Index of the snapshot.
        index: LogIndex,
        /// Bytes that the follower has received.
        received: u64,
    },
}

/// Entries that were sent and may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentEntries {
    /// Index of the first entry.
    pub first: LogIndex,
    /// Leader's clock when the entries were sent.
    pub at: Millis,
}

/// Replication progress of one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Last index known to match the leader's log and to be synced at the follower.
    pub matched: LogIndex,
    /// Index of the next entry to send.
    pub next: LogIndex,
    /// Replication mode.
    pub state: SendState,
    /// Leader's clock when it sent the latest message that was answered.
    pub acked_sent_at: Millis,
    /// Leader's clock when the latest answer arrived; before the first, when the leader
    /// added the follower (0 in [`Progress::new`]).
    pub last_contact_at: Millis,
    /// `matched` at the last heartbeat; no progress since then indicates a lost message.
    pub matched_at_heartbeat: LogIndex,
    /// The latest entries sent, unless they are known to be lost.
    pub sent: Option<SentEntries>,
}

impl Progress {
    /// Returns the progress of a follower whose log is unknown.
    pub fn new(next: LogIndex) -> Progress {
        Progress {
            matched: 0,
            next,
            state: SendState::Probe,
            acked_sent_at: 0,
            last_contact_at: 0,
            matched_at_heartbeat: 0,
            sent: None,
        }
    }

    /// Returns whether entries from `first` on may be sent: they were not sent yet, or at
    /// least `resend_after` ago. Sending them again while the first copy is in flight only
    /// delays it: 1.2 MB of missing entries then cause 12 MB/s (`tests/resending.rs`).
    pub fn may_send(&self, now: Millis, first: LogIndex, resend_after: Millis) -> bool {
        let is_in_flight = |sent: SentEntries| sent.first == first && now < sent.at + resend_after;
        !self.sent.is_some_and(is_in_flight)
    }

    /// Records that the follower rejected the append sent at `sent_at`. Messages stay in
    /// order, so entries sent before it were lost.
    pub fn note_rejection(&mut self, sent_at: Millis) {
        if self.sent.is_some_and(|sent| sent_at > sent.at) {
            self.sent = None;
        }
    }
}
