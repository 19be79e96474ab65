//! Tracks how long a caller's connection has been idle, and how long its next head has taken.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::task::AtomicWaker;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::caller_limits::{CallerLimits, SharedLimits};
use crate::memory_budget::{FREE_BYTES, MemoryBudget, MemoryKind, MemoryPermit, NoRoom};

/// Time for which a connection is read on after the time for its head is over. After a suspension
/// of the process, the rest of the head may lie in the socket.
const READING_GRACE: Duration = Duration::from_millis(100);

/// Least time for a caller to read the rest of an answer, of which the daemon has the whole: 1 MiB
/// at 0.6 Mbit/s.
const MIN_READING_TIME: Duration = Duration::from_secs(15);
/// Time for a head on a connection that is to make room for another one.
const EVICTED_HEAD_TIME: Duration = Duration::from_millis(100);
/// Time for the caller of such a connection to read any of an answer that waits to be written.
const EVICTED_READING_TIME: Duration = Duration::from_secs(1);
/// A connection that has been idle for less may have a request in transit.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// A body that has been arriving for less does not make room for another connection.
const MIN_RECEPTION_TIME: Duration = Duration::from_millis(500);

/// Idle timer of one connection. A request stops it from the end of its headers until its answer
/// has been passed to the connection and its body has been read.
pub(crate) struct IdleTimer {
    state: Mutex<State>,
    /// Whether an answer waits to be written.
    is_write_blocked: AtomicBool,
    /// Whether an answer broke off.
    is_answer_broken: AtomicBool,
    close_requested: AtomicWaker,
    reception_evicted: Notify,
}

struct State {
    /// Parts of requests in progress: reading the body, finding the answer, writing it.
    parts: u32,
    since: Instant,
    /// The head that has begun, if any.
    head: Option<PartialHead>,
    /// Since when an answer has been waiting for its caller to read any of it.
    blocked_since: Option<Instant>,
    /// Since when the body of a request has been arriving that has not been passed on.
    receiving_since: Option<Instant>,
    /// Whether the connection is to be closed after its request.
    is_close_requested: bool,
    /// Whether it is to be closed to make room for another one.
    is_evicted: bool,
}

/// A head that is incomplete.
struct PartialHead {
    began_at: Instant,
    bytes: usize,
    /// For the buffer that holds it, if that is larger than usual.
    memory: Option<MemoryPermit>,
}

/// Part of a request in progress. Dropping the last one restarts the idle timer.
pub(crate) struct BusyGuard(Arc<IdleTimer>);

impl Default for IdleTimer {
    fn default() -> IdleTimer {
        IdleTimer {
            state: Mutex::new(State {
                parts: 0,
                since: Instant::now(),
                head: None,
                blocked_since: None,
                receiving_since: None,
                is_close_requested: false,
                is_evicted: false,
            }),
            is_write_blocked: AtomicBool::new(false),
            is_answer_broken: AtomicBool::new(false),
            close_requested: AtomicWaker::new(),
            reception_evicted: Notify::new(),
        }
    }
}

impl BusyGuard {
    /// Returns a guard for another part of the same request.
    pub(crate) fn another(&self) -> BusyGuard {
        self.0.state().parts += 1;
        BusyGuard(Arc::clone(&self.0))
    }

    /// Begins to receive the body of the request.
    pub(crate) fn begin_reception(&self) -> Reception {
        self.0.state().receiving_since = Some(Instant::now());
        Reception(Arc::clone(&self.0))
    }

    /// Records that the answer broke off.
    pub(crate) fn note_broken_answer(&self) {
        self.0.is_answer_broken.store(true, Ordering::Relaxed);
    }
}

/// A body that is being received, of a request that has not been passed on.
pub(crate) struct Reception(Arc<IdleTimer>);

impl Reception {
    /// Returns once the request is to be given up, to make room for another connection.
    pub(crate) async fn evicted(&self) {
        self.0.reception_evicted.notified().await;
    }
}

