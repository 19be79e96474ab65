//! On-disk storage: a write-ahead log in segment files, and snapshots.
//!
//! Each batch is a record of its own, one frame in the `postcard` encoding, which makes it
//! atomic. Frames are synced before `save` returns. Records are read and written one at a
//! time, so that opening a log needs little more memory than its entries.
//!
//! On restart, an incomplete frame at the end of the newest segment is discarded and reported:
//! its write was interrupted, so that it was never acknowledged. Segments older than the newest
//! one that contains the full state are not read. Corruption anywhere else is an error.

pub mod disk;
mod frames;
mod replay;

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use self::disk::{Disk, DiskWriter, FileSystem};
use self::frames::write_frame;
pub use self::replay::DiscardedTail;
use self::replay::{Replay, begins_with_full_state, read_snapshot};
use crate::ids::LogIndex;
use crate::storage::{Batch, CorruptSnafu, FileSnafu, InUseSnafu, Restored, Storage, StorageError};
use crate::types::{Entry, HardState, Snapshot, prefix_within};

/// Segment size in bytes above which a new segment is started.
pub const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes of entries in one record of a segment that contains the full state; a single larger
/// entry is a record of its own.
const RECORD_BYTES: usize = 1024 * 1024;

const SEGMENT_SUFFIX: &str = ".wal";
const SNAPSHOT_SUFFIX: &str = ".snapshot";
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

/// Sizes of the records and segments of a log.
#[derive(Clone, Copy, Debug)]
pub struct LogSizes {
    /// Size in bytes above which a new segment is started.
    pub segment_bytes: u64,
    /// Bytes of entries in one record of a segment that contains the full state.
    pub record_bytes: usize,
}

impl Default for LogSizes {
    fn default() -> LogSizes {
        LogSizes {
            segment_bytes: SEGMENT_BYTES,
            record_bytes: RECORD_BYTES,
        }
    }
}

/// A write-ahead log in a dedicated folder.
pub struct WriteAheadLog<D: Disk = FileSystem> {
    disk: D,
    sizes: LogSizes,
    segment: Segment<D::Writer>,
    sequence: u64,
    hard_state: HardState,
    discarded: Option<DiscardedTail>,
    /// Locks the folder.
    _lock: Option<File>,
}

impl WriteAheadLog {
    /// Opens the log in `folder`, which is created if missing and locked, and returns the
    /// restored state.
    pub fn open(folder: &Path) -> Result<(WriteAheadLog, Restored), StorageError> {
        create_folder(folder)?;
        let lock = lock(folder)?;
        let disk = FileSystem::new(folder);
        let (mut log, restored) = WriteAheadLog::open_on(disk, LogSizes::default())?;
        log._lock = Some(lock);
        Ok((log, restored))
    }
}

impl<D: Disk> WriteAheadLog<D> {
    /// Opens the log on `disk`, of which it must be the only user, and returns the restored
    /// state.
    pub fn open_on(disk: D, sizes: LogSizes) -> Result<(WriteAheadLog<D>, Restored), StorageError> {
        remove_temporary_files(&disk)?;
        // A process that was killed may not have synced the names that it changed: those that are
        // found now, and on which the new segment relies, could still be lost.
        sync_names(&disk)?;
        let mut replay = Replay::new(newest_snapshot(&disk)?);
        let segments = numbered_files(&disk, SEGMENT_SUFFIX)?;
        let current = current_segments(&disk, &segments)?;
        for (position, (_, name)) in current.iter().enumerate() {
            let is_newest = position + 1 == current.len();
            replay.read_segment(&disk, name, is_newest)?;
        }
        let Replay {
            restored,
            discarded,
            ..
        } = replay;
        // The new segment contains the full state, so the older ones, which may end in an
        // incomplete frame or in data that a failed sync has lost, can be removed.
        let sequence = segments.last().map_or(0, |(sequence, _)| *sequence) + 1;
        let segment = create_full_segment(
            &disk,
            sequence,
            FullState {
                hard_state: restored.hard_state,
                base: restored.snapshot.index,
                entries: &restored.entries,
            },
            sizes,
        )?;
        let log = WriteAheadLog {
            disk,
            sizes,
            segment,
            sequence,
            hard_state: restored.hard_state,
            discarded,
            _lock: None,
        };
        log.remove_obsolete(restored.snapshot.index)?;
        Ok((log, restored))
    }

