//! On-disk storage: a write-ahead log in segment files, and snapshots.
//!
//! A frame consists of a 12-byte header (length, CRC-32C of the payload, CRC-32C of
//! these two fields; four bytes each, little endian) and a payload: one batch in the
//! `postcard` encoding. Each batch is a single frame, which makes it atomic. Frames are
//! synced before `save` returns.
//!
//! On restart, a truncated frame at the end of the newest segment is discarded: it was
//! never acknowledged. Corruption anywhere else is an error.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::ids::LogIndex;
use crate::storage::{
    Batch, CorruptSnafu, EncodeSnafu, FileSnafu, GapSnafu, InUseSnafu, Restored, Storage,
    StorageError,
};
use crate::types::{Entry, HardState, Snapshot};

/// Segment size in bytes above which a new segment is started.
pub const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

const HEADER_BYTES: usize = 12;
const SEGMENT_SUFFIX: &str = ".wal";
const SNAPSHOT_SUFFIX: &str = ".snapshot";
const TEMPORARY_SUFFIX: &str = ".tmp";
const LOCK_FILE: &str = "lock";

/// Payload of a segment frame.
#[derive(Serialize, Deserialize)]
struct Record {
    hard_state: Option<HardState>,
    /// Resets the log to start after this index, the last one included in a snapshot.
    restart_after: Option<LogIndex>,
    entries: Vec<Entry>,
}

