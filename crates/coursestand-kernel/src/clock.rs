//! The clocks of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the start of the process. It goes on while
/// the process is stopped by a signal, so a frozen process sees after waking
/// that its leases have ended.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        MonotonicClock {
            start: Instant::now(),
        }
    }
}

impl MonotonicClock {
    /// Milliseconds since the clock was made.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Wall clock in Unix milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