    /// Returns the end of the log that was left out when the log was opened, if any.
    pub fn discarded_tail(&self) -> Option<&DiscardedTail> {
        self.discarded.as_ref()
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let stem = numbered_name(snapshot.index);
        let temporary = format!("{stem}{TEMPORARY_SUFFIX}");
        let mut file = Segment::create(&self.disk, &temporary)?;
        file.append(snapshot)?;
        file.sync()?;
        rename(&self.disk, &temporary, &format!("{stem}{SNAPSHOT_SUFFIX}"))
    }

    /// Removes segments older than the current one and snapshots older than `index`:
    /// the current segment and the snapshot at `index` contain the full state.
    fn remove_obsolete(&self, index: LogIndex) -> Result<(), StorageError> {
        let segments = numbered_files(&self.disk, SEGMENT_SUFFIX)?;
        let snapshots = numbered_files(&self.disk, SNAPSHOT_SUFFIX)?;
        let old_segments = segments
            .into_iter()
            .filter(|(sequence, _)| *sequence < self.sequence);
        let old_snapshots = snapshots.into_iter().filter(|(at, _)| *at < index);
        for (_, name) in old_segments.chain(old_snapshots) {
            remove(&self.disk, &name)?;
        }
        sync_names(&self.disk)
    }
}

