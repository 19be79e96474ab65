//! The clocks of a process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

const LOG: &str = "clock";

/// Monotonic clock for leases, back-offs and the ages of updates. It starts at 0 when it is
/// created and continues while the process is stopped by a signal or the machine is
/// suspended, so that a process sees after a suspension which of its leases have expired.
/// Timers of the async runtime don't count suspensions: a task that a timer wakes must read
/// this clock.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    source: Source,
    simulated: Option<SimulatedSuspension>,
}

#[derive(Clone, Copy, Debug)]
enum Source {
    /// `CLOCK_BOOTTIME`, which counts suspensions. Holds its value at the clock's creation.
    Boot(Duration),
    /// `CLOCK_MONOTONIC`, which doesn't count suspensions.
    Monotonic(Instant),
}

impl Source {
    fn new() -> Source {
        time_since_boot().map_or_else(|| Source::Monotonic(Instant::now()), Source::Boot)
    }

    fn elapsed(self) -> Duration {
        match self {
            // The boot clock was readable at creation and stays so, so the fallback is unused.
            Source::Boot(start) => time_since_boot().unwrap_or(start).saturating_sub(start),
            Source::Monotonic(start) => start.elapsed(),
        }
    }
}

/// Returns the time since the machine booted, including suspensions, or `None` if the system
/// has no such clock or denies access to it.
fn time_since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}

/// Simulates suspensions of the machine in tests. Timers and `Instant` are not affected.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedSuspension(&'static AtomicU64);

impl SimulatedSuspension {
    /// Advances the clock by a suspension of `duration_ms`.
    pub fn suspend_ms(&self, duration_ms: u64) {
        self.0.fetch_add(duration_ms, Ordering::SeqCst);
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        MonotonicClock {
            source: Source::new(),
            simulated: None,
        }
    }
}

impl MonotonicClock {
    /// Returns the clock of a process and logs whether it counts suspensions.
    pub fn for_process() -> MonotonicClock {
        let clock = MonotonicClock::default();
        match clock.source {
            Source::Boot(_) => {
                log::info!(target: LOG, counts_suspension = true; "leases are measured with the boot-time clock, which counts suspensions");
            }
            Source::Monotonic(_) => log::warn!(target: LOG, counts_suspension = false;
                "no boot-time clock: leases are measured with the monotonic clock and outlive a suspension"),
        }
        clock
    }

    /// Returns a clock and the handle by which a test simulates suspensions. The state that
    /// they share is leaked.
    pub fn with_simulated_suspensions() -> (MonotonicClock, SimulatedSuspension) {
        let suspension = SimulatedSuspension(Box::leak(Box::default()));
        let clock = MonotonicClock {
            simulated: Some(suspension),
            ..MonotonicClock::default()
        };
        (clock, suspension)
    }

    /// Returns whether the clock counts suspensions of the machine.
    pub fn counts_suspension(&self) -> bool {
        matches!(self.source, Source::Boot(_))
    }

    /// Returns the milliseconds since the clock was created.
    pub fn now(&self) -> u64 {
        let suspended = self
            .simulated
            .map(|suspension| suspension.0.load(Ordering::SeqCst));
        self.source.elapsed().as_millis() as u64 + suspended.unwrap_or_default()
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
