//! Estimates how long back ends of a service work on a request, from the times of their
//! answers.

/// Minimum weight of a new time in the average; the first ones all count equally.
const MIN_GAIN: f64 = 1.0 / 32.0;
/// Times are capped at this multiple of the average, so that a single slow back end does not
/// distort it.
const MAX_AVERAGE_RATIO: f64 = 2.0;
/// Minimum step of a quantile with each time, as a fraction of its value.
const MIN_QUANTILE_STEP: f64 = 1.0 / 16.0;
/// Quantiles that represent the times of warm objects and of first runs. Back ends may have
/// evicted objects that count as warm, and may be warm through other daemons for others. If
/// these blurred the difference, objects would be spread over more back ends, and evicted
/// more often.
const WARM_QUANTILE: f64 = 0.25;
const FIRST_RUN_QUANTILE: f64 = 0.75;

/// A moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    /// Records a time in milliseconds.
    pub fn record(&mut self, time: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = time;
            return;
        }
        let time = time.min(MAX_AVERAGE_RATIO * self.value);
        let gain = (1.0 / f64::from(self.samples)).max(MIN_GAIN);
        self.value += (time - self.value) * gain;
    }

    /// Returns the average in milliseconds, or `None` before the first time.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// A moving quantile by stochastic approximation: it moves up and down by steps whose sizes
/// balance where a fraction `share` of the times is below it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    share: f64,
    value: f64,
    samples: u32,
}

impl Quantile {
    /// Returns an estimate of the time below which a fraction `share` of all times is.
    pub fn new(share: f64) -> Quantile {
        Quantile {
            share,
            value: 0.0,
            samples: 0,
        }
    }

    /// Records a time in milliseconds.
    pub fn record(&mut self, time: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = time;
            return;
        }
        let step = (1.0 / f64::from(self.samples)).max(MIN_QUANTILE_STEP) * self.value;
        if time > self.value {
            self.value += step * self.share;
        } else {
            self.value -= step * (1.0 - self.share);
        }
    }

    /// Returns the quantile in milliseconds, or `None` before the first time.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// Times from sending a request to its answer without a queue, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Average time at a back end that is warm for the object.
    pub warm_ms: f64,
    /// Additional time of a first run, at a back end that is not warm for the object.
    pub first_run_ms: f64,
    /// Average over all requests, which determines how fast a queue drains.
    pub mean_ms: f64,
}

/// Estimates the work times of one service in one zone.
#[derive(Clone, Copy, Debug)]
pub struct WorkTimes {
    warm: Average,
    all: Average,
    warm_quantile: Quantile,
    first_run_quantile: Quantile,
}

impl Default for WorkTimes {
    fn default() -> WorkTimes {
        WorkTimes {
            warm: Average::default(),
            all: Average::default(),
            warm_quantile: Quantile::new(WARM_QUANTILE),
            first_run_quantile: Quantile::new(FIRST_RUN_QUANTILE),
        }
    }
}

impl WorkTimes {
    /// Records that a request that found a free slot was answered after `took_ms`. `is_warm`
    /// is whether the back end was observed to be warm for its object.
    pub fn record(&mut self, is_warm: bool, took_ms: f64) {
        self.all.record(took_ms);
        if is_warm {
            self.warm.record(took_ms);
            self.warm_quantile.record(took_ms);
        } else {
            self.first_run_quantile.record(took_ms);
        }
    }

    /// Returns the estimates, or `None` before any request for a warm object was answered.
    pub fn work(&self) -> Option<Work> {
        let warm_ms = self.warm.get()?;
        let warm_quantile_ms = self.warm_quantile.get()?;
        let first_quantile_ms = self.first_run_quantile.get().unwrap_or(warm_quantile_ms);
        Some(Work {
            warm_ms,
            first_run_ms: (first_quantile_ms - warm_quantile_ms).max(0.0),
            mean_ms: self.all.get().unwrap_or(warm_ms),
        })
    }
}
