//! The request path as real processes: kills, freezes, planned stops, leaving
//! back ends and requests that run at most once, measured at the back ends' own
//! records.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Fleet, describe};
use coursestand_lab::Deployment;
use coursestand_lab::callers::{Finding, Finished};
use coursestand_lab::load::errand;
use coursestand_lab::verdict::check;
use googletest::prelude::*;

/// Runs `load` and, after `delay`, `fault`; returns what callers found.
async fn load_with_fault(
    fleet: &mut Fleet,
    seconds: u64,
    delay: Duration,
    fault: impl AsyncFnOnce(&mut Fleet),
) -> Vec<Finished> {
    let caller = fleet.caller();
    let deployment = fleet.world.deployment.clone();
    let plan = coursestand_lab::load::LoadPlan {
        rate: 120.0,
        duration: Duration::from_secs(seconds),
        patience: Duration::from_secs(20),
        seed: 11,
        run: "load".to_owned(),
    };
    let load = tokio::spawn(async move {
        coursestand_lab::load::run_load(&deployment, caller, &plan, |_| {}).await
    });
    tokio::time::sleep(delay).await;
    fault(fleet).await;
    load.await.expect("the load ends")
}

/// Connections of one daemon to one back end: slots in use, idle ones, a probe.
const CONNECTIONS_PER_DAEMON: u32 = 4 + 4 + 1;

fn assert_kept(fleet: &Fleet, finished: &[Finished]) {
    let records = fleet.world.records.all();
    let verdict = check(finished, &records);
    assert!(verdict.is_good(), "{}", describe(fleet, finished));
    let connections = records.iter().map(|record| record.connections).max();
    let most = CONNECTIONS_PER_DAEMON * fleet.settings.len() as u32;
    assert!(
        connections.unwrap_or(0) <= most,
        "{connections:?} connections"
    );
}

fn count(finished: &[Finished], finding: &Finding) -> usize {
    finished
        .iter()
        .filter(|one| one.finding == *finding)
        .count()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_and_a_killed_leader_break_no_promise() {
    let mut fleet = Fleet::start(7, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 8, delay, async |fleet| {
        fleet.kill(6);
        let leader = fleet.leader().await;
        fleet.kill(leader);
        // Both at once, and the second time right after the first.
        fleet.start_daemon(leader);
        fleet.start_daemon(6);
    })
    .await;
    assert_kept(&fleet, &finished);
    let answered = count(&finished, &Finding::Answered);
    expect_that!(
        answered * 10,
        ge(finished.len() * 9),
        "{}",
        describe(&fleet, &finished)
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_wakes_up_and_breaks_no_promise() {
    let mut fleet = Fleet::start(6, |deployment| {
        for service in &mut deployment.bundle.services {
            service.deadline_ms = 2_000;
        }
    })
    .await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 14, delay, async |fleet| {
        fleet.signal(5, "-STOP");
        // Longer than its lease and the longest request: its slots go to others.
        tokio::time::sleep(Duration::from_secs(8)).await;
        fleet.signal(5, "-CONT");
    })
    .await;
    assert_kept(&fleet, &finished);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request_off() {
    let mut fleet = Fleet::start(6, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 7, delay, async |fleet| {
        assert!(fleet.stop(5).await, "the daemon ends well");
        let leader = fleet.leader().await;
        assert!(fleet.stop(leader).await, "the leader ends well");
    })
    .await;
    assert_kept(&fleet, &finished);
    let cut = finished.iter().filter(|one| one.any_unknown).count();
    expect_that!(cut, eq(0), "{}", describe(&fleet, &finished));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_back_end_gets_no_new_work_and_keeps_what_it_has() {
    let mut fleet = Fleet::start(5, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 8, delay, async |fleet| {
        for index in [0, 21, 36] {
            fleet.world.backends[index].leave();
        }
        // The platform list tells of it later, and with a row that lags.
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.world.tell_platform();
    })
    .await;
    assert_kept(&fleet, &finished);
    let cut = finished.iter().filter(|one| one.any_unknown).count();
    expect_that!(cut, eq(0), "{}", describe(&fleet, &finished));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_back_ends_break_no_promise() {
    let mut fleet = Fleet::start(5, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 8, delay, async |fleet| {
        for index in [1, 7, 22, 37] {
            fleet.world.backends[index].kill();
        }
    })
    .await;
    assert_kept(&fleet, &finished);
}

/// Requests of the clients nearest to one daemon that take long.
async fn long_requests(fleet: &Fleet, daemon: usize, token: &str) -> Vec<Finished> {
    let zones = fleet.world.deployment.zones();
    let own = &fleet.settings[daemon].zone;
    let zone = zones.iter().position(|zone| zone == own).expect("known");
    let caller = fleet.caller();
    let tasks: Vec<_> = (1..=12_u16)
        .map(|number| {
            let client = Deployment::client_address(zone, number);
            let patience = Duration::from_secs(20);
            let mut one = errand("bunkview", client, &format!("{token}-{number}"), patience);
            one.work_ms = Some(800);
            let caller = std::sync::Arc::clone(&caller);
            tokio::spawn(async move { caller.run(one, std::time::Instant::now()).await })
        })
        .collect();
    let mut finished = Vec::new();
    for task in tasks {
        finished.push(task.await.expect("the errand ends"));
    }
    finished
}

/// The check of planned stops can fail: a kill in place of a stop cuts requests.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_for_long_requests_and_a_kill_is_seen_to_cut_them() {
    let mut fleet = Fleet::start(6, |_| {}).await;
    for (daemon, kills) in [(4, false), (5, true)] {
        let token = format!("long-{daemon}");
        let signal = async {
            tokio::time::sleep(Duration::from_millis(400)).await;
            fleet.signal(daemon, if kills { "-KILL" } else { "-TERM" });
        };
        let (finished, ()) = tokio::join!(long_requests(&fleet, daemon, &token), signal);
        let cut = finished.iter().filter(|one| one.any_unknown).count();
        expect_that!(cut > 0, eq(kills), "{}", describe(&fleet, &finished));
        fleet.reap(daemon).await;
    }
}
