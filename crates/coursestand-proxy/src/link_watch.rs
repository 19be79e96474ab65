//! What round trips of this process tell of the wait on its link, shared by all who
//! make some.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_kernel::MonotonicClock;
use coursestand_routing::LinkWait;
use coursestand_routing::hash::hash_of;

/// Watches the wait on the link.
#[derive(Default)]
pub struct LinkWatch {
    clock: MonotonicClock,
    wait: Mutex<LinkWait>,
}

impl LinkWatch {
    fn lock(&self) -> MutexGuard<'_, LinkWait> {
        self.wait.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A round trip to `peer` took this long.
    pub fn note_round_trip(&self, peer: &str, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let now = self.clock.now();
        self.lock().note_round_trip(now, hash_of(peer), took_ms);
    }

    /// How long what is read now has waited before, as far as it is known.
    pub fn waited(&self) -> Duration {
        Duration::from_millis(self.lock().wait_ms(self.clock.now()))
    }
}
