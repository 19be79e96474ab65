//! Retries stay at most a fifth of the requests, also if daemons restart repeatedly. Guards
//! against a budget that starts full: each incarnation could then make ten retries without
//! a single request.
#![allow(missing_docs)]

use coursestand_gateway::retry_budget::RetryBudget;
use googletest::prelude::*;

fn spend_all(budget: &RetryBudget) -> usize {
    std::iter::from_fn(|| budget.spend().then_some(())).count()
}

#[gtest]
fn restarts_do_not_raise_retries_above_a_fifth_of_the_requests() {
    const INCARNATIONS: usize = 100;
    for requests_per_incarnation in [0, 1, 4, 5, 30] {
        let retries = (0..INCARNATIONS).map(|_| {
            let budget = RetryBudget::default();
            (0..requests_per_incarnation).for_each(|_| budget.earn());
            spend_all(&budget)
        });
        let allowed = INCARNATIONS * requests_per_incarnation / 5;
        expect_that!(retries.sum::<usize>(), le(allowed));
    }
}
