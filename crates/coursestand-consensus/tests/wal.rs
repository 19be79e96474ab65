//! The write-ahead log compared with in-memory storage, and its handling of corruption.
#![allow(missing_docs)]

use std::fs::OpenOptions;
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use coursestand_consensus::wal::disk::FileSystem;
use coursestand_consensus::wal::{LogSizes, WriteAheadLog};
use coursestand_consensus::{
    Batch, Entry, HardState, MemoryStorage, Payload, Restored, Snapshot, Storage, StorageError,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Length of the frame of an empty record, which ends the full state.
const EMPTY_RECORD_BYTES: u64 = 15;
/// Several segments for some tens of entries.
const SMALL_SIZES: LogSizes = LogSizes {
    segment_bytes: 200,
    record_bytes: 100,
};

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(vec![index as u8; 20].into()),
    }
}

fn entries(term: u64, from: u64, to: u64) -> Batch {
    Batch {
        hard_state: Some(HardState {
            term,
            voted_for: Some(1),
        }),
        snapshot: None,
        entries: (from..=to).map(|index| entry(term, index)).collect(),
    }
}

fn reopen(folder: &Path) -> Restored {
    WriteAheadLog::open(folder).expect("the log opens").1
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let mut segments: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the folder is there")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|suffix| suffix == "wal"))
        .collect();
    segments.sort();
    segments
}

fn newest_segment(folder: &Path) -> PathBuf {
    segments(folder).pop().expect("a segment is there")
}

/// A step of the differential test.
#[derive(Clone, Debug)]
enum Step {
    Append { count: u64 },
    Overwrite { back: u64 },
    Compact { back: u64 },
    Install { ahead: u64 },
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..5_u64).prop_map(|count| Step::Append { count }),
        1 => (0..4_u64).prop_map(|back| Step::Overwrite { back }),
        1 => (0..4_u64).prop_map(|back| Step::Compact { back }),
        1 => (1..9_u64).prop_map(|ahead| Step::Install { ahead }),
        2 => Just(Step::Reopen),
    ]
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        data: vec![7; 30].into(),
        ..Snapshot::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_log_restores_the_same_state_as_memory_storage(steps in prop::collection::vec(step(), 1..30)) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut reference = MemoryStorage::default();
        let (mut log, _) = WriteAheadLog::open(folder.path()).expect("the log opens");
        for (number, step) in steps.into_iter().enumerate() {
            let term = number as u64 + 1;
            let stored = reference.restored();
            let base = stored.snapshot.index;
            let last = base + stored.entries.len() as u64;
            match step {
                Step::Append { count } => {
                    let batch = entries(term, last + 1, last + count);
                    reference.save(&batch).expect("memory");
                    log.save(&batch).expect("disk");
                }
                Step::Overwrite { back } => {
                    let first = last.saturating_sub(back).max(base + 1);
                    let batch = entries(term, first, first + 1);
                    reference.save(&batch).expect("memory");
                    log.save(&batch).expect("disk");
                }
                Step::Compact { back } => {
                    let index = last.saturating_sub(back).max(base);
                    if index > base {
                        let tail = stored.entries[(index - base) as usize..].to_vec();
                        let covered = &stored.entries[(index - base - 1) as usize];
                        let snapshot = snapshot(index, covered.term);
                        reference.compact(&snapshot, stored.hard_state, &tail).expect("memory");
                        log.compact(&snapshot, stored.hard_state, &tail).expect("disk");
                    }
                }
                Step::Install { ahead } => {
                    let batch = Batch {
                        snapshot: Some(snapshot(last + ahead, term)),
                        ..Batch::default()
                    };
                    reference.save(&batch).expect("memory");
                    log.save(&batch).expect("disk");
                }
                Step::Reopen => {
                    drop(log);
                    let (reopened, restored) = WriteAheadLog::open(folder.path()).expect("reopens");
                    prop_assert_eq!(&restored, &reference.restored());
                    log = reopened;
                }
            }
        }
        drop(log);
        prop_assert_eq!(reopen(folder.path()), reference.restored());
    }

    #[test]
    fn a_truncated_last_frame_is_discarded(cut in 1..200_u64) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut log, _) = WriteAheadLog::open(folder.path()).expect("the log opens");
        log.save(&entries(1, 1, 3)).expect("saved");
        let segment = newest_segment(folder.path());
        let length_before = std::fs::metadata(&segment).expect("metadata").len();
        log.save(&entries(1, 4, 9)).expect("saved");
        drop(log);
        let length_after = std::fs::metadata(&segment).expect("metadata").len();
        let length = length_after.saturating_sub(cut).max(length_before);
        let file = OpenOptions::new().write(true).open(&segment).expect("opens");
        file.set_len(length).expect("cut");
        prop_assert_eq!(reopen(folder.path()).entries.len(), 3);
    }
}

fn overwrite(path: &Path, offset: u64, bytes: &[u8]) {
    let mut file = OpenOptions::new().write(true).open(path).expect("opens");
    file.seek(SeekFrom::Start(offset)).expect("seeks");
    file.write_all(bytes).expect("writes");
}

