//! The log in memory: entries after the newest snapshot.

use crate::ids::{LogIndex, Term};
use crate::membership::Membership;
use crate::message::LogPosition;
use crate::types::{Entry, Payload, Snapshot};

/// Entries after a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Last index that storage has synced.
    persisted: LogIndex,
}

impl Log {
    /// The log as storage had it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            snapshot,
            entries,
            persisted: 0,
        };
        log.persisted = log.last_index();
        log
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The last index.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.index + self.entries.len() as LogIndex
    }

    /// The end of the log.
    pub fn last(&self) -> LogPosition {
        let index = self.last_index();
        LogPosition {
            term: self.term_at(index).unwrap_or(0),
            index,
        }
    }

    /// Last index that storage has synced.
    pub fn persisted(&self) -> LogIndex {
        self.persisted
    }

    /// Storage has synced up to `index`.
    pub fn set_persisted(&mut self, index: LogIndex) {
        self.persisted = index.min(self.last_index());
    }

    /// The term at `index`, unless a snapshot covers it or it is not there.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(position as usize).map(|entry| entry.term)
    }

    /// Up to `limit` entries from `first` on.
    pub fn entries_from(&self, first: LogIndex, limit: usize) -> &[Entry] {
        let start = first.saturating_sub(self.snapshot.index + 1) as usize;
        let start = start.min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Appends an entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Drops the entries from `first` on.
    pub fn truncate(&mut self, first: LogIndex) {
        let keep = first.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(keep);
        self.persisted = self.persisted.min(self.last_index());
    }

    /// Replaces the whole log by a snapshot.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
        self.persisted = self.snapshot.index;
    }

    /// Drops the entries that `snapshot` covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        self.entries.drain(..covered.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    /// The newest membership up to `index`, and where it stands.
    pub fn membership_up_to(&self, index: LogIndex) -> (LogIndex, &Membership) {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index)
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                _ => None,
            })
            .unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }
}
