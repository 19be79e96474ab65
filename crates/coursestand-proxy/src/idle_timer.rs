//! Tracks how long a caller's connection has been idle.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::exchange::Exchange;

/// Idle timer of one connection. A request stops it from the end of its headers to its answer;
/// headers that are still being received do not.
pub(crate) struct IdleTimer {
    state: Mutex<State>,
    close_requested: Notify,
}

struct State {
    /// Requests in flight: at most one, except for the moment in which one ends.
    requests: u32,
    since: Instant,
    /// Whether the connection is to be closed to make room for another one.
    is_close_requested: bool,
}

/// A request in flight. Dropping it restarts the idle timer.
pub(crate) struct BusyGuard<'a>(&'a IdleTimer);

impl Default for IdleTimer {
    fn default() -> IdleTimer {
        IdleTimer {
            state: Mutex::new(State {
                requests: 0,
                since: Instant::now(),
                is_close_requested: false,
            }),
            close_requested: Notify::new(),
        }
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.requests -= 1;
        state.since = Instant::now();
    }
}

impl IdleTimer {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops the idle timer until the returned guard is dropped.
    pub(crate) fn pause(&self) -> BusyGuard<'_> {
        self.state().requests += 1;
        BusyGuard(self)
    }

    /// Returns since when the connection has been idle; none if it has a request in flight or
    /// is to be closed.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let state = self.state();
        (state.requests == 0 && !state.is_close_requested).then_some(state.since)
    }

    /// Asks for the connection to be closed to make room for another one.
    pub(crate) fn request_close(&self) {
        self.state().is_close_requested = true;
        self.close_requested.notify_one();
    }

    /// Returns since when the connection has been idle, or the current time while a request is
    /// in flight.
    fn last_active_at(&self) -> Instant {
        let state = self.state();
        if state.requests > 0 {
            return Instant::now();
        }
        state.since
    }

    /// Returns once the connection has been idle for longer than the limits in force allow, or
    /// once it is to be closed.
    pub(crate) async fn expired(&self, exchange: &Exchange) {
        loop {
            let due = self.last_active_at() + exchange.limits().get().idle;
            if due <= Instant::now() {
                return;
            }
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.close_requested.notified() => return,
            }
        }
    }
}
