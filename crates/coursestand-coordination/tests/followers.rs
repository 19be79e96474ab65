//! Follower leases and replication by deltas, compared with simple models.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeSet;

use common::{Machine, backend, daemon, deterministic_config};
use coursestand_coordination::followers::{
    CLOCK_DRIFT_DIVISOR, FollowerRegistry, LEASE_MS, Progress, follower_lease_ms,
};
use coursestand_coordination::planner::plan_steps;
use coursestand_coordination::tables::{DrainTarget, SlotScope};
use coursestand_coordination::{Command, Tables};
use coursestand_model::platform::BackendState;
use googletest::prelude::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(deterministic_config(2_000))]

    /// For any delays, and any clock drift within the bound, the follower stops deciding
    /// before its lease expires at the source.
    #[test]
    fn a_follower_stops_before_its_lease_expires_at_the_source(
        answer_delay_ms in 0..1_500_u64,
        request_latency_ms in 0..3_000_u64,
        answer_latency_ms in 0..6_000_u64,
        is_follower_fast in prop::bool::ANY,
        frozen_ms in 0..20_000_u64,
    ) {
        let follower = daemon(0);
        let sent_at = 10_000_u64;
        let granted_at = sent_at + request_latency_ms + answer_delay_ms;
        let mut registry = FollowerRegistry::new(0);
        registry.grant(granted_at, &follower, Progress::default(), 5);
        let received_at = granted_at + answer_latency_ms + frozen_ms;
        // Real time until which the follower decides, if it received the answer by then.
        // Its clock may run slow by half the bound, and the source's fast by half.
        let lease_ms = follower_lease_ms();
        let slow = lease_ms + lease_ms / (2 * CLOCK_DRIFT_DIVISOR);
        let fast = lease_ms - lease_ms / (2 * CLOCK_DRIFT_DIVISOR);
        let decides_until = sent_at + if is_follower_fast { fast } else { slow };
        let source_expiry = granted_at + LEASE_MS - LEASE_MS / (2 * CLOCK_DRIFT_DIVISOR);
        prop_assert!(decides_until <= source_expiry);
        if received_at >= source_expiry {
            // A late answer grants no lease.
            prop_assert!(sent_at + lease_ms <= received_at);
        }
    }

    /// A follower that applies any of the deltas in any order, also delayed ones, never
    /// goes back to an older version, and equals the source once it has the newest delta.
    #[test]
    fn deltas_converge_to_the_state_of_the_source(
        changes in prop::collection::vec((0..8_usize, 1..4_u64, any::<bool>()), 1..30),
        polls in prop::collection::vec(0..3_u8, 30),
    ) {
        let mut machine = Machine::started(8, 3);
        let mut follower = Tables::default();
        let mut delayed = Vec::new();
        for (number, (index, epoch, is_leaving)) in changes.into_iter().enumerate() {
            let state = if is_leaving { BackendState::Leaving } else { BackendState::Live };
            machine.apply(Command::UpdateBackends(vec![backend(index, epoch, state)]));
            let steps = plan_steps(&machine.state, &BTreeSet::new(), machine.clock);
            if !steps.is_empty() {
                machine.apply(Command::AdvanceShares(steps));
            }
            let delta = machine.state.tables().delta(follower.version, SlotScope::All);
            match polls[number % polls.len()] {
                0 => {}
                1 => delayed.push(delta),
                _ => {
                    let before = follower.version;
                    follower.apply(delta);
                    prop_assert!(follower.version >= before);
                    for delta in delayed.drain(..) {
                        let before = follower.clone();
                        if delta.version <= before.version {
                            follower.apply(delta);
                            prop_assert_eq!(&follower, &before);
                        }
                    }
                }
            }
        }
        follower.apply(machine.state.tables().delta(follower.version, SlotScope::All));
        prop_assert_eq!(&follower, machine.state.tables());
    }
}

