//! Guards against stalled disks that stop control. If each replica syncs its log on the thread
//! that answers the leader, disks that stall for seconds on all replicas make the leader lose
//! its lease, and daemons get no updates until the disks recover. The slow disk of a single
//! replica, leader or follower, must not stop the others either.
#![allow(missing_docs)]

mod ended_leases;
mod group;

use std::time::Duration;

use googletest::prelude::*;
use group::{Group, REPLICAS};

/// Disks can stall for this long.
const STALL: Duration = Duration::from_millis(4_400);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_keeps_its_lease_while_all_disks_stall() {
    let group = Group::start().await;
    group.wait_for_leader().await;
    group.change(true).await;
    for member in group.members.values() {
        member.disk.stall(STALL);
    }
    let changing = group.change(false);
    let monitoring = group.longest_without_leader(STALL);
    let (elapsed, without_leader) = tokio::join!(changing, monitoring);
    // The change is committed once the disks recover; the leader lease needs no disk.
    expect_that!(elapsed, lt(STALL + Duration::from_secs(1)));
    expect_that!(without_leader, lt(Duration::from_millis(200)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_with_a_stalled_disk_is_replaced() {
    let group = Group::start().await;
    let leader = group.wait_for_leader().await;
    group.change(true).await;
    group.members[&leader].disk.stall(STALL);
    // The first proposal may be lost with the old leader and is retried.
    let first = tokio::time::timeout(Duration::from_millis(2_500), group.change(false)).await;
    let elapsed = match first {
        Ok(elapsed) => elapsed,
        Err(_) => group.change(false).await,
    };
    expect_that!(elapsed, lt(Duration::from_millis(2_500)));
    expect_that!(group.leader(), not(some(eq(leader))));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_with_a_stalled_disk_delays_no_change() {
    let group = Group::start().await;
    let leader = group.wait_for_leader().await;
    group.change(true).await;
    let follower = REPLICAS.into_iter().find(|replica| *replica != leader);
    let follower = &group.members[&follower.expect("another one")];
    follower.disk.stall(STALL);
    for round in 0..10 {
        let elapsed = group.change(round % 2 == 0).await;
        expect_that!(elapsed, lt(Duration::from_millis(500)));
    }
    expect_that!(group.leader(), some(eq(leader)));
}
