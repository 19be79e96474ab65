//! How long a caller's connection has rested without a request.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::exchange::Exchange;

/// The rest of one connection. A request interrupts it from its headers to its
/// answer; headers that are on their way don't.
pub(crate) struct Rest {
    state: Mutex<State>,
    ended: Notify,
}

struct State {
    /// Requests under way: one at most, but for the moment in which one ends.
    requests: u32,
    since: Instant,
    /// Whether its place is wanted for another connection.
    is_wanted: bool,
}

/// A request under way. Dropped, the rest begins anew.
pub(crate) struct Busy<'a>(&'a Rest);

impl Default for Rest {
    fn default() -> Rest {
        Rest {
            state: Mutex::new(State {
                requests: 0,
                since: Instant::now(),
                is_wanted: false,
            }),
            ended: Notify::new(),
        }
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
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request interrupts the rest until the result is dropped.
    pub(crate) fn interrupt(&self) -> Busy<'_> {
        self.state().requests += 1;
        Busy(self)
    }

    /// Since when the connection rests, if it does and wasn't told to end.
    pub(crate) fn resting_since(&self) -> Option<Instant> {
        let state = self.state();
        (state.requests == 0 && !state.is_wanted).then_some(state.since)
    }

    /// Its place is wanted for another connection.
    pub(crate) fn end(&self) {
        self.state().is_wanted = true;
        self.ended.notify_one();
    }

    /// Since when the connection rests; while it doesn't, since now.
    fn since(&self) -> Instant {
        let state = self.state();
        if state.requests > 0 {
            return Instant::now();
        }
        state.since
    }

    /// Returns once the rest is longer than the limits in force allow, or once it was
    /// told to end.
    pub(crate) async fn exceeds(&self, exchange: &Exchange) {
        loop {
            let due = self.since() + exchange.limits().get().idle;
            if due <= Instant::now() {
                return;
            }
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.ended.notified() => return,
            }
        }
    }
}