#[gtest]
fn a_lease_counted_from_the_answer_outlasts_the_source() {
    // Disables the mechanism: the follower counts the lease from the arrival of the answer.
    let (granted_at, answer_latency_ms) = (1_000, 500);
    let decides_until = granted_at + answer_latency_ms + follower_lease_ms();
    expect_that!(decides_until, gt(granted_at + LEASE_MS));
}

#[gtest]
fn a_new_source_waits_until_leases_of_its_predecessor_expire() {
    let registry = FollowerRegistry::new(50_000);
    expect_that!(registry.confirmed_by_all(50_000 + LEASE_MS - 1, 9), none());
    expect_that!(
        registry.may_decide(50_000 + LEASE_MS - 1, &daemon(0)),
        eq(true)
    );
    expect_that!(registry.confirmed_by_all(50_000 + LEASE_MS, 9), eq(Some(9)));
    expect_that!(
        registry.may_decide(50_000 + LEASE_MS, &daemon(0)),
        eq(false)
    );
}

#[gtest]
fn the_slowest_leased_follower_limits_the_confirmed_version() {
    let mut registry = FollowerRegistry::new(0);
    let progress = |version| Progress {
        applied: version,
        settled: version,
    };
    registry.grant(LEASE_MS, &daemon(0), progress(7), 9);
    registry.grant(LEASE_MS + 10, &daemon(1), progress(4), 9);
    expect_that!(registry.confirmed_by_all(LEASE_MS + 20, 9), eq(Some(4)));
    // The slow follower is silent: its lease has to expire first.
    registry.grant(2 * LEASE_MS, &daemon(0), progress(9), 9);
    expect_that!(registry.confirmed_by_all(2 * LEASE_MS + 9, 9), eq(Some(4)));
    expect_that!(registry.confirmed_by_all(2 * LEASE_MS + 10, 9), eq(Some(9)));
}

/// The answer to a follow request may be deferred; the progress it reports must count
/// immediately.
#[gtest]
fn reported_progress_counts_immediately_and_extends_no_lease() {
    let mut registry = FollowerRegistry::new(0);
    let progress = |version| Progress {
        applied: version,
        settled: version,
    };
    registry.grant(LEASE_MS, &daemon(0), progress(4), 9);
    expect_that!(registry.note_progress(&daemon(0), progress(9)), eq(true));
    expect_that!(registry.confirmed_by_all(LEASE_MS, 9), eq(Some(9)));
    expect_that!(registry.settled_version(&daemon(0)), eq(Some(9)));
    // An earlier request that arrives late does not revert the progress.
    registry.note_progress(&daemon(0), progress(5));
    expect_that!(registry.confirmed_by_all(LEASE_MS, 9), eq(Some(9)));
    expect_that!(registry.may_decide(2 * LEASE_MS, &daemon(0)), eq(false));
    // A daemon without a lease of this source confirms nothing.
    expect_that!(registry.note_progress(&daemon(1), progress(3)), eq(false));
    expect_that!(registry.confirmed_by_all(LEASE_MS, 9), eq(Some(9)));
    expect_that!(registry.may_decide(LEASE_MS, &daemon(1)), eq(false));
}

#[gtest]
fn leaving_is_not_reverted_within_one_epoch() {
    let mut machine = Machine::started(1, 1);
    let state_of = |machine: &Machine| {
        let record = machine.state.tables().backends.get(&"backend-0".into());
        record.map(|record| (record.epoch, record.state))
    };
    machine.apply(Command::UpdateBackends(vec![backend(
        0,
        2,
        BackendState::Leaving,
    )]));
    for epoch in [1, 2] {
        machine.apply(Command::UpdateBackends(vec![backend(
            0,
            epoch,
            BackendState::Live,
        )]));
        expect_that!(state_of(&machine), eq(Some((2, BackendState::Leaving))));
    }
    machine.apply(Command::UpdateBackends(vec![backend(
        0,
        3,
        BackendState::Live,
    )]));
    expect_that!(state_of(&machine), eq(Some((3, BackendState::Live))));
    expect_that!(
        machine
            .state
            .tables()
            .is_drained(&DrainTarget::Backend("backend-0".into())),
        eq(false)
    );
}
