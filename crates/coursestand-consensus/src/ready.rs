//! What the caller has to do after it changed a replica.

use crate::ids::{LogIndex, ReplicaId};
use crate::message::Message;
use crate::types::{Entry, HardState, Snapshot};

/// Work for the caller, in this order: send `messages`; apply `committed`; save
/// `hard_state`, `snapshot` and `entries` and sync them; call `Replica::persisted`; send
/// `messages_after_sync`; restore the state machine from `snapshot`. While it syncs, the
/// replica takes messages and time in, and `Replica::take_messages` gives what it says.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that may leave before anything is synced.
    pub messages: Vec<(ReplicaId, Message)>,
    /// To be synced, when it changed.
    pub hard_state: Option<HardState>,
    /// To be synced in place of the whole log.
    pub snapshot: Option<Snapshot>,
    /// To be synced; an entry replaces those from its index on.
    pub entries: Vec<Entry>,
    /// Messages that promise what is only true once it is synced.
    pub messages_after_sync: Vec<(ReplicaId, Message)>,
    /// To be applied, in order. Synced already, so that they need not wait; none when there
    /// is a snapshot.
    pub committed: Vec<Entry>,
    /// Last index of the log when this was made.
    pub(crate) last_index: LogIndex,
}

impl Ready {
    /// Whether anything has to be synced.
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
