//! How many disks the control group can lose, as its leader tells operators.
#![allow(missing_docs)]

use coursestand_daemon::control::shared::{MemberStatus, ReplicaStatus};
use coursestand_daemon::fleet::group_watch::tolerated_losses;
use googletest::prelude::*;

const COMMIT: u64 = 320;

fn member(replica: u64, matched: Option<u64>, silent_ms: Option<u64>) -> MemberStatus {
    MemberStatus {
        replica,
        address: format!("127.0.0.{replica}:7540"),
        voter: true,
        matched,
        silent_ms,
    }
}

/// Returns the status of a leader and four followers with these progresses and silences.
fn leader_of(followers: [(u64, u64); 4]) -> ReplicaStatus {
    let followers = followers.into_iter().zip(2..);
    let followers = followers
        .map(|((matched, silent_ms), replica)| member(replica, Some(matched), Some(silent_ms)));
    ReplicaStatus {
        role: "leader",
        commit: COMMIT,
        members: std::iter::once(member(1, None, None))
            .chain(followers)
            .collect(),
        ..ReplicaStatus::default()
    }
}

#[gtest]
fn a_complete_group_of_five_tolerates_the_loss_of_two_disks() {
    let status = leader_of([(COMMIT, 10), (COMMIT, 20), (COMMIT, 30), (COMMIT - 1, 40)]);
    expect_that!(tolerated_losses(&status), some(eq(2)));
}

/// Guards against an operator who is not told that a voter whose disk was lost still counts.
#[gtest]
fn silent_voters_and_those_without_the_log_count_as_lost() {
    let status = leader_of([(COMMIT, 10), (COMMIT, 20), (COMMIT, 5_000), (256, 40)]);
    expect_that!(tolerated_losses(&status), some(eq(0)));
}

#[gtest]
fn a_learner_that_has_caught_up_adds_nothing_until_it_votes() {
    let mut status = leader_of([(COMMIT, 10), (COMMIT, 20), (COMMIT, 30), (0, 5_000)]);
    let mut learner = member(6, Some(COMMIT), Some(10));
    learner.voter = false;
    status.members.push(learner);
    expect_that!(tolerated_losses(&status), some(eq(1)));
}

#[gtest]
fn only_a_leader_tells() {
    let mut status = leader_of([(COMMIT, 10); 4]);
    status.role = "follower";
    expect_that!(tolerated_losses(&status), none());
}
