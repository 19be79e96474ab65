//! System-wide limits for a request that crashes back ends, under any schedule of faults: at
//! most five crashes, three sends after the third crash, and one quarantine of a harmless
//! request.

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule::{Outcome, Schedule, Sharing};
use crate::simulation::Simulation;
use crate::{draw_schedule, seed_count};

pub const MAX_CRASHES: usize = 5;
pub const MAX_SENDS_AFTER_THIRD_CRASH: usize = 3;
pub const MAX_HARMLESS_QUARANTINES: u32 = 1;
/// The second crash, and the three trials that are possible within the simulated time.
const MAX_PREVENTABLE_CRASHES: usize = 4;

/// Draws a schedule with a wider range of rates and higher loss than [`draw_schedule`].
pub fn draw_wide_schedule(random: &mut StdRng) -> Schedule {
    Schedule {
        rate: random.random_range(0.3..10.0),
        loss: [0.0, 0.1, 0.2][random.random_range(0..3)],
        ..draw_schedule(random)
    }
}

/// Returns the seeds whose outcome violates the limit.
fn violating_seeds(is_within_limit: impl Fn(&Outcome) -> bool) -> Vec<u64> {
    let violates_limit = |seed: &u64| {
        let mut random = StdRng::seed_from_u64(*seed);
        let schedule = draw_wide_schedule(&mut random);
        !is_within_limit(&Simulation::new(schedule, Sharing::CrashRecords, *seed).run())
    };
    (0..seed_count()).filter(violates_limit).collect()
}

fn expect_none(seeds: &[u64]) {
    let count = seeds.len();
    expect_that!(
        seeds,
        is_empty(),
        "{count} of {} schedules violate the limit",
        seed_count()
    );
}

#[gtest]
fn a_request_crashes_at_most_five_back_ends() {
    expect_none(&violating_seeds(|outcome| {
        outcome.crashes.len() <= MAX_CRASHES
    }));
}

#[gtest]
fn a_request_is_sent_at_most_three_times_after_the_third_crash() {
    expect_none(&violating_seeds(|outcome| {
        outcome.sends_after_third_crash() <= MAX_SENDS_AFTER_THIRD_CRASH
    }));
}

#[gtest]
fn a_harmless_request_is_quarantined_at_most_once() {
    expect_none(&violating_seeds(|outcome| {
        outcome.max_harmless_quarantines <= MAX_HARMLESS_QUARANTINES
    }));
}

/// Returns whether the number of preventable crashes is within the limit. Disregards runs that
/// started before a report of the first crash could arrive, and runs that disconnected daemons
/// started. Each unreported crash raises the limit by one.
pub fn has_few_preventable_crashes(outcome: &Outcome) -> bool {
    outcome.preventable_crashes() <= MAX_PREVENTABLE_CRASHES + outcome.unreported_crashes()
}

#[gtest]
fn few_crashes_are_preventable_by_reports() {
    expect_none(&violating_seeds(has_few_preventable_crashes));
}
