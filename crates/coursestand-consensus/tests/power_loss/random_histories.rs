//! Random histories with several losses of power, kills and interrupted starts in a row.

use coursestand_consensus::wal::WriteAheadLog;
use coursestand_consensus::{Batch, HardState, Restored, StorageError};
use googletest::prelude::*;

use crate::choices::Choices;
use crate::disk::{Files, UnreliableDisk};
use crate::{Change, SIZES, after, apply, describe, entry, open, report, save, snapshot};

/// Histories, unless `COURSESTAND_RUNS` sets another number.
const RUNS: u64 = 3_000;
/// Processes of a history.
const PROCESSES: usize = 12;
/// Changes that a process makes at most.
const MAX_CHANGES: usize = 20;
/// A process ends after fewer operations than this.
const MAX_OPERATIONS: usize = 60;

/// Returns a random change that a replica may make in this state.
fn random_change(state: &Restored, random: &mut Choices) -> Change {
    let base = state.snapshot.index;
    let last = state.last_index();
    let last_term = state
        .entries
        .last()
        .map_or(state.snapshot.term, |entry| entry.term);
    let term = state.hard_state.term.max(last_term) + random.choose(2) as u64;
    let term = term.max(1);
    let hard_state = HardState {
        term,
        voted_for: Some(random.choose(5) as u64),
    };
    match random.choose(8) {
        0 => Change::Save(Batch {
            hard_state: Some(hard_state),
            ..Batch::default()
        }),
        1 if last > base => {
            let index = base + 1 + random.choose((last - base) as usize) as u64;
            let position = (index - base - 1) as usize;
            Change::Compact {
                snapshot: snapshot(state.entries[position].term, index),
                tail: state.entries[position + 1..].to_vec(),
            }
        }
        2 => {
            let index = last + 1 + random.choose(5) as u64;
            Change::Save(Batch {
                hard_state: Some(hard_state),
                snapshot: Some(snapshot(term, index)),
                entries: (index + 1..=index + random.choose(3) as u64)
                    .map(|index| entry(term, index))
                    .collect(),
            })
        }
        3 if last > base && term > last_term => {
            // A new leader replaces the end of the log.
            let from = base + 1 + random.choose((last - base) as usize) as u64;
            save(term, from, from + random.choose(3) as u64)
        }
        _ => save(term, last + 1, last + 1 + random.choose(4) as u64),
    }
}

/// Returns the states that a log may restore whose change was interrupted.
fn states_after_interruption(state: &Restored, change: &Change) -> Vec<Restored> {
    let next = after(state, change);
    let with_snapshot = Restored {
        hard_state: state.hard_state,
        ..next.clone()
    };
    let only_snapshot = Restored {
        snapshot: next.snapshot.clone(),
        entries: Vec::new(),
        hard_state: state.hard_state,
    };
    vec![state.clone(), next, with_snapshot, only_snapshot]
}

/// A log that is opened again and again.
struct History {
    random: Choices,
    disk: UnreliableDisk,
    files: Files,
    /// The states that the next process may find.
    permitted: Vec<Restored>,
}

impl History {
    fn new(seed: u64) -> History {
        History {
            random: Choices::random(seed),
            disk: UnreliableDisk::default(),
            files: Files::new(),
            permitted: vec![Restored::default()],
        }
    }

    /// Runs one process and lets it end. Returns what is wrong.
    fn run_process(&mut self) -> Option<String> {
        self.disk
            .end_process_after(self.random.choose(MAX_OPERATIONS));
        match WriteAheadLog::open_on(self.disk.clone(), SIZES) {
            Ok((_, restored)) if !self.permitted.contains(&restored) => {
                return Some(format!(
                    "restores {restored:?} from {}",
                    describe(&self.files)
                ));
            }
            Ok((mut log, restored)) => self.change(&mut log, restored),
            Err(_) if self.disk.has_process_ended() => {}
            Err(_) => return open(&self.files).err().map(|error| self.refusal(&error)),
        }
        self.end();
        None
    }

    fn refusal(&self, error: &StorageError) -> String {
        format!("{error} in {}", describe(&self.files))
    }

    fn change(&mut self, log: &mut WriteAheadLog<UnreliableDisk>, mut state: Restored) {
        for _ in 0..MAX_CHANGES {
            let change = random_change(&state, &mut self.random);
            if !apply(&change, log, state.hard_state) {
                self.permitted = states_after_interruption(&state, &change);
                return;
            }
            state = after(&state, &change);
        }
        self.permitted = vec![state];
    }

    /// Ends the process, or lets the disk refuse an operation, so that the log is opened again by
    /// the same process.
    fn end(&mut self) {
        self.files = match self.random.choose(5) {
            0 | 1 => self.disk.files_after_kill(),
            _ => {
                let files = self.disk.files_after_power_loss(&mut self.random);
                self.disk = UnreliableDisk::with_files(&files);
                files
            }
        };
    }
}

/// Guards against a log that does not open, or loses something, after several losses of power,
/// kills and interrupted starts in a row.
#[gtest]
fn a_log_survives_repeated_losses_of_power() {
    let runs = std::env::var("COURSESTAND_RUNS");
    let runs = runs.map_or(RUNS, |runs| runs.parse().expect("a number"));
    let mut faults = Vec::new();
    for seed in 0..runs {
        let mut history = History::new(seed);
        let fault = (0..PROCESSES).find_map(|process| {
            let fault = history.run_process()?;
            Some(format!("seed {seed}, process {process}: {fault}"))
        });
        faults.extend(fault);
    }
    assert!(faults.is_empty(), "{}", report(&faults));
}
