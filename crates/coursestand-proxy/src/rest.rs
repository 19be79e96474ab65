//! How long a caller's connection has rested without a request.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::{Instant, sleep_until};

use crate::exchange::Exchange;

/// The rest of one connection. A request interrupts it from its headers to its
/// answer; headers that are on their way don't.
pub(crate) struct Rest(Mutex<State>);

struct State {
    /// Requests under way: one at most, but for the moment in which one ends.
    requests: u32,
    since: Instant,
}

/// A request under way. Dropped, the rest begins anew.
pub(crate) struct Busy<'a>(&'a Rest);

impl Default for Rest {
    fn default() -> Rest {
        Rest(Mutex::new(State {
            requests: 0,
            since: Instant::now(),
        }))
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.requests -= 1;
        state.since = Instant::now();
    }
}

impl Rest {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request interrupts the rest until the result is dropped.
    pub(crate) fn interrupt(&self) -> Busy<'_> {
        self.state().requests += 1;
        Busy(self)
    }

    /// Since when the connection rests; while it doesn't, since now.
    fn since(&self) -> Instant {
        let state = self.state();
        if state.requests > 0 {
            return Instant::now();
        }
        state.since
    }

    /// Returns once the rest is longer than the limits in force allow.
    pub(crate) async fn exceeds(&self, exchange: &Exchange) {
        loop {
            let due = self.since() + exchange.limits().get().idle;
            if due <= Instant::now() {
                return;
            }
            sleep_until(due).await;
        }
    }
}