/// A write-ahead log in a dedicated folder, which it locks.
pub struct WriteAheadLog {
    folder: PathBuf,
    segment: File,
    segment_path: PathBuf,
    segment_bytes: u64,
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
            read_segment(path, is_newest, &mut replay)?;
        }
        let restored = replay.restored;
        let sequence = segments.last().map_or(0, |(sequence, _)| *sequence) + 1;
        let (segment, segment_path) = create_segment(folder, sequence)?;
        let mut log = WriteAheadLog {
            folder: folder.to_owned(),
            segment,
            segment_path,
            segment_bytes: 0,
            sequence,
            hard_state: restored.hard_state,
            _lock: lock,
        };
        // The new segment starts with the full state, so the older ones, which may end
        // in a truncated frame, can be removed.
        let full_state = Record {
            hard_state: Some(restored.hard_state),
            restart_after: Some(restored.snapshot.index),
            entries: restored.entries.clone(),
        };
        log.write(&full_state)?;
        log.remove_obsolete(restored.snapshot.index)?;
        Ok((log, restored))
    }

    fn write(&mut self, record: &Record) -> Result<(), StorageError> {
        let frame = encode_frame(record)?;
        let context = |operation| FileSnafu {
            path: self.segment_path.clone(),
            operation,
        };
        self.segment.write_all(&frame).context(context("write"))?;
        self.segment.sync_data().context(context("sync"))?;
        self.segment_bytes += frame.len() as u64;
        Ok(())
    }

    fn roll(&mut self) -> Result<(), StorageError> {
        self.sequence += 1;
        let (segment, path) = create_segment(&self.folder, self.sequence)?;
        self.segment = segment;
        self.segment_path = path;
        self.segment_bytes = 0;
        Ok(())
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let path = self
            .folder
            .join(format!("{:020}{SNAPSHOT_SUFFIX}", snapshot.index));
        let temporary = path.with_extension("tmp");
        let frame = encode_frame(snapshot)?;
        let context = |operation| FileSnafu {
            path: temporary.clone(),
            operation,
        };
        let mut file = File::create(&temporary).context(context("create"))?;
        file.write_all(&frame).context(context("write"))?;
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
        if self.segment_bytes > SEGMENT_BYTES {
            self.roll()?;
        }
        self.write(&Record {
            hard_state: batch.hard_state,
            restart_after: None,
            entries: batch.entries.clone(),
        })
    }

    fn compact(
        &mut self,
        snapshot: &Snapshot,
        hard_state: HardState,
        tail: &[Entry],
    ) -> Result<(), StorageError> {
        self.hard_state = hard_state;
        self.write_snapshot(snapshot)?;
        self.roll()?;
        self.write(&Record {
            hard_state: Some(hard_state),
            restart_after: Some(snapshot.index),
            entries: tail.to_vec(),
        })?;
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

fn create_segment(folder: &Path, sequence: u64) -> Result<(File, PathBuf), StorageError> {
    let path = folder.join(format!("{sequence:020}{SEGMENT_SUFFIX}"));
    let file = OpenOptions::new()
        .create_new(true)
        .append(true)
        .open(&path)
        .context(FileSnafu {
            path: &path,
            operation: "create",
        })?;
    sync_folder(folder)?;
    Ok((file, path))
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

fn read_file(path: &Path) -> Result<Vec<u8>, StorageError> {
    let mut bytes = Vec::new();
    File::open(path)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .context(FileSnafu {
            path,
            operation: "read",
        })?;
    Ok(bytes)
}

fn newest_snapshot(folder: &Path) -> Result<Restored, StorageError> {
    let Some((_, path)) = numbered_files(folder, SNAPSHOT_SUFFIX)?.pop() else {
        return Ok(Restored::default());
    };
    let bytes = read_file(&path)?;
    // A snapshot is renamed only after its sync, so it can't be truncated.
    let FrameRead::Complete { payload, .. } = read_frame(&bytes, 0) else {
        return CorruptSnafu {
            path,
            offset: 0u64,
            what: "snapshot checksum mismatch",
        }
        .fail();
    };
    let Ok(snapshot) = postcard::from_bytes(payload) else {
        return CorruptSnafu {
            path,
            offset: 0u64,
            what: "snapshot can't be decoded",
        }
        .fail();
    };
    Ok(Restored {
        snapshot,
        ..Restored::default()
    })
}

fn read_segment(path: &Path, is_newest: bool, replay: &mut Replay) -> Result<(), StorageError> {
    let bytes = read_file(path)?;
    let mut offset = 0;
    while offset < bytes.len() {
        let corrupt = |what| {
            CorruptSnafu {
                path,
                offset: offset as u64,
                what,
            }
            .fail()
        };
        match read_frame(&bytes, offset) {
            FrameRead::Complete { payload, end } => {
                let Ok(record) = postcard::from_bytes::<Record>(payload) else {
                    return corrupt("record can't be decoded");
                };
                replay.apply_record(path, record)?;
                offset = end;
            }
            FrameRead::Truncated if is_newest => break,
            FrameRead::Truncated => return corrupt("segment ends early"),
            FrameRead::Corrupt(what) => return corrupt(what),
        }
    }
    Ok(())
}

/// Rebuilds the stored state from the records of the log.
struct Replay {
    restored: Restored,
    /// Whether the logged entry at the snapshot's index differs in term from the one in
    /// the snapshot; the snapshot then replaces the entries that follow it.
    has_conflict: bool,
}

impl Replay {
    fn new(restored: Restored) -> Replay {
        Replay {
            restored,
            has_conflict: false,
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

/// Result of reading a frame.
enum FrameRead<'a> {
    /// A complete frame with matching checksums.
    Complete { payload: &'a [u8], end: usize },
    /// The frame is the last one of the file, and its write was interrupted: it is
    /// incomplete, all zeros, or its payload does not match the checksum.
    Truncated,
    /// The header does not match its checksum, or the payload of a frame that is not the
    /// last one of the file does not match.
    Corrupt(&'static str),
}

fn encode_frame<T: Serialize>(record: &T) -> Result<Vec<u8>, StorageError> {
    let payload = postcard::to_stdvec(record).context(EncodeSnafu)?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(&payload).to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(&frame).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

fn read_frame(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let tail = &bytes[offset..];
    let Some((header, tail)) = tail.split_at_checked(HEADER_BYTES) else {
        return FrameRead::Truncated;
    };
    let number = |position: usize| {
        let mut field = [0; 4];
        field.copy_from_slice(&header[position..position + 4]);
        u32::from_le_bytes(field)
    };
    let (length, payload_checksum, header_checksum) = (number(0), number(4), number(8));
    if crc32c::crc32c(&header[..8]) != header_checksum {
        // After a crash the file may have its new size but not its data: zeros.
        if bytes[offset..].iter().all(|byte| *byte == 0) {
            return FrameRead::Truncated;
        }
        return FrameRead::Corrupt("header checksum mismatch");
    }
    let Some((payload, after)) = tail.split_at_checked(length as usize) else {
        return FrameRead::Truncated;
    };
    if crc32c::crc32c(payload) != payload_checksum {
        if after.is_empty() {
            return FrameRead::Truncated;
        }
        return FrameRead::Corrupt("record checksum mismatch");
    }
    FrameRead::Complete {
        payload,
        end: offset + HEADER_BYTES + length as usize,
    }
}
