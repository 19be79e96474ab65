//! Tracks how long a caller's connection has been idle, and how long its next head has taken.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::task::AtomicWaker;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::caller_limits::{CallerLimits, SharedLimits};

/// Time for which a connection is read on after the time for its head is over. After a suspension
/// of the process, the rest of the head may lie in the socket.
const READING_GRACE: Duration = Duration::from_millis(100);

/// Idle timer of one connection. A request stops it from the end of its headers until its answer
/// has been passed to the connection and its body has been read.
pub(crate) struct IdleTimer {
    state: Mutex<State>,
    /// Whether an answer waits to be written.
    is_write_blocked: AtomicBool,
    close_requested: AtomicWaker,
}

struct State {
    /// Parts of requests in progress: reading the body, finding the answer, writing it.
    parts: u32,
    since: Instant,
    /// When the first bytes of a head were read, if it is incomplete.
    head_began_at: Option<Instant>,
    /// Whether the connection is to be closed to make room for another one.
    is_close_requested: bool,
}

/// Part of a request in progress. Dropping the last one restarts the idle timer.
pub(crate) struct BusyGuard(Arc<IdleTimer>);

impl Default for IdleTimer {
    fn default() -> IdleTimer {
        IdleTimer {
            state: Mutex::new(State {
                parts: 0,
                since: Instant::now(),
                head_began_at: None,
                is_close_requested: false,
            }),
            is_write_blocked: AtomicBool::new(false),
            close_requested: AtomicWaker::new(),
        }
    }
}

impl BusyGuard {
    /// Returns a guard for another part of the same request.
    pub(crate) fn another(&self) -> BusyGuard {
        self.0.state().parts += 1;
        BusyGuard(Arc::clone(&self.0))
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.parts -= 1;
        state.since = Instant::now();
    }
}

impl IdleTimer {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a request, whose head is complete. Stops the idle timer until the returned guard
    /// and those for other parts of the request are dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> BusyGuard {
        let mut state = self.state();
        state.parts += 1;
        state.head_began_at = None;
        BusyGuard(Arc::clone(self))
    }

    /// Records that bytes were read. Between requests they are those of a head.
    pub(crate) fn note_read(&self) {
        let mut state = self.state();
        if state.parts == 0 && state.head_began_at.is_none() {
            state.head_began_at = Some(Instant::now());
        }
    }

    /// Records whether the caller has yet to read before more can be written.
    pub(crate) fn note_write(&self, is_blocked: bool) {
        self.is_write_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Returns since when the connection has been idle; none if it has a request in flight or
    /// is to be closed.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        let state = self.state();
        (state.parts == 0 && !state.is_close_requested).then_some(state.since)
    }

    /// Asks for the connection to be closed to make room for another one.
    pub(crate) fn request_close(&self) {
        self.state().is_close_requested = true;
        self.close_requested.wake();
    }
}

/// Why the time of a connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expired {
    /// It has been idle for too long, or is to be closed.
    Idle,
    /// It has nothing but a head that did not end in time.
    StoppedHead,
}

/// Waits for the end of a connection's time.
pub(crate) struct Expiry<'a> {
    timer: &'a IdleTimer,
    limits: &'a SharedLimits,
    sleep: Pin<Box<Sleep>>,
    /// Since when the connection has been closing, if it is.
    closing_since: Option<Instant>,
    /// The end of a head's time that has passed, and until when the connection is read on.
    overdue: Option<(Instant, Instant)>,
}

impl<'a> Expiry<'a> {
    pub(crate) fn new(timer: &'a IdleTimer, limits: &'a SharedLimits) -> Expiry<'a> {
        Expiry {
            timer,
            limits,
            sleep: Box::pin(sleep_until(Instant::now() + limits.get().idle)),
            closing_since: None,
            overdue: None,
        }
    }

    /// Begins to close the connection: from now on it only has the time for a head.
    pub(crate) fn begin_closing(&mut self) {
        self.closing_since = Some(Instant::now());
    }

    /// Returns when the connection's time is over, and why; none while a request is in progress.
    fn due(&self, limits: &CallerLimits) -> Option<(Instant, Expired)> {
        let state = self.timer.state();
        // An answer that waits for its caller to read is part of a request.
        if state.parts > 0 || self.timer.is_write_blocked.load(Ordering::Relaxed) {
            return None;
        }
        let head_time = limits.header;
        match (state.head_began_at, self.closing_since) {
            (Some(began_at), _) => Some((began_at + head_time, Expired::StoppedHead)),
            (None, None) => Some((state.since + limits.idle, Expired::Idle)),
            // Bytes that were read along with an earlier request may be the beginning of a head.
            (None, Some(closing_since)) => Some((
                closing_since.max(state.since) + head_time,
                Expired::StoppedHead,
            )),
        }
    }

    fn is_close_requested(&self) -> bool {
        self.closing_since.is_none() && self.timer.state().is_close_requested
    }

    /// Polls for the end of the connection's time. To be polled after the connection itself.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Poll<Expired> {
        self.timer.close_requested.register(context.waker());
        loop {
            if self.is_close_requested() {
                return Poll::Ready(Expired::Idle);
            }
            let limits = self.limits.get();
            let due = self.due(&limits);
            let check_at = due.map(|(at, _)| match self.overdue {
                Some((overdue, read_until)) if overdue == at => read_until,
                _ => at,
            });
            if let Some(at) = check_at
                && at < self.sleep.deadline()
            {
                self.sleep.as_mut().reset(at);
            }
            ready!(self.sleep.as_mut().poll(context));
            let now = Instant::now();
            match (due, check_at) {
                (Some((at, Expired::StoppedHead)), Some(check_at)) if check_at <= now => {
                    if check_at != at {
                        return Poll::Ready(Expired::StoppedHead);
                    }
                    self.overdue = Some((at, now + READING_GRACE));
                }
                (Some((_, expired)), Some(check_at)) if check_at <= now => {
                    return Poll::Ready(expired);
                }
                (_, Some(check_at)) => self.sleep.as_mut().reset(check_at),
                // The request may end without a poll of the connection.
                (_, None) => self
                    .sleep
                    .as_mut()
                    .reset(now + limits.idle.min(limits.header)),
            }
        }
    }
}
