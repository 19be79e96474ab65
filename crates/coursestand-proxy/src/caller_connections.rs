//! Limits the number of caller connections, and closes the longest idle ones to make room for
//! new ones.
//!
//! Each caller connection takes a descriptor, and a request needs another one for its
//! connection to the back end. If idle caller connections could take all descriptors, no
//! connection could be accepted until the idle timeout, and no request forwarded. So caller
//! connections may take at most half of the descriptors; when that limit is reached, or when
//! the system refuses a connection anyway, the connections that have been idle longest are
//! closed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::idle_timer::IdleTimer;

/// Descriptors per caller connection: its own and that of the connection to the back end.
const DESCRIPTORS_PER_CALLER: u64 = 2;
/// Limit on caller connections where the system sets no descriptor limit.
const MAX_CONNECTIONS_WITHOUT_LIMIT: usize = 16_384;
/// Divisor of the limit that gives the number of connections closed at once: finding the
/// longest idle ones means a scan of all connections.
const EVICTION_DIVISOR: usize = 16;
/// Time between two looks for connections to close: until then more of them may be evictable.
const EVICTION_INTERVAL: Duration = Duration::from_millis(100);
/// A listener that has accepted no connection for this long counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);

/// While no connection can be accepted, the stall is noted again within this time.
const STALL_RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The open connections of callers.
pub(crate) struct CallerConnections {
    max_connections: usize,
    table: Mutex<ConnectionTable>,
    freed: Notify,
}

#[derive(Default)]
struct ConnectionTable {
    next: u64,
    open: HashMap<u64, OpenConnection>,
    stall: Option<AcceptStall>,
}

struct OpenConnection {
    idle_timer: Arc<IdleTimer>,
    read_buffer_bytes: usize,
}

/// No connection could be accepted since `since`; last observed at `noticed_at`.
#[derive(Clone, Copy)]
struct AcceptStall {
    since: Instant,
    noticed_at: Instant,
}

impl AcceptStall {
    fn is_recent(&self, now: Instant) -> bool {
        now - self.noticed_at < STALL_RECHECK_INTERVAL
    }
}

/// An open connection. Dropping it frees its place.
pub(crate) struct ConnectionGuard {
    connections: Arc<CallerConnections>,
    number: u64,
    /// Idle timer of the connection.
    pub(crate) idle_timer: Arc<IdleTimer>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.table().open.remove(&self.number);
        self.connections.freed.notify_one();
    }
}

/// Returns the limit on caller connections, derived from the descriptor limit of this process.
pub(crate) fn max_connections_by_descriptors() -> usize {
    match getrlimit(Resource::Nofile).current {
        Some(limit) => (limit / DESCRIPTORS_PER_CALLER) as usize,
        None => MAX_CONNECTIONS_WITHOUT_LIMIT,
    }
}

impl CallerConnections {
    /// Allows at most `max_connections` connections, but at least one.
    pub(crate) fn new(max_connections: usize) -> CallerConnections {
        CallerConnections {
            max_connections: max_connections.max(1),
            table: Mutex::default(),
            freed: Notify::new(),
        }
    }

    fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the number of connections is within the limit, and closes idle connections
    /// until then. Called after each accepted connection, so that no connection is closed
    /// before another one has arrived to take its place.
    pub(crate) async fn wait_for_capacity(&self) {
        while self.table().open.len() > self.max_connections {
            self.note_stall();
            self.close_idle();
            let _ = timeout(EVICTION_INTERVAL, self.freed.notified()).await;
        }
    }

    /// Registers an accepted connection with a read buffer of this size.
    pub(crate) fn register(self: &Arc<Self>, read_buffer_bytes: usize) -> ConnectionGuard {
        let mut table = self.table();
        table.stall = None;
        table.next += 1;
        let number = table.next;
        let idle_timer = Arc::new(IdleTimer::default());
        let connection = OpenConnection {
            idle_timer: Arc::clone(&idle_timer),
            read_buffer_bytes,
        };
        table.open.insert(number, connection);
        ConnectionGuard {
            connections: Arc::clone(self),
            number,
            idle_timer,
        }
    }

    /// Closes the connections with read buffers below `bytes`, once their requests have ended: a
    /// head inside the limits in force might not fit.
    pub(crate) fn close_with_smaller_buffers(&self, bytes: usize) {
        for connection in self.table().open.values() {
            if connection.read_buffer_bytes < bytes {
                connection.idle_timer.request_close();
            }
        }
    }

    /// Handles a failure of the system to accept a connection.
    pub(crate) fn note_accept_failure(&self) {
        self.note_stall();
        self.close_idle();
    }

    fn note_stall(&self) {
        let now = Instant::now();
        let mut table = self.table();
        let ongoing = table.stall.filter(|stall| stall.is_recent(now));
        table.stall = Some(AcceptStall {
            since: ongoing.map_or(now, |stall| stall.since),
            noticed_at: now,
        });
    }

    /// Returns whether new connections are accepted.
    pub(crate) fn is_accepting(&self) -> bool {
        let now = Instant::now();
        let stall = self.table().stall;
        !stall.is_some_and(|stall| stall.is_recent(now) && now - stall.since >= STALL_THRESHOLD)
    }

    /// Closes the connections that have been idle, or have waited for their callers, longest. If
    /// there are too few of them, those that have been open longest are closed after the answer to
    /// their request.
    fn close_idle(&self) {
        let now = Instant::now();
        let table = self.table();
        let mut waiting: Vec<(Instant, &Arc<IdleTimer>)> = table
            .open
            .values()
            .map(|connection| &connection.idle_timer)
            .filter_map(|idle_timer| Some((idle_timer.evictable_since(now)?, idle_timer)))
            .collect();
        waiting.sort_by_key(|(since, _)| *since);
        let count = (self.max_connections / EVICTION_DIVISOR).max(1);
        for (_, idle_timer) in waiting.iter().take(count) {
            idle_timer.evict();
        }
        let missing = count.saturating_sub(waiting.len());
        let mut busy: Vec<(u64, &Arc<IdleTimer>)> = table
            .open
            .iter()
            .map(|(number, connection)| (*number, &connection.idle_timer))
            .filter(|(_, idle_timer)| idle_timer.is_kept_busy())
            .collect();
        busy.sort_by_key(|(number, _)| *number);
        for (_, idle_timer) in busy.into_iter().take(missing) {
            idle_timer.request_close();
        }
    }
}
