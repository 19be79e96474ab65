//! Time limits for connecting to back ends, derived from earlier connection times to the same
//! zone.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_model::ZoneId;

use crate::smoothed_time::SmoothedTime;

/// Limit for a zone without an earlier connection.
const INITIAL_LIMIT: Duration = Duration::from_millis(1_000);
/// Minimum limit: a back end may delay a new connection for a moment.
const MIN_LIMIT: Duration = Duration::from_millis(400);

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

    /// Returns the time limit for a connection to a back end in `zone`.
    pub fn limit(&self, zone: &ZoneId) -> Duration {
        let known = self.times().get(zone).copied();
        known.map_or(INITIAL_LIMIT, |time| time.limit().max(MIN_LIMIT))
    }
}
