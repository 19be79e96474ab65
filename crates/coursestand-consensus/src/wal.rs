//! Storage on disk: a write-ahead log in segment files, and snapshots.
//!
//! A frame is a header of 12 bytes (length, checksum of the payload, checksum of
//! these two; each four bytes, little endian) and a payload: one batch in the
//! `postcard` encoding. A batch is one frame, so it is there as a whole or not at
//! all. Frames are synced before `save` returns.
//!
//! On restart a frame that was cut off at the end of the newest segment is
//! dropped: it was never acknowledged. Damage anywhere else is refused.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::ids::LogIndex;
use crate::storage::{
    Batch, DamagedSnafu, EncodeSnafu, FileSnafu, GapSnafu, InUseSnafu, Restored, Storage,
    StorageError,
};
use crate::types::{Entry, HardState, Snapshot};

/// A segment longer than this many bytes is followed by a new one.
pub const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

const HEADER_BYTES: usize = 12;
const SEGMENT_SUFFIX: &str = ".wal";
const SNAPSHOT_SUFFIX: &str = ".snapshot";
const TEMPORARY_SUFFIX: &str = ".tmp";
const LOCK_FILE: &str = "lock";

/// What a frame of a segment holds.
#[derive(Serialize, Deserialize)]
struct Record {
    hard_state: Option<HardState>,
    /// The log starts after this index again: a snapshot took its place.
    restart_after: Option<LogIndex>,
    entries: Vec<Entry>,
}

/// A write-ahead log in a folder of its own.
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
    /// Opens the log in `folder`, which is made if it is not there, and returns
    /// what was saved.
    pub fn open(folder: &Path) -> Result<(WriteAheadLog, Restored), StorageError> {
        std::fs::create_dir_all(folder).context(FileSnafu {
            path: folder,
            operation: "make the folder",
        })?;
        let lock = lock(folder)?;
        remove_temporary(folder)?;
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
        // A fresh segment holds everything, so that a cut frame is left behind.
        let everything = Record {
            hard_state: Some(restored.hard_state),
            restart_after: Some(restored.snapshot.index),
            entries: restored.entries.clone(),
        };
        log.write(&everything)?;
        log.remove_before(restored.snapshot.index)?;
        Ok((log, restored))
    }

    fn write(&mut self, record: &Record) -> Result<(), StorageError> {
        let frame = frame_of(record)?;
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
        let frame = frame_of(snapshot)?;
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

    /// Removes segments before the current one and snapshots before `index`:
    /// the current segment and that snapshot hold everything.
    fn remove_before(&self, index: LogIndex) -> Result<(), StorageError> {
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
        rest: &[Entry],
    ) -> Result<(), StorageError> {
        self.hard_state = hard_state;
        self.write_snapshot(snapshot)?;
        self.roll()?;
        self.write(&Record {
            hard_state: Some(hard_state),
            restart_after: Some(snapshot.index),
            entries: rest.to_vec(),
        })?;
        self.remove_before(snapshot.index)
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

/// Files named by a number and `suffix`, in the order of their numbers.
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

/// Files that were being written when the process ended.
fn remove_temporary(folder: &Path) -> Result<(), StorageError> {
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
    // A snapshot got its name only once it was synced: it is never cut off.
    let FrameRead::Whole { payload, .. } = read_frame(&bytes, 0) else {
        return DamagedSnafu {
            path,
            offset: 0u64,
            what: "the snapshot's checksum does not fit",
        }
        .fail();
    };
    let Ok(snapshot) = postcard::from_bytes(payload) else {
        return DamagedSnafu {
            path,
            offset: 0u64,
            what: "the snapshot can't be decoded",
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
        let damaged = |what| {
            DamagedSnafu {
                path,
                offset: offset as u64,
                what,
            }
            .fail()
        };
        match read_frame(&bytes, offset) {
            FrameRead::Whole { payload, end } => {
                let Ok(record) = postcard::from_bytes::<Record>(payload) else {
                    return damaged("the record can't be decoded");
                };
                replay.take(path, record)?;
                offset = end;
            }
            FrameRead::CutOff if is_newest => break,
            FrameRead::CutOff => return damaged("the segment ends early"),
            FrameRead::Damaged(what) => return damaged(what),
        }
    }
    Ok(())
}

/// Rebuilds what was saved, record by record.
struct Replay {
    restored: Restored,
    /// The entry at the snapshot's index is not the one that the snapshot
    /// covers: the entries after it were replaced by the snapshot.
    conflicts: bool,
}

impl Replay {
    fn new(restored: Restored) -> Replay {
        Replay {
            restored,
            conflicts: false,
        }
    }

    fn take(&mut self, path: &Path, record: Record) -> Result<(), StorageError> {
        if let Some(hard_state) = record.hard_state {
            self.restored.hard_state = hard_state;
        }
        let base = self.restored.snapshot.index;
        if let Some(after) = record.restart_after {
            let last = base;
            let found = after;
            ensure!(after <= base, GapSnafu { path, found, last });
            self.restored.entries.clear();
            self.conflicts = false;
        }
        for entry in record.entries {
            self.take_entry(path, entry)?;
        }
        Ok(())
    }

    fn take_entry(&mut self, path: &Path, entry: Entry) -> Result<(), StorageError> {
        let base = self.restored.snapshot.index;
        let entries = &mut self.restored.entries;
        let found = entry.index;
        if found == base {
            self.conflicts = entry.term != self.restored.snapshot.term;
        }
        if found <= base {
            entries.clear();
        }
        if found <= base || self.conflicts {
            return Ok(());
        }
        let keep = (found - base - 1) as usize;
        let last = base + entries.len() as LogIndex;
        ensure!(keep <= entries.len(), GapSnafu { path, found, last });
        entries.truncate(keep);
        entries.push(entry);
        Ok(())
    }
}

/// What stands at a position of a file.
enum FrameRead<'a> {
    /// A frame that fits its checksums.
    Whole { payload: &'a [u8], end: usize },
    /// The end of the file comes before the end of the frame.
    CutOff,
    /// The frame does not fit its checksums, and more follows it.
    Damaged(&'static str),
}

fn frame_of<T: Serialize>(record: &T) -> Result<Vec<u8>, StorageError> {
    let payload = postcard::to_stdvec(record).context(EncodeSnafu)?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(&payload).to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c(&frame).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

fn read_frame(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = &bytes[offset..];
    let Some((header, rest)) = rest.split_at_checked(HEADER_BYTES) else {
        return FrameRead::CutOff;
    };
    let number = |position: usize| {
        let mut field = [0; 4];
        field.copy_from_slice(&header[position..position + 4]);
        u32::from_le_bytes(field)
    };
    let (length, payload_checksum, header_checksum) = (number(0), number(4), number(8));
    if crc32c::crc32c(&header[..8]) != header_checksum {
        // A file system may have extended the file without writing the data.
        if bytes[offset..].iter().all(|byte| *byte == 0) {
            return FrameRead::CutOff;
        }
        return FrameRead::Damaged("the header's checksum does not fit");
    }
    let Some((payload, after)) = rest.split_at_checked(length as usize) else {
        return FrameRead::CutOff;
    };
    if crc32c::crc32c(payload) != payload_checksum {
        if after.is_empty() {
            return FrameRead::CutOff;
        }
        return FrameRead::Damaged("the record's checksum does not fit");
    }
    FrameRead::Whole {
        payload,
        end: offset + HEADER_BYTES + length as usize,
    }
}
