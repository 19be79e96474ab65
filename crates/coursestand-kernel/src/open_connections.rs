//! The open connections of an HTTP server, what each of them waits for, and which of them are
//! closed when a limit is reached.
//!
//! Only connections that wait for the caller are closed: for a call, for the rest of one, or for
//! the caller to read a response. A call that has arrived whole is handled for as long as its
//! handler takes.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::server_limits::ServerLimits;

/// Divisor of a limit that gives what is freed at once when it is reached: finding the connections
/// means a scan of all.
const EVICTION_DIVISOR: usize = 16;
/// Bytes kept for each byte of a head: the buffer that holds it grows by doubling.
const BYTES_PER_HEAD_BYTE: usize = 2;
/// A response that makes no progress for this long gives way to new connections.
const MIN_STALL: Duration = Duration::from_secs(1);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The next call.
    Idle,
    /// The rest of the head of a call.
    Head,
    /// The rest of the body of a call.
    Body,
    /// The handler.
    Handling,
    /// The caller, which reads the response.
    Response,
    /// Its end: it is to be closed.
    Closed,
}

#[derive(Debug)]
struct Progress {
    phase: Phase,
    /// Start of the phase; while the response is written, time of the latest progress.
    since: Instant,
    /// Bytes kept for the head of the call in progress.
    head_bytes: usize,
}

