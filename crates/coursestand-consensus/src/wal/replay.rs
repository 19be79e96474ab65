//! Rebuilds the stored state from the files of a log.

use std::path::{Path, PathBuf};

use snafu::ensure;

use super::Record;
use super::disk::Disk;
use super::frames::{FrameRead, FrameReader};
use crate::ids::LogIndex;
use crate::storage::{CorruptSnafu, GapSnafu, Restored, StorageError};
use crate::types::{Entry, Snapshot};

/// Reads a snapshot file.
pub(super) fn read_snapshot(disk: &impl Disk, name: &str) -> Result<Snapshot, StorageError> {
    let corrupt = |what| CorruptSnafu {
        path: disk.folder().join(name),
        offset: 0u64,
        what,
        next: None,
    };
    // A snapshot is renamed only after its sync, so it can't be truncated.
    let FrameRead::Complete(payload) = FrameReader::open(disk, name)?.next()? else {
        return corrupt("snapshot checksum mismatch").fail();
    };
    postcard::from_bytes(&payload).or_else(|_| corrupt("snapshot can't be decoded").fail())
}

/// Returns whether a segment contains the full state, so that no older one is needed.
pub(super) fn begins_with_full_state(disk: &impl Disk, name: &str) -> Result<bool, StorageError> {
    let FrameRead::Complete(payload) = FrameReader::open(disk, name)?.next()? else {
        return Ok(false);
    };
    let record = postcard::from_bytes::<Record>(&payload);
    Ok(record.is_ok_and(|record| record.restart_after.is_some()))
}

/// The end of a log that was left out when the log was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscardedTail {
    /// The segment.
    pub path: PathBuf,
    /// Byte offset at which the part that was left out begins.
    pub offset: u64,
    /// Its length in bytes.
    pub bytes: u64,
}

/// The state that the records read so far lead to.
pub(super) struct Replay {
    pub(super) restored: Restored,
    pub(super) discarded: Option<DiscardedTail>,
    /// Whether the logged entry at the snapshot's index differs in term from the one in
    /// the snapshot; the snapshot then replaces the entries that follow it.
    has_conflict: bool,
}

impl Replay {
    pub(super) fn new(snapshot: Snapshot) -> Replay {
        Replay {
            restored: Restored {
                snapshot,
                ..Restored::default()
            },
            discarded: None,
            has_conflict: false,
        }
    }

    /// Applies the records of a segment. Only the newest segment may end in an incomplete
    /// frame, which is discarded.
    pub(super) fn read_segment(
        &mut self,
        disk: &impl Disk,
        name: &str,
        is_newest: bool,
    ) -> Result<(), StorageError> {
        let mut frames = FrameReader::open(disk, name)?;
        let path = &frames.path().to_owned();
        loop {
            let offset = frames.offset();
            let corrupt = |what, next| CorruptSnafu {
                path,
                offset,
                what,
                next,
            };
            match frames.next()? {
                FrameRead::Complete(payload) => {
                    let Ok(record) = postcard::from_bytes::<Record>(&payload) else {
                        return corrupt("record can't be decoded", None).fail();
                    };
                    drop(payload);
                    self.apply_record(path, record)?;
                }
                FrameRead::End => return Ok(()),
                FrameRead::Incomplete if is_newest => {
                    self.discarded = Some(DiscardedTail {
                        path: path.clone(),
                        offset,
                        bytes: frames.remaining(),
                    });
                    return Ok(());
                }
                FrameRead::Incomplete => return corrupt("segment ends early", None).fail(),
                FrameRead::Corrupt { what, next } => return corrupt(what, Some(next)).fail(),
            }
        }
    }

    fn apply_record(&mut self, path: &Path, record: Record) -> Result<(), StorageError> {
        if let Some(hard_state) = record.hard_state {
            self.restored.hard_state = hard_state;
        }
        let base = self.restored.snapshot.index;
        if let Some(after) = record.restart_after {
            let last = base;
            let found = after;
            ensure!(after <= base, GapSnafu { path, found, last });
            self.restored.entries.clear();
            self.has_conflict = false;
        }
        for entry in record.entries {
            self.apply_entry(path, entry)?;
        }
        Ok(())
    }

    fn apply_entry(&mut self, path: &Path, entry: Entry) -> Result<(), StorageError> {
        let base = self.restored.snapshot.index;
        let entries = &mut self.restored.entries;
        let found = entry.index;
        if found == base {
            self.has_conflict = entry.term != self.restored.snapshot.term;
        }
        if found <= base {
            entries.clear();
        }
        if found <= base || self.has_conflict {
            return Ok(());
        }
        let kept_count = (found - base - 1) as usize;
        let last = base + entries.len() as LogIndex;
        ensure!(kept_count <= entries.len(), GapSnafu { path, found, last });
        entries.truncate(kept_count);
        entries.push(entry);
        Ok(())
    }
}