impl Drop for Reception {
    fn drop(&mut self) {
        self.0.state().receiving_since = None;
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
    /// and those for other parts of the request are dropped. Returns the permit for the head too,
    /// if it needs one.
    pub(crate) fn begin_request(self: &Arc<Self>) -> (BusyGuard, Option<MemoryPermit>) {
        let mut state = self.state();
        state.parts += 1;
        let head = state.head.take();
        let memory = head.and_then(|head| head.memory);
        (BusyGuard(Arc::clone(self)), memory)
    }

    /// Reserves memory to read on, into a buffer that has room for `spare` bytes more.
    pub(crate) fn reserve(&self, spare: usize, budget: &Arc<MemoryBudget>) -> Result<(), NoRoom> {
        let mut state = self.state();
        let Some(head) = &mut state.head else {
            return Ok(());
        };
        let capacity = head.bytes + spare;
        if capacity <= FREE_BYTES {
            return Ok(());
        }
        let memory = &mut head.memory;
        memory
            .get_or_insert_with(|| budget.receive(MemoryKind::Head, head.began_at))
            .resize(capacity)
    }

    /// Records that `bytes` were read. Between requests they are those of a head.
    pub(crate) fn note_read(&self, bytes: usize) {
        let mut state = self.state();
        if state.parts > 0 {
            return;
        }
        let head = state.head.get_or_insert_with(|| PartialHead {
            began_at: Instant::now(),
            bytes: 0,
            memory: None,
        });
        head.bytes += bytes;
    }

    /// Polls for the eviction of a head for lack of memory.
    fn poll_evicted(&self, context: &mut Context<'_>) -> Poll<()> {
        let state = self.state();
        let memory = state.head.as_ref().and_then(|head| head.memory.as_ref());
        memory.map_or(Poll::Pending, |memory| memory.poll_evicted(context))
    }

    /// Records whether the caller has yet to read before more can be written.
    pub(crate) fn note_write(&self, is_blocked: bool) {
        if self.is_write_blocked.swap(is_blocked, Ordering::Relaxed) != is_blocked {
            self.state().blocked_since = is_blocked.then(Instant::now);
        }
    }

    /// Returns whether an answer that has begun is not written completely, and never will be if the
    /// connection ends now.
    pub(crate) fn has_broken_answer(&self) -> bool {
        self.is_answer_broken.load(Ordering::Relaxed)
            || self.is_write_blocked.load(Ordering::Relaxed)
    }

    /// Returns since when the connection has been idle, has been receiving the body of a request,
    /// or has an answer that its caller does not read, if it may be evicted for that.
    pub(crate) fn evictable_since(&self, now: Instant) -> Option<Instant> {
        let state = self.state();
        // One that is to be closed after its request may have to make room before that.
        if state.is_evicted {
            return None;
        }
        let (since, min_time) = match (state.blocked_since, state.receiving_since) {
            (Some(since), _) => (since, EVICTED_READING_TIME),
            (None, Some(since)) => (since, MIN_RECEPTION_TIME),
            (None, None) if state.parts == 0 => (state.since, MIN_IDLE_TIME),
            (None, None) => return None,
        };
        (now - since >= min_time).then_some(since)
    }

    /// Returns whether a request is in progress on a connection that is to stay open.
    pub(crate) fn is_kept_busy(&self) -> bool {
        let state = self.state();
        state.parts > 0 && !state.is_close_requested
    }

    /// Asks for the connection to be closed after its request.
    pub(crate) fn request_close(&self) {
        self.state().is_close_requested = true;
        self.close_requested.wake();
    }

    /// Asks for the connection to be closed to make room for another one. A head that has begun
    /// gets little time, and a request whose body is being received is given up.
    pub(crate) fn evict(&self) {
        let mut state = self.state();
        state.is_evicted = true;
        if state.receiving_since.is_some() {
            self.reception_evicted.notify_one();
        }
        drop(state);
        self.request_close();
    }
}

/// Why the time of a connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expired {
    /// It has been idle for too long, or is to be closed.
    Idle,
    /// It has nothing but a head that did not end in time, or that there is no memory for; or its
    /// caller did not read an answer in time.
    Stopped,
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
        if state.is_evicted
            && let Some(since) = state.blocked_since
        {
            return Some((since + EVICTED_READING_TIME, Expired::Stopped));
        }
        if state.parts > 0 {
            return None;
        }
        if state.blocked_since.is_some() {
            let reading_time = limits.idle.max(MIN_READING_TIME);
            return Some((state.since + reading_time, Expired::Stopped));
        }
        let head_time = match state.is_evicted {
            true => limits.header.min(EVICTED_HEAD_TIME),
            false => limits.header,
        };
        match (&state.head, self.closing_since) {
            (Some(head), _) => Some((head.began_at + head_time, Expired::Stopped)),
            (None, None) => Some((state.since + limits.idle, Expired::Idle)),
            // Bytes that were read along with an earlier request may be the beginning of a head.
            (None, Some(closing_since)) => {
                Some((closing_since.max(state.since) + head_time, Expired::Stopped))
            }
        }
    }

    /// Returns whether to close the connection now. The HTTP library closes a connection between
    /// two requests even if the head of the next one has begun, so that one is waited for.
    fn is_close_due(&self) -> bool {
        let state = self.timer.state();
        let waits_for_head = state.head.is_some() && !state.is_evicted;
        self.closing_since.is_none() && state.is_close_requested && !waits_for_head
    }

    /// Polls for the end of the connection's time. To be polled after the connection itself.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Poll<Expired> {
        self.timer.close_requested.register(context.waker());
        if self.timer.poll_evicted(context).is_ready() {
            return Poll::Ready(Expired::Stopped);
        }
        loop {
            if self.is_close_due() {
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
                (Some((at, Expired::Stopped)), Some(check_at)) if check_at <= now => {
                    if check_at != at {
                        return Poll::Ready(Expired::Stopped);
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
