//! Plays the disks of control processes: what a loss of power leaves of the write in progress.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use rand::RngExt;
use rand::rngs::StdRng;

/// A frame's header: length, checksum of the payload, checksum of these two.
pub const HEADER_BYTES: usize = 12;
const SEGMENT_EXTENSION: &str = "wal";
/// Time without a change after which a file counts as synced.
const CALM: Duration = Duration::from_millis(50);

/// Lengths of segments in bytes.
pub type Lengths = BTreeMap<PathBuf, u64>;

/// The data folders of control processes, by host.
#[derive(Clone, Debug)]
pub struct Disks(BTreeMap<u8, PathBuf>);

/// What is known about a loss of power when its torn writes are played.
#[derive(Clone, Debug)]
pub struct PowerLoss {
    pub at: SystemTime,
    /// Segments when the last acknowledgement arrived.
    pub acknowledged: Lengths,
    /// Whether no control process runs that could have counted on a written record.
    pub is_total: bool,
}

/// What a loss of power leaves of the bytes of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remains {
    /// The file is not longer than before the write.
    Nothing,
    /// The file has its new length, but no data.
    Zeros,
    /// All but the first bytes, at most the header.
    AllButFirst(usize),
    /// Only the header has data.
    Header,
    /// The file ends after this many bytes.
    CutAt(usize),
    /// All but a range of bytes.
    AllButRange(usize, usize),
}

impl Remains {
    /// Draws what remains of a record of `length` bytes, header included.
    fn draw(random: &mut StdRng, length: usize) -> Remains {
        match random.random_range(0..10) {
            0 => Remains::Nothing,
            1 => Remains::Zeros,
            2..5 => Remains::AllButFirst(HEADER_BYTES),
            5 => Remains::AllButFirst(random.random_range(1..HEADER_BYTES)),
            6 => Remains::Header,
            7..9 => Remains::CutAt(random.random_range(1..length)),
            _ => {
                let first = random.random_range(0..length);
                Remains::AllButRange(first, random.random_range(first..length) + 1)
            }
        }
    }

    /// Returns what remains of the bytes of a record; never the whole record.
    pub fn of(self, record: &[u8]) -> Vec<u8> {
        let mut bytes = record.to_vec();
        match self {
            Remains::Nothing => bytes.clear(),
            Remains::Zeros => bytes.fill(0),
            Remains::AllButFirst(count) => bytes[..count].fill(0),
            Remains::Header => bytes[HEADER_BYTES..].fill(0),
            Remains::CutAt(length) => bytes.truncate(length),
            Remains::AllButRange(first, end) => bytes[first..end].fill(0),
        }
        if bytes == record {
            // Only zeros were zeroed.
            bytes.pop();
        }
        bytes
    }
}

/// The last record of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastFrame {
    pub begin: usize,
    /// Whether the record has a term or a vote, which other processes may have acted on.
    pub has_hard_state: bool,
}

/// Returns the last record of a segment whose records are all complete.
pub fn last_frame(bytes: &[u8]) -> Option<LastFrame> {
    let mut begin = 0;
    loop {
        let header = bytes.get(begin..begin + HEADER_BYTES)?;
        let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
        let payload = begin + HEADER_BYTES;
        let end = payload + length;
        if length == 0 || end > bytes.len() {
            return None;
        }
        if end == bytes.len() {
            // An optional field begins with 1 if it is set.
            let has_hard_state = bytes[payload] != 0;
            return Some(LastFrame {
                begin,
                has_hard_state,
            });
        }
        begin = end;
    }
}

/// Returns the segments in a folder, the oldest first.
fn segments_in(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut segments: Vec<PathBuf> = entries
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|end| end == SEGMENT_EXTENSION))
        .collect();
    segments.sort();
    segments
}

impl Disks {
    pub fn new(folders: BTreeMap<u8, PathBuf>) -> Disks {
        Disks(folders)
    }

    /// Returns the newest segment of a host.
    pub fn newest_segment(&self, host: u8) -> Option<PathBuf> {
        segments_in(&self.0[&host]).pop()
    }

    /// Returns the lengths of all segments of all hosts. Segments that vanish meanwhile are left
    /// out.
    pub fn lengths(&self) -> Lengths {
        let segments = self.0.values().flat_map(|folder| segments_in(folder));
        segments
            .filter_map(|path| Some((path.clone(), path.metadata().ok()?.len())))
            .collect()
    }

    /// Empties the data folder of a host.
    pub fn lose(&self, host: u8) {
        let folder = &self.0[&host];
        std::fs::remove_dir_all(folder).expect("removed");
        std::fs::create_dir_all(folder).expect("created");
    }

    /// Returns the names and lengths of the files of a host.
    pub fn describe(&self, host: u8) -> String {
        let entries = std::fs::read_dir(&self.0[&host]).into_iter().flatten();
        let mut lines: Vec<String> = entries
            .flatten()
            .map(|entry| {
                let length = entry.metadata().map_or(0, |metadata| metadata.len());
                format!("{} {length} bytes", entry.file_name().display())
            })
            .collect();
        lines.sort();
        lines.join("\n")
    }

    /// Tears the write in progress of a host whose process was killed, and returns a description
    /// of what remains, or `None` if nothing was being written.
    ///
    /// `segment_at_start` is the newest segment when the process was started: until the process
    /// has replaced it, it writes no records.
    pub fn tear(
        &self,
        host: u8,
        segment_at_start: Option<&PathBuf>,
        loss: &PowerLoss,
        random: &mut StdRng,
    ) -> Option<String> {
        let segments = segments_in(&self.0[&host]);
        // With several segments, the process was replacing one.
        let [path] = segments.as_slice() else {
            return None;
        };
        if segment_at_start == Some(path) {
            return None;
        }
        let bytes = std::fs::read(path).ok()?;
        let frame = last_frame(&bytes)?;
        let record = &bytes[frame.begin..];
        let remains = Remains::draw(random, record.len());
        // A process may also have been about to write one more record.
        let tears_last = random.random_bool(0.7) && self.may_be_unsynced(path, frame, loss);
        let (begin, which) = match tears_last {
            true => (frame.begin, "last"),
            false => (bytes.len(), "next"),
        };
        let mut left = bytes[..begin].to_vec();
        left.extend(remains.of(record));
        std::fs::write(path, left).expect("written");
        let length = record.len();
        Some(format!(
            "of the {which} record ({length} bytes from {begin}): {remains:?}"
        ))
    }

    /// Whether the last record of a segment may be missing after a loss of power without a breach
    /// of what was acknowledged.
    fn may_be_unsynced(&self, path: &Path, frame: LastFrame, loss: &PowerLoss) -> bool {
        let length = loss.acknowledged.get(path);
        let is_unacknowledged = length.is_some_and(|length| frame.begin as u64 >= *length);
        let changed_at = path
            .metadata()
            .and_then(|metadata| metadata.modified())
            .ok();
        let is_recent = changed_at.is_some_and(|at| {
            let age = loss.at.duration_since(at);
            age.is_ok_and(|age| age < CALM) || at > loss.at
        });
        // A new segment may rest on a snapshot of what is missing elsewhere.
        let are_segments_known = self.0.keys().all(|host| {
            let newest = self.newest_segment(*host);
            newest.is_none_or(|newest| loss.acknowledged.contains_key(&newest))
        });
        let is_free = loss.is_total && !frame.has_hard_state && are_segments_known;
        is_free && is_unacknowledged && is_recent
    }
}
