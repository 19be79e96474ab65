//! A smoothed duration with its mean deviation, and an upper limit on usual durations that is
//! derived from both.

use std::time::Duration;

/// Gains of the smoothed duration and of its deviation, and the number of deviations by which
/// the limit exceeds it, as for the retransmission timeout of TCP (RFC 6298).
const TIME_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// Smoothed duration and its mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SmoothedTime {
    time: f64,
    deviation: f64,
    /// Shortest duration, assumed to be free of queueing delay.
    shortest: f64,
}

impl SmoothedTime {
    /// Creates the estimate from the first duration.
    pub(crate) fn first(took: Duration) -> SmoothedTime {
        let took = took.as_secs_f64();
        SmoothedTime {
            time: took,
            deviation: took / 2.0,
            shortest: took,
        }
    }

    /// Updates the estimate with another duration.
    pub(crate) fn update(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let error = took - self.time;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
        self.time += error * TIME_GAIN;
        self.shortest = self.shortest.min(took);
    }

    /// Returns the shortest duration.
    pub(crate) fn shortest(&self) -> Duration {
        Duration::from_secs_f64(self.shortest)
    }

    /// Returns a limit that usual durations stay below.
    pub(crate) fn limit(&self) -> Duration {
        Duration::from_secs_f64(self.time + DEVIATIONS * self.deviation)
    }
}
