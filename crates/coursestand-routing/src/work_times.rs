//! How long back ends of a service work on a request, learned from answers.

/// Weight of a new time once many are known; before, all count alike.
const GAIN: f64 = 1.0 / 32.0;
/// A time counts as at most this many times the average: one slow back end must
/// not pass for what is usual.
const MOST_ABOVE_AVERAGE: f64 = 2.0;
/// Part of its value by which a quantile moves with each time.
const QUANTILE_STEP: f64 = 1.0 / 16.0;
/// Quantiles that stand for a known and for an unknown object. Some objects were
/// forgotten, and some were taught by other daemons: were these to blur the
/// difference, objects would be spread over more back ends, and forgotten more.
const KNOWN_SHARE: f64 = 0.25;
const UNKNOWN_SHARE: f64 = 0.75;

/// A moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    /// Takes in a time in milliseconds.
    pub fn take(&mut self, time: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = time;
            return;
        }
        let time = time.min(MOST_ABOVE_AVERAGE * self.value);
        let gain = (1.0 / f64::from(self.samples)).max(GAIN);
        self.value += (time - self.value) * gain;
    }

    /// The average, if anything is known.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// A moving quantile, by stochastic approximation: it rises and falls by steps whose
/// sizes balance where `share` of the times are below it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    share: f64,
    value: f64,
    samples: u32,
}

impl Quantile {
    /// Follows the time below which `share` of all times are.
    pub fn new(share: f64) -> Quantile {
        Quantile {
            share,
            value: 0.0,
            samples: 0,
        }
    }

    /// Takes in a time in milliseconds.
    pub fn take(&mut self, time: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = time;
            return;
        }
        let step = (1.0 / f64::from(self.samples)).max(QUANTILE_STEP) * self.value;
        if time > self.value {
            self.value += step * self.share;
        } else {
            self.value -= step * (1.0 - self.share);
        }
    }

    /// The quantile, if anything is known.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// Times from sending a request to its answer, without a queue, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// At a back end that knows the object.
    pub known_ms: f64,
    /// What it takes longer at one that does not.
    pub first_run_ms: f64,
    /// On average: what a request that waits is followed by.
    pub mean_ms: f64,
}

/// Learns the work of one service in one place.
#[derive(Clone, Copy, Debug)]
pub struct WorkTimes {
    known: Average,
    all: Average,
    quick: Quantile,
    first: Quantile,
}

impl Default for WorkTimes {
    fn default() -> WorkTimes {
        WorkTimes {
            known: Average::default(),
            all: Average::default(),
            quick: Quantile::new(KNOWN_SHARE),
            first: Quantile::new(UNKNOWN_SHARE),
        }
    }
}

impl WorkTimes {
    /// A request that found a free slot was answered after `took_ms`; `knows`
    /// tells whether the back end was seen to know its object.
    pub fn learn(&mut self, knows: bool, took_ms: f64) {
        self.all.take(took_ms);
        if knows {
            self.known.take(took_ms);
            self.quick.take(took_ms);
        } else {
            self.first.take(took_ms);
        }
    }

    /// What is known; nothing until requests for a known object were answered.
    pub fn work(&self) -> Option<Work> {
        let known_ms = self.known.get()?;
        let quick_ms = self.quick.get()?;
        let first_ms = self.first.get().unwrap_or(quick_ms);
        Some(Work {
            known_ms,
            first_run_ms: (first_ms - quick_ms).max(0.0),
            mean_ms: self.all.get().unwrap_or(known_ms),
        })
    }
}
