//! Bounds the bytes of large bodies that calls in progress hold together. A body that arrives too
//! slowly to be complete in time gives way to another one.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

/// A body that has been arriving for less does not give way.
const MIN_RECEPTION_TIME: Duration = Duration::from_millis(250);
/// Time for bodies that give way to free their bytes.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// The large bodies of calls in progress.
pub(super) struct LargeBodies {
    room: Arc<Semaphore>,
    /// Time for a body to arrive.
    limit: Duration,
    reading: Mutex<Reading>,
}

#[derive(Default)]
struct Reading {
    next: u64,
    /// Bodies that are being read, in the order in which they began.
    bodies: BTreeMap<u64, Reception>,
}

struct Reception {
    reserved: usize,
    received: usize,
    began_at: Instant,
    displaced: Arc<Notify>,
}

impl Reception {
    /// Returns whether the body would not be complete within `limit` at the rate at which it has
    /// been arriving.
    fn is_too_slow(&self, now: Instant, limit: Duration) -> bool {
        let elapsed = now - self.began_at;
        let expected = self.reserved as f64 * (elapsed.as_secs_f64() / limit.as_secs_f64());
        elapsed >= MIN_RECEPTION_TIME && (self.received as f64) < expected
    }
}

/// A large body that is being read. Dropping it frees its bytes.
pub(super) struct LargeBody<'a> {
    bodies: &'a LargeBodies,
    number: u64,
    displaced: Arc<Notify>,
    share: Option<OwnedSemaphorePermit>,
}

impl LargeBodies {
    /// Allows `capacity` bytes, and each body `limit` to arrive.
    pub(super) fn new(capacity: usize, limit: Duration) -> LargeBodies {
        LargeBodies {
            room: Arc::new(Semaphore::new(capacity)),
            limit,
            reading: Mutex::default(),
        }
    }

    fn reading(&self) -> MutexGuard<'_, Reading> {
        self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a body of up to `bytes`, if there is room or others give way.
    pub(super) async fn begin(&self, bytes: usize) -> Option<LargeBody<'_>> {
        let room = Arc::clone(&self.room);
        let share = match room.clone().try_acquire_many_owned(bytes as u32) {
            Ok(share) => share,
            Err(_) if self.displace(bytes) => {
                let freed = timeout(RELEASE_TIMEOUT, room.acquire_many_owned(bytes as u32));
                freed.await.ok()?.ok()?
            }
            Err(_) => return None,
        };
        let displaced = Arc::new(Notify::new());
        let mut reading = self.reading();
        reading.next += 1;
        let number = reading.next;
        let reception = Reception {
            reserved: bytes,
            received: 0,
            began_at: Instant::now(),
            displaced: Arc::clone(&displaced),
        };
        reading.bodies.insert(number, reception);
        Some(LargeBody {
            bodies: self,
            number,
            displaced,
            share: Some(share),
        })
    }

    /// Displaces bodies that arrive too slowly, the oldest first, if that makes room for `bytes`.
    /// Returns whether it does.
    fn displace(&self, bytes: usize) -> bool {
        let now = Instant::now();
        let reading = self.reading();
        let mut room = self.room.available_permits();
        let mut displaced = Vec::new();
        for reception in reading.bodies.values() {
            if room >= bytes {
                break;
            }
            if reception.is_too_slow(now, self.limit) {
                room += reception.reserved;
                displaced.push(&reception.displaced);
            }
        }
        if room < bytes {
            return false;
        }
        for body in displaced {
            body.notify_one();
        }
        true
    }
}

impl LargeBody<'_> {
    /// Notes that `bytes` of the body have arrived by now.
    pub(super) fn note_received(&self, bytes: usize) {
        if let Some(reception) = self.bodies.reading().bodies.get_mut(&self.number) {
            reception.received = bytes;
        }
    }

    /// Returns once the body has to give way to others.
    pub(super) async fn displaced(&self) {
        self.displaced.notified().await;
    }

    /// Ends the reception. The bytes stay reserved until the returned permit is dropped.
    pub(super) fn complete(mut self) -> Option<OwnedSemaphorePermit> {
        self.share.take()
    }
}

impl Drop for LargeBody<'_> {
    fn drop(&mut self) {
        self.bodies.reading().bodies.remove(&self.number);
    }
}
