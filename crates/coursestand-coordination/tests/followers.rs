//! Follower leases and catch-up, against naive observers.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeSet;

use common::{Machine, backend, daemon, fixed};
use coursestand_coordination::followers::{
    CLOCK_DRIFT, FollowerRegistry, LEASE_MS, Progress, follower_lease_ms,
};
use coursestand_coordination::planner::plan_steps;
use coursestand_coordination::tables::{DrainTarget, SlotScope};
use coursestand_coordination::{Command, Tables};
use coursestand_model::platform::BackendState;
use googletest::prelude::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(fixed(2_000))]

    /// However late the answer is and however the clocks differ within the
    /// bound, the follower stops deciding before the source sees its lease end.
    #[test]
    fn a_follower_stops_before_its_lease_is_seen_to_end(
        hold in 0..1_500_u64,
        way_there in 0..3_000_u64,
        way_back in 0..6_000_u64,
        follower_ahead in prop::bool::ANY,
        frozen in 0..20_000_u64,
    ) {
        let follower = daemon(0);
        let sent_at = 10_000_u64;
        let granted_at = sent_at + way_there + hold;
        let mut registry = FollowerRegistry::new(0);
        registry.grant(granted_at, &follower, Progress::default(), 5);
        let arrived = granted_at + way_back + frozen;
        // Real time until which the follower decides, if it got the answer
        // before; its clock may run slow by half the bound, the source's fast.
        let own_lease = follower_lease_ms();
        let slow = own_lease + own_lease / (2 * CLOCK_DRIFT);
        let fast = own_lease - own_lease / (2 * CLOCK_DRIFT);
        let decides_until = sent_at + if follower_ahead { fast } else { slow };
        let seen_end = granted_at + LEASE_MS - LEASE_MS / (2 * CLOCK_DRIFT);
        prop_assert!(decides_until <= seen_end);
        if arrived >= seen_end {
            // A late answer grants nothing any more.
            prop_assert!(sent_at + own_lease <= arrived);
        }
    }

    /// A follower that applies any of the deltas in any order, also late ones,
    /// never goes back, and equals the source once it has the newest.
    #[test]
    fn deltas_give_what_a_full_copy_gives(
        changes in prop::collection::vec((0..8_usize, 1..4_u64, any::<bool>()), 1..30),
        polls in prop::collection::vec(0..3_u8, 30),
    ) {
        let mut machine = Machine::started(8, 3);
        let mut follower = Tables::default();
        let mut late = Vec::new();
        for (number, (index, epoch, leaving)) in changes.into_iter().enumerate() {
            let state = if leaving { BackendState::Leaving } else { BackendState::Live };
            machine.apply(Command::UpdateBackends(vec![backend(index, epoch, state)]));
            let steps = plan_steps(&machine.state, &BTreeSet::new(), machine.clock);
            if !steps.is_empty() {
                machine.apply(Command::AdvanceShares(steps));
            }
            let delta = machine.state.tables().delta(follower.version, SlotScope::All);
            match polls[number % polls.len()] {
                0 => {}
                1 => late.push(delta),
                _ => {
                    let before = follower.version;
                    follower.apply(delta);
                    prop_assert!(follower.version >= before);
                    for delta in late.drain(..) {
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
fn counting_the_lease_from_the_answer_would_be_too_long() {
    // The mechanism switched off: the follower counts from when the answer came.
    let (granted_at, way_back) = (1_000, 500);
    let decides_until = granted_at + way_back + follower_lease_ms();
    expect_that!(decides_until, gt(granted_at + LEASE_MS));
}

#[gtest]
fn a_new_source_waits_for_leases_of_the_one_before() {
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
fn the_slowest_follower_with_a_lease_counts() {
    let mut registry = FollowerRegistry::new(0);
    let progress = |version| Progress {
        applied: version,
        settled: version,
    };
    registry.grant(LEASE_MS, &daemon(0), progress(7), 9);
    registry.grant(LEASE_MS + 10, &daemon(1), progress(4), 9);
    expect_that!(registry.confirmed_by_all(LEASE_MS + 20, 9), eq(Some(4)));
    // The slow one is silent: its lease has to end first.
    registry.grant(2 * LEASE_MS, &daemon(0), progress(9), 9);
    expect_that!(registry.confirmed_by_all(2 * LEASE_MS + 9, 9), eq(Some(4)));
    expect_that!(registry.confirmed_by_all(2 * LEASE_MS + 10, 9), eq(Some(9)));
}

/// A request for news may be held for long; what it confirms must not wait.
#[gtest]
fn progress_counts_when_it_is_told_and_extends_no_lease() {
    let mut registry = FollowerRegistry::new(0);
    let progress = |version| Progress {
        applied: version,
        settled: version,
    };
    registry.grant(LEASE_MS, &daemon(0), progress(4), 9);
    expect_that!(registry.note_progress(&daemon(0), progress(9)), eq(true));
    expect_that!(registry.confirmed_by_all(LEASE_MS, 9), eq(Some(9)));
    expect_that!(registry.settled_by(&daemon(0)), eq(Some(9)));
    // An earlier request that comes late takes nothing back.
    registry.note_progress(&daemon(0), progress(5));
    expect_that!(registry.confirmed_by_all(LEASE_MS, 9), eq(Some(9)));
    expect_that!(registry.may_decide(2 * LEASE_MS, &daemon(0)), eq(false));
    // A daemon without a lease of this source confirms nothing.
    expect_that!(registry.note_progress(&daemon(1), progress(3)), eq(false));
    expect_that!(registry.confirmed_by_all(LEASE_MS, 9), eq(Some(9)));
    expect_that!(registry.may_decide(LEASE_MS, &daemon(1)), eq(false));
}

#[gtest]
fn leaving_never_turns_back_within_one_epoch() {
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
