//! The control group as real processes: kills, freezes, lost data folders,
//! racing operators and daemons that were down for long.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Fleet, WITHIN, until};
use coursestand_coordination::bundles::{AcceptedChange, OrderAction, SubmitAnswer};
use coursestand_coordination::tables::DrainTarget;
use coursestand_daemon::control::operators::ReplicaAddress;
use coursestand_model::Bundle;
use googletest::prelude::*;

fn drain_of(name: &str) -> OrderAction {
    let target = DrainTarget::Backend(name.into());
    OrderAction::Drain { target }
}

fn version(fleet: &Fleet, version: u64) -> Bundle {
    Bundle {
        version,
        ..fleet.world.deployment.bundle.clone()
    }
}

/// Every daemon shows the newest revision.
async fn all_agree(fleet: &Fleet, revision: u64) {
    for index in 0..fleet.settings.len() {
        until("every daemon has the revision", || async {
            fleet.dump(index, "follower").await["revision"] == revision
        })
        .await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_and_a_frozen_leader_lose_nothing_accepted() {
    let mut fleet = Fleet::start(5, |_| {}).await;
    let mut accepted = vec![1];
    for round in 0..2 {
        let leader = fleet.leader().await;
        accepted.push(fleet.order(drain_of(&format!("killed-{round}"))).await);
        fleet.kill(leader);
        accepted.push(fleet.order(drain_of(&format!("after-kill-{round}"))).await);
        fleet.start_daemon(leader);
        fleet.until_in_force(5).await;

        let leader = fleet.leader().await;
        fleet.signal(leader, "-STOP");
        // The frozen leader answers nobody; the others go on without it.
        accepted.push(fleet.order(drain_of(&format!("frozen-{round}"))).await);
        fleet.signal(leader, "-CONT");
        until("the frozen leader sees that it no longer leads", || async {
            let status = fleet
                .operator
                .status_of(fleet.operator_address(leader))
                .await;
            status.is_ok_and(|status| !status.leads)
        })
        .await;
        fleet.until_in_force(5).await;
    }
    let expected: Vec<u64> = (1..=accepted.len() as u64).collect();
    expect_that!(accepted, eq(&expected));
    all_agree(&fleet, *accepted.last().expect("some")).await;
    expect_that!(
        fleet.operator.history().await.expect("history").len(),
        eq(accepted.len())
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_restart_of_all() {
    let mut fleet = Fleet::start(4, |_| {}).await;
    let revision = fleet.order(drain_of("one")).await;
    for index in 0..4 {
        fleet.kill(index);
    }
    for index in 0..4 {
        fleet.start_daemon(index);
    }
    fleet.operator.leader(WITHIN).await.expect("a leader");
    let status = fleet.until_in_force(4).await;
    expect_that!(status.revision, eq(revision));
    all_agree(&fleet, revision).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn lost_data_folders_are_replaced_one_after_the_other() {
    let mut fleet = Fleet::start(4, |_| {}).await;
    let mut revision = fleet.order(drain_of("before")).await;
    let mut identities = [1_u64, 2, 3];
    for lost in [0, 1, 2] {
        fleet.kill(lost);
        let control = fleet.settings[lost].control_role.clone().expect("control");
        std::fs::remove_dir_all(&control.data_folder).expect("removed");
        fleet.start_daemon(lost);
        let address = control.operator_listen;
        until("the blank replica listens", || async {
            fleet.operator.status_of(address).await.is_ok()
        })
        .await;
        let blank = fleet.operator.status_of(address).await.expect("status");
        expect_that!(blank.replica["role"].as_str(), eq(Some("blank")));
        revision = fleet.order(drain_of(&format!("while-blank-{lost}"))).await;
        let leader = fleet.operator.status().await.expect("status");
        let cluster = leader.replica["identity"]["cluster"]
            .as_u64()
            .expect("a group");
        let replica = 100 + lost as u64;
        let replacement = ReplicaAddress {
            replica,
            address: control.listen,
        };
        fleet
            .operator
            .replace(cluster, identities[lost], replacement, address, WITHIN)
            .await
            .expect("replaced");
        identities[lost] = replica;
        // The next one is lost right after this repair.
    }
    let status = fleet.until_in_force(4).await;
    expect_that!(status.revision, eq(revision));
    let after = fleet.order(drain_of("after")).await;
    expect_that!(after, eq(revision + 1));
    let members = status.replica["members"].as_array().expect("members").len();
    expect_that!(members, eq(3));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner_and_resends_the_first_answer() {
    let fleet = Fleet::start(3, |_| {}).await;
    for round in 0..5_u64 {
        let current = round + 1;
        let mut one = version(&fleet, 10 + round);
        one.lookup.lifetime_ms = 1_100;
        let mut other = version(&fleet, 10 + round);
        other.lookup.lifetime_ms = 1_200;
        let signed =
            [&one, &other].map(|bundle| fleet.operator.sign_bundle(bundle).expect("signed"));
        let submit = |index: usize| {
            let bundle = signed[index].clone();
            let name = format!("race-{round}-{index}");
            let operator = fleet.operator.clone();
            async move { operator.submit_bundle(bundle, current, &name, WITHIN).await }
        };
        let (first, second) = tokio::join!(submit(0), submit(1));
        let answers = [first.expect("an answer"), second.expect("an answer")];
        let accepted = SubmitAnswer::Accepted {
            revision: current + 1,
        };
        let winners = answers.iter().filter(|answer| **answer == accepted).count();
        expect_that!(winners, eq(1), "{answers:?}");
        let conflicts = answers
            .iter()
            .filter(|answer| matches!(answer, SubmitAnswer::Conflict { .. }))
            .count();
        expect_that!(conflicts, eq(1), "{answers:?}");
        // Answers that were lost: both send again.
        for index in [0, 1] {
            let again = submit(index).await.expect("an answer");
            expect_that!(again == accepted, eq(answers[index] == accepted));
        }
    }
    let history = fleet.operator.history().await.expect("history");
    let bundles = history
        .iter()
        .filter(|revision| matches!(revision.change, AcceptedChange::Bundle { .. }))
        .count();
    expect_that!(bundles, eq(6));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_down_for_500_changes_catches_up() {
    let mut fleet = Fleet::start(4, |_| {}).await;
    fleet.kill(3);
    let mut revision = 0;
    for change in 0..500 {
        revision = fleet.order(drain_of(&format!("change-{change}"))).await;
    }
    fleet.start_daemon(3);
    until("the daemon has caught up", || async {
        fleet.dump(3, "follower").await["revision"] == revision
    })
    .await;
    fleet.until_in_force(4).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn without_a_quorum_daemons_stop_deciding_and_show_it() {
    let mut fleet = Fleet::start(4, |_| {}).await;
    fleet.kill(0);
    fleet.kill(1);
    until("the last replica shows that it is cut off", || async {
        let url = format!("http://{}/health", fleet.settings[2].admin_listen);
        let answer = reqwest::get(url).await;
        answer.is_ok_and(|answer| answer.status().as_u16() == 503)
    })
    .await;
    until("the daemon refuses to decide on old rules", || async {
        let entry = fleet.settings[3]
            .entry_role
            .as_ref()
            .expect("an entry")
            .listen;
        let answer = reqwest::get(format!("http://{entry}/v1/services/bunkview/x")).await;
        answer.is_ok_and(|answer| {
            answer.status().as_u16() == 503
                && answer
                    .headers()
                    .get("x-outcome")
                    .is_some_and(|outcome| outcome == "not-run")
        })
    })
    .await;
    fleet.start_daemon(0);
    fleet.until_in_force(3).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let lease = fleet.dump(3, "follower").await["lease_ms"].as_u64();
    expect_that!(lease, some(gt(0)));
}
