//! The in-memory log: the entries after the latest snapshot.

use crate::ids::{LogIndex, Term};
use crate::membership::Membership;
use crate::message::LogPosition;
use crate::types::{Entry, Payload, Snapshot};

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Size of the payloads of `entries` in bytes.
    bytes: usize,
    /// Last index that is synced to storage.
    persisted: LogIndex,
}

impl Log {
    /// Creates the log from the contents of storage.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            snapshot,
            bytes: total_size(&entries),
            entries,
            persisted: 0,
        };
        log.persisted = log.last_index();
        log
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the size of the payloads of all entries in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.index + self.entries.len() as LogIndex
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> LogPosition {
        let index = self.last_index();
        LogPosition {
            term: self.term_at(index).unwrap_or(0),
            index,
        }
    }

    /// Returns the last index that is synced to storage.
    pub fn persisted(&self) -> LogIndex {
        self.persisted
    }

    /// Records that storage has synced all entries up to `index`.
    pub fn set_persisted(&mut self, index: LogIndex) {
        self.persisted = index.min(self.last_index());
    }

    /// Returns the term at `index`; `None` if the entry is compacted or missing.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(position as usize).map(|entry| entry.term)
    }

    /// Returns up to `limit` entries from `first` on.
    pub fn entries_from(&self, first: LogIndex, limit: usize) -> &[Entry] {
        let start = first.saturating_sub(self.snapshot.index + 1) as usize;
        let start = start.min(self.entries.len());
        let end = start.saturating_add(limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Appends an entry; its index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.payload.size();
        self.entries.push(entry);
    }

    /// Removes the entries from `first` on.
    pub fn truncate(&mut self, first: LogIndex) {
        let kept_count = first.saturating_sub(self.snapshot.index + 1) as usize;
        let removed = self.entries.get(kept_count..).unwrap_or_default();
        self.bytes -= total_size(removed);
        self.entries.truncate(kept_count);
        self.persisted = self.persisted.min(self.last_index());
    }

    /// Replaces the whole log with a snapshot.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot;
        self.persisted = self.snapshot.index;
    }

    /// Removes the entries that `snapshot` includes.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        let removed = self.entries.drain(..covered.min(self.entries.len()));
        self.bytes -= removed.map(|entry| entry.payload.size()).sum::<usize>();
        self.snapshot = snapshot;
    }

    /// Returns the latest membership up to `index` and the index of its entry.
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

fn total_size(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.payload.size()).sum()
}
