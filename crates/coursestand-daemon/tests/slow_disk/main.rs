//! Disks that stall for seconds under all control replicas at once stopped control: each
//! replica synced its log on the thread that answers the leader, so nobody was heard, the
//! leader lost its lease, and no daemon got news until the disks came back. One replica's
//! slow disk must not stop the others either, whether it leads or follows.
#![allow(missing_docs)]

mod ended_leases;
mod group;

use std::time::Duration;

use googletest::prelude::*;
use group::{Group, REPLICAS};

/// As long as the disks were seen to stall.
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
    let watching = group.longest_without_leader(STALL);
    let (took, without) = tokio::join!(changing, watching);
    // The change needs the disks, and comes with them; leases don't.
    expect_that!(took, lt(STALL + Duration::from_secs(1)));
    expect_that!(without, lt(Duration::from_millis(200)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_own_disk_stalls_makes_room() {
    let group = Group::start().await;
    let leader = group.wait_for_leader().await;
    group.change(true).await;
    group.members[&leader].disk.stall(STALL);
    // The first one may be lost with the old leader, and is tried anew.
    let first = tokio::time::timeout(Duration::from_millis(2_500), group.change(false)).await;
    let took = match first {
        Ok(took) => took,
        Err(_) => group.change(false).await,
    };
    expect_that!(took, lt(Duration::from_millis(2_500)));
    expect_that!(group.leader(), not(some(eq(leader))));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_follower_whose_disk_stalls_holds_nobody_up() {
    let group = Group::start().await;
    let leader = group.wait_for_leader().await;
    group.change(true).await;
    let follower = REPLICAS.into_iter().find(|replica| *replica != leader);
    let follower = &group.members[&follower.expect("another one")];
    follower.disk.stall(STALL);
    for round in 0..10 {
        let took = group.change(round % 2 == 0).await;
        expect_that!(took, lt(Duration::from_millis(500)));
    }
    expect_that!(group.leader(), some(eq(leader)));
}
