//! Retries stay a fifth of the requests, also over daemons that start again and again: a
//! life that began with ten retries made ten without a single request.
#![allow(missing_docs)]

use coursestand_gateway::retry_budget::RetryBudget;
use googletest::prelude::*;

fn retries_of(budget: &RetryBudget) -> usize {
    std::iter::from_fn(|| budget.spend().then_some(())).count()
}

#[gtest]
fn lives_together_make_no_more_retries_than_a_fifth_of_their_requests() {
    const LIVES: usize = 100;
    for requests_of_a_life in [0, 1, 4, 5, 30] {
        let lives = (0..LIVES).map(|_| {
            let budget = RetryBudget::default();
            (0..requests_of_a_life).for_each(|_| budget.earn());
            retries_of(&budget)
        });
        let allowed = LIVES * requests_of_a_life / 5;
        expect_that!(lives.sum::<usize>(), le(allowed));
    }
}
