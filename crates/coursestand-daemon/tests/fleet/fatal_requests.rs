//! Requests for one object crash each back end that runs them and arrive at five entry daemons
//! in turn. Guards against daemons that don't share their crash records, so that each of them
//! crashes as many back ends.

use std::time::Duration;

use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;

use crate::deployment::{Deployment, first_items, heartbeat_of};
use crate::{ALL_CONTROLS, EDGE, OTHER_EDGE, form_group};

const EDGES: [u8; 5] = [EDGE, OTHER_EDGE, 13, 14, 15];
const BACKENDS: usize = 16;
/// Back ends that one such request may crash, for any number of daemons.
const MAX_CRASHES: usize = 6;
const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(30);
const CRASH_AT_ONCE: Behaviour = Behaviour::CrashOn("deadly");

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_share_the_crash_records_of_a_fatal_request() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    for edge in EDGES {
        deployment.start_edge(edge).await;
    }
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backends = start_fatal_backends(&deployment, BACKENDS, CRASH_AT_ONCE).await;
    let mut served = 0;
    for number in 0..REQUESTS {
        let edge = EDGES[number % EDGES.len()];
        deployment
            .request(edge, "/a/deadly", &format!("d{number}"))
            .await;
        let status = deployment
            .request(edge, &format!("/a/{number}"), &format!("r{number}"))
            .await;
        served += usize::from(status == 200);
        tokio::time::sleep(PAUSE).await;
    }
    let crashed = backends.iter().filter(|backend| backend.has_crashed());
    expect_that!(crashed.count(), le(MAX_CRASHES));
    expect_that!(served, ge(REQUESTS * 9 / 10));
    for edge in EDGES {
        let status = deployment.request(edge, "/a/deadly", "last").await;
        expect_that!(status, eq(503));
    }
}

/// Rounds; in each of them one entry daemon is killed and restarted.
const RESTARTS: usize = 10;
/// Back ends that one request may crash regardless of restarts: three crashes quarantine it, and
/// two more copies may be in flight by then.
const MAX_CRASHES_WITH_RESTARTS: usize = 5;

/// Guards against crash records that are lost when an entry daemon restarts: the restarted
/// daemon would run and retry the fatal request, and one to three back ends would crash after
/// each restart. Control keeps the crash records, sends them to a daemon before the catalog,
/// and grants the trials.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn crash_records_survive_restarts_of_daemons_and_control() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    for edge in EDGES {
        deployment.start_edge(edge).await;
    }
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backends = start_fatal_backends(&deployment, 4 * BACKENDS, CRASH_AT_ONCE).await;
    request_at_all_daemons(&deployment, "first").await;
    for round in 0..RESTARTS {
        let edge = EDGES[round % EDGES.len()];
        deployment.stop(edge).await;
        deployment.start_edge(edge).await;
        if round >= EDGES.len() {
            // Control processes restart as well, one per round.
            let control = ALL_CONTROLS[round % ALL_CONTROLS.len()];
            deployment.stop(control).await;
            deployment.start_control(control, false).await;
        }
        let is_ready = || deployment.catalog_version_at(edge) > 0;
        deployment
            .wait_until("a daemon has its catalog", is_ready)
            .await;
        for repetition in 0..3 {
            request_at_all_daemons(&deployment, &format!("{round}-{repetition}")).await;
        }
    }
    let crashed = backends.iter().filter(|backend| backend.has_crashed());
    expect_that!(crashed.count(), le(MAX_CRASHES_WITH_RESTARTS));
    let status = deployment.request(EDGE, "/a/other", "other").await;
    expect_that!(status, eq(200));
}

/// Time from the arrival of a fatal request until it crashes its back end.
const RUN_TIME: Duration = Duration::from_millis(600);
const CONCURRENT_REQUESTS: usize = 10;
/// The first crash, and the one that shows whether it was a coincidence.
const MAX_CRASHES_OF_CONCURRENT_REQUESTS: usize = 2;

/// Guards against runs that go on at other back ends after a crash became known: each of the
/// concurrent runs would crash its back end.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_report_closes_the_runs_of_the_same_request() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    for edge in EDGES {
        deployment.start_edge(edge).await;
    }
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let behaviour = Behaviour::CrashAfter("deadly", RUN_TIME);
    let backends = start_fatal_backends(&deployment, 4 * BACKENDS, behaviour).await;
    let mut requests = Vec::new();
    for number in 0..CONCURRENT_REQUESTS {
        let edge = EDGES[number % EDGES.len()];
        requests.push(deployment.spawn_request_without_object(edge, "/a/deadly"));
        tokio::time::sleep(PAUSE).await;
    }
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.expect("the request ends"));
    }
    let crashed = backends.iter().filter(|backend| backend.has_crashed());
    expect_that!(crashed.count(), le(MAX_CRASHES_OF_CONCURRENT_REQUESTS));
    // They may have run, so none gets a status that promises the contrary.
    expect_that!(statuses, each(eq(&502)));
}

/// Guards against a daemon that runs requests before it has the crash records: one that restarts
/// while it is cut off from control serves nothing.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_serves_nothing_before_it_has_the_crash_records() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    deployment.start_edge(EDGE).await;
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backend = ScriptedBackend::start(vec![], CRASH_AT_ONCE).await;
    let backend = backend.expect("a back end");
    let heartbeat = heartbeat_of("i-0", backend.address(), 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(5, &heartbeat).await, eq(200));
    let has_backend = || deployment.phase_at(EDGE, "i-0").is_some();
    deployment
        .wait_until("the daemon has the back end", has_backend)
        .await;
    expect_that!(deployment.request(EDGE, "/a/other", "r").await, eq(200));
    for control in ALL_CONTROLS {
        deployment.stop(control).await;
    }
    deployment.stop(EDGE).await;
    deployment.start_edge(EDGE).await;
    let arrived = backend.arrival_count();
    for number in 0..20 {
        let id = format!("r{number}");
        expect_that!(deployment.request(EDGE, "/a/other", &id).await, eq(503));
        tokio::time::sleep(PAUSE).await;
    }
    expect_that!(backend.arrival_count(), eq(arrived));
}

/// Sends the fatal request to each entry daemon once.
async fn request_at_all_daemons(deployment: &Deployment, id: &str) {
    for edge in EDGES {
        let id = format!("{id}-{edge}");
        deployment.request(edge, "/a/deadly", &id).await;
    }
}

/// Starts back ends that crash on the fatal request, and waits until all entry daemons have
/// received them.
async fn start_fatal_backends(
    deployment: &Deployment,
    count: usize,
    behaviour: Behaviour,
) -> Vec<ScriptedBackend> {
    let mut backends = Vec::new();
    for number in 0..count {
        let started = ScriptedBackend::start(vec![], behaviour.clone()).await;
        let backend = started.expect("a back end");
        let heartbeat = heartbeat_of(
            &format!("i-{number}"),
            backend.address(),
            1,
            InstancePhase::Ready,
        );
        expect_that!(deployment.heartbeat(5, &heartbeat).await, eq(200));
        backends.push(backend);
    }
    for number in 0..count {
        let id = format!("i-{number}");
        for edge in EDGES {
            let has_backend = || deployment.phase_at(edge, &id).is_some();
            deployment
                .wait_until("a daemon has the back end", has_backend)
                .await;
        }
    }
    backends
}
