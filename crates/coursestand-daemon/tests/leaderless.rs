//! How long calls wait for a leader.
#![allow(missing_docs)]

use coursestand_daemon::control::leaderless::LeaderlessSince;
use googletest::prelude::*;

#[gtest]
fn calls_wait_until_something_is_known() {
    let leaderless = LeaderlessSince::default();
    expect_that!(leaderless.may_wait(60_000), eq(true));
}

#[gtest]
fn calls_wait_for_as_long_as_an_election_takes() {
    let leaderless = LeaderlessSince::default();
    leaderless.note(10_000, true);
    leaderless.note(10_500, false);
    leaderless.note(11_400, false);
    expect_that!(leaderless.may_wait(11_400), eq(true));
    expect_that!(leaderless.may_wait(11_600), eq(false));
}

/// Guards against a process that refuses calls right after it was suspended, though the group has a
/// leader: nothing could be noticed during the suspension.
#[gtest]
fn a_suspension_does_not_count_as_time_without_a_leader() {
    let leaderless = LeaderlessSince::default();
    leaderless.note(10_000, true);
    let resumed_at = 40_000;
    expect_that!(leaderless.may_wait(resumed_at), eq(true));
    leaderless.note(resumed_at, false);
    expect_that!(leaderless.may_wait(resumed_at + 500), eq(true));
}

#[gtest]
fn a_leader_ends_the_time_without_one() {
    let leaderless = LeaderlessSince::default();
    leaderless.note(10_000, false);
    leaderless.note(20_000, true);
    leaderless.note(20_100, false);
    expect_that!(leaderless.may_wait(20_200), eq(true));
}
