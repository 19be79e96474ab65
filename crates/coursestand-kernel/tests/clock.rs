//! The monotonic clock counts suspensions of the machine. A test can't suspend the machine, so
//! one test checks the clock source and the others simulate suspensions.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_kernel::MonotonicClock;
use googletest::prelude::*;

const OBSERVED_TIME: Duration = Duration::from_millis(60);

#[cfg(target_os = "linux")]
#[gtest]
fn the_clock_source_counts_suspensions() {
    expect_that!(MonotonicClock::default().counts_suspension(), eq(true));
}

#[gtest]
fn the_clock_starts_near_zero_and_never_goes_back() {
    let clock = MonotonicClock::default();
    let started = std::time::Instant::now();
    let mut previous = clock.now();
    expect_that!(previous, lt(1_000));
    while started.elapsed() < OBSERVED_TIME {
        let now = clock.now();
        expect_that!(now, ge(previous));
        previous = now;
    }
    expect_that!(clock.now(), ge(OBSERVED_TIME.as_millis() as u64 - 1));
}

#[gtest]
fn a_simulated_suspension_advances_the_clock_and_not_instant() {
    let (clock, suspension) = MonotonicClock::with_simulated_suspensions();
    let instant = std::time::Instant::now();
    suspension.suspend_ms(5_000);
    suspension.suspend_ms(2_000);
    expect_that!(clock.now(), ge(7_000));
    expect_that!(instant.elapsed(), lt(Duration::from_millis(2_000)));
}
