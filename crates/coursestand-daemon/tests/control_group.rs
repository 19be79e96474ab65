//! The control group as real processes: killed and suspended replicas, lost data folders,
//! concurrent submissions and daemons that were down for a long time.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Fleet, TEST_TIMEOUT, until};
use coursestand_coordination::bundles::{AcceptedChange, OrderAction, SubmitAnswer};
use coursestand_coordination::tables::DrainTarget;
use coursestand_daemon::control::operators::ReplicaAddress;
use coursestand_model::Bundle;
use googletest::prelude::*;

fn drain_order(name: &str) -> OrderAction {
    let target = DrainTarget::Backend(name.into());
    OrderAction::Drain { target }
}

fn bundle_version(fleet: &Fleet, version: u64) -> Bundle {
    Bundle {
        version,
        ..fleet.simulation.deployment.bundle.clone()
    }
}

/// Waits until every daemon has `revision` in force.
async fn wait_for_revision(fleet: &Fleet, revision: u64) {
    for index in 0..fleet.settings.len() {
        until("every daemon has the revision", || async {
            fleet.dump(index, "follower").await["revision"] == revision
        })
        .await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_and_suspended_leaders_lose_no_accepted_change() {
    let mut fleet = Fleet::start(5, |_| {}).await;
    let mut accepted = vec![1];
    for round in 0..2 {
        let leader = fleet.leader().await;
        accepted.push(fleet.order(drain_order(&format!("killed-{round}"))).await);
        fleet.kill(leader);
        accepted.push(
            fleet
                .order(drain_order(&format!("after-kill-{round}")))
                .await,
        );
        fleet.start_daemon(leader);
        fleet.until_in_force(5).await;

        let leader = fleet.leader().await;
        fleet.signal(leader, "-STOP");
        // The suspended leader does not answer; the other replicas elect a new leader.
        accepted.push(
            fleet
                .order(drain_order(&format!("suspended-{round}")))
                .await,
        );
        fleet.signal(leader, "-CONT");
        until(
            "the resumed leader detects that its lease has expired",
            || async {
                let status = fleet
                    .operator
                    .status_of(fleet.operator_address(leader))
                    .await;
                status.is_ok_and(|status| !status.leads)
            },
        )
        .await;
        fleet.until_in_force(5).await;
    }
    let expected: Vec<u64> = (1..=accepted.len() as u64).collect();
    expect_that!(accepted, eq(&expected));
    wait_for_revision(&fleet, *accepted.last().expect("some")).await;
    expect_that!(
        fleet.operator.history().await.expect("history").len(),
        eq(accepted.len())
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_restart_of_all_daemons() {
    let mut fleet = Fleet::start(4, |_| {}).await;
    let revision = fleet.order(drain_order("one")).await;
    for index in 0..4 {
        fleet.kill(index);
    }
    for index in 0..4 {
        fleet.start_daemon(index);
    }
    fleet.operator.leader(TEST_TIMEOUT).await.expect("a leader");
    let status = fleet.until_in_force(4).await;
    expect_that!(status.revision, eq(revision));
    wait_for_revision(&fleet, revision).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn replicas_with_lost_data_folders_are_replaced_one_by_one() {
    let mut fleet = Fleet::start(4, |_| {}).await;
    let mut revision = fleet.order(drain_order("before")).await;
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
        revision = fleet
            .order(drain_order(&format!("while-blank-{lost}")))
            .await;
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
            .replace(
                cluster,
                identities[lost],
                replacement,
                address,
                TEST_TIMEOUT,
            )
            .await
            .expect("replaced");
        identities[lost] = replica;
        // The next data folder is lost right after this replacement.
    }
    let status = fleet.until_in_force(4).await;
    expect_that!(status.revision, eq(revision));
    let after = fleet.order(drain_order("after")).await;
    expect_that!(after, eq(revision + 1));
    let members = status.replica["members"].as_array().expect("members").len();
    expect_that!(members, eq(3));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_submissions_one_is_accepted_and_resends_get_the_first_answer() {
    let fleet = Fleet::start(3, |_| {}).await;
    for round in 0..5_u64 {
        let current = round + 1;
        let mut first_bundle = bundle_version(&fleet, 10 + round);
        first_bundle.lookup.lifetime_ms = 1_100;
        let mut second_bundle = bundle_version(&fleet, 10 + round);
        second_bundle.lookup.lifetime_ms = 1_200;
        let signed = [&first_bundle, &second_bundle]
            .map(|bundle| fleet.operator.sign_bundle(bundle).expect("signed"));
        let submit = |index: usize| {
            let bundle = signed[index].clone();
            let name = format!("race-{round}-{index}");
            let operator = fleet.operator.clone();
            async move {
                operator
                    .submit_bundle(bundle, current, &name, TEST_TIMEOUT)
                    .await
            }
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
        // Simulates lost answers: both operators resend.
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
        revision = fleet.order(drain_order(&format!("change-{change}"))).await;
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
async fn without_a_quorum_daemons_reject_requests_and_report_not_ready() {
    let mut fleet = Fleet::start(4, |_| {}).await;
    fleet.kill(0);
    fleet.kill(1);
    until("the last replica reports that it is not ready", || async {
        let url = format!("http://{}/health", fleet.settings[2].admin_listen);
        let answer = reqwest::get(url).await;
        answer.is_ok_and(|answer| answer.status().as_u16() == 503)
    })
    .await;
    until(
        "the daemon rejects requests because its tables are outdated",
        || async {
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
        },
    )
    .await;
    fleet.start_daemon(0);
    fleet.until_in_force(3).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    let lease = fleet.dump(3, "follower").await["lease_ms"].as_u64();
    expect_that!(lease, some(gt(0)));
}
