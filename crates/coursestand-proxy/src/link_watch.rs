//! Estimates the queueing delay on the machine's link from round trips of this process, shared
//! by all components that measure them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_kernel::MonotonicClock;
use coursestand_routing::LinkWait;
use coursestand_routing::hash::hash_of;

/// Estimates the queueing delay on the link.
#[derive(Default)]
pub struct LinkWatch {
    clock: MonotonicClock,
    queueing: Mutex<LinkWait>,
}

impl LinkWatch {
    fn lock(&self) -> MutexGuard<'_, LinkWait> {
        self.queueing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the duration of a round trip to `peer`.
    pub fn note_round_trip(&self, peer: &str, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let now = self.clock.now();
        self.lock().note_round_trip(now, hash_of(peer), took_ms);
    }

    /// Returns the estimated time that data read at this moment has been queued.
    pub fn queueing_delay(&self) -> Duration {
        Duration::from_millis(self.lock().wait_ms(self.clock.now()))
    }
}