impl Progress {
    /// Returns the bytes that are kept for a call whose rest is awaited.
    fn incomplete_bytes(&self) -> usize {
        match self.phase {
            Phase::Head | Phase::Body => self.head_bytes,
            Phase::Idle | Phase::Handling | Phase::Response | Phase::Closed => 0,
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    connections: Arc<OpenConnections>,
    number: u64,
    state: Arc<ConnectionState>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.enter(&self.state, Phase::Closed);
        self.connections.table().open.remove(&self.number);
        self.connections.freed.notify_one();
    }
}

#[derive(Debug)]
struct ConnectionState {
    progress: Mutex<Progress>,
    close: Notify,
}

impl ConnectionState {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct Table {
    next: u64,
    open: HashMap<u64, Arc<ConnectionState>>,
}

/// The open connections of a server.
#[derive(Debug)]
pub(crate) struct OpenConnections {
    limits: ServerLimits,
    table: Mutex<Table>,
    /// Bytes of the heads of all calls whose rest is awaited.
    incomplete_bytes: AtomicUsize,
    freed: Notify,
}

impl OpenConnections {
    pub(crate) fn new(limits: ServerLimits) -> OpenConnections {
        OpenConnections {
            limits,
            table: Mutex::default(),
            incomplete_bytes: AtomicUsize::new(0),
            freed: Notify::new(),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a connection that has been accepted.
    pub(crate) fn register(self: &Arc<Self>) -> Arc<OpenConnection> {
        let state = Arc::new(ConnectionState {
            progress: Mutex::new(Progress {
                phase: Phase::Idle,
                since: Instant::now(),
                head_bytes: 0,
            }),
            close: Notify::new(),
        });
        let mut table = self.table();
        table.next += 1;
        let number = table.next;
        table.open.insert(number, Arc::clone(&state));
        Arc::new(OpenConnection {
            connections: Arc::clone(self),
            number,
            state,
        })
    }

    /// Returns whether more connections are open than the limit allows.
    pub(crate) fn is_over_limit(&self) -> bool {
        self.table().open.len() > self.limits.max_connections
    }

    /// Waits until a connection has ended.
    pub(crate) async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Closes the connections that have completed no call for longest, to make room for others.
    pub(crate) fn close_oldest(&self) {
        let count = (self.limits.max_connections / EVICTION_DIVISOR).max(1);
        let waiting = self.waiting_longest(|progress, now| match progress.phase {
            Phase::Idle | Phase::Head | Phase::Body => true,
            Phase::Response => now - progress.since >= MIN_STALL,
            Phase::Handling | Phase::Closed => false,
        });
        for state in waiting.iter().take(count) {
            self.close(state);
        }
    }

    /// Closes the connections that have waited for their callers too long.
    pub(crate) fn close_expired(&self) {
        let limits = &self.limits;
        let expired = self.waiting_longest(|progress, now| {
            let timeout = match progress.phase {
                Phase::Idle => limits.idle_timeout,
                Phase::Head => limits.head_timeout,
                Phase::Body => limits.body_timeout,
                Phase::Response => limits.write_timeout,
                Phase::Handling | Phase::Closed => return false,
            };
            now - progress.since >= timeout
        });
        for state in &expired {
            self.close(state);
        }
    }

    /// Closes the connections that have waited longest for the rest of a call, until there is room
    /// for the heads.
    fn close_oldest_heads(&self) {
        let limit = self.limits.max_incomplete_bytes;
        let target = limit - limit / EVICTION_DIVISOR;
        for state in self.waiting_longest(|progress, _| progress.incomplete_bytes() > 0) {
            if self.incomplete_bytes.load(Ordering::Relaxed) <= target {
                return;
            }
            self.close(&state);
        }
    }

    /// Returns the connections that `is_chosen` accepts, the longest in their phase first.
    fn waiting_longest(
        &self,
        is_chosen: impl Fn(&Progress, Instant) -> bool,
    ) -> Vec<Arc<ConnectionState>> {
        let now = Instant::now();
        let mut chosen: Vec<(Instant, Arc<ConnectionState>)> = self
            .table()
            .open
            .values()
            .filter_map(|state| {
                let progress = state.progress();
                is_chosen(&progress, now).then(|| (progress.since, Arc::clone(state)))
            })
            .collect();
        chosen.sort_by_key(|(since, _)| *since);
        chosen.into_iter().map(|(_, state)| state).collect()
    }

    fn close(&self, state: &ConnectionState) {
        self.enter(state, Phase::Closed);
        state.close.notify_one();
    }

    /// Begins a phase other than [`Phase::Head`].
    fn enter(&self, state: &ConnectionState, phase: Phase) {
        let mut progress = state.progress();
        if progress.phase == Phase::Closed {
            return;
        }
        let before = progress.incomplete_bytes();
        progress.phase = phase;
        progress.since = Instant::now();
        if !matches!(phase, Phase::Body | Phase::Handling) {
            progress.head_bytes = 0;
        }
        let after = progress.incomplete_bytes();
        self.incomplete_bytes.fetch_sub(before, Ordering::Relaxed);
        let total = self.incomplete_bytes.fetch_add(after, Ordering::Relaxed) + after;
        drop(progress);
        if after > 0 && total > self.limits.max_incomplete_bytes {
            self.close_oldest_heads();
        }
    }
}

impl OpenConnection {
    /// Returns once the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.state.close.notified().await;
    }

    fn phase(&self) -> Phase {
        self.state.progress().phase
    }

    /// Notes that bytes were read from the caller.
    pub(crate) fn note_read(&self, length: usize) {
        let mut progress = self.state.progress();
        match progress.phase {
            Phase::Idle => {
                progress.phase = Phase::Head;
                progress.since = Instant::now();
            }
            Phase::Head => {}
            Phase::Body | Phase::Handling | Phase::Response | Phase::Closed => return,
        }
        let kept = length * BYTES_PER_HEAD_BYTE;
        progress.head_bytes += kept;
        let incomplete = &self.connections.incomplete_bytes;
        let total = incomplete.fetch_add(kept, Ordering::Relaxed) + kept;
        drop(progress);
        if total > self.connections.limits.max_incomplete_bytes {
            self.connections.close_oldest_heads();
        }
    }

    /// Notes that the caller has accepted bytes of a response.
    pub(crate) fn note_written(&self) {
        if !self.has_call_in_progress() {
            self.connections.enter(&self.state, Phase::Response);
        }
    }

    /// Notes that the caller accepts no bytes of a response at the moment.
    pub(crate) fn note_blocked(&self) {
        if matches!(self.phase(), Phase::Idle | Phase::Head) {
            self.connections.enter(&self.state, Phase::Response);
        }
    }

    /// Notes that nothing is left to be written.
    pub(crate) fn note_flushed(&self) {
        if self.phase() == Phase::Response {
            self.connections.enter(&self.state, Phase::Idle);
        }
    }

    /// Notes that the head of a call is complete, and the call is given to its handler.
    pub(crate) fn begin_handling(&self) {
        self.connections.enter(&self.state, Phase::Handling);
    }

    /// Notes that the handler has returned a response.
    pub(crate) fn end_handling(&self) {
        self.connections.enter(&self.state, Phase::Response);
    }

    fn has_call_in_progress(&self) -> bool {
        matches!(self.phase(), Phase::Body | Phase::Handling)
    }
}

/// The call of a request, for handlers that read its body. The server adds it to the extensions of
/// each request.
#[derive(Debug, Clone)]
pub struct IncomingCall(pub(crate) Arc<OpenConnection>);

impl IncomingCall {
    /// Notes that the handler reads the body until the guard is dropped. Meanwhile the server may
    /// close the connection, as it may while the head arrives.
    pub fn receive_body(&self) -> ReceivingBody {
        let connection = &self.0;
        connection.connections.enter(&connection.state, Phase::Body);
        ReceivingBody(Arc::clone(connection))
    }
}

/// The body of a call is being read.
#[derive(Debug)]
pub struct ReceivingBody(Arc<OpenConnection>);

impl Drop for ReceivingBody {
    fn drop(&mut self) {
        self.0.begin_handling();
    }
}
