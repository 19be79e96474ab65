//! Request rates, and the rate limit signal in an answer.

use serde::{Deserialize, Serialize};

const MILLI: f64 = 1_000.0;

/// A rate in requests per second, stored in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate {
    milli: u64,
}

impl Rate {
    /// Converts requests per second, rounded down to thousandths; negative values become zero.
    pub fn per_second(requests: f64) -> Rate {
        // The conversion saturates at the bounds of the type.
        let milli = (requests * MILLI).floor() as u64;
        Rate { milli }
    }

    /// Returns the rate in requests per second.
    pub fn as_per_second(self) -> f64 {
        self.milli as f64 / MILLI
    }
}

/// The rate limit signal in an answer of a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateLimitSignal {
    /// No usable information: the answer is a failure without a limit, or its limit cannot be
    /// parsed.
    #[default]
    NotReported,
    /// The back end has no limit.
    Unlimited,
    /// The back end accepts this rate from all daemons together.
    Limited(Rate),
}
