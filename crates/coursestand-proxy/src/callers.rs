//! The connections of callers: bounded, and those that rest make place for new ones.
//!
//! Each connection takes a descriptor, and a request needs another one to its back end.
//! Were callers free to hold all of them with connections that rest, no new one could
//! be accepted until the idle time-out, and no request sent on. So callers may hold
//! half of the descriptors at most; when that is reached, or when the system refuses
//! one all the same, the connections that rested longest are closed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::rest::Rest;

/// Part of the process's descriptors that callers may hold.
const CALLERS_PART: u64 = 2;
/// Connections that callers may hold where the system sets no limit.
const MOST_WITHOUT_LIMIT: usize = 16_384;
/// Part of the bound that is closed together: looking for those that rested longest
/// goes through all.
const CLOSED_PART: usize = 16;
/// A connection that rests for less may have its request on its way.
const LEAST_REST: Duration = Duration::from_millis(100);
/// A listener that took nobody for this long is not able to.
const STUCK: Duration = Duration::from_millis(500);

/// While nobody can be taken that is noticed again within this time.
const STUCK_NOTICED_AGAIN: Duration = Duration::from_millis(250);

/// The connections of callers.
pub(crate) struct Callers {
    most: usize,
    seats: Mutex<Seats>,
    freed: Notify,
}

#[derive(Default)]
struct Seats {
    next: u64,
    taken: HashMap<u64, Arc<Rest>>,
    stuck: Option<Stuck>,
}

/// No connection could be taken from `since` on, last noticed at `noticed_at`.
#[derive(Clone, Copy)]
struct Stuck {
    since: Instant,
    noticed_at: Instant,
}

impl Stuck {
    fn is_noticed(&self, now: Instant) -> bool {
        now - self.noticed_at < STUCK_NOTICED_AGAIN
    }
}

/// One connection. Dropped, its place is free.
pub(crate) struct Seat {
    callers: Arc<Callers>,
    number: u64,
    /// The rest of the connection.
    pub(crate) rest: Arc<Rest>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.callers.seats().taken.remove(&self.number);
        self.callers.freed.notify_one();
    }
}

/// Connections that callers may hold by the limits of this process.
pub(crate) fn most_by_limit() -> usize {
    match getrlimit(Resource::Nofile).current {
        Some(limit) => (limit / CALLERS_PART) as usize,
        None => MOST_WITHOUT_LIMIT,
    }
}

impl Callers {
    /// At most `most` connections.
    pub(crate) fn new(most: usize) -> Callers {
        Callers {
            most: most.max(1),
            seats: Mutex::default(),
            freed: Notify::new(),
        }
    }

    fn seats(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once callers hold no more than they may; until then, closes
    /// connections that rest. Asked after each connection that was taken, so that
    /// none is closed before another one has come for its place.
    pub(crate) async fn have_place(&self) {
        while self.seats().taken.len() > self.most {
            self.note_stuck();
            self.make_place();
            // Others may have rested long enough by then.
            let _ = timeout(LEAST_REST, self.freed.notified()).await;
        }
    }

    /// A connection was accepted.
    pub(crate) fn take(self: &Arc<Self>) -> Seat {
        let mut seats = self.seats();
        seats.stuck = None;
        seats.next += 1;
        let number = seats.next;
        let rest = Arc::new(Rest::default());
        seats.taken.insert(number, Arc::clone(&rest));
        Seat {
            callers: Arc::clone(self),
            number,
            rest,
        }
    }

    /// The system accepted no connection.
    pub(crate) fn refused(&self) {
        self.note_stuck();
        self.make_place();
    }

    fn note_stuck(&self) {
        let now = Instant::now();
        let mut seats = self.seats();
        let lasting = seats.stuck.filter(|stuck| stuck.is_noticed(now));
        seats.stuck = Some(Stuck {
            since: lasting.map_or(now, |stuck| stuck.since),
            noticed_at: now,
        });
    }

    /// Whether new connections are taken.
    pub(crate) fn are_taken(&self) -> bool {
        let now = Instant::now();
        let stuck = self.seats().stuck;
        !stuck.is_some_and(|stuck| stuck.is_noticed(now) && now - stuck.since >= STUCK)
    }

    /// Closes those that rested longest.
    fn make_place(&self) {
        let seats = self.seats();
        let mut resting: Vec<(Instant, &Arc<Rest>)> = seats
            .taken
            .values()
            .filter_map(|rest| Some((rest.resting_since()?, rest)))
            .filter(|(since, _)| since.elapsed() >= LEAST_REST)
            .collect();
        resting.sort_by_key(|(since, _)| *since);
        let count = (self.most / CLOSED_PART).max(1);
        for (_, rest) in resting.into_iter().take(count) {
            rest.end();
        }
    }
}