/// Saves two batches. Returns their segment and the offset of each batch's frame.
fn log_with_two_batches(folder: &Path) -> (PathBuf, [u64; 2]) {
    let (mut log, _) = WriteAheadLog::open(folder).expect("the log opens");
    let segment = newest_segment(folder);
    let first = length(&segment);
    log.save(&entries(1, 1, 3)).expect("saved");
    let second = length(&segment);
    log.save(&entries(1, 4, 9)).expect("saved");
    (segment, [first, second])
}

fn log_with_two_frames(folder: &Path) -> (PathBuf, u64) {
    let (segment, [first, _]) = log_with_two_batches(folder);
    (segment, first)
}

fn length(path: &Path) -> u64 {
    std::fs::metadata(path).expect("metadata").len()
}

#[gtest]
fn corruption_before_the_end_is_reported_with_file_and_offset() {
    for (position, what) in [(2, "header"), (20, "record")] {
        let folder = tempfile::tempdir().expect("a folder");
        let (segment, [frame, second]) = log_with_two_batches(folder.path());
        overwrite(&segment, frame + position, &[0xff, 0x5a]);
        let error = WriteAheadLog::open(folder.path())
            .err()
            .expect("the corruption is reported");
        expect_that!(error.to_string(), contains_substring(what));
        let follows = format!("another record follows at byte {second}");
        expect_that!(error.to_string(), contains_substring(follows));
        let StorageError::Corrupt { path, offset, .. } = error else {
            panic!("another error: {error}");
        };
        expect_that!(path, eq(&segment));
        expect_that!(offset, eq(frame));
    }
}

/// Guards against a replica that ends at each start after a loss of power: the parts of a write
/// reach the disk in any order, so that the header of the last record may be missing or torn
/// while the rest of it is there.
#[gtest]
fn a_last_record_with_a_torn_header_is_discarded_and_reported() {
    for torn in [0..12, 0..6, 6..12, 11..12, 2..4] {
        let folder = tempfile::tempdir().expect("a folder");
        let (segment, [_, last]) = log_with_two_batches(folder.path());
        overwrite(
            &segment,
            last + torn.start,
            &vec![0x5a; (torn.end - torn.start) as usize],
        );
        let bytes = length(&segment) - last;
        let (log, restored) = WriteAheadLog::open(folder.path()).expect("the log opens");
        expect_that!(restored.entries.len(), eq(3));
        let tail = log.discarded_tail().expect("reported");
        expect_that!(tail.path, eq(&segment));
        expect_that!(tail.offset, eq(last));
        expect_that!(tail.bytes, eq(bytes));
    }
}

#[gtest]
fn a_complete_log_reports_no_discarded_record() {
    let folder = tempfile::tempdir().expect("a folder");
    log_with_two_frames(folder.path());
    let (log, _) = WriteAheadLog::open(folder.path()).expect("the log opens");
    expect_that!(log.discarded_tail(), none());
}

fn open_small(folder: &Path) -> (WriteAheadLog, Restored) {
    let disk = FileSystem::new(folder);
    WriteAheadLog::open_on(disk, SMALL_SIZES).expect("the log opens")
}

/// Saves batches until there are several segments, none of which is obsolete. Returns the segments.
fn log_with_segments(folder: &Path) -> Vec<PathBuf> {
    let (mut log, _) = open_small(folder);
    for index in 1..=20 {
        log.save(&entries(1, index, index)).expect("saved");
    }
    segments(folder)
}

#[gtest]
fn truncation_of_an_older_segment_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let segments = log_with_segments(folder.path());
    assert_that!(segments.len(), gt(3));
    for older in &segments[..segments.len() - 1] {
        let bytes = std::fs::read(older).expect("read");
        std::fs::write(older, &bytes[..bytes.len() - 3]).expect("cut");
        let error = WriteAheadLog::open(folder.path()).err().expect("refused");
        expect_that!(error.to_string(), contains_substring("ends early"));
        std::fs::write(older, bytes).expect("restored");
    }
    expect_that!(reopen(folder.path()).entries.len(), eq(20));
}

/// Guards against a replica that ends at each start because a loss of power left only some of
/// the segments that were being removed.
#[gtest]
fn obsolete_segments_are_not_read() {
    for removed in 0..3 {
        let folder = tempfile::tempdir().expect("a folder");
        let before = log_with_segments(folder.path());
        let contents = before.iter().map(|path| std::fs::read(path).expect("read"));
        let contents: Vec<Vec<u8>> = contents.collect();
        reopen(folder.path());
        for (number, (path, bytes)) in before.iter().zip(contents).enumerate() {
            if number >= removed {
                std::fs::write(path, &bytes[..bytes.len() - 3]).expect("written");
            }
        }
        expect_that!(reopen(folder.path()).entries.len(), eq(20));
    }
}

