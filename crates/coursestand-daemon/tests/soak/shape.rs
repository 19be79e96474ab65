//! The size, load and bounds of a deployment.

use std::time::Duration;

use coursestand_lab::repeats::RepeatBound;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::BACKENDS;

const FIRST_EDGE: u8 = 11;
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Sum of the weights of the faults in the baseline shape.
const BASELINE_FAULT_WEIGHT: u32 = 10;
/// Sum of the weights with kills of all entry daemons and suspended back ends added.
const TOTAL_FAULT_WEIGHT: u32 = 13;
/// Sum of the weights with large changes and kills of all control processes added.
const OPERATORS_FAULT_WEIGHT: u32 = 22;

/// The shape of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    pub daemons: u8,
    /// Delay between two requests of a caller.
    pub pause: Duration,
    /// Constant part of the retry bound.
    pub retry_extra: f64,
    pub has_all_faults: bool,
    /// Whether operators make large changes and all control processes are killed at once.
    pub has_operators: bool,
    /// Whether a request that crashes back ends is sent.
    pub has_fatal_requests: bool,
    /// Whether the last back end announces a rate limit with each complete answer.
    pub has_rate_limit: bool,
    /// Whether daemons are partitioned from the back ends.
    pub has_partitions: bool,
}

impl Shape {
    /// Returns a shape with three busy entry daemons.
    pub fn baseline() -> Shape {
        Shape {
            daemons: 3,
            pause: Duration::from_millis(5),
            retry_extra: 64.0,
            has_all_faults: false,
            has_operators: false,
            has_fatal_requests: false,
            has_rate_limit: false,
            has_partitions: false,
        }
    }

    /// Returns a shape whose daemons are partitioned from the back ends, besides all other faults.
    pub fn with_partitions() -> Shape {
        Shape {
            daemons: 6,
            pause: Duration::from_millis(20),
            has_all_faults: true,
            has_partitions: true,
            ..Shape::baseline()
        }
    }

    /// Returns a shape with less load, large changes and kills of all control processes.
    pub fn with_operators() -> Shape {
        Shape {
            pause: Duration::from_millis(50),
            has_all_faults: true,
            has_operators: true,
            ..Shape::baseline()
        }
    }

    /// Returns the random shape of a seed.
    pub fn from_seed(seed: u64) -> Shape {
        let mut random = StdRng::seed_from_u64(!seed);
        Shape {
            daemons: [3, 6, 12][random.random_range(0..3)],
            pause: Duration::from_millis([5, 50, 300][random.random_range(0..3)]),
            retry_extra: [64.0, 20.0, 6.0][random.random_range(0..3)],
            has_all_faults: true,
            has_operators: false,
            has_fatal_requests: false,
            has_rate_limit: true,
            has_partitions: false,
        }
    }

    /// Returns the hosts of the entry daemons.
    pub fn edges(&self) -> Vec<u8> {
        (0..self.daemons)
            .map(|number| FIRST_EDGE + number)
            .collect()
    }

    pub fn fault_weight(&self) -> u32 {
        if self.has_operators {
            OPERATORS_FAULT_WEIGHT
        } else if self.has_all_faults {
            TOTAL_FAULT_WEIGHT
        } else {
            BASELINE_FAULT_WEIGHT
        }
    }

    /// Returns the number of back ends with connection faults. The rate-limited one has none:
    /// requests that a relay delays arrive together, which no daemon can prevent.
    pub fn backends_with_link_faults(&self) -> usize {
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