impl<D: Disk> Storage for WriteAheadLog<D> {
    fn save(&mut self, batch: &Batch) -> Result<(), StorageError> {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &batch.snapshot {
            return self.compact(snapshot, self.hard_state, &batch.entries);
        }
        if self.segment.length > self.sizes.segment_bytes {
            self.sequence += 1;
            self.segment = Segment::create(&self.disk, &segment_name(self.sequence))?;
            sync_names(&self.disk)?;
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
        let state = FullState {
            hard_state,
            base: snapshot.index,
            entries: tail,
        };
        self.segment = create_full_segment(&self.disk, self.sequence, state, self.sizes)?;
        self.remove_obsolete(snapshot.index)
    }
}

/// Creates a folder and those above it that are missing, and syncs their names: otherwise a loss
/// of power could remove the folder with all that was synced in it.
fn create_folder(folder: &Path) -> Result<(), StorageError> {
    let context = |operation| FileSnafu {
        path: folder,
        operation,
    };
    let missing = folder.ancestors().take_while(|path| !path.exists()).count();
    std::fs::create_dir_all(folder).context(context("create the folder"))?;
    for parent in folder.ancestors().skip(1).take(missing) {
        // A relative path ends with an empty one, which stands for the working directory.
        let parent = match parent.as_os_str().is_empty() {
            true => Path::new("."),
            false => parent,
        };
        let synced = File::open(parent).and_then(|parent| parent.sync_all());
        synced.context(context("sync the name of the folder"))?;
    }
    Ok(())
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

fn sync_names(disk: &impl Disk) -> Result<(), StorageError> {
    disk.sync_names().context(FileSnafu {
        path: disk.folder(),
        operation: "sync",
    })
}

fn remove(disk: &impl Disk, name: &str) -> Result<(), StorageError> {
    disk.remove(name).context(FileSnafu {
        path: disk.folder().join(name),
        operation: "remove",
    })
}

/// Renames a file and syncs the names.
fn rename(disk: &impl Disk, from: &str, to: &str) -> Result<(), StorageError> {
    disk.rename(from, to).context(FileSnafu {
        path: disk.folder().join(from),
        operation: "rename",
    })?;
    sync_names(disk)
}

/// A file that records are appended to.
struct Segment<W> {
    file: W,
    path: PathBuf,
    length: u64,
}

impl<W: DiskWriter> Segment<W> {
    /// Creates the file, which must not exist.
    fn create<D: Disk<Writer = W>>(disk: &D, name: &str) -> Result<Segment<W>, StorageError> {
        let path = disk.folder().join(name);
        let file = disk.create(name).context(FileSnafu {
            path: &path,
            operation: "create",
        })?;
        Ok(Segment {
            file,
            path,
            length: 0,
        })
    }

    /// Appends a record without a sync.
    fn append<T: Serialize>(&mut self, record: &T) -> Result<(), StorageError> {
        self.length += write_frame(&mut self.file, &self.path, record)?;
        Ok(())
    }

    fn sync(&self) -> Result<(), StorageError> {
        self.file.sync().context(FileSnafu {
            path: &self.path,
            operation: "sync",
        })
    }
}

fn numbered_name(number: u64) -> String {
    format!("{number:020}")
}

fn segment_name(sequence: u64) -> String {
    numbered_name(sequence) + SEGMENT_SUFFIX
}

/// The contents of a log: the hard state and all entries after `base`, the index of the
/// snapshot.
struct FullState<'a> {
    hard_state: HardState,
    base: LogIndex,
    entries: &'a [Entry],
}

/// Creates a segment that contains the full state. The segment consists of several records to
/// limit the memory for encoding them; its final name makes it visible at once.
fn create_full_segment<D: Disk>(
    disk: &D,
    sequence: u64,
    state: FullState<'_>,
    sizes: LogSizes,
) -> Result<Segment<D::Writer>, StorageError> {
    let temporary = numbered_name(sequence) + TEMPORARY_SUFFIX;
    let mut segment = Segment::create(disk, &temporary)?;
    segment.append(&RecordRef {
        hard_state: Some(state.hard_state),
        restart_after: Some(state.base),
        entries: &[],
    })?;
    let mut rest = state.entries;
    while !rest.is_empty() {
        let (record, later) = rest.split_at(prefix_within(rest, sizes.record_bytes).len());
        segment.append(&RecordRef {
            hard_state: None,
            restart_after: None,
            entries: record,
        })?;
        rest = later;
    }
    // An empty record, which shows that the ones before it were synced.
    segment.append(&RecordRef {
        hard_state: None,
        restart_after: None,
        entries: &[],
    })?;
    segment.sync()?;
    let name = segment_name(sequence);
    rename(disk, &temporary, &name)?;
    segment.path = disk.folder().join(name);
    Ok(segment)
}

/// Returns the newest segment that contains the full state and those after it. Earlier ones are
/// obsolete: the process ended before it had removed them all, or a loss of power undid the
/// removal of some, so that they may be incomplete.
fn current_segments<'a>(
    disk: &impl Disk,
    segments: &'a [(u64, String)],
) -> Result<&'a [(u64, String)], StorageError> {
    for (position, (_, name)) in segments.iter().enumerate().rev() {
        if begins_with_full_state(disk, name)? {
            return Ok(&segments[position..]);
        }
    }
    let Some((_, oldest)) = segments.first() else {
        return Ok(segments);
    };
    // A log begins with such a segment, which gets its name only after its sync.
    CorruptSnafu {
        path: disk.folder().join(oldest),
        offset: 0u64,
        what: "no segment begins with the full state",
        next: None,
    }
    .fail()
}

/// Returns the files whose names are a number and `suffix`, sorted by number.
fn numbered_files(disk: &impl Disk, suffix: &str) -> Result<Vec<(u64, String)>, StorageError> {
    let names = disk.names().context(FileSnafu {
        path: disk.folder(),
        operation: "read the folder",
    })?;
    let mut files: Vec<(u64, String)> = names
        .into_iter()
        .filter_map(|name| {
            let number = name.strip_suffix(suffix)?.parse().ok()?;
            Some((number, name))
        })
        .collect();
    files.sort();
    Ok(files)
}

/// Removes temporary files left by a process that ended before it renamed them.
fn remove_temporary_files(disk: &impl Disk) -> Result<(), StorageError> {
    for (_, name) in numbered_files(disk, TEMPORARY_SUFFIX)? {
        remove(disk, &name)?;
    }
    Ok(())
}

/// Returns the newest snapshot, or the empty one if none was taken.
fn newest_snapshot(disk: &impl Disk) -> Result<Snapshot, StorageError> {
    match numbered_files(disk, SNAPSHOT_SUFFIX)?.pop() {
        Some((_, name)) => read_snapshot(disk, &name),
        None => Ok(Snapshot::default()),
    }
}
