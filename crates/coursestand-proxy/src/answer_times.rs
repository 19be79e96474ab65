//! Tracks how long the first bytes of an answer usually take, and after what time a connection
//! without an answer counts as silent.
//!
//! A connection may fall silent without being closed or reset. The system detects that if sent
//! bytes are not acknowledged (see [`crate::connect`]); if a machine in between acknowledges
//! them, only the missing answer shows it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_model::{ServiceId, ZoneId};

use crate::smoothed_time::SmoothedTime;

/// Factor on the usual limit after which an answer counts as missing. A growing queue exceeds
/// the limit itself; aborting a request that is being worked on wastes the work, while a
/// request on a silent connection only waits longer.
const SILENCE_FACTOR: u32 = 3;
/// Minimum time after which an answer counts as missing: back ends that answer within
/// milliseconds occasionally pause for longer than that.
const MIN_SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// After a suspension of the process its timers expire before it has read the bytes received
/// in the meantime; this much more time is given to read them.
pub(crate) const READING_GRACE: Duration = Duration::from_millis(20);

/// Times from a request to the first bytes of its answer, by service and zone.
///
/// An answer counts as missing after [`Self::silence_limit`]: three times the usual limit
/// (smoothed time and four deviations), but at least half a second. The request is then
/// repeated if at least as much of its time is left, so it waits for at most half of its time.
/// A request that may be repeated, on a connection that has fallen silent, thus waits for that
/// limit and the time of one more answer instead of until its deadline: 0.53 s instead of
/// 4.08 s at back ends that answer within 30 ms (`tests/silent_connections.rs`).
#[derive(Debug, Default)]
pub(crate) struct AnswerTimes(Mutex<HashMap<ServiceId, HashMap<ZoneId, SmoothedTime>>>);

impl AnswerTimes {
    fn times(&self) -> MutexGuard<'_, HashMap<ServiceId, HashMap<ZoneId, SmoothedTime>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time until the first bytes of an answer.
    pub(crate) fn note(&self, service: &ServiceId, zone: &ZoneId, took: Duration) {
        let mut times = self.times();
        let known = times.get_mut(service).and_then(|zones| zones.get_mut(zone));
        match known {
            Some(time) => time.update(took),
            None => {
                let zones = times.entry(service.clone()).or_default();
                zones.insert(zone.clone(), SmoothedTime::first(took));
            }
        }
    }

    /// Returns the time after which a connection counts as silent; none without earlier
    /// answers.
    pub(crate) fn silence_limit(&self, service: &ServiceId, zone: &ZoneId) -> Option<Duration> {
        let usual = self.usual_limit(service, zone)?;
        Some((usual * SILENCE_FACTOR).max(MIN_SILENCE_LIMIT))
    }

    /// Returns the time that most answers take at most; none without earlier answers.
    pub(crate) fn usual_limit(&self, service: &ServiceId, zone: &ZoneId) -> Option<Duration> {
        let times = self.times();
        Some(times.get(service)?.get(zone)?.limit())
    }

    /// Returns the time after which a connection to any back end counts as silent; none without
    /// earlier answers.
    pub(crate) fn longest_silence_limit(&self) -> Option<Duration> {
        let times = self.times();
        let limits = times.values().flat_map(HashMap::values);
        let usual = limits.map(SmoothedTime::limit).max()?;
        Some((usual * SILENCE_FACTOR).max(MIN_SILENCE_LIMIT))
    }
}
