//! Control processes lose their disks, two at a time and more than once, after any number of
//! changes and whichever replica leads. Real processes.
#![allow(missing_docs)]

#[path = "../partition/callers.rs"]
#[allow(dead_code)]
mod callers;
#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../soak/processes.rs"]
#[allow(dead_code)]
mod processes;

mod group;
mod links;
mod service;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use group::{AT_ONCE, CATCH_UP, CONTROLS, Group, RECOVERY};
use service::Served;

/// More changes than one message of the log carries to a replica.
const LONG_HISTORY: u64 = 320;
/// Time for which an ordinary restart takes a process away.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time after which the leader has warned of lost replicas.
const WARNING_TIME: Duration = Duration::from_secs(8);
const TRAFFIC_TIME: Duration = Duration::from_secs(15);
/// Time until a process that was started accepts connections.
const START_TIME: Duration = Duration::from_secs(1);
const RUNNING_EDGE: u8 = 11;
const RESTARTED_EDGE: u8 = 12;
/// Fewer changes than that.
const SHORT_HISTORY: u64 = 100;

/// Few enough that they take little time between distant regions.
const FEW_CHANGES: u64 = 10;

/// Two disks are lost, and then two others while a replica leads that had lost its disk. Then power
/// fails everywhere, and the first two are lost again.
async fn lose_two_disks_three_times(changes: u64) {
    let mut group = Group::start().await;
    let mut acknowledged = group.change(changes).await;
    group.lose_disks(&[1, 2]).await;
    group.wait_for_members(CATCH_UP).await;
    group.make_leader(1).await;
    group.lose_disks(&[3, 4]).await;
    group.wait_for_members(CATCH_UP).await;
    acknowledged.extend(group.change(1).await);
    group.lose_power_and_disks(&[2, 5]).await;
    group.expect_read(&CONTROLS, &acknowledged, RECOVERY).await;
}

/// Guards against a group without a leader after the loss of two disks: replicas that had lost their
/// disks before held only the first message of the log, since they could not answer a leader which
/// that part of the log does not name.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn two_disks_may_be_lost_again_after_a_long_history() {
    lose_two_disks_three_times(LONG_HISTORY).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn two_disks_may_be_lost_again_after_a_short_history() {
    lose_two_disks_three_times(SHORT_HISTORY).await;
}

/// Guards against a replica with an empty disk that never catches up with a leader which the first
/// message of the log does not name.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_catches_up_with_a_leader_that_had_lost_its_disk() {
    let mut group = Group::start().await;
    let acknowledged = group.change(LONG_HISTORY).await;
    group.lose_disks(&[4]).await;
    group.wait_for_members(CATCH_UP).await;
    group.make_leader(4).await;
    group.lose_disks(&[5]).await;
    group.expect_read(&[5], &acknowledged, RECOVERY).await;
    group.wait_for_members(RECOVERY).await;
}

/// Guards against a replica with its disk whole that never catches up with a leader which joined
/// while it was away.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_was_away_catches_up_with_a_leader_that_joined_meanwhile() {
    let mut group = Group::start().await;
    group.kill(&[5]);
    let acknowledged = group.change(LONG_HISTORY).await;
    group.lose_disks(&[4]).await;
    tokio::time::sleep(CATCH_UP).await;
    group.make_leader(4).await;
    group.start_processes(&[5]);
    group.expect_read(&[5], &acknowledged, RECOVERY).await;
    group.wait_for_members(RECOVERY).await;
}

/// Two replicas vote for a candidate that joined while they were away.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_were_away_elect_one_that_joined_meanwhile() {
    let mut group = Group::start().await;
    group.kill(&[5]);
    let acknowledged = group.change(LONG_HISTORY).await;
    group.lose_disks(&[4]).await;
    tokio::time::sleep(CATCH_UP).await;
    group.make_leader(4).await;
    group.kill(&[1, 2, 3, 4]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    group.start_processes(&[4, 5, 1]);
    group.expect_read(&[4, 5, 1], &acknowledged, RECOVERY).await;
}

/// Guards against a group without a leader for good, since a voter could not tell its vote to
/// candidates that its log does not name: all three are needed, and only the two that joined while
/// the third was away have the newest log.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_was_away_votes_for_one_that_joined_meanwhile() {
    let mut group = Group::start().await;
    group.kill(&[5]);
    let mut acknowledged = group.change(20).await;
    group.lose_disks(&[4]).await;
    tokio::time::sleep(CATCH_UP).await;
    group.lose_disks(&[2]).await;
    tokio::time::sleep(CATCH_UP).await;
    acknowledged.extend(group.change(1).await);
    group.kill(&CONTROLS);
    tokio::time::sleep(Duration::from_millis(500)).await;
    group.start_processes(&[2, 4, 5]);
    group.expect_read(&[2, 4, 5], &acknowledged, RECOVERY).await;
}

/// Guards against operators who get no answer from a group without a leader: a call that can't be
/// served is refused at once, with the time after which it may be repeated.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_group_without_a_leader_refuses_reads_and_orders_at_once() {
    let mut group = Group::start().await;
    group.change(1).await;
    group.kill(&[1, 2, 3]);
    // Longer than an election takes.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for host in [4, 5] {
        expect_that!(
            group.time_of_refused_read(host).await,
            lt(AT_ONCE),
            "{host}"
        );
        expect_that!(
            group.time_of_refused_order(host).await,
            lt(AT_ONCE),
            "{host}"
        );
    }
}

