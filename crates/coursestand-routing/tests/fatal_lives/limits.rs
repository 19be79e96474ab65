//! System-wide limits for a request that ends back ends, under any schedule of faults: at
//! most five ends, three sends after the third end, and one conviction of an innocent
//! request.

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule::{Outcome, Schedule, Sharing};
use crate::world::World;
use crate::{drawn, runs};

pub const MOST_ENDS: usize = 5;
pub const MOST_SENDS_AFTER_THIRD_END: usize = 3;
pub const MOST_INNOCENT_CONVICTIONS: u32 = 1;
/// The second end, and the three trials that are possible within the simulated time.
const MOST_PREVENTABLE_ENDS: usize = 4;

/// Draws a schedule with a wider range of rates and higher loss than [`drawn`].
pub fn drawn_wide(random: &mut StdRng) -> Schedule {
    Schedule {
        rate: random.random_range(0.3..10.0),
        loss: [0.0, 0.1, 0.2][random.random_range(0..3)],
        ..drawn(random)
    }
}

/// Returns the seeds whose outcome violates the limit.
fn violating_seeds(is_within_limit: impl Fn(&Outcome) -> bool) -> Vec<u64> {
    let violates_limit = |seed: &u64| {
        let mut random = StdRng::seed_from_u64(*seed);
        let schedule = drawn_wide(&mut random);
        !is_within_limit(&World::new(schedule, Sharing::Cases, *seed).play())
    };
    (0..runs()).filter(violates_limit).collect()
}

fn expect_none(seeds: &[u64]) {
    let count = seeds.len();
    expect_that!(
        seeds,
        is_empty(),
        "{count} of {} schedules violate the limit",
        runs()
    );
}

#[gtest]
fn a_request_ends_five_back_ends_at_most() {
    expect_none(&violating_seeds(|outcome| outcome.ends.len() <= MOST_ENDS));
}

#[gtest]
fn a_request_is_sent_three_times_at_most_after_the_third_end() {
    expect_none(&violating_seeds(|outcome| {
        outcome.sends_after_third_end() <= MOST_SENDS_AFTER_THIRD_END
    }));
}

#[gtest]
fn an_innocent_request_is_convicted_once_at_most() {
    expect_none(&violating_seeds(|outcome| {
        outcome.innocent_convictions <= MOST_INNOCENT_CONVICTIONS
    }));
}

/// Disregards runs that started before a report of the first end could arrive, and runs that
/// disconnected daemons started. Each unreported end raises the limit by one.
pub fn has_few_preventable_ends(outcome: &Outcome) -> bool {
    outcome.preventable_ends() <= MOST_PREVENTABLE_ENDS + outcome.unreported_ends()
}

#[gtest]
fn ends_preventable_by_reports_are_few() {
    expect_none(&violating_seeds(has_few_preventable_ends));
}
