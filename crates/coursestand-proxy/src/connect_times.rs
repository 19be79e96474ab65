//! How long a connection to a back end may take, from how long others to its zone
//! took.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_model::ZoneId;

use crate::smoothed_time::SmoothedTime;

/// Limit for a zone to which no connection was made yet.
const FIRST_LIMIT: Duration = Duration::from_millis(1_000);
/// Least limit: a back end may hold a new connection up for a moment.
const LEAST_LIMIT: Duration = Duration::from_millis(400);

/// Times of connections by zone.
#[derive(Debug, Default)]
pub struct ConnectTimes(Mutex<HashMap<ZoneId, SmoothedTime>>);

impl ConnectTimes {
    fn times(&self) -> MutexGuard<'_, HashMap<ZoneId, SmoothedTime>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to a back end in `zone` was made in this time. Returns how much
    /// longer that was than the least time seen.
    pub fn note(&self, zone: &ZoneId, took: Duration) -> Duration {
        let mut times = self.times();
        let time = times
            .entry(zone.clone())
            .and_modify(|time| time.take(took))
            .or_insert_with(|| SmoothedTime::first(took));
        took.saturating_sub(time.least())
    }

    /// How long a connection to a back end in `zone` may take.
    pub fn limit(&self, zone: &ZoneId) -> Duration {
        let known = self.times().get(zone).copied();
        known.map_or(FIRST_LIMIT, |time| time.limit().max(LEAST_LIMIT))
    }
}
