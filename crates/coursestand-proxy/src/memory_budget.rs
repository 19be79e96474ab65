//! Accounts for the bytes that are kept for all connections together, within a fixed capacity.
//!
//! What ordinary requests keep is small and part of what a connection costs; only larger amounts
//! are charged. A request that is being received has been sent nowhere, so it can be given up
//! with the promise that it has not run: when there is no room, the one that began longest ago is
//! evicted. An ordinary caller is done within milliseconds and never is the oldest.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use futures::task::AtomicWaker;
use tokio::time::Instant;

use crate::metrics::ProxyMetrics;

/// Amounts up to this many bytes are part of what a connection costs: heads, bodies and answers
/// that fit aren't charged.
pub const FREE_BYTES: usize = 16 * 1024;
/// What a streamed body takes in bytes: the read buffer of one connection and what waits to be
/// written on the other.
pub const STREAM_BYTES: usize = 128 * 1024;
/// What an open caller connection takes in bytes when nothing is charged for it: its task and the
/// buffers of the HTTP library.
const CONNECTION_BYTES: u64 = 96 * 1024;
/// Part of the process's memory that the charged bytes may take. What the allocator keeps of freed
/// buffers comes on top.
const CHARGED_DIVISOR: u64 = 8;
/// Part of the process's memory that the caller connections may take.
const CONNECTIONS_DIVISOR: u64 = 4;
/// Part of the capacity that answers may take, so that callers that don't read theirs leave room for
/// requests and streams.
const ANSWERS_DIVISOR: usize = 2;
/// Smallest capacity in bytes.
const MIN_CAPACITY: u64 = 4 * 1024 * 1024;
/// Shortest time between two log lines on evictions.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What bytes are kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Heads of requests.
    Head,
    /// Request bodies that are kept to be sent again.
    RequestBody,
    /// Buffers of streamed bodies.
    Stream,
    /// Answers that are kept until they are complete, and until their callers have read them.
    Answer,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [MemoryKind; 4] = [
        MemoryKind::Head,
        MemoryKind::RequestBody,
        MemoryKind::Stream,
        MemoryKind::Answer,
    ];

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            MemoryKind::Head => "head",
            MemoryKind::RequestBody => "request-body",
            MemoryKind::Stream => "stream",
            MemoryKind::Answer => "answer",
        }
    }
}

/// There is no room for more bytes, or what was kept has been evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// Tells the holder of a permit that it was evicted.
#[derive(Debug, Default)]
struct Eviction {
    has_happened: AtomicBool,
    waker: AtomicWaker,
}

/// A request that is being received and may be evicted.
struct Reception {
    bytes: usize,
    kind: MemoryKind,
    eviction: Arc<Eviction>,
}

/// When a request began to be received, and a number that tells apart those of the same time.
type ReceptionKey = (Instant, u64);

#[derive(Default)]
struct Account {
    held: usize,
    /// The part of `held` that requests in reception hold.
    evictable: usize,
    /// The part of `held` that answers hold.
    answers: usize,
    next: u64,
    receptions: BTreeMap<ReceptionKey, Reception>,
    logged_at: Option<Instant>,
}

/// The account of the bytes that are kept for connections.
pub struct MemoryBudget {
    capacity: usize,
    max_connections: usize,
    account: Mutex<Account>,
    metrics: ProxyMetrics,
}

impl MemoryBudget {
    /// Creates the account of a process that may use `memory_bytes`.
    pub fn new(memory_bytes: u64, metrics: ProxyMetrics) -> Arc<MemoryBudget> {
        let charged = (memory_bytes / CHARGED_DIVISOR).max(MIN_CAPACITY);
        let connections = (memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES).max(1);
        Arc::new(MemoryBudget {
            capacity: usize::try_from(charged).unwrap_or(usize::MAX),
            max_connections: usize::try_from(connections).unwrap_or(usize::MAX),
            account: Mutex::default(),
            metrics,
        })
    }

    fn account(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.account().held
    }

    /// Returns the number of caller connections that fit into the memory of the process.
    pub(crate) fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns an empty permit of a request that began to be received at `began_at` and may be
    /// evicted.
    pub fn receive(self: &Arc<Self>, kind: MemoryKind, began_at: Instant) -> MemoryPermit {
        let mut permit = self.hold(kind);
        permit.reception = Some(Receiving {
            began_at,
            key: None,
            eviction: Arc::default(),
        });
        permit
    }

    /// Returns an empty permit that is never evicted, and evicts nobody.
    pub fn hold(self: &Arc<Self>, kind: MemoryKind) -> MemoryPermit {
        MemoryPermit {
            budget: Arc::clone(self),
            kind,
            bytes: 0,
            reception: None,
        }
    }

    /// Reserves the buffers of a streamed body. Requests that are being received make room.
    pub fn stream(self: &Arc<Self>) -> Result<MemoryPermit, NoRoom> {
        let mut permit = self.hold(MemoryKind::Stream);
        let mut account = self.account();
        self.make_room(&mut account, STREAM_BYTES, None)?;
        permit.charge(&mut account, STREAM_BYTES);
        drop(account);
        Ok(permit)
    }

    /// Returns how many bytes of this kind fit without an eviction.
    fn room(&self, account: &Account, kind: MemoryKind) -> usize {
        let room = self.capacity - account.held;
        match kind {
            MemoryKind::Answer => {
                room.min((self.capacity / ANSWERS_DIVISOR).saturating_sub(account.answers))
            }
            _ => room,
        }
    }

