//! Limits retries to a fraction of the requests, so that retries don't amplify an overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Credit per request, in thousandths of a retry.
const CREDIT_PER_REQUEST: i64 = 200;
/// Cost of a retry, in thousandths of a retry.
const RETRY_COST: i64 = 1000;
/// Maximum balance: ten retries.
const MAX_BALANCE: i64 = 10 * RETRY_COST;

/// Balance of retries. It starts at zero, because a restarted daemon has no record of what
/// its previous incarnation has spent.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balance: AtomicI64,
}

impl RetryBudget {
    /// Credits the budget for the first attempt of a request.
    pub fn earn(&self) {
        self.change(|balance| Some((balance + CREDIT_PER_REQUEST).min(MAX_BALANCE)));
    }

    /// Withdraws one retry. Returns `false` if the balance is too low.
    pub fn spend(&self) -> bool {
        self.change(|balance| (balance >= RETRY_COST).then(|| balance - RETRY_COST))
    }

    fn change(&self, next: impl Fn(i64) -> Option<i64>) -> bool {
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next)
            .is_ok()
    }
}
