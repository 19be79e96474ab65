//! The retries of all daemons stay within the limit of the deployment in every window, also
//! when daemons start, terminate or freeze, and when they are notified late of each other.
//!
//! Guards against two faults that occur when entry daemons are killed and restarted at a low
//! request rate, which led to 329 retries in a window that allowed 182: each incarnation of a
//! daemon began with its whole share of the fixed allowance, regardless of what the previous
//! one had spent (seven times the share of a daemon in one window), and the share was computed from
//! the daemons listed at its first request (67 of 317 retries were granted while fewer
//! daemons were listed than were running).
//!
//! `COURSESTAND_RUNS` sets a larger number of runs than the default.
#![allow(missing_docs)]

mod fleet;
mod suspended;

use std::collections::BTreeSet;

use coursestand_lab::repeats::WorstWindow;
use coursestand_model::Millis;
use coursestand_routing::{RetryAllowance, RetryBudget, RetryLimits};
use fleet::{Fleet, HAND_OVER_MS, Retries, Scenario};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use suspended::Simulation;

const RUNS: u64 = 120;
const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    extra: 64.0,
    window_ms: 10_000,
};

/// The retry limit as implemented by daemons.
struct Bounded {
    limits: RetryLimits,
    allowance: RetryAllowance,
    budget: RetryBudget,
}

impl Retries for Bounded {
    fn start(name: &str, limits: RetryLimits) -> Bounded {
        Bounded {
            limits,
            allowance: RetryAllowance::new(name, limits, HAND_OVER_MS),
            budget: RetryBudget::default(),
        }
    }
    fn note_listed(&mut self, now: Millis, names: &BTreeSet<String>) {
        let names = names.iter().map(String::as_str);
        self.allowance.note_listed(now, names);
    }
    fn renew(&mut self, now: Millis) {
        self.allowance.renew(now);
    }
    fn earn(&mut self, now: Millis) {
        self.budget.earn(now, self.limits);
    }
    fn spend(&mut self, now: Millis) -> bool {
        self.budget.spend(now, self.limits, &self.allowance)
    }
}

/// A faulty variant without a settling time: each incarnation begins with its share of the
/// allowance, computed from the daemons that are listed.
struct Naive {
    limits: RetryLimits,
    known_daemons: usize,
    tokens: Option<f64>,
}

impl Naive {
    fn share(&self) -> f64 {
        0.6 * self.limits.extra / self.known_daemons as f64
    }
}

impl Retries for Naive {
    fn start(_: &str, limits: RetryLimits) -> Naive {
        Naive {
            limits,
            known_daemons: 1,
            tokens: None,
        }
    }
    fn note_listed(&mut self, _: Millis, names: &BTreeSet<String>) {
        self.known_daemons = names.len().max(1);
    }
    fn renew(&mut self, _: Millis) {}
    fn earn(&mut self, _: Millis) {
        let share = self.share();
        let tokens = self.tokens.unwrap_or(share) + 0.6 * self.limits.ratio;
        self.tokens = Some(tokens.min(share.max(1.0)));
    }
    fn spend(&mut self, _: Millis) -> bool {
        let tokens = self.tokens.unwrap_or(self.share());
        let may_spend = tokens >= 1.0;
        self.tokens = Some(if may_spend { tokens - 1.0 } else { tokens });
        may_spend
    }
}

fn runs() -> u64 {
    let text = std::env::var("COURSESTAND_RUNS").ok();
    text.map_or(RUNS, |text| text.parse().expect("a number"))
}

fn scenario(seed: u64) -> Scenario {
    Scenario {
        daemons: [1, 3, 12, 20, 70][seed as usize % 5],
        limits: RetryLimits {
            extra: [64.0, 7.0][seed as usize / 5 % 2],
            ..LIMITS
        },
        steps: 240,
        requests: [0, 2, 10][seed as usize / 10 % 3],
        fault_rate: [0, 5, 30, 100][seed as usize / 30 % 4],
    }
}

fn simulate<R: Retries>(seed: u64) -> WorstWindow {
    Fleet::<R>::new(scenario(seed), StdRng::seed_from_u64(seed)).run()
}

#[gtest]
fn retries_of_all_daemons_stay_within_the_limit() {
    for seed in 0..runs() {
        let worst = simulate::<Bounded>(seed);
        expect_that!(worst.exceeds_bound(), eq(false), "seed {seed}: {worst:?}");
    }
}

