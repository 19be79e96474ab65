//! Bounds the requests that are sent a second time, summed over all daemons,
//! without any talk between them: each daemon earns retries by its own requests
//! and has an equal part of the fixed allowance.

use coursestand_model::Millis;

/// Part of the allowed ratio that is used: windows slide, and requests that are
/// counted late must not push the sum over the bound.
const USED_PART: f64 = 0.6;

/// Bounds of the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in each window besides.
    pub extra: f64,
    /// The window in milliseconds.
    pub window_ms: Millis,
}

/// Retries of one daemon to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// The budget of one of `daemons` daemons at its start.
    pub fn new(limits: RetryLimits, daemons: usize) -> RetryBudget {
        RetryBudget {
            saved: RetryBudget::most(limits, daemons),
        }
    }

    /// Most that can be saved: the daemon's part of the fixed allowance. It can
    /// be spent once in a window whose requests earned nothing.
    fn most(limits: RetryLimits, daemons: usize) -> f64 {
        USED_PART * limits.extra / daemons.max(1) as f64
    }

    /// A request came in.
    pub fn earn(&mut self, limits: RetryLimits, daemons: usize) {
        let earned = self.saved + USED_PART * limits.ratio;
        self.saved = earned.min(RetryBudget::most(limits, daemons).max(1.0));
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let may_spend = self.saved >= 1.0;
        if may_spend {
            self.saved -= 1.0;
        }
        may_spend
    }

    /// Retries that are left.
    pub fn left(&self) -> f64 {
        self.saved
    }
}
