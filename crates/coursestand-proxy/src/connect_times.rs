//! How long a connection to a back end may take, from how long others to its zone
//! took.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_model::ZoneId;

/// Limit for a zone to which no connection was made yet.
const FIRST_LIMIT: Duration = Duration::from_millis(1_000);
/// Least limit: a back end may hold a new connection up for a moment.
const LEAST_LIMIT: Duration = Duration::from_millis(400);
/// Weights of a new time in the smoothed time and in the deviation, and how many
/// deviations the limit is above it, as for the retransmission time-out of TCP
/// (RFC 6298).
const TIME_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// Smoothed time and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    time: f64,
    deviation: f64,
    /// The least time, with nothing waiting on the way.
    least: f64,
}

impl Estimate {
    fn first(took: f64) -> Estimate {
        Estimate {
            time: took,
            deviation: took / 2.0,
            least: took,
        }
    }

    fn take(&mut self, took: f64) {
        let error = took - self.time;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
        self.time += error * TIME_GAIN;
        self.least = self.least.min(took);
    }
}

/// Times of connections by zone.
#[derive(Debug, Default)]
pub struct ConnectTimes(Mutex<HashMap<ZoneId, Estimate>>);

impl ConnectTimes {
    fn estimates(&self) -> MutexGuard<'_, HashMap<ZoneId, Estimate>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to a back end in `zone` was made in this time. Returns how much
    /// longer that was than the least time seen.
    pub fn note(&self, zone: &ZoneId, took: Duration) -> Duration {
        let took = took.as_secs_f64();
        let mut estimates = self.estimates();
        let estimate = estimates
            .entry(zone.clone())
            .or_insert_with(|| Estimate::first(took));
        estimate.take(took);
        Duration::from_secs_f64(took - estimate.least)
    }

    /// How long a connection to a back end in `zone` may take.
    pub fn limit(&self, zone: &ZoneId) -> Duration {
        let known = self.estimates().get(zone).copied();
        known.map_or(FIRST_LIMIT, |estimate| {
            let seconds = estimate.time + DEVIATIONS * estimate.deviation;
            Duration::from_secs_f64(seconds).max(LEAST_LIMIT)
        })
    }
}
