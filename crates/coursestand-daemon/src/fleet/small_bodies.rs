//! Bounds the bytes of small bodies that are being read. Those that began first give way, so that
//! a body that arrives at once never waits for callers that stop sending.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// The small bodies that are being read.
pub(super) struct SmallBodies {
    capacity: usize,
    reading: Mutex<Reading>,
}

#[derive(Default)]
struct Reading {
    next: u64,
    bytes: usize,
    /// In the order in which they began.
    shares: BTreeMap<u64, Share>,
}

struct Share {
    bytes: usize,
    displaced: Arc<Notify>,
}

/// A small body that is being read. Dropping it frees its bytes.
pub(super) struct SmallBody<'a> {
    bodies: &'a SmallBodies,
    number: u64,
    displaced: Arc<Notify>,
}

impl SmallBodies {
    /// Allows `capacity` bytes.
    pub(super) fn new(capacity: usize) -> SmallBodies {
        SmallBodies {
            capacity,
            reading: Mutex::default(),
        }
    }

    fn reading(&self) -> MutexGuard<'_, Reading> {
        self.reading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a body.
    pub(super) fn begin(&self) -> SmallBody<'_> {
        let displaced = Arc::new(Notify::new());
        let share = Share {
            bytes: 0,
            displaced: Arc::clone(&displaced),
        };
        let mut reading = self.reading();
        reading.next += 1;
        let number = reading.next;
        reading.shares.insert(number, share);
        SmallBody {
            bodies: self,
            number,
            displaced,
        }
    }
}

impl SmallBody<'_> {
    /// Notes that the body takes `bytes` by now, and displaces others if that is too much.
    pub(super) fn grow_to(&self, bytes: usize) {
        let mut reading = self.bodies.reading();
        let Some(share) = reading.shares.get_mut(&self.number) else {
            return;
        };
        let before = std::mem::replace(&mut share.bytes, bytes);
        reading.bytes = reading.bytes - before + bytes;
        while reading.bytes > self.bodies.capacity {
            let Some((_, oldest)) = reading.shares.pop_first() else {
                return;
            };
            reading.bytes -= oldest.bytes;
            oldest.displaced.notify_one();
        }
    }

    /// Returns once the body has to give way to others.
    pub(super) async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for SmallBody<'_> {
    fn drop(&mut self) {
        let mut reading = self.bodies.reading();
        if let Some(share) = reading.shares.remove(&self.number) {
            reading.bytes -= share.bytes;
        }
    }
}
