//! The output of a replica that its caller has to process.

use crate::ids::{LogIndex, ReplicaId};
use crate::message::Message;
use crate::types::{Entry, HardState, Snapshot};

/// Work for the caller, in this order: send `messages`; apply `committed`; write and sync
/// `hard_state`, `snapshot` and `entries`; call `Replica::persisted`; send
/// `messages_after_sync`; restore the state machine from `snapshot`. During the sync the
/// replica may be stepped and ticked, and `Replica::take_messages` returns the messages
/// that it produces.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Messages that may be sent before the sync.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Hard state to sync, if it changed.
    pub hard_state: Option<HardState>,
    /// Snapshot to sync; replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Entries to sync; an entry replaces all stored entries from its index on.
    pub entries: Vec<Entry>,
    /// Messages that must not be sent before the sync is done.
    pub messages_after_sync: Vec<(ReplicaId, Message)>,
    /// Entries to apply, in order. They are already synced, so they can be applied at once;
    /// empty if there is a snapshot.
    pub committed: Vec<Entry>,
    /// Last index of the log when this value was created.
    pub(crate) last_index: LogIndex,
}

impl Ready {
    /// Returns whether there is anything to sync.
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
