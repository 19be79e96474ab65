//! The judge of the bound on repeats must be able to fail, whatever moment a window
//! begins at.
#![allow(missing_docs)]

use std::time::{Duration, Instant};

use coursestand_lab::repeats::{Arrival, RepeatBound, worst_window};
use googletest::prelude::*;
use proptest::prelude::*;

const BOUND: RepeatBound = RepeatBound {
    ratio: 0.2,
    extra: 3.0,
    window: Duration::from_secs(10),
};

fn at(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

/// Arrivals of one request after the other, each `times` over at the moments given.
fn arrivals(start: Instant, moments: &[f64], times: usize) -> Vec<Arrival> {
    moments
        .iter()
        .enumerate()
        .flat_map(|(number, seconds)| {
            let arrival = Arrival {
                id: number.to_string(),
                at: at(start, *seconds),
            };
            std::iter::repeat_n(arrival, times)
        })
        .collect()
}

#[gtest]
fn more_repeats_than_allowed_are_told_in_a_window_that_begins_anywhere() {
    let start = Instant::now() + Duration::from_secs(60);
    let moments = [7.1, 9.0, 12.3, 17.0];
    let asked: Vec<Instant> = moments.iter().map(|moment| at(start, *moment)).collect();
    let worst = worst_window(BOUND, &arrivals(start, &moments, 2), &asked);
    expect_that!(worst.repeats, eq(4));
    expect_that!(worst.requests, eq(4));
    expect_that!(worst.is_over(), eq(true));
    let apart = [7.1, 9.0, 12.3, 17.2];
    let worst = worst_window(BOUND, &arrivals(start, &apart, 2), &asked);
    expect_that!(worst.is_over(), eq(false));
}

#[gtest]
fn a_first_arrival_is_no_repeat_and_requests_earn_repeats() {
    let start = Instant::now() + Duration::from_secs(60);
    let moments: Vec<f64> = (0..100).map(|number| f64::from(number) / 100.0).collect();
    let asked: Vec<Instant> = moments.iter().map(|moment| at(start, *moment)).collect();
    let once = worst_window(BOUND, &arrivals(start, &moments, 1), &asked);
    expect_that!(once.repeats, eq(0));
    let repeated = |count: usize| {
        let first = arrivals(start, &moments, 1);
        let again = first[..count].iter().map(|arrival| Arrival {
            at: at(start, 2.0),
            ..arrival.clone()
        });
        first.iter().cloned().chain(again).collect::<Vec<Arrival>>()
    };
    expect_that!(
        worst_window(BOUND, &repeated(23), &asked).is_over(),
        eq(false)
    );
    expect_that!(
        worst_window(BOUND, &repeated(24), &asked).is_over(),
        eq(true)
    );
}

#[gtest]
fn requests_of_the_window_before_count_and_older_ones_do_not() {
    let start = Instant::now() + Duration::from_secs(60);
    let moments = [21.0; 8];
    let judged = |asked_at: f64| {
        let asked = vec![at(start, asked_at); 25];
        worst_window(BOUND, &arrivals(start, &moments, 2), &asked).is_over()
    };
    expect_that!(judged(11.5), eq(false));
    // The window may begin at 11.0 at the earliest, and the one before it at 1.0.
    expect_that!(judged(0.5), eq(true));
}

proptest! {
    /// Against a naive search over windows that begin at every tenth of a second.
    #[test]
    fn no_window_on_a_grid_is_worse(
        repeated in prop::collection::vec(0u32..400, 0..40),
        asked in prop::collection::vec(0u32..400, 0..60),
    ) {
        let start = Instant::now() + Duration::from_secs(120);
        let moment = |tenths: &u32| at(start, f64::from(*tenths) / 10.0);
        let moments: Vec<f64> = repeated.iter().map(|tenths| f64::from(*tenths) / 10.0).collect();
        let asked: Vec<Instant> = asked.iter().map(moment).collect();
        let worst = worst_window(BOUND, &arrivals(start, &moments, 2), &asked);
        let count = |of: &[Instant], from: Instant| {
            of.iter().filter(|at| **at >= from && **at <= from + BOUND.window).count()
        };
        let repeats: Vec<Instant> = moments.iter().map(|moment| at(start, *moment)).collect();
        for tenths in 0u32..800 {
            let from = at(start, f64::from(tenths) / 10.0) - BOUND.window * 2;
            let requests = [0, 1, 2]
                .map(|halves| count(&asked, from - BOUND.window / 2 * halves))
                .into_iter()
                .max()
                .unwrap_or(0);
            let allowed = BOUND.ratio * requests as f64 + BOUND.extra;
            let excess = count(&repeats, from) as f64 - allowed;
            prop_assert!(excess <= worst.repeats as f64 - worst.allowed + 1e-9);
        }
    }
}