/// Guards against a replica that begins with an empty log, and votes again in a term in which it
/// has voted, because the first record of its log is damaged.
#[gtest]
fn a_log_without_the_full_state_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    WriteAheadLog::open(folder.path()).expect("the log opens");
    let segment = newest_segment(folder.path());
    for position in 0..length(&segment) - EMPTY_RECORD_BYTES {
        let bytes = std::fs::read(&segment).expect("read");
        overwrite(&segment, position, &[!bytes[position as usize]]);
        let error = WriteAheadLog::open(folder.path()).err().expect("refused");
        let StorageError::Corrupt { path, offset, .. } = error else {
            panic!("another error: {error}");
        };
        expect_that!(path, eq(&segment));
        expect_that!(offset, eq(0));
        std::fs::write(&segment, bytes).expect("restored");
    }
}

/// Guards against a replica that loses entries without an error: the records of the full state are
/// synced before their segment gets its name, so damage to the last of them is no
/// interrupted write.
#[gtest]
fn damage_to_the_full_state_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    log_with_segments(folder.path());
    let (log, _) = open_small(folder.path());
    drop(log);
    let segment = newest_segment(folder.path());
    let whole = std::fs::read(&segment).expect("read");
    for position in 0..whole.len() - EMPTY_RECORD_BYTES as usize {
        let mut damaged = whole.clone();
        damaged[position] = !damaged[position];
        std::fs::write(&segment, &damaged).expect("damaged");
        let error = WriteAheadLog::open(folder.path()).err().expect("refused");
        expect_that!(error.to_string(), contains_substring("corrupt at byte"));
    }
}

#[gtest]
fn zeros_after_the_end_are_treated_as_a_truncated_write() {
    let folder = tempfile::tempdir().expect("a folder");
    let (segment, _) = log_with_two_frames(folder.path());
    let length = std::fs::metadata(&segment).expect("metadata").len();
    overwrite(&segment, length, &[0; 400]);
    expect_that!(reopen(folder.path()).entries.len(), eq(9));
}

#[gtest]
fn a_corrupt_snapshot_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = WriteAheadLog::open(folder.path()).expect("the log opens");
    log.save(&entries(1, 1, 3)).expect("saved");
    log.compact(&snapshot(2, 1), HardState::default(), &[entry(1, 3)])
        .expect("compacted");
    drop(log);
    let path = folder.path().join("00000000000000000002.snapshot");
    overwrite(&path, 15, &[0xff]);
    let error = WriteAheadLog::open(folder.path()).err().expect("refused");
    expect_that!(error.to_string(), contains_substring("snapshot"));
}

#[gtest]
fn missing_folders_are_created() {
    let folder = tempfile::tempdir().expect("a folder");
    let nested = folder.path().join("data").join("log");
    log_with_two_frames(&nested);
    expect_that!(reopen(&nested).entries.len(), eq(9));
}

#[gtest]
fn a_folder_locked_by_another_log_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let _open = WriteAheadLog::open(folder.path()).expect("the log opens");
    let error = WriteAheadLog::open(folder.path()).err().expect("refused");
    expect_that!(error.to_string(), contains_substring("another process"));
}

/// Entries of more than one record of the segment that is written when the log opens.
fn large_entries() -> Vec<Entry> {
    (1..=5)
        .map(|index| Entry {
            term: 1,
            index,
            payload: Payload::Command(vec![index as u8; 600_000].into()),
        })
        .collect()
}

#[gtest]
fn a_log_of_several_megabytes_is_restored_at_each_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = WriteAheadLog::open(folder.path()).expect("the log opens");
    let batch = Batch {
        entries: large_entries(),
        ..entries(1, 1, 0)
    };
    log.save(&batch).expect("saved");
    drop(log);
    for _ in 0..3 {
        let restored = reopen(folder.path());
        expect_that!(restored.entries, eq(&large_entries()));
        expect_that!(restored.hard_state.term, eq(1));
    }
}

/// A process that ends while it opens the log leaves part of the new segment behind. The log
/// must not lose entries by it.
#[gtest]
fn an_interrupted_start_loses_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (segment, _) = log_with_two_frames(folder.path());
    let next = folder.path().join("00000000000000000002.tmp");
    let bytes = std::fs::read(&segment).expect("read");
    for length in [0, 5, 20, bytes.len() - 1, bytes.len()] {
        std::fs::write(&next, &bytes[..length]).expect("written");
        expect_that!(reopen(folder.path()).entries.len(), eq(9));
        expect_that!(next.exists(), eq(false));
    }
}

/// Replicas of different versions exchange entries, and a new version reads the log of the one
/// before.
#[gtest]
fn a_command_is_encoded_as_its_length_and_bytes() {
    let encoded = postcard::to_stdvec(&entry(3, 7)).expect("encoded");
    let mut expected = vec![3, 7, 1, 20];
    expected.extend([7; 20]);
    expect_that!(encoded, eq(&expected));
    let decoded: Entry = postcard::from_bytes(&encoded).expect("decoded");
    expect_that!(decoded, eq(&entry(3, 7)));
}
