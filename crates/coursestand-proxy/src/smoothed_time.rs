//! A smoothed time and its deviation, and a limit above both that a usual time keeps.

use std::time::Duration;

/// Weights of a new time in the smoothed time and in the deviation, and how many
/// deviations the limit is above it, as for the retransmission time-out of TCP
/// (RFC 6298).
const TIME_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// Smoothed time and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SmoothedTime {
    time: f64,
    deviation: f64,
    /// The least time, with nothing waiting on the way.
    least: f64,
}

impl SmoothedTime {
    /// What is known after the first time.
    pub(crate) fn first(took: Duration) -> SmoothedTime {
        let took = took.as_secs_f64();
        SmoothedTime {
            time: took,
            deviation: took / 2.0,
            least: took,
        }
    }

    /// Takes another time in.
    pub(crate) fn take(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let error = took - self.time;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
        self.time += error * TIME_GAIN;
        self.least = self.least.min(took);
    }

    /// The least time that was seen.
    pub(crate) fn least(&self) -> Duration {
        Duration::from_secs_f64(self.least)
    }

    /// A time that usual ones stay below.
    pub(crate) fn limit(&self) -> Duration {
        Duration::from_secs_f64(self.time + DEVIATIONS * self.deviation)
    }
}
