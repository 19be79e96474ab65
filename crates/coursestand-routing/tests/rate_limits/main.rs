//! Rate limits of a back end with 1 to 70 daemons that communicate only by messages.
//!
//! `COURSESTAND_RUNS=10000` runs this many schedules of each kind.
#![allow(missing_docs)]

mod events;
mod picks;
mod schedule;
mod signals;
mod simulation;

use std::time::Duration;

use coursestand_lab::rate_limits::{FullestWindow, RateBound, exceeded};
use coursestand_model::Millis;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use schedule::{Arrival, Fault, Outcome, Schedule, Scheme, instants};
use simulation::Simulation;

const DEFAULT_SCHEDULES: u64 = 150;
/// Time before the first faults, in which daemons receive the limit.
const FAULTS_FROM_MS: Millis = 3_000;
/// Time after which the requests that a daemon sent before it received the limit have arrived.
const IN_TRANSIT_MS: Millis = 10;
/// Time after a daemon receives the limit from which its requests are checked.
const REACTION_MS: Millis = 500;
const SIMULATED_MS: Millis = 120_000;
/// Requests per second for which one daemon requests tokens.
const MAX_DEMAND_PER_DAEMON: f64 = 40.0;
const WINDOWS_S: [u64; 4] = [1, 2, 4, 10];
/// Share of the limit that must be used if the demand is at least `MIN_DEMAND_FACTOR` times the
/// limit.
const MIN_UTILIZATION: f64 = 0.8;
const MIN_DEMAND_FACTOR: f64 = 1.4;
/// Lowest limit for which a run is long enough to determine its utilization.
const MIN_MEASURED_PER_SECOND: f64 = 2.0;

fn schedule_count() -> u64 {
    let text = std::env::var("COURSESTAND_RUNS").ok();
    text.map_or(DEFAULT_SCHEDULES, |text| text.parse().expect("a number"))
}

fn strict_bound(per_second: f64) -> RateBound {
    RateBound {
        per_second,
        factor: 1.1,
        slack: 2.0,
    }
}

fn loose_bound(per_second: f64) -> RateBound {
    RateBound {
        per_second,
        factor: 1.5,
        slack: 5.0,
    }
}

fn draw_schedule(random: &mut StdRng) -> (Schedule, f64) {
    let per_second = [0.2, 1.0, 5.1, 5.7, 20.0, 50.0, 500.0][random.random_range(0..7)];
    let daemons = [1, 2, 3, 5, 12, 24, 65, 70][random.random_range(0..8)];
    let demand = per_second * [1.5, 2.5, 10.0][random.random_range(0..3)];
    let schedule = Schedule {
        daemons: daemons.max((demand / MAX_DEMAND_PER_DAEMON).ceil() as usize),
        demand,
        duration_ms: SIMULATED_MS,
        limits: vec![(0, Some(per_second))],
        faults: Vec::new(),
        truncated_answers_percent: [0, 5][random.random_range(0..2)],
        lost_token_requests_percent: [0, 3][random.random_range(0..2)],
    };
    (schedule, per_second)
}

/// Draws a schedule with kills, freezes, disconnects and leader changes, consecutive and
/// overlapping.
fn draw_schedule_with_faults(random: &mut StdRng) -> (Schedule, f64) {
    let (mut schedule, per_second) = draw_schedule(random);
    let count = random.random_range(1..40);
    for _ in 0..count {
        let at = random.random_range(FAULTS_FROM_MS..SIMULATED_MS);
        let daemon = random.random_range(0..schedule.daemons);
        let duration_ms = random.random_range(100..4_000);
        let fault = match random.random_range(0..8) {
            0..3 => Fault::Kill {
                daemon,
                duration_ms,
            },
            3 | 4 => Fault::Freeze {
                daemon,
                duration_ms,
            },
            5 | 6 => Fault::Disconnect {
                daemon,
                duration_ms: duration_ms * 3,
            },
            _ => Fault::LoseLeader { duration_ms },
        };
        schedule.faults.push((at, fault));
    }
    if random.random_range(0..4) == 0 {
        let duration_ms = random.random_range(5_000..20_000);
        schedule
            .faults
            .push((FAULTS_FROM_MS, Fault::LoseLeader { duration_ms }));
    }
    (schedule, per_second)
}

fn exceeded_windows(bound: RateBound, arrived: impl Iterator<Item = Millis>) -> Vec<FullestWindow> {
    let windows = WINDOWS_S.map(Duration::from_secs);
    exceeded(bound, &windows, &instants(arrived))
}

fn arrivals_since(arrived: &[Arrival], from: Millis) -> impl Iterator<Item = Millis> {
    let later = arrived.iter().filter(move |arrival| arrival.at >= from);
    later.map(|arrival| arrival.at)
}

/// Returns the violation in a run without faults, after every daemon has received the limit.
fn violation_without_faults(
    schedule: &Schedule,
    per_second: f64,
    outcome: &Outcome,
) -> Option<String> {
    let from = outcome.known_at + IN_TRANSIT_MS;
    let exceeded_windows = exceeded_windows(
        strict_bound(per_second),
        arrivals_since(&outcome.arrivals, from),
    );
    if !exceeded_windows.is_empty() {
        return Some(format!("{exceeded_windows:?} of {schedule:?}"));
    }
    let seconds = SIMULATED_MS.saturating_sub(from) as f64 / 1_000.0;
    let used = arrivals_since(&outcome.arrivals, from).count() as f64 / seconds / per_second;
    let demand = outcome.requested.iter().filter(|at| **at >= from).count() as f64 / seconds;
    let is_measured =
        per_second >= MIN_MEASURED_PER_SECOND && demand >= per_second * MIN_DEMAND_FACTOR;
    (is_measured && used < MIN_UTILIZATION).then(|| format!("{used:.2} used of {schedule:?}"))
}

