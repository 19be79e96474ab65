//! Rate limits that back ends name in their answers, judged by what arrives at real back
//! ends behind real processes.

use std::time::{Duration, Instant};

use coursestand_lab::rate_limits::{FullestWindow, RateBound, exceeded, fullest_window};
use googletest::prelude::*;

use crate::play::{LIMIT_PER_SECOND, Outcome};
use crate::run;

/// By then every daemon that serves has heard of the limit.
const TOLD: Duration = Duration::from_secs(3);
const WINDOWS: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
    Duration::from_secs(10),
];
/// Holds while nothing restarts.
const STRICT: RateBound = RateBound {
    per_second: LIMIT_PER_SECOND,
    factor: 1.1,
    slack: 2.0,
};
/// Holds whatever happens.
const WIDE: RateBound = RateBound {
    per_second: LIMIT_PER_SECOND,
    factor: 1.5,
    slack: 5.0,
};
/// Part of the limit that is used where more is asked for.
const LEAST_USE: f64 = 0.8;
/// A request that can't be served is refused within this time.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Arrivals at one back end once the limit is known.
fn settled(outcome: &Outcome, backend: usize) -> Vec<Instant> {
    let since = outcome.started + TOLD;
    let arrivals = outcome.arrivals[backend].iter().copied();
    arrivals.filter(|at| *at >= since).collect()
}

/// Requests a second that one back end got once the limit is known.
fn rate(outcome: &Outcome, backend: usize, seconds: f64) -> f64 {
    settled(outcome, backend).len() as f64 / (seconds - TOLD.as_secs_f64())
}

/// Windows of limited back ends that are over the bound.
fn over(outcome: &Outcome, limited: usize, bound: RateBound) -> Vec<FullestWindow> {
    let backends = 0..limited;
    backends
        .flat_map(|backend| exceeded(bound, &WINDOWS, &settled(outcome, backend)))
        .collect()
}

async fn play(name: &str, limited: usize) -> Outcome {
    let outcome = run(name).await;
    for backend in 0..limited {
        let arrivals = settled(&outcome, backend);
        let fullest = WINDOWS.map(|length| fullest_window(WIDE, length, &arrivals).arrivals);
        println!("{name}: back end {backend}: fullest windows {fullest:?}");
    }
    outcome
}

/// Guards against daemons that each send to a limited back end as if it had named no limit.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_back_end_gets_no_more_than_the_rate_that_it_names() {
    for name in ["limited", "limited-many-daemons"] {
        let outcome = play(name, 1).await;
        expect_that!(over(&outcome, 1, STRICT), is_empty(), "{name}");
        let least = LIMIT_PER_SECOND * LEAST_USE;
        expect_that!(rate(&outcome, 0, 16.0), ge(least), "{name}");
        // The others take what it can't.
        let share = outcome.served as f64 / outcome.asked as f64;
        expect_that!(share, ge(0.98), "{name}");
    }
}

/// Guards against requests that wait where every back end is at its limit, and against
/// limits that are kept by sending nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_all_back_ends_limited_requests_beyond_are_refused_at_once() {
    let limited = 6;
    let outcome = play("all-limited", limited).await;
    expect_that!(over(&outcome, limited, STRICT), is_empty());
    let used: f64 = (0..limited)
        .map(|number| rate(&outcome, number, 16.0))
        .sum();
    expect_that!(used, ge(LIMIT_PER_SECOND * LEAST_USE * limited as f64));
    let since = outcome.started + TOLD;
    let refused = outcome.answers.iter();
    let refused = refused.filter(|one| one.status == 503 && one.asked_at >= since);
    let refused: Vec<_> = refused.collect();
    expect_that!(refused.len(), gt(0));
    let slowest = refused.iter().map(|one| one.took).max();
    expect_that!(slowest, some(le(AT_ONCE)));
    let all_told = refused.iter().all(|one| one.retry_after.is_some());
    expect_that!(all_told, eq(true));
}

/// Guards against limits that begin afresh with each life of a daemon or of control.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rate_limit_holds_while_processes_are_killed_and_stopped() {
    for name in [
        "limited-daemons-killed-in-turn",
        "limited-control-killed",
        "limited-both-killed",
        "limited-processes-stopped",
    ] {
        let outcome = play(name, 1).await;
        expect_that!(over(&outcome, 1, WIDE), is_empty(), "{name}");
    }
}
