//! Rates, and what an answer says of one.

use serde::{Deserialize, Serialize};

const MILLI: f64 = 1_000.0;

/// Requests a second, kept in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rate {
    milli: u64,
}

impl Rate {
    /// This many requests a second, rounded down to thousandths; anything below zero is zero.
    pub fn per_second(requests: f64) -> Rate {
        // Conversion keeps to the bounds of the type, whatever was told.
        let milli = (requests * MILLI).floor() as u64;
        Rate { milli }
    }

    /// Requests a second.
    pub fn as_per_second(self) -> f64 {
        self.milli as f64 / MILLI
    }
}

/// What an answer says of its back end's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateWord {
    /// Nothing that counts: the answer is a failure without a limit, or its limit can't be
    /// read.
    #[default]
    Untold,
    /// The back end has none.
    Unlimited,
    /// It takes this many from all daemons together.
    Limited(Rate),
}
