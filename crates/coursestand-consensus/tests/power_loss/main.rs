//! A log whose process is killed, or whose machine loses power, after each of its operations on
//! the disk opens again with all that was acknowledged.
#![allow(missing_docs)]

mod choices;
mod disk;
mod random_histories;

use std::collections::BTreeSet;

use choices::Choices;
use coursestand_consensus::wal::{LogSizes, WriteAheadLog};
use coursestand_consensus::{
    Batch, Entry, HardState, Payload, Restored, Snapshot, Storage, StorageError,
};
use disk::{Files, UnreliableDisk};
use googletest::prelude::*;

/// Segments of a few records, and several records for the full state.
const SIZES: LogSizes = LogSizes {
    segment_bytes: 150,
    record_bytes: 60,
};
/// More operations than any of the histories has.
const MAX_OPERATIONS: usize = 500;
/// Combinations of choices after one operation, in order.
const MAX_IMAGES_IN_ORDER: usize = 2_000;
/// Combinations drawn at random if there are more.
const RANDOM_IMAGES: u64 = 1_000;
/// Combinations drawn at random after one operation of a start, and before it.
const RANDOM_IMAGES_OF_START: u64 = 12;

/// A change of the log.
#[derive(Clone)]
enum Change {
    Save(Batch),
    Compact {
        snapshot: Snapshot,
        tail: Vec<Entry>,
    },
}

fn entry(term: u64, index: u64) -> Entry {
    Entry {
        term,
        index,
        payload: Payload::Command(vec![0x40 + index as u8; 24].into()),
    }
}

fn save(term: u64, from: u64, to: u64) -> Change {
    Change::Save(Batch {
        hard_state: Some(HardState {
            term,
            voted_for: Some(2),
        }),
        snapshot: None,
        entries: (from..=to).map(|index| entry(term, index)).collect(),
    })
}

fn snapshot(term: u64, index: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        data: vec![7; 40].into(),
        ..Snapshot::default()
    }
}

fn compact(term: u64, index: u64, last: u64) -> Change {
    Change::Compact {
        snapshot: snapshot(term, index),
        tail: (index + 1..=last).map(|index| entry(term, index)).collect(),
    }
}

/// Appends, conflicting entries, several segments, snapshots of this replica and one of a leader.
fn history() -> Vec<Change> {
    vec![
        save(1, 1, 2),
        save(1, 3, 3),
        save(1, 4, 6),
        save(1, 7, 9),
        compact(1, 4, 9),
        save(1, 10, 12),
        save(1, 13, 14),
        save(2, 13, 13),
        compact(2, 13, 13),
        Change::Save(Batch {
            snapshot: Some(snapshot(3, 20)),
            ..Batch::default()
        }),
        save(3, 21, 22),
        save(3, 23, 23),
    ]
}

fn apply(change: &Change, log: &mut impl Storage, hard_state: HardState) -> bool {
    let result = match change {
        Change::Save(batch) => log.save(batch),
        Change::Compact { snapshot, tail } => log.compact(snapshot, hard_state, tail),
    };
    result.is_ok()
}

/// Returns the state after a change.
fn after(state: &Restored, change: &Change) -> Restored {
    let mut next = state.clone();
    match change {
        Change::Save(batch) => next.apply(batch),
        Change::Compact { snapshot, tail } => {
            next.snapshot = snapshot.clone();
            next.entries = tail.clone();
        }
    }
    next
}

/// The states that a log may restore: the last one that was acknowledged, and those that the
/// change in progress leads through.
#[derive(Clone)]
struct Expected {
    acknowledged: Restored,
    next: Option<Restored>,
}

impl Expected {
    fn permits(&self, restored: &Restored) -> bool {
        let Some(next) = &self.next else {
            return *restored == self.acknowledged;
        };
        // The snapshot is stored before the rest of the change, which does not alter the others.
        let with_snapshot = Restored {
            hard_state: self.acknowledged.hard_state,
            ..next.clone()
        };
        [&self.acknowledged, next, &with_snapshot].contains(&restored)
    }
}

/// Plays `changes` on `disk` until its process ends, from `state` on.
fn play(disk: &UnreliableDisk, mut state: Restored, changes: &[Change]) -> Expected {
    let Ok((mut log, restored)) = WriteAheadLog::open_on(disk.clone(), SIZES) else {
        return Expected {
            acknowledged: state,
            next: None,
        };
    };
    assert_eq!(restored, state, "opened by a process that was not ended");
    for change in changes {
        let next = after(&state, change);
        if !apply(change, &mut log, state.hard_state) {
            return Expected {
                acknowledged: state,
                next: Some(next),
            };
        }
        state = next;
    }
    Expected {
        acknowledged: state,
        next: None,
    }
}