/// Returns the violation in a run with faults, by the requests of daemons that have received the
/// limit.
fn violation_with_faults(
    schedule: &Schedule,
    per_second: f64,
    outcome: &Outcome,
) -> Option<String> {
    let arrivals = outcome.arrivals.iter().filter(|arrival| {
        let is_checked = arrival
            .limit_received_ms_ago
            .is_some_and(|age_ms| age_ms >= REACTION_MS);
        is_checked && arrival.at >= FAULTS_FROM_MS
    });
    let exceeded_windows =
        exceeded_windows(loose_bound(per_second), arrivals.map(|arrival| arrival.at));
    (!exceeded_windows.is_empty()).then(|| format!("{exceeded_windows:?} of {schedule:?}"))
}

/// Guards against a total rate that grows with the number of daemons, and against keeping to the
/// limit by sending too little.
#[gtest]
fn all_daemons_together_keep_to_the_limit_and_use_most_of_it() {
    for seed in 0..schedule_count() {
        let (schedule, per_second) = draw_schedule(&mut StdRng::seed_from_u64(seed));
        let outcome = Simulation::run(&schedule, Scheme::Tokens, seed);
        let violation = violation_without_faults(&schedule, per_second, &outcome);
        expect_that!(violation, none(), "seed {seed}");
    }
}

/// Guards against limits that are reset by a restart of a daemon or a leader change, or are used
/// twice while daemons are disconnected.
#[gtest]
fn the_limit_holds_during_restarts_freezes_disconnects_and_leader_changes() {
    for seed in 0..schedule_count() {
        let (schedule, per_second) = draw_schedule_with_faults(&mut StdRng::seed_from_u64(seed));
        let outcome = Simulation::run(&schedule, Scheme::Tokens, seed);
        let violation = violation_with_faults(&schedule, per_second, &outcome);
        expect_that!(violation, none(), "seed {seed}");
    }
}

/// Guards against a back end that gets no requests while there is no leader.
#[gtest]
fn without_a_leader_a_share_of_the_limit_is_used() {
    for daemons in [3, 12, 65] {
        let schedule = Schedule {
            daemons,
            demand: 50.0,
            duration_ms: 60_000,
            limits: vec![(0, Some(5.0))],
            faults: vec![(
                FAULTS_FROM_MS,
                Fault::LoseLeader {
                    duration_ms: 60_000,
                },
            )],
            truncated_answers_percent: 0,
            lost_token_requests_percent: 0,
        };
        let arrived = Simulation::run(&schedule, Scheme::Tokens, 1).arrivals;
        let rate = arrivals_since(&arrived, 10_000).count() as f64 / 50.0;
        expect_that!(rate, all![ge(1.0), le(2.1)], "{daemons} daemons");
    }
}

/// Guards against limits that still apply after the back end lifted them, and against applying a
/// lower limit late.
#[gtest]
fn changes_of_a_limit_are_applied() {
    for seed in 0..schedule_count() {
        let mut random = StdRng::seed_from_u64(seed);
        let (drawn, _) = draw_schedule(&mut random);
        let schedule = Schedule {
            demand: 60.0,
            // Lowered, raised, lifted, limited again within a second, and lifted for good.
            limits: vec![
                (0, Some(10.0)),
                (10_000, Some(2.0)),
                (20_000, Some(20.0)),
                (40_000, None),
                (40_700, Some(5.0)),
                (50_000, None),
            ],
            duration_ms: 70_000,
            ..drawn
        };
        let arrived = Simulation::run(&schedule, Scheme::Tokens, seed).arrivals;
        for (from, to, per_second) in [(13_000, 20_000, 2.0), (44_000, 50_000, 5.0)] {
            let arrived = arrivals_since(&arrived, from).filter(|at| *at < to);
            let exceeded_windows = exceeded_windows(loose_bound(per_second), arrived);
            expect_that!(exceeded_windows, is_empty(), "seed {seed} from {from}");
        }
        let rate = |from: Millis, to: Millis| {
            let arrived = arrivals_since(&arrived, from).filter(|at| *at < to);
            arrived.count() as f64 / (to - from) as f64 * 1_000.0
        };
        expect_that!(
            rate(30_000, 40_000),
            ge(20.0 * MIN_UTILIZATION),
            "seed {seed}, raised"
        );
        expect_that!(
            rate(60_000, 70_000),
            ge(60.0 * MIN_UTILIZATION),
            "seed {seed}, lifted"
        );
    }
}

/// Guards against checks that cannot fail: each naive scheme violates one of them.
#[gtest]
fn the_checks_detect_naive_schemes() {
    let violations = |scheme| {
        let runs = (0..DEFAULT_SCHEDULES).filter(|seed| {
            let (schedule, per_second) = draw_schedule(&mut StdRng::seed_from_u64(*seed));
            let outcome = Simulation::run(&schedule, scheme, *seed);
            violation_without_faults(&schedule, per_second, &outcome).is_some()
        });
        runs.count()
    };
    for scheme in [Scheme::WholeLimitEach, Scheme::ShareEach, Scheme::Nothing] {
        expect_that!(violations(scheme), gt(0), "{scheme:?}");
    }
}
