//! The rate limit check detects windows that exceed the bound, and passes those at it.
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

/// Returns `count` evenly spaced arrivals over `seconds` from `start` on.
fn evenly_spaced(start: Instant, count: u32, seconds: f64) -> Vec<Instant> {
    let pause = Duration::from_secs_f64(seconds / f64::from(count));
    (0..count).map(|number| start + pause * number).collect()
}

/// Guards against a check that misses a burst because of the time at which it begins.
#[gtest]
fn one_request_over_the_bound_is_detected_wherever_the_window_begins() {
    let start = Instant::now();
    let mut arrivals = evenly_spaced(start, 20, 20.0);
    let burst = start + Duration::from_millis(7_777);
    arrivals.extend(evenly_spaced(burst, 36 - 4, 1.0));
    let fullest = fullest_window(BOUND, WINDOW, &arrivals);
    expect_that!(fullest.arrivals, eq(36));
    expect_that!(exceeded(BOUND, &[WINDOW], &arrivals).len(), eq(1));
}

/// Guards against a check that is stricter than the bound.
#[gtest]
fn arrivals_up_to_the_bound_pass() {
    let start = Instant::now();
    expect_that!(
        exceeded(BOUND, &[WINDOW], &evenly_spaced(start, 35, 1.0)),
        is_empty()
    );
    expect_that!(exceeded(BOUND, &[WINDOW], &[]), is_empty());
}

/// Guards against a check that applies one window length only.
#[gtest]
fn each_window_length_is_checked_separately() {
    let arrivals = evenly_spaced(Instant::now(), 15, 0.5);
    let lengths = [Duration::from_secs(1), WINDOW];
    let exceeded_windows = exceeded(BOUND, &lengths, &arrivals);
    expect_that!(
        exceeded_windows
            .iter()
            .map(|window| window.length)
            .collect::<Vec<_>>(),
        eq(&vec![lengths[0]])
    );
}
