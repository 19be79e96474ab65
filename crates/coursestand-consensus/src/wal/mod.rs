//! On-disk storage: a write-ahead log in segment files, and snapshots.
//!
//! Each batch is a record of its own, one frame in the `postcard` encoding, which makes it
//! atomic. Frames are synced before `save` returns. Records are read and written one at a
//! time, so that opening a log needs little more memory than its entries.
//!
//! On restart, a truncated frame at the end of the newest segment is discarded: it was
//! never acknowledged. Corruption anywhere else is an error.

mod frames;
mod replay;

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use self::frames::write_frame;
use self::replay::{Replay, read_snapshot};
use crate::ids::LogIndex;
use crate::storage::{Batch, FileSnafu, InUseSnafu, Restored, Storage, StorageError};
use crate::types::{Entry, HardState, Snapshot, prefix_within};

/// Segment size in bytes above which a new segment is started.
pub const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes of entries in one record of a segment that contains the full state; a single larger
/// entry is a record of its own.
const RECORD_BYTES: usize = 1024 * 1024;

const SEGMENT_SUFFIX: &str = ".wal";
const SNAPSHOT_SUFFIX: &str = ".snapshot";
const TEMPORARY_EXTENSION: &str = "tmp";
const TEMPORARY_SUFFIX: &str = ".tmp";
const LOCK_FILE: &str = "lock";

/// Payload of a segment frame.
#[derive(Deserialize)]
struct Record {
    hard_state: Option<HardState>,
    /// Resets the log to start after this index, the last one included in a snapshot.
    restart_after: Option<LogIndex>,
    entries: Vec<Entry>,
}

/// A [`Record`] to be written, with borrowed entries.
#[derive(Serialize)]
struct RecordRef<'a> {
    hard_state: Option<HardState>,
    restart_after: Option<LogIndex>,
    entries: &'a [Entry],
}

/// A write-ahead log in a dedicated folder, which it locks.
pub struct WriteAheadLog {
    folder: PathBuf,
    segment: Segment,
    sequence: u64,
    hard_state: HardState,
    _lock: File,
}

impl WriteAheadLog {
    /// Opens the log in `folder`, which is created if missing, and returns the
    /// restored state.
    pub fn open(folder: &Path) -> Result<(WriteAheadLog, Restored), StorageError> {
        std::fs::create_dir_all(folder).context(FileSnafu {
            path: folder,
            operation: "create the folder",
        })?;
        let lock = lock(folder)?;
        remove_temporary_files(folder)?;
        let mut replay = Replay::new(newest_snapshot(folder)?);
        let segments = numbered_files(folder, SEGMENT_SUFFIX)?;
        for (position, (_, path)) in segments.iter().enumerate() {
            let is_newest = position + 1 == segments.len();
            replay.read_segment(path, is_newest)?;
        }
        let restored = replay.restored;
        // The new segment contains the full state, so the older ones, which may end in a
        // truncated frame or in data that a failed sync has lost, can be removed.
        let sequence = segments.last().map_or(0, |(sequence, _)| *sequence) + 1;
        let segment = create_full_segment(
            folder,
            sequence,
            restored.hard_state,
            restored.snapshot.index,
            &restored.entries,
        )?;
        let log = WriteAheadLog {
            folder: folder.to_owned(),
            segment,
            sequence,
            hard_state: restored.hard_state,
            _lock: lock,
        };
        log.remove_obsolete(restored.snapshot.index)?;
        Ok((log, restored))
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let path = self
            .folder
            .join(format!("{:020}{SNAPSHOT_SUFFIX}", snapshot.index));
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        let context = |operation| FileSnafu {
            path: temporary.clone(),
            operation,
        };
        let mut file = File::create(&temporary).context(context("create"))?;
        write_frame(&mut file, &temporary, snapshot)?;
        file.sync_all().context(context("sync"))?;
        std::fs::rename(&temporary, &path).context(context("rename"))?;
        sync_folder(&self.folder)
    }

    /// Removes segments older than the current one and snapshots older than `index`:
    /// the current segment and the snapshot at `index` contain the full state.
    fn remove_obsolete(&self, index: LogIndex) -> Result<(), StorageError> {
        let segments = numbered_files(&self.folder, SEGMENT_SUFFIX)?;
        let snapshots = numbered_files(&self.folder, SNAPSHOT_SUFFIX)?;
        let old_segments = segments
            .into_iter()
            .filter(|(sequence, _)| *sequence < self.sequence);
        let old_snapshots = snapshots.into_iter().filter(|(at, _)| *at < index);
        for (_, path) in old_segments.chain(old_snapshots) {
            std::fs::remove_file(&path).context(FileSnafu {
                path,
                operation: "remove",
            })?;
        }
        sync_folder(&self.folder)
    }
}

