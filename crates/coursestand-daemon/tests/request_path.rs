//! The request path as real processes: killed and suspended daemons, planned stops, leaving
//! back ends and requests that run at most once, checked against the records of the back
//! ends.
#![allow(missing_docs)]

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, describe};
use coursestand_lab::Deployment;
use coursestand_lab::backend::{TOKEN, WORK_MS};
use coursestand_lab::callers::{FinishedRequest, RequestOutcome};
use coursestand_lab::load::default_request;
use coursestand_lab::verdict::check;
use coursestand_model::headers;
use googletest::prelude::*;

/// Generates load and, after `delay`, injects `fault`. Returns the results of the callers.
async fn load_with_fault(
    fleet: &mut Fleet,
    seconds: u64,
    delay: Duration,
    fault: impl AsyncFnOnce(&mut Fleet),
) -> Vec<FinishedRequest> {
    let caller = fleet.caller();
    let deployment = fleet.simulation.deployment.clone();
    let plan = coursestand_lab::load::LoadPlan {
        rate: 120.0,
        duration: Duration::from_secs(seconds),
        timeout: Duration::from_secs(20),
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

/// Maximum number of connections of one daemon to one back end: 4 in use, 4 idle, 1 probe.
const CONNECTIONS_PER_DAEMON: u32 = 4 + 4 + 1;

fn assert_guarantees(fleet: &Fleet, finished: &[FinishedRequest]) {
    let records = fleet.simulation.records.all();
    let verdict = check(finished, &records);
    assert!(verdict.has_no_violations(), "{}", describe(fleet, finished));
    let connections = records.iter().map(|record| record.connections).max();
    let max_connections = CONNECTIONS_PER_DAEMON * fleet.settings.len() as u32;
    assert!(
        connections.unwrap_or(0) <= max_connections,
        "{connections:?} connections"
    );
}

fn count(finished: &[FinishedRequest], outcome: &RequestOutcome) -> usize {
    finished
        .iter()
        .filter(|request| request.outcome == *outcome)
        .count()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_and_a_killed_leader_violate_no_guarantee() {
    let mut fleet = Fleet::start(7, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 8, delay, async |fleet| {
        fleet.kill(6);
        let leader = fleet.leader().await;
        fleet.kill(leader);
        // Both are down at the same time and restart without delay.
        fleet.start_daemon(leader);
        fleet.start_daemon(6);
    })
    .await;
    assert_guarantees(&fleet, &finished);
    let answered = count(&finished, &RequestOutcome::Answered);
    expect_that!(
        answered * 10,
        ge(finished.len() * 9),
        "{}",
        describe(&fleet, &finished)
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_daemon_violates_no_guarantee() {
    let mut fleet = Fleet::start(6, |deployment| {
        for service in &mut deployment.bundle.services {
            service.deadline_ms = 2_000;
        }
    })
    .await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 14, delay, async |fleet| {
        fleet.signal(5, "-STOP");
        // Longer than its lease and the longest request: its slots are reassigned.
        tokio::time::sleep(Duration::from_secs(8)).await;
        fleet.signal(5, "-CONT");
    })
    .await;
    assert_guarantees(&fleet, &finished);
}

/// Sends requests directly to one daemon, one at a time, until `end`. Returns the number
/// that succeeded.
async fn send_to_daemon(address: String, client: String, token: String, end: Instant) -> usize {
    let http = reqwest::Client::new();
    let url = format!("http://{address}/v1/services/bunkview/work");
    let mut answered = 0;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let response = http
            .get(&url)
            .header(TOKEN, format!("{token}-{number}"))
            .header(WORK_MS, "150")
            .header(headers::CLIENT, &client)
            .send();
        match response.await {
            Ok(response) if response.status().is_success() => answered += 1,
            _ => tokio::time::sleep(Duration::from_millis(2)).await,
        }
    }
    answered
}

/// Starts concurrent senders for each of `daemons`, with clients from every zone.
fn send_to_daemons(
    fleet: &Fleet,
    daemons: impl Iterator<Item = usize>,
    duration: Duration,
) -> Vec<tokio::task::JoinHandle<usize>> {
    let end = Instant::now() + duration;
    let zones = fleet.simulation.deployment.zones().len();
    let mut tasks = Vec::new();
    for daemon in daemons {
        let entry = fleet.settings[daemon]
            .entry_role
            .as_ref()
            .expect("an entry daemon");
        for sender in 0..24 {
            let client = Deployment::client_address(sender % zones, sender as u16);
            let token = format!("{daemon}-{sender}");
            let address = entry.listen.to_string();
            tasks.push(tokio::spawn(send_to_daemon(address, client, token, end)));
        }
    }
    tasks
}

/// Waits for all senders and returns the number of requests that succeeded.
async fn total_answered(senders: Vec<tokio::task::JoinHandle<usize>>) -> usize {
    let mut sum = 0;
    for sender in senders {
        sum += sender.await.expect("the sender ends");
    }
    sum
}

/// Guards against a daemon that is resumed, is granted a lease and uses slots that were
/// reassigned to other daemons while it was suspended.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_daemon_uses_no_reassigned_slots() {
    let fleet = Fleet::start(6, |deployment| {
        for service in &mut deployment.bundle.services {
            service.deadline_ms = 1_000;
        }
    })
    .await;
    // Makes the allocator assign slots to the daemon before it is suspended.
    total_answered(send_to_daemons(&fleet, 5..6, Duration::from_secs(2))).await;
    fleet.signal(5, "-STOP");
    // Longer than the daemon's lease, the longest request and the wait of its last long poll.
    tokio::time::sleep(Duration::from_millis(6_500)).await;
    let other_senders = send_to_daemons(&fleet, 0..5, Duration::from_secs(5));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let resumed_senders = send_to_daemons(&fleet, 5..6, Duration::from_secs(2));
    fleet.signal(5, "-CONT");
    let answered_by_resumed = total_answered(resumed_senders).await;
    let answered_by_others = total_answered(other_senders).await;
    expect_that!(answered_by_resumed, gt(0));
    expect_that!(answered_by_others, gt(0));
    assert_guarantees(&fleet, &[]);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() {
    let mut fleet = Fleet::start(6, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 7, delay, async |fleet| {
        assert!(fleet.stop(5).await, "the daemon exits successfully");
        let leader = fleet.leader().await;
        assert!(fleet.stop(leader).await, "the leader exits successfully");
    })
    .await;
    assert_guarantees(&fleet, &finished);
    let interrupted = finished
        .iter()
        .filter(|request| request.any_unknown)
        .count();
    expect_that!(interrupted, eq(0), "{}", describe(&fleet, &finished));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_back_end_gets_no_new_requests_and_completes_those_in_flight() {
    let mut fleet = Fleet::start(5, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 8, delay, async |fleet| {
        for index in [0, 21, 36] {
            fleet.simulation.backends[index].leave();
        }
        // The platform list announces it later, with an outdated row.
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.simulation.update_platform_list();
    })
    .await;
    assert_guarantees(&fleet, &finished);
    let interrupted = finished
        .iter()
        .filter(|request| request.any_unknown)
        .count();
    expect_that!(interrupted, eq(0), "{}", describe(&fleet, &finished));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_back_ends_violate_no_guarantee() {
    let mut fleet = Fleet::start(5, |_| {}).await;
    let delay = Duration::from_secs(2);
    let finished = load_with_fault(&mut fleet, 8, delay, async |fleet| {
        for index in [1, 7, 22, 37] {
            fleet.simulation.backends[index].kill();
        }
    })
    .await;
    assert_guarantees(&fleet, &finished);
}

/// Sends long requests from clients in the zone of one daemon. Returns their results.
async fn long_requests(fleet: &Fleet, daemon: usize, token: &str) -> Vec<FinishedRequest> {
    let zones = fleet.simulation.deployment.zones();
    let daemon_zone = &fleet.settings[daemon].zone;
    let zone = zones
        .iter()
        .position(|zone| zone == daemon_zone)
        .expect("known");
    let caller = fleet.caller();
    let tasks: Vec<_> = (1..=12_u16)
        .map(|number| {
            let client = Deployment::client_address(zone, number);
            let timeout = Duration::from_secs(20);
            let mut request =
                default_request("bunkview", client, &format!("{token}-{number}"), timeout);
            request.work_ms = Some(800);
            let caller = std::sync::Arc::clone(&caller);
            tokio::spawn(async move { caller.run(request, std::time::Instant::now()).await })
        })
        .collect();
    let mut finished = Vec::new();
    for task in tasks {
        finished.push(task.await.expect("the request ends"));
    }
    finished
}

/// Shows that the check of planned stops can fail: a kill instead of a stop interrupts
/// requests.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_waits_for_long_requests_and_a_kill_interrupts_them() {
    let mut fleet = Fleet::start(6, |_| {}).await;
    for (daemon, is_killed) in [(4, false), (5, true)] {
        let token = format!("long-{daemon}");
        let signal = async {
            tokio::time::sleep(Duration::from_millis(400)).await;
            fleet.signal(daemon, if is_killed { "-KILL" } else { "-TERM" });
        };
        let (finished, ()) = tokio::join!(long_requests(&fleet, daemon, &token), signal);
        let interrupted = finished
            .iter()
            .filter(|request| request.any_unknown)
            .count();
        expect_that!(
            interrupted > 0,
            eq(is_killed),
            "{}",
            describe(&fleet, &finished)
        );
        fleet.reap(daemon).await;
    }
}
