//! Where a replica saves what it must not forget.

use std::path::PathBuf;

use snafu::Snafu;

use crate::ids::LogIndex;
use crate::types::{Entry, HardState, Snapshot};

/// What has to be saved together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Replaces the one saved before.
    pub hard_state: Option<HardState>,
    /// Replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Each entry replaces those saved from its index on.
    pub entries: Vec<Entry>,
}

/// What storage had saved.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restored {
    /// The newest one saved.
    pub hard_state: HardState,
    /// The newest one saved.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Why storage failed. Every error is fatal for the replica: what it saved is no
/// longer known, so it must not promise anything further.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A file operation failed; a full disk and a failed sync are among these.
    #[snafu(display("{}: {operation}: {source}", path.display()))]
    File {
        /// File or folder.
        path: PathBuf,
        /// What was tried.
        operation: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is damaged before its end, so it can't be a write that was cut
    /// off by a crash.
    #[snafu(display("{}: damaged at byte {offset}: {what}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        offset: u64,
        /// What is wrong.
        what: &'static str,
    },
    /// Entries are missing.
    #[snafu(display(
        "{}: entry {found} follows entry {last}: entries are missing", path.display()
    ))]
    Gap {
        /// The file.
        path: PathBuf,
        /// Index found.
        found: LogIndex,
        /// Index before it.
        last: LogIndex,
    },
    /// A record can't be encoded.
    #[snafu(display("a record can't be encoded: {source}"))]
    Encode {
        /// Cause.
        source: postcard::Error,
    },
    /// Another process has the folder open.
    #[snafu(display("{}: another process uses this folder", path.display()))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
}

/// Saves and restores the state of a replica.
pub trait Storage {
    /// Saves a batch as a whole; it is synced when this returns.
    fn save(&mut self, batch: &Batch) -> Result<(), StorageError>;

    /// Saves a snapshot of the replica's own and drops the entries that it
    /// covers; `rest` are the entries after it.
    fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        rest: &[Entry],
    ) -> Result<(), StorageError>;
}

/// Storage in memory, for tests and simulations.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    saved: Restored,
}

impl MemoryStorage {
    /// What a replica finds here after a restart.
    pub fn restored(&self) -> Restored {
        self.saved.clone()
    }
}

impl Restored {
    /// Takes a batch over.
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
        rest: &[Entry],
    ) -> Result<(), StorageError> {
        self.saved = Restored {
            hard_state,
            snapshot: snapshot.clone(),
            entries: rest.to_vec(),
        };
        Ok(())
    }
}