/// Returns the files that a process may leave that was killed, or whose machine lost power: all
/// combinations if there are few.
fn images(disk: &UnreliableDisk) -> BTreeSet<Files> {
    let mut images = BTreeSet::from([disk.files_after_kill()]);
    let mut choices = Choices::all();
    for _ in 0..MAX_IMAGES_IN_ORDER {
        images.insert(disk.files_after_power_loss(&mut choices));
        if !choices.advance() {
            return images;
        }
    }
    images.extend(random_images(disk, RANDOM_IMAGES));
    images
}

fn random_images(disk: &UnreliableDisk, count: u64) -> BTreeSet<Files> {
    (0..count)
        .map(|seed| disk.files_after_power_loss(&mut Choices::random(seed)))
        .collect()
}

fn open(files: &Files) -> std::result::Result<Restored, StorageError> {
    let disk = UnreliableDisk::with_files(files);
    WriteAheadLog::open_on(disk, SIZES).map(|(_, restored)| restored)
}

fn describe(files: &Files) -> String {
    let lengths = files
        .iter()
        .map(|(name, contents)| format!("{name}: {} bytes", contents.len()));
    lengths.collect::<Vec<_>>().join(", ")
}

/// Opens the log, and reports each image that it refuses or that lost something.
fn check(images: &BTreeSet<Files>, expected: &Expected, at: &str) -> Vec<String> {
    let mut faults = Vec::new();
    for files in images {
        match open(files) {
            Ok(restored) if expected.permits(&restored) => {}
            Ok(restored) => faults.push(format!(
                "{at}: restores {restored:?} from {}",
                describe(files)
            )),
            Err(error) => faults.push(format!("{at}: {error} in {}", describe(files))),
        }
    }
    faults
}

fn report(faults: &[String]) -> String {
    let shown: Vec<&str> = faults.iter().take(5).map(String::as_str).collect();
    format!("{} faults:\n{}", faults.len(), shown.join("\n"))
}

/// Guards against a replica that ends at each start after a loss of power, because it takes a
/// record that was being written for corruption, or a half-finished change of files for a gap.
#[gtest]
fn a_log_opens_after_a_loss_of_power_at_any_operation() {
    let mut faults = Vec::new();
    let mut is_complete = false;
    for operations in 0..MAX_OPERATIONS {
        let disk = UnreliableDisk::default();
        disk.end_process_after(operations);
        let expected = play(&disk, Restored::default(), &history());
        let at = format!("after operation {operations}");
        faults.extend(check(&images(&disk), &expected, &at));
        is_complete = !disk.has_process_ended();
        if is_complete {
            break;
        }
    }
    expect_that!(is_complete, eq(true));
    assert!(faults.is_empty(), "{}", report(&faults));
}

/// Guards against a replica that ends at each start because an earlier start was interrupted.
#[gtest]
fn a_log_opens_after_an_interrupted_start_at_any_operation() {
    let mut faults = Vec::new();
    for operations in 0..MAX_OPERATIONS {
        let disk = UnreliableDisk::default();
        disk.end_process_after(operations);
        let expected = play(&disk, Restored::default(), &history());
        let mut found = random_images(&disk, RANDOM_IMAGES_OF_START);
        found.insert(disk.files_after_kill());
        for files in found {
            let at = format!("after operation {operations}");
            faults.extend(check_interrupted_starts(&files, &expected, &at));
        }
        if !disk.has_process_ended() {
            break;
        }
    }
    assert!(faults.is_empty(), "{}", report(&faults));
}

/// Interrupts a start after each of its operations, and starts again.
fn check_interrupted_starts(files: &Files, expected: &Expected, at: &str) -> Vec<String> {
    let mut faults = Vec::new();
    for operations in 0..MAX_OPERATIONS {
        let disk = UnreliableDisk::with_files(files);
        disk.end_process_after(operations);
        let opened = WriteAheadLog::open_on(disk.clone(), SIZES);
        if opened.is_ok() || !disk.has_process_ended() {
            break;
        }
        let mut left = random_images(&disk, RANDOM_IMAGES_OF_START);
        left.insert(disk.files_after_kill());
        let at = format!("{at}, and after operation {operations} of a start");
        faults.extend(check(&left, expected, &at));
    }
    faults
}

/// Guards against a replica that ends at each start after its process was killed and power was
/// lost during the next start: what the killed process had not synced may be lost only then.
#[gtest]
fn a_log_opens_after_a_kill_and_a_loss_of_power_during_the_next_start() {
    let mut faults = Vec::new();
    for operations in 0..MAX_OPERATIONS {
        let mut is_complete = false;
        for start_operations in 0..MAX_OPERATIONS {
            let disk = UnreliableDisk::default();
            disk.end_process_after(operations);
            let expected = play(&disk, Restored::default(), &history());
            is_complete = !disk.has_process_ended();
            disk.end_process_after(start_operations);
            let opened = WriteAheadLog::open_on(disk.clone(), SIZES);
            let at = format!("after operation {operations}, and {start_operations} of a start");
            faults.extend(check(&random_images(&disk, 50), &expected, &at));
            if opened.is_ok() {
                break;
            }
        }
        if is_complete {
            break;
        }
    }
    assert!(faults.is_empty(), "{}", report(&faults));
}