impl Storage for WriteAheadLog {
    fn save(&mut self, batch: &Batch) -> Result<(), StorageError> {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            return self.compact(snapshot, self.hard_state, &batch.entries);
        }
        if self.segment.length > SEGMENT_BYTES {
            self.sequence += 1;
            self.segment = create_segment(&self.folder, self.sequence)?;
        }
        self.segment.append(&RecordRef {
            hard_state: batch.hard_state,
            restart_after: None,
            entries: &batch.entries,
        })?;
        self.segment.sync()
    }

    fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        tail: &[Entry],
    ) -> Result<(), StorageError> {
        self.hard_state = hard_state;
        self.write_snapshot(snapshot)?;
        self.sequence += 1;
        self.segment = create_full_segment(
            &self.folder,
            self.sequence,
            hard_state,
            snapshot.index,
            tail,
        )?;
        self.remove_obsolete(snapshot.index)
    }
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .context(FileSnafu {
            path: &path,
            operation: "open",
        })?;
    ensure!(file.try_lock().is_ok(), InUseSnafu { path: folder });
    Ok(file)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let context = |operation| FileSnafu {
        path: folder,
        operation,
    };
    let handle = File::open(folder).context(context("open"))?;
    handle.sync_all().context(context("sync"))
}

/// A segment file that records are appended to.
struct Segment {
    file: File,
    path: PathBuf,
    length: u64,
}

impl Segment {
    /// Creates the file, which must not exist.
    fn create(path: &Path) -> Result<Segment, StorageError> {
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(path)
            .context(FileSnafu {
                path,
                operation: "create",
            })?;
        Ok(Segment {
            file,
            path: path.to_owned(),
            length: 0,
        })
    }

    /// Appends a record without a sync.
    fn append(&mut self, record: &RecordRef<'_>) -> Result<(), StorageError> {
        self.length += write_frame(&mut self.file, &self.path, record)?;
        Ok(())
    }

    fn sync(&self) -> Result<(), StorageError> {
        self.file.sync_data().context(FileSnafu {
            path: &self.path,
            operation: "sync",
        })
    }

    fn rename(self, path: PathBuf) -> Result<Segment, StorageError> {
        std::fs::rename(&self.path, &path).context(FileSnafu {
            path: &self.path,
            operation: "rename",
        })?;
        Ok(Segment { path, ..self })
    }
}

fn segment_path(folder: &Path, sequence: u64) -> PathBuf {
    folder.join(format!("{sequence:020}{SEGMENT_SUFFIX}"))
}

fn create_segment(folder: &Path, sequence: u64) -> Result<Segment, StorageError> {
    let segment = Segment::create(&segment_path(folder, sequence))?;
    sync_folder(folder)?;
    Ok(segment)
}

/// Creates a segment that contains the hard state and all entries after `base`, the index of
/// the snapshot. The segment consists of several records to limit the memory for encoding
/// them; its final name makes it visible at once.
fn create_full_segment(
    folder: &Path,
    sequence: u64,
    hard_state: HardState,
    base: LogIndex,
    entries: &[Entry],
) -> Result<Segment, StorageError> {
    let path = segment_path(folder, sequence);
    let mut segment = Segment::create(&path.with_extension(TEMPORARY_EXTENSION))?;
    segment.append(&RecordRef {
        hard_state: Some(hard_state),
        restart_after: Some(base),
        entries: &[],
    })?;
    let mut rest = entries;
    while !rest.is_empty() {
        let (record, later) = rest.split_at(prefix_within(rest, RECORD_BYTES).len());
        segment.append(&RecordRef {
            hard_state: None,
            restart_after: None,
            entries: record,
        })?;
        rest = later;
    }
    segment.sync()?;
    let segment = segment.rename(path)?;
    sync_folder(folder)?;
    Ok(segment)
}

/// Returns the files whose names are a number and `suffix`, sorted by number.
fn numbered_files(folder: &Path, suffix: &str) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let context = |operation| FileSnafu {
        path: folder,
        operation,
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).context(context("read the folder"))? {
        let entry = entry.context(context("read the folder"))?;
        let name = entry.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_suffix(suffix))
            .and_then(|number| number.parse().ok());
        if let Some(number) = number {
            files.push((number, entry.path()));
        }
    }
    files.sort();
    Ok(files)
}

/// Removes temporary files left by a process that ended before it renamed them.
fn remove_temporary_files(folder: &Path) -> Result<(), StorageError> {
    for (_, path) in numbered_files(folder, TEMPORARY_SUFFIX)? {
        std::fs::remove_file(&path).context(FileSnafu {
            path,
            operation: "remove",
        })?;
    }
    Ok(())
}

/// Returns the newest snapshot, or the empty one if none was taken.
fn newest_snapshot(folder: &Path) -> Result<Snapshot, StorageError> {
    match numbered_files(folder, SNAPSHOT_SUFFIX)?.pop() {
        Some((_, path)) => read_snapshot(&path),
        None => Ok(Snapshot::default()),
    }
}
