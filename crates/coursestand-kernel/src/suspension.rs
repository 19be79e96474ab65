//! Detects that the process did not run for a while: it was stopped by a signal, or its machine
//! was suspended or overloaded.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::clock::MonotonicClock;

/// Interval at which the process records that it runs.
const RECORD_INTERVAL: Duration = Duration::from_millis(50);
/// A gap between two records that is longer than this, in milliseconds, is a suspension.
const MIN_SUSPENSION_MS: u64 = 250;
/// Time after a suspension within which the process is still occupied with what queued up
/// meanwhile, in milliseconds.
const CATCH_UP_MS: u64 = 1_000;

/// Records when the process runs.
#[derive(Debug)]
pub struct SuspensionWatch {
    clock: MonotonicClock,
    record: Mutex<Record>,
}

#[derive(Debug)]
struct Record {
    last_run: u64,
    /// Start and end of the last suspension.
    suspension: Option<(u64, u64)>,
}

impl SuspensionWatch {
    /// Returns a watch on this clock, which must count suspensions.
    pub fn new(clock: MonotonicClock) -> SuspensionWatch {
        SuspensionWatch {
            clock,
            record: Mutex::new(Record {
                last_run: clock.now(),
                suspension: None,
            }),
        }
    }

    /// Records that the process runs, until the future is dropped.
    pub async fn run(&self) {
        loop {
            self.running_since();
            tokio::time::sleep(RECORD_INTERVAL).await;
        }
    }

    /// Returns the earliest time at which something that the process meets now may have happened:
    /// now, or the start of a suspension whose queues are still being worked off.
    pub fn running_since(&self) -> u64 {
        let now = self.clock.now();
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_sub(record.last_run) > MIN_SUSPENSION_MS {
            record.suspension = Some((record.last_run, now));
        }
        record.last_run = now;
        match record.suspension {
            Some((start, end)) if now.saturating_sub(end) < CATCH_UP_MS => start,
            _ => now,
        }
    }
}
