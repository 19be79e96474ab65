//! How large a deployment is, how much it is asked and what its bounds are.

use std::time::Duration;

use coursestand_lab::repeats::RepeatBound;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::BACKENDS;

const FIRST_EDGE: u8 = 11;
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Kinds of faults that a schedule of the narrow shape draws from, each counted as often as
/// it weighs.
const NARROW_FAULTS: u32 = 10;
/// The same with the kill of all entry daemons and with back ends that stand still.
const ALL_FAULTS: u32 = 13;

/// The shape of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    pub daemons: u8,
    /// Between two requests of a caller.
    pub pause: Duration,
    /// Fixed part of the bound on repeats.
    pub retry_extra: f64,
    pub has_all_faults: bool,
    /// Whether the last back end names a rate limit with each proper answer.
    pub has_rate_limit: bool,
}

impl Shape {
    /// Three busy entry daemons.
    pub fn narrow() -> Shape {
        Shape {
            daemons: 3,
            pause: Duration::from_millis(5),
            retry_extra: 64.0,
            has_all_faults: false,
            has_rate_limit: false,
        }
    }

    /// The shape that belongs to a seed.
    pub fn drawn(seed: u64) -> Shape {
        let mut random = StdRng::seed_from_u64(!seed);
        Shape {
            daemons: [3, 6, 12][random.random_range(0..3)],
            pause: Duration::from_millis([5, 50, 300][random.random_range(0..3)]),
            retry_extra: [64.0, 20.0, 6.0][random.random_range(0..3)],
            has_all_faults: true,
            has_rate_limit: true,
        }
    }

    /// Hosts of the entry daemons.
    pub fn edges(&self) -> Vec<u8> {
        (0..self.daemons)
            .map(|number| FIRST_EDGE + number)
            .collect()
    }

    pub fn kinds_of_faults(&self) -> u32 {
        if self.has_all_faults {
            ALL_FAULTS
        } else {
            NARROW_FAULTS
        }
    }

    /// Back ends whose connections are harmed. Requests that a relay holds back arrive together,
    /// which no daemon can prevent: the one with a rate limit is left alone.
    pub fn harmed_backends(&self) -> usize {
        BACKENDS - usize::from(self.has_rate_limit)
    }

    pub fn repeat_bound(&self) -> RepeatBound {
        RepeatBound {
            ratio: RETRY_RATIO,
            extra: self.retry_extra,
            window: RETRY_WINDOW,
        }
    }
}
