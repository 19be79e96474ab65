//! A model of operators that give up, resend and order the opposite, beside suspensions, cuts and
//! kills of control processes between any two steps of an order. Guards against an order that takes
//! effect after a newer one although its operator had given it up; weaker designs must fail here.
//!
//! The consensus core, the order history and the admission of orders are those of the product. The
//! network keeps the bytes that a cut holds up and delivers them when the cut ends; a close
//! follows the bytes of its connection within [`world::MAX_CLOSE_LAG_MS`].
#![allow(missing_docs)]

mod node;
mod operator;
mod world;

use world::{Design, World};

/// Seeds in CI; `COURSESTAND_RUNS` sets another number.
const SEEDED_RUNS: u64 = 300;
/// Seeds within which a weaker design must fail.
const MAX_RUNS_TO_FAILURE: u64 = 2_000;

fn run(seed: u64, design: Design) -> Result<(), String> {
    let mut world = World::new(seed, design);
    world.run_with_faults()?;
    world.recover()
}

#[test]
fn no_abandoned_order_undoes_a_newer_one() {
    let runs = std::env::var("COURSESTAND_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(SEEDED_RUNS);
    for seed in 0..runs {
        if let Err(failure) = run(seed, Design::Fenced) {
            panic!("seed {seed}: {failure}");
        }
    }
}

fn expect_failure_of(design: Design) {
    let failure = (0..MAX_RUNS_TO_FAILURE).find_map(|seed| run(seed, design).err());
    let failure = failure.expect("no seed failed");
    assert!(
        failure.contains(world::UNDONE),
        "another failure: {failure}"
    );
}

#[test]
fn checks_fail_if_orders_are_proposed_when_they_are_read() {
    expect_failure_of(Design::Unprotected);
}

#[test]
fn checks_fail_if_only_the_caller_is_looked_at() {
    expect_failure_of(Design::CallerOnly);
}

#[test]
fn checks_fail_if_orders_are_fenced_but_callers_are_not_looked_at() {
    expect_failure_of(Design::FenceOnly);
}

#[test]
fn checks_fail_if_callers_that_may_have_left_need_not_confirm() {
    expect_failure_of(Design::WithoutConfirmation);
}

#[test]
fn checks_fail_if_the_fence_is_noted_after_the_look_at_the_caller() {
    expect_failure_of(Design::FenceAfterLook);
}
