//! Time limits for connecting to back ends, derived from earlier connection times to the same
//! zone and from the queueing delay on the machine's own link.
//!
//! Behind a full link, connections to sound back ends exceed the limit that is derived from
//! earlier ones. If each of these counted as a failure of its back end, a daemon with a full
//! link would eject most back ends, and move their objects to others that are not warm.

use std::collections::HashMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_model::ZoneId;

use crate::phases::AttemptFailure;
use crate::smoothed_time::SmoothedTime;

/// Limit for a zone without an earlier connection.
const INITIAL_LIMIT: Duration = Duration::from_millis(1_000);
/// Minimum limit: a back end may delay a new connection for a moment.
const MIN_LIMIT: Duration = Duration::from_millis(400);
/// Factor on the queueing delay that is added to the limit. The delay is the minimum of several
/// peers and is known late.
const QUEUEING_FACTOR: u32 = 2;
/// Queueing delay from which on a connection that exceeds its limit says nothing about the back
/// end.
const CONGESTED_DELAY: Duration = Duration::from_millis(50);

/// Connection times by zone.
#[derive(Debug, Default)]
pub struct ConnectTimes(Mutex<HashMap<ZoneId, SmoothedTime>>);

impl ConnectTimes {
    fn times(&self) -> MutexGuard<'_, HashMap<ZoneId, SmoothedTime>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time that a connection to a back end in `zone` took. Returns by how much it
    /// exceeds the shortest time so far.
    pub fn note(&self, zone: &ZoneId, took: Duration) -> Duration {
        let mut times = self.times();
        let time = times
            .entry(zone.clone())
            .and_modify(|time| time.update(took))
            .or_insert_with(|| SmoothedTime::first(took));
        took.saturating_sub(time.shortest())
    }

    /// Returns the time limit for a connection to a back end in `zone` while data is queued on
    /// the link for `queueing_delay`.
    pub fn limit(&self, zone: &ZoneId, queueing_delay: Duration) -> Duration {
        let known = self.times().get(zone).copied();
        let usual = known.map_or(INITIAL_LIMIT, |time| time.limit().max(MIN_LIMIT));
        usual + QUEUEING_FACTOR * queueing_delay
    }
}

/// Returns why an attempt failed for which no connection could be made. `queueing_delay` is the
/// longest one on the link during the attempt.
pub fn connect_failure(cause: io::ErrorKind, queueing_delay: Duration) -> AttemptFailure {
    match cause {
        io::ErrorKind::TimedOut if queueing_delay >= CONGESTED_DELAY => AttemptFailure::Congested,
        io::ErrorKind::ConnectionRefused => AttemptFailure::Refused,
        _ => AttemptFailure::Unreachable,
    }
}