/// Shows that the test above detects the fault.
#[gtest]
fn without_a_settling_time_the_limit_is_exceeded() {
    let exceeded = (0..RUNS).filter(|seed| simulate::<Naive>(*seed).exceeds_bound());
    expect_that!(exceeded.count(), gt(RUNS as usize / 4));
}

/// Returns the allowance of a daemon that has been connected, with these others listed, for
/// longer than the settling time, and the time at which that is so.
fn settled_allowance(name: &str, others: &[String]) -> (RetryAllowance, Millis) {
    let mut allowance = RetryAllowance::new(name, LIMITS, HAND_OVER_MS);
    let mut now = 0;
    while now <= 30_000 {
        now += LIMITS.window_ms / 4;
        allowance.note_listed(now, others.iter().map(String::as_str));
        allowance.renew(now);
    }
    (allowance, now)
}

#[gtest]
fn the_shares_of_any_number_of_daemons_have_the_same_sum() {
    for daemons in [1, 3, 12, 65, 300, 3_500] {
        let names: Vec<String> = (0..daemons).map(|number| format!("d{number}")).collect();
        let shares = names.iter().map(|name| {
            let (allowance, now) = settled_allowance(name, &names);
            allowance.share(now)
        });
        expect_that!(shares.sum::<usize>(), eq(32), "{daemons} daemons");
    }
}

#[gtest]
fn a_daemon_has_a_share_only_while_it_is_connected() {
    let others = ["a".to_owned(), "b".to_owned()];
    let (allowance, now) = settled_allowance("a", &others);
    expect_that!(allowance.share(now), eq(16));
    let expired = now + LIMITS.window_ms;
    expect_that!(allowance.share(expired), eq(0));
    let mut renewed = allowance.clone();
    renewed.renew(expired);
    expect_that!(renewed.share(expired), eq(0));
}

#[gtest]
fn a_daemon_removed_from_the_list_counts_until_its_spent_retries_expire() {
    let others = ["a".to_owned(), "b".to_owned()];
    let (mut allowance, start) = settled_allowance("a", &others);
    let mut now = start;
    while now < start + 20_000 {
        allowance.note_listed(now, std::iter::empty());
        allowance.renew(now);
        expect_that!(allowance.share(now), eq(16), "after {} ms", now - start);
        now += 500;
    }
    let much_later = start + 30_000;
    while now <= much_later {
        allowance.renew(now);
        now += 500;
    }
    expect_that!(allowance.share(much_later), eq(32));
}

#[gtest]
fn earned_retries_expire_within_half_a_window() {
    let allowance = RetryAllowance::new("a", LIMITS, HAND_OVER_MS);
    let mut budget = RetryBudget::default();
    for _ in 0..25 {
        budget.earn(0, LIMITS);
    }
    expect_that!(budget.left(0, LIMITS, &allowance), near(2.5, 1e-6));
    expect_that!(budget.spend(3_900, LIMITS, &allowance), eq(true));
    expect_that!(budget.spend(5_000, LIMITS, &allowance), eq(false));
}

fn simulate_suspensions(seed: u64, withholds_retries: bool) -> WorstWindow {
    let number = seed as usize;
    let scenario = suspended::Scenario {
        limits: LIMITS,
        daemons: [1, 3, 12, 40][number % 4],
        steps_between: [1, 4, 20][number / 4 % 3],
        max_suspension_s: [5, 20, 60][number / 12 % 3],
        lost_percent: [0, 10, 100][number / 36 % 3],
    };
    Simulation::new(scenario, withholds_retries, StdRng::seed_from_u64(seed)).run()
}

#[gtest]
fn retries_that_arrive_late_stay_within_the_limit() {
    for seed in 0..runs() {
        let worst = simulate_suspensions(seed, true);
        expect_that!(worst.exceeds_bound(), eq(false), "seed {seed}: {worst:?}");
    }
}

/// Shows that the test above detects the fault.
#[gtest]
fn without_withholding_retries_late_arrivals_exceed_the_limit() {
    let exceeded = (0..RUNS).filter(|seed| simulate_suspensions(*seed, false).exceeds_bound());
    expect_that!(exceeded.count(), gt(10));
}