/// Guards against a replica with an empty disk that waits for an answer of a suspended process
/// before it joins: its leader took it as lost again meanwhile.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_process_does_not_delay_the_return_of_a_lost_disk() {
    let mut group = Group::start_distant().await;
    group.change(FEW_CHANGES).await;
    let leader = group.leader().await.expect("a leader");
    let mut followers = CONTROLS.into_iter().filter(|host| *host != leader);
    let (suspended, lost) = (
        followers.next().expect("one"),
        followers.next().expect("one"),
    );
    group.suspend(suspended);
    group.lose_disks(&[lost]).await;
    group.wait_for_vote(lost, CATCH_UP).await;
}

/// Guards against changes of the members that each wait for the next check: two lost disks then took
/// more than half of the time that the group is given, also with a short log.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn distant_replicas_replace_two_lost_disks_without_pauses() {
    let mut group = Group::start_distant().await;
    group.change(FEW_CHANGES).await;
    for lost in [[1, 2], [3, 4], [2, 5]] {
        group.lose_disks(&lost).await;
        group.wait_for_members(CATCH_UP / 2).await;
        group.wait_for_members(RECOVERY).await;
    }
}

/// Guards against a replica that the leader does not reach at its new address: the log of the group
/// names the one with which it joined.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_returns_with_its_disk_at_another_address_catches_up() {
    let mut group = Group::start().await;
    group.kill(&[5]);
    let mut acknowledged = group.change(LONG_HISTORY).await;
    group.start_with_disk_of(6, 5);
    group.expect_read(&[6], &acknowledged, RECOVERY).await;
    // Its copy and its vote count.
    group.kill(&[1, 2]);
    acknowledged.extend(group.change(1).await);
    group.expect_read(&[6], &acknowledged, RECOVERY).await;
}

const WARNING: &str = "the control group tolerates the loss of too few disks";

/// Guards against operators who are not told that the group can't bear its losses any more, and
/// against a warning at each restart.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_leader_warns_of_lost_replicas_but_not_of_a_restart() {
    let mut group = Group::start().await;
    group.change(1).await;
    let leader = group.leader().await.expect("a leader");
    let others: Vec<u8> = CONTROLS
        .into_iter()
        .filter(|host| *host != leader)
        .collect();
    for host in &others[..2] {
        group.kill(&[*host]);
        tokio::time::sleep(RESTART_TIME).await;
        group.start_processes(&[*host]);
        group.wait_for_members(CATCH_UP).await;
    }
    expect_that!(group.has_logged(leader, WARNING), eq(false));
    group.kill(&others[..2]);
    tokio::time::sleep(WARNING_TIME).await;
    expect_that!(group.leader().await, some(eq(leader)));
    expect_that!(group.has_logged(leader, WARNING), eq(true));
}

/// Guards against requests without an answer at entry daemons whose control group has no leader: one
/// keeps running, and one starts again and has no catalog.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_while_the_group_has_no_leader() {
    let mut group = Group::start().await;
    group.change_routes_of_callers().await;
    let _backends = service::start_backends(&group).await;
    group.start_edges(&[RUNNING_EDGE, RESTARTED_EDGE]);
    service::wait_for_service(&group, RUNNING_EDGE).await;
    service::wait_for_service(&group, RESTARTED_EDGE).await;
    let calls = service::call_daemons(&group, &[RUNNING_EDGE, RESTARTED_EDGE], TRAFFIC_TIME);
    tokio::time::sleep(RESTART_TIME).await;
    group.kill(&[1, 2, 3]);
    tokio::time::sleep(RESTART_TIME).await;
    let killed_at = Instant::now();
    group.kill(&[RESTARTED_EDGE]);
    tokio::time::sleep(RESTART_TIME).await;
    group.start_edges(&[RESTARTED_EDGE]);
    tokio::time::sleep(START_TIME).await;
    let started_at = Instant::now();
    let refusal = group.time_of_refused_request(RESTARTED_EDGE).await;
    println!("refused after {refusal:?}");
    expect_that!(refusal, lt(AT_ONCE));
    let answers = calls.await.expect("no panic").all();
    let at = |host| answers.iter().filter(move |answer| answer.host == host);
    let running = Served::of(at(RUNNING_EDGE));
    println!("running daemon: {running:?}");
    expect_that!(
        running.statuses.get(&0),
        none(),
        "requests without an answer"
    );
    let before = Served::of(at(RESTARTED_EDGE).filter(|it| it.sent_at + it.took < killed_at));
    let after = Served::of(at(RESTARTED_EDGE).filter(|it| it.sent_at > started_at));
    println!("restarted daemon: before {before:?}, after {after:?}");
    expect_that!(
        before.statuses.get(&0),
        none(),
        "requests without an answer"
    );
    expect_that!(
        after.statuses.keys().collect::<Vec<_>>(),
        elements_are![eq(&&503)]
    );
    expect_that!(after.slowest, lt(AT_ONCE));
}
