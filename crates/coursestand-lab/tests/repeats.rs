//! The check of the bound on repeats detects windows that exceed it, at any start time.
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

/// Returns the arrivals of one request per entry of `moments`, in seconds, each repeated
/// `times` times.
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
fn excess_repeats_are_detected_wherever_the_window_begins() {
    let start = Instant::now() + Duration::from_secs(60);
    let moments = [7.1, 9.0, 12.3, 17.0];
    let sent_at: Vec<Instant> = moments.iter().map(|moment| at(start, *moment)).collect();
    let worst = worst_window(BOUND, &arrivals(start, &moments, 2), &sent_at);
    expect_that!(worst.repeats, eq(4));
    expect_that!(worst.requests, eq(4));
    expect_that!(worst.exceeds_bound(), eq(true));
    let spread_moments = [7.1, 9.0, 12.3, 17.2];
    let worst = worst_window(BOUND, &arrivals(start, &spread_moments, 2), &sent_at);
    expect_that!(worst.exceeds_bound(), eq(false));
}

#[gtest]
fn first_arrivals_are_not_repeats_and_each_request_raises_the_bound() {
    let start = Instant::now() + Duration::from_secs(60);
    let moments: Vec<f64> = (0..100).map(|number| f64::from(number) / 100.0).collect();
    let sent_at: Vec<Instant> = moments.iter().map(|moment| at(start, *moment)).collect();
    let once = worst_window(BOUND, &arrivals(start, &moments, 1), &sent_at);
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
        worst_window(BOUND, &repeated(23), &sent_at).exceeds_bound(),
        eq(false)
    );
    expect_that!(
        worst_window(BOUND, &repeated(24), &sent_at).exceeds_bound(),
        eq(true)
    );
}

#[gtest]
fn requests_of_the_previous_window_count_and_older_ones_do_not() {
    let start = Instant::now() + Duration::from_secs(60);
    let moments = [21.0; 8];
    let exceeds_bound = |sent_seconds: f64| {
        let sent_at = vec![at(start, sent_seconds); 25];
        worst_window(BOUND, &arrivals(start, &moments, 2), &sent_at).exceeds_bound()
    };
    expect_that!(exceeds_bound(11.5), eq(false));
    // The window begins at 11.0 at the earliest, and the previous one at 1.0.
    expect_that!(exceeds_bound(0.5), eq(true));
}

proptest! {
    /// Compares with a naive search over windows that begin at every tenth of a second.
    #[test]
    fn no_window_on_a_grid_is_worse(
        repeated in prop::collection::vec(0u32..400, 0..40),
        sent_at in prop::collection::vec(0u32..400, 0..60),
    ) {
        let start = Instant::now() + Duration::from_secs(120);
        let moment = |tenths: &u32| at(start, f64::from(*tenths) / 10.0);
        let moments: Vec<f64> = repeated.iter().map(|tenths| f64::from(*tenths) / 10.0).collect();
        let sent_at: Vec<Instant> = sent_at.iter().map(moment).collect();
        let worst = worst_window(BOUND, &arrivals(start, &moments, 2), &sent_at);
        let count = |of: &[Instant], from: Instant| {
            of.iter().filter(|at| **at >= from && **at <= from + BOUND.window).count()
        };
        let repeats: Vec<Instant> = moments.iter().map(|moment| at(start, *moment)).collect();
        for tenths in 0u32..800 {
            let from = at(start, f64::from(tenths) / 10.0) - BOUND.window * 2;
            let requests = [0, 1, 2]
                .map(|halves| count(&sent_at, from - BOUND.window / 2 * halves))
                .into_iter()
                .max()
                .unwrap_or(0);
            let allowed = BOUND.ratio * requests as f64 + BOUND.extra;
            let excess = count(&repeats, from) as f64 - allowed;
            prop_assert!(excess <= worst.repeats as f64 - worst.allowed + 1e-9);
        }
    }
}
