//! A request that crashes back ends, while daemons and control processes restart, are killed,
//! disconnected and frozen, and findings are delayed, duplicated, reordered or lost.
//!
//! Guards against crash records that are lost with the process of a daemon: in a deployment
//! whose daemons were killed one after another, one request crashed 20 back ends in 31 s. The
//! same schedules crash too many back ends if daemons exchange findings only.
#![allow(missing_docs)]

mod limits;
mod regressions;
mod schedule;
mod simulation;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use schedule::{Schedule, Sharing};
use simulation::Simulation;

/// Sends that are allowed after all daemons have received the third crash: the trials of the first hour.
const MAX_LATE_SENDS: usize = 3;

fn draw_schedule(random: &mut StdRng) -> Schedule {
    let mut mean = |min: f64, max: f64| match random.random_bool(0.6) {
        true => random.random_range(min..max),
        false => 0.0,
    };
    let kills_ms = mean(700.0, 4_000.0);
    let control_kills_ms = mean(3_000.0, 15_000.0);
    let disconnects_ms = mean(3_000.0, 20_000.0);
    let freezes_ms = mean(2_000.0, 20_000.0);
    Schedule {
        daemons: random.random_range(3..=20),
        controls: [3, 5][random.random_range(0..2)],
        rate: random.random_range(0.3..4.0),
        kills_ms,
        control_kills_ms,
        disconnects_ms,
        freezes_ms,
        loss: [0.0, 0.05][random.random_range(0..2)],
    }
}

fn seed_count() -> u64 {
    let configured = std::env::var("COURSESTAND_RUNS").ok();
    configured.and_then(|text| text.parse().ok()).unwrap_or(150)
}

#[gtest]
fn a_fatal_request_is_rarely_sent_after_the_third_crash_despite_restarts() {
    for seed in 0..seed_count() {
        let mut random = StdRng::seed_from_u64(seed);
        let schedule = draw_schedule(&mut random);
        let outcome = Simulation::new(schedule, Sharing::CrashRecords, seed).run();
        let context = format!("seed {seed}, {schedule:?}, crashes:\n{}", outcome.trace());
        expect_that!(outcome.late_sends(), le(MAX_LATE_SENDS), "{context}");
        expect_that!(outcome.quarantined_harmless, eq(0), "{context}");
    }
}

#[gtest]
fn findings_without_crash_records_exceed_the_limit() {
    let exceeds_limit = |seed: &u64| {
        let mut random = StdRng::seed_from_u64(*seed);
        let schedule = draw_schedule(&mut random);
        let outcome = Simulation::new(schedule, Sharing::Findings, *seed).run();
        outcome.late_sends() > MAX_LATE_SENDS
    };
    expect_that!((0..40).filter(exceeds_limit).count(), ge(10));
}

/// Guards against decisions that depend on the iteration order of a map, which would make a
/// failing seed pass when it is run again.
#[gtest]
fn a_seed_determines_the_run() {
    let run = |seed: u64| {
        let schedule = limits::draw_wide_schedule(&mut StdRng::seed_from_u64(seed));
        let outcome = Simulation::new(schedule, Sharing::CrashRecords, seed).run();
        (
            outcome.trace(),
            outcome.sends.clone(),
            outcome.quarantined_harmless,
            outcome.max_harmless_quarantines,
        )
    };
    let differing: Vec<u64> = (0..seed_count())
        .filter(|seed| run(*seed) != run(*seed))
        .collect();
    expect_that!(differing, is_empty());
}
