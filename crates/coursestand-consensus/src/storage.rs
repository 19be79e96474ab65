//! Persistent storage of a replica.

use std::path::PathBuf;

use snafu::Snafu;

use crate::ids::LogIndex;
use crate::types::{Entry, HardState, Snapshot};

/// Changes that must be persisted atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Replaces the stored hard state.
    pub hard_state: Option<HardState>,
    /// Replaces the whole stored log.
    pub snapshot: Option<Snapshot>,
    /// Each entry replaces all stored entries from its index on.
    pub entries: Vec<Entry>,
}

/// Contents of the storage.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restored {
    /// Latest hard state.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Storage errors. Every error is fatal for the replica: the state on disk is unknown, so
/// the replica must not acknowledge or vote for anything after it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A file operation failed; includes a full disk and a failed sync.
    #[snafu(display("{}: {operation}: {source}", path.display()))]
    File {
        /// File or folder.
        path: PathBuf,
        /// The failed operation.
        operation: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is corrupt before its end, so a write that was interrupted by a crash
    /// can't be the cause.
    #[snafu(display("{}: corrupt at byte {offset}: {what}{}", path.display(), followed_by(*next)))]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Byte offset of the corrupt frame.
        offset: u64,
        /// Description of the fault.
        what: &'static str,
        /// Byte offset of the frame that follows, if the fault is told by there being one.
        next: Option<u64>,
    },
    /// The log has a gap: entries are missing.
    #[snafu(display(
        "{}: entry {found} follows entry {last}: entries are missing", path.display()
    ))]
    Gap {
        /// The file.
        path: PathBuf,
        /// Index of the entry after the gap.
        found: LogIndex,
        /// Index of the last entry before the gap.
        last: LogIndex,
    },
    /// A record can't be encoded.
    #[snafu(display("a record can't be encoded: {source}"))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
    /// The folder is locked by another process.
    #[snafu(display("{}: another process uses this folder", path.display()))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
}

/// Persists the state of a replica.
pub trait Storage {
    /// Writes a batch atomically and syncs it before returning.
    fn save(&mut self, batch: &Batch) -> Result<(), StorageError>;

    /// Writes a snapshot and removes the entries that it includes; `tail` holds the
    /// entries after it.
    fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        tail: &[Entry],
    ) -> Result<(), StorageError>;
}

/// In-memory storage for tests and simulations.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    saved: Restored,
}

impl MemoryStorage {
    /// Returns the state that a replica restores after a restart.
    pub fn restored(&self) -> Restored {
        self.saved.clone()
    }
}

impl Restored {
    /// Returns the index of the last entry, or the one that the snapshot covers.
    pub fn last_index(&self) -> LogIndex {
        self.snapshot.index + self.entries.len() as LogIndex
    }

    /// Applies a batch.
    pub fn apply(&mut self, batch: &Batch) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = snapshot.clone();
            self.entries.clear();
        }
        for entry in &batch.entries {
            self.entries.retain(|kept| kept.index < entry.index);
            self.entries.push(entry.clone());
        }
    }
}

impl Storage for MemoryStorage {
    fn save(&mut self, batch: &Batch) -> Result<(), StorageError> {
        self.saved.apply(batch);
        Ok(())
    }

    fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        tail: &[Entry],
    ) -> Result<(), StorageError> {
        self.saved = Restored {
            hard_state,
            snapshot: snapshot.clone(),
            entries: tail.to_vec(),
        };
        Ok(())
    }
}

fn followed_by(next: Option<u64>) -> String {
    next.map_or_else(String::new, |next| {
        format!("; another record follows at byte {next}")
    })
}
