//! Connections to the internal port that have not sent their first message yet.
//!
//! The first message tells who the peer is. Until then a connection may hold little memory, and
//! the number of such connections is bounded: the one that has been silent longest gives way.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_kernel::server_limits::descriptor_limit;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Maximum length of the first message in bytes.
pub const FIRST_MESSAGE_BYTES: usize = 16 * 1024;
/// Memory of a connection in bytes until its first message: that message, and a read buffer.
const PEER_BYTES: u64 = 32 * 1024;
/// Divisor of the memory limit that gives the memory of these connections.
const MEMORY_DIVISOR: u64 = 16;
/// Divisor of the descriptor limit that gives the number of these connections.
const DESCRIPTOR_DIVISOR: u64 = 8;
/// At least this many are allowed.
const MIN_UNIDENTIFIED_PEERS: u64 = 16;
/// Time that each connection has for its first message, however many others there are. Daemons
/// send it at once; after a restart of a control process, thousands connect at the same time.
const MIN_WAIT: Duration = Duration::from_millis(500);
/// Longest time between two attempts to make room.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns how many connections of a process that may use `memory_bytes` may be without a first
/// message.
pub fn max_unidentified_peers(memory_bytes: u64) -> usize {
    let by_memory = memory_bytes / MEMORY_DIVISOR / PEER_BYTES;
    let by_descriptors = descriptor_limit() / DESCRIPTOR_DIVISOR;
    by_memory.min(by_descriptors).max(MIN_UNIDENTIFIED_PEERS) as usize
}

/// The connections that have not sent their first message yet.
pub struct UnidentifiedPeers {
    max_open: usize,
    open: Mutex<Table>,
    freed: Notify,
}

#[derive(Default)]
struct Table {
    next: u64,
    /// In the order in which they were accepted.
    open: BTreeMap<u64, (Instant, Arc<Notify>)>,
}

/// A connection that has not sent its first message yet. Dropping it frees its place.
pub struct UnidentifiedPeer {
    peers: Arc<UnidentifiedPeers>,
    number: u64,
    displaced: Arc<Notify>,
}

impl UnidentifiedPeers {
    /// Allows `max_open` connections.
    pub fn new(max_open: usize) -> UnidentifiedPeers {
        UnidentifiedPeers {
            max_open,
            open: Mutex::default(),
            freed: Notify::new(),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until another connection may be accepted, and closes the oldest to that end.
    pub async fn wait_for_room(&self) {
        while self.table().open.len() >= self.max_open {
            self.close_oldest();
            // Others may have had their time by then.
            let _ = timeout(RETRY_INTERVAL, self.freed.notified()).await;
        }
    }

    /// Closes the oldest connection, if it has had its time.
    pub fn close_oldest(&self) {
        let mut table = self.table();
        let Some(oldest) = table.open.first_entry() else {
            return;
        };
        let (accepted_at, displaced) = oldest.get();
        if accepted_at.elapsed() >= MIN_WAIT {
            displaced.notify_one();
            oldest.remove();
            self.freed.notify_one();
        }
    }

    /// Enters a connection that has been accepted.
    pub fn register(self: &Arc<Self>) -> UnidentifiedPeer {
        let displaced = Arc::new(Notify::new());
        let mut table = self.table();
        table.next += 1;
        let number = table.next;
        let entry = (Instant::now(), Arc::clone(&displaced));
        table.open.insert(number, entry);
        UnidentifiedPeer {
            peers: Arc::clone(self),
            number,
            displaced,
        }
    }
}

impl UnidentifiedPeer {
    /// Returns once the connection has to give way to others.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for UnidentifiedPeer {
    fn drop(&mut self) {
        self.peers.table().open.remove(&self.number);
        self.peers.freed.notify_one();
    }
}
