//! The judge of rate limits must be able to fail, and to pass at the bound.
#![allow(missing_docs)]

use std::time::{Duration, Instant};

use coursestand_lab::rate_limits::{RateBound, exceeded, fullest_window};
use googletest::prelude::*;

const BOUND: RateBound = RateBound {
    per_second: 5.0,
    factor: 1.5,
    slack: 5.0,
};
const WINDOW: Duration = Duration::from_secs(4);

/// So many arrivals at an even pace over `seconds`, from `start` on.
fn evenly(start: Instant, count: u32, seconds: f64) -> Vec<Instant> {
    let pause = Duration::from_secs_f64(seconds / f64::from(count));
    (0..count).map(|number| start + pause * number).collect()
}

/// Guards against a judge that misses a burst which begins anywhere.
#[gtest]
fn one_request_over_the_bound_is_seen_wherever_the_window_begins() {
    let start = Instant::now();
    let mut arrivals = evenly(start, 20, 20.0);
    let burst = start + Duration::from_millis(7_777);
    arrivals.extend(evenly(burst, 36 - 4, 1.0));
    let fullest = fullest_window(BOUND, WINDOW, &arrivals);
    expect_that!(fullest.arrivals, eq(36));
    expect_that!(exceeded(BOUND, &[WINDOW], &arrivals).len(), eq(1));
}

/// Guards against a judge that is stricter than the bound.
#[gtest]
fn as_many_as_the_bound_allows_are_borne() {
    let start = Instant::now();
    expect_that!(
        exceeded(BOUND, &[WINDOW], &evenly(start, 35, 1.0)),
        is_empty()
    );
    expect_that!(exceeded(BOUND, &[WINDOW], &[]), is_empty());
}

/// Guards against a judge that looks at one length only.
#[gtest]
fn each_length_of_window_is_judged_by_itself() {
    let arrivals = evenly(Instant::now(), 15, 0.5);
    let lengths = [Duration::from_secs(1), WINDOW];
    let over = exceeded(BOUND, &lengths, &arrivals);
    expect_that!(
        over.iter().map(|one| one.length).collect::<Vec<_>>(),
        eq(&vec![lengths[0]])
    );
}