    /// Evicts the oldest requests in reception, but not that with `key`, until `bytes` fit.
    fn make_room(
        &self,
        account: &mut Account,
        bytes: usize,
        key: Option<ReceptionKey>,
    ) -> Result<(), NoRoom> {
        let own = key.and_then(|key| account.receptions.get(&key));
        let evictable = account.evictable - own.map_or(0, |own| own.bytes);
        if self.capacity - account.held + evictable < bytes {
            self.count("refused");
            return Err(NoRoom);
        }
        while self.capacity - account.held < bytes {
            let mut others = account
                .receptions
                .keys()
                .filter(|other| Some(**other) != key);
            let Some(oldest) = others.next().copied() else {
                return Err(NoRoom);
            };
            self.evict(account, oldest);
        }
        Ok(())
    }

    /// Gives the bytes of a request in reception back at once: its holder is woken and drops them.
    fn evict(&self, account: &mut Account, key: ReceptionKey) {
        let Some(reception) = account.receptions.remove(&key) else {
            return;
        };
        account.held -= reception.bytes;
        account.evictable -= reception.bytes;
        self.gauge(reception.kind, 0, reception.bytes);
        reception
            .eviction
            .has_happened
            .store(true, Ordering::Release);
        reception.eviction.waker.wake();
        self.count("evicted");
        let now = Instant::now();
        let is_due = account.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL);
        if is_due {
            account.logged_at = Some(now);
            log::warn!(target: "proxy", kind = reception.kind.name(), bytes = reception.bytes,
                age_ms = (now - key.0).as_millis() as u64, held = account.held;
                "a request in reception was given up for lack of memory");
        }
    }

    fn count(&self, outcome: &str) {
        let counter = &self.metrics.memory_refusals;
        counter.with_label_values(&[outcome]).inc();
    }

    fn gauge(&self, kind: MemoryKind, added: usize, removed: usize) {
        let gauge = self.metrics.memory_bytes.with_label_values(&[kind.name()]);
        gauge.add(added as i64 - removed as i64);
    }
}

#[derive(Debug)]
struct Receiving {
    began_at: Instant,
    /// Key in the account; set once anything is charged.
    key: Option<ReceptionKey>,
    eviction: Arc<Eviction>,
}

/// Bytes that are held. Dropping it gives them back.
pub struct MemoryPermit {
    budget: Arc<MemoryBudget>,
    kind: MemoryKind,
    bytes: usize,
    /// Set while the request is being received.
    reception: Option<Receiving>,
}

impl MemoryPermit {
    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets the number of bytes held. A request in reception evicts older ones to make room.
    pub fn resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        if bytes == self.bytes {
            return Ok(());
        }
        let budget = Arc::clone(&self.budget);
        let mut account = budget.account();
        if self.is_evicted() {
            return Err(NoRoom);
        }
        let more = bytes.saturating_sub(self.bytes);
        match &self.reception {
            Some(receiving) => budget.make_room(&mut account, more, receiving.key)?,
            None if budget.room(&account, self.kind) < more => return Err(NoRoom),
            None => {}
        }
        self.charge(&mut account, bytes);
        Ok(())
    }

    fn charge(&mut self, account: &mut Account, bytes: usize) {
        account.held = account.held - self.bytes + bytes;
        if self.kind == MemoryKind::Answer {
            account.answers = account.answers - self.bytes + bytes;
        }
        self.budget.gauge(self.kind, bytes, self.bytes);
        self.bytes = bytes;
        let Some(receiving) = &mut self.reception else {
            return;
        };
        let key = *receiving.key.get_or_insert_with(|| {
            account.next += 1;
            (receiving.began_at, account.next)
        });
        account.evictable += bytes;
        let reception = Reception {
            bytes,
            kind: self.kind,
            eviction: Arc::clone(&receiving.eviction),
        };
        if let Some(earlier) = account.receptions.insert(key, reception) {
            account.evictable -= earlier.bytes;
        }
    }

    /// Returns whether it is that of a request that is being received.
    pub(crate) fn is_reception(&self) -> bool {
        self.reception.is_some()
    }

    /// Returns whether the request was evicted. Nothing of it may be kept then.
    pub fn is_evicted(&self) -> bool {
        let reception = self.reception.as_ref();
        reception.is_some_and(|receiving| receiving.eviction.has_happened.load(Ordering::Acquire))
    }

    /// Completes once the request is evicted.
    pub fn poll_evicted(&self, context: &mut Context<'_>) -> Poll<()> {
        let Some(receiving) = &self.reception else {
            return Poll::Pending;
        };
        receiving.eviction.waker.register(context.waker());
        match self.is_evicted() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    /// Ends the reception: from now on the request is not evicted.
    pub fn keep(&mut self) -> Result<(), NoRoom> {
        let budget = Arc::clone(&self.budget);
        let mut account = budget.account();
        if self.is_evicted() {
            return Err(NoRoom);
        }
        self.end_reception(&mut account);
        Ok(())
    }

    fn end_reception(&mut self, account: &mut Account) {
        let key = self.reception.take().and_then(|receiving| receiving.key);
        if key.is_some_and(|key| account.receptions.remove(&key).is_some()) {
            account.evictable -= self.bytes;
        }
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let budget = Arc::clone(&self.budget);
        let mut account = budget.account();
        if self.is_evicted() {
            return;
        }
        self.end_reception(&mut account);
        account.held -= self.bytes;
        if self.kind == MemoryKind::Answer {
            account.answers -= self.bytes;
        }
        budget.gauge(self.kind, 0, self.bytes);
    }
}
