//! How long the first bytes of an answer usually take, and from when on a connection
//! that brings none is taken for silent.
//!
//! A connection may fall silent without an end or a reset. The system notices that
//! where bytes stay unconfirmed (see [`crate::connect`]); where a machine between
//! confirms them, only the missing answer shows it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_model::{ServiceId, ZoneId};

use crate::smoothed_time::SmoothedTime;

/// Times the usual limit after which an answer counts as missing. The limit itself is
/// passed by a queue that builds up; a request that is broken off while it is worked on
/// costs its work, and one on a silent connection only waits longer.
const FACTOR: u32 = 3;
/// Least time after which an answer counts as missing: back ends that answer within
/// milliseconds stop for longer than that now and then.
const LEAST_LIMIT: Duration = Duration::from_millis(500);
/// A process that stood still finds its timers due before it has read what came
/// meanwhile; this long it reads before it believes them.
pub(crate) const READING_GRACE: Duration = Duration::from_millis(20);

/// Times from a request to the first bytes of its answer, by service and zone.
///
/// An answer counts as missing after [`Self::silence_limit`]: three times the usual
/// limit (smoothed time and four deviations), half a second at least. A request is
/// repeated then if as much of its time is left, so it waits half of its time at most.
/// So a request that may be repeated, on a connection that has
/// fallen silent, waits that long and one answer's time more, instead of until its
/// deadline: 0.53 s instead of 4.08 s at back ends that answer within 30 ms
/// (`tests/silent_connections.rs`).
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes(Mutex<HashMap<ServiceId, HashMap<ZoneId, SmoothedTime>>>);

impl AnswerTimes {
    fn times(&self) -> MutexGuard<'_, HashMap<ServiceId, HashMap<ZoneId, SmoothedTime>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The first bytes of an answer came after this time.
    pub(crate) fn note(&self, service: &ServiceId, zone: &ZoneId, took: Duration) {
        let mut times = self.times();
        let known = times.get_mut(service).and_then(|zones| zones.get_mut(zone));
        match known {
            Some(time) => time.take(took),
            None => {
                let zones = times.entry(service.clone()).or_default();
                zones.insert(zone.clone(), SmoothedTime::first(took));
            }
        }
    }

    /// How long to wait until a connection counts as silent. None where nothing is
    /// known.
    pub(crate) fn silence_limit(&self, service: &ServiceId, zone: &ZoneId) -> Option<Duration> {
        let usual = self.times().get(service)?.get(zone)?.limit();
        Some((usual * FACTOR).max(LEAST_LIMIT))
    }
}
