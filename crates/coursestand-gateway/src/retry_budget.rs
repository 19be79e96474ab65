//! Limits retries to a part of the requests, so that retries can't multiply an
//! overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that each request earns.
const EARNED_PER_REQUEST: i64 = 200;
/// Thousandths that one retry costs.
const COST: i64 = 1000;
/// Most that can be saved up: ten retries.
const MOST_SAVED: i64 = 10 * COST;

/// Retries that may still be made. A daemon that starts has earned none: what its life
/// before has spent isn't known.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: AtomicI64,
}

impl RetryBudget {
    /// A first attempt earns a part of a retry.
    pub fn earn(&self) {
        self.change(|saved| Some((saved + EARNED_PER_REQUEST).min(MOST_SAVED)));
    }

    /// Takes one retry, if the budget allows it.
    pub fn spend(&self) -> bool {
        self.change(|saved| (saved >= COST).then(|| saved - COST))
    }

    fn change(&self, next: impl Fn(i64) -> Option<i64>) -> bool {
        self.saved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .is_ok()
    }
}
