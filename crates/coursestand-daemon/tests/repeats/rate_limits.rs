//! Rate limits that back ends report in their answers, checked against the requests that
//! arrive at the back ends of real daemon processes.

use std::time::{Duration, Instant};

use coursestand_lab::rate_limits::{FullestWindow, RateBound, exceeded, fullest_window};
use googletest::prelude::*;

use crate::run;
use crate::scenario::{LIMIT_PER_SECOND, Outcome};

/// Time after which every daemon has received the rate limit.
const LIMIT_PROPAGATION_TIME: Duration = Duration::from_secs(3);
const WINDOWS: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(10),
];
/// Bound that holds while no process restarts.
const STRICT: RateBound = RateBound {
    per_second: LIMIT_PER_SECOND,
    factor: 1.1,
    slack: 2.0,
};
/// Bound that also holds while processes are killed and suspended.
const WIDE: RateBound = RateBound {
    per_second: LIMIT_PER_SECOND,
    factor: 1.5,
    slack: 5.0,
};
/// Share of the limit that must be used when the demand is higher.
const MIN_USE: f64 = 0.8;
/// Maximum time to refuse a request that can't be served.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Returns the arrivals at a back end after all daemons have received the rate limit.
fn arrivals_under_limit(outcome: &Outcome, backend: usize) -> Vec<Instant> {
    let since = outcome.started + LIMIT_PROPAGATION_TIME;
    let arrivals = outcome.arrivals[backend].iter().copied();
    arrivals.filter(|at| *at >= since).collect()
}

/// Returns the rate of requests to a back end after all daemons have received the rate limit,
/// per second.
fn rate(outcome: &Outcome, backend: usize, seconds: f64) -> f64 {
    arrivals_under_limit(outcome, backend).len() as f64
        / (seconds - LIMIT_PROPAGATION_TIME.as_secs_f64())
}

/// Returns the windows of limited back ends that exceed the bound.
fn exceeded_windows(outcome: &Outcome, limited: usize, bound: RateBound) -> Vec<FullestWindow> {
    let backends = 0..limited;
    backends
        .flat_map(|backend| exceeded(bound, &WINDOWS, &arrivals_under_limit(outcome, backend)))
        .collect()
}

async fn run_limited(name: &str, limited: usize) -> Outcome {
    let outcome = run(name).await;
    for backend in 0..limited {
        let arrivals = arrivals_under_limit(&outcome, backend);
        let fullest = WINDOWS.map(|length| fullest_window(WIDE, length, &arrivals).arrivals);
        println!("{name}: back end {backend}: fullest windows {fullest:?}");
    }
    outcome
}

/// Guards against daemons that each send to a limited back end as if it had no limit.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_back_end_gets_no_more_than_the_rate_that_it_reports() {
    for name in ["limited", "limited-many-daemons"] {
        let outcome = run_limited(name, 1).await;
        expect_that!(exceeded_windows(&outcome, 1, STRICT), is_empty(), "{name}");
        let min_rate = LIMIT_PER_SECOND * MIN_USE;
        expect_that!(rate(&outcome, 0, 16.0), ge(min_rate), "{name}");
        // The other back ends serve the requests above the limit.
        let share = outcome.served as f64 / outcome.sent as f64;
        expect_that!(share, ge(0.98), "{name}");
    }
}

/// Guards against requests that wait when all back ends are at their limits, and against
/// daemons that keep the limits by sending nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_all_back_ends_limited_excess_requests_are_refused_at_once() {
    let limited = 6;
    let outcome = run_limited("all-limited", limited).await;
    expect_that!(exceeded_windows(&outcome, limited, STRICT), is_empty());
    let used: f64 = (0..limited)
        .map(|number| rate(&outcome, number, 16.0))
        .sum();
    expect_that!(used, ge(LIMIT_PER_SECOND * MIN_USE * limited as f64));
    let since = outcome.started + LIMIT_PROPAGATION_TIME;
    let refused = outcome.answers.iter();
    let refused = refused.filter(|answer| answer.status == 503 && answer.sent_at >= since);
    let refused: Vec<_> = refused.collect();
    expect_that!(refused.len(), gt(0));
    let slowest = refused.iter().map(|answer| answer.elapsed).max();
    expect_that!(slowest, some(le(MAX_REFUSAL_TIME)));
    let have_retry_after = refused.iter().all(|answer| answer.retry_after.is_some());
    expect_that!(have_retry_after, eq(true));
}

/// Guards against limits that are granted anew to each incarnation of a daemon or of control.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rate_limit_holds_while_processes_are_killed_and_stopped() {
    for name in [
        "limited-daemons-killed-in-turn",
        "limited-control-killed",
        "limited-both-killed",
        "limited-processes-stopped",
    ] {
        let outcome = run_limited(name, 1).await;
        expect_that!(exceeded_windows(&outcome, 1, WIDE), is_empty(), "{name}");
    }
}
