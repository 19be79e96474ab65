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

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_share_the_crash_records_of_a_fatal_request() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    for edge in EDGES {
        deployment.start_edge(edge).await;
    }
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backends = start_fatal_backends(&deployment, BACKENDS).await;
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
    let backends = start_fatal_backends(&deployment, 4 * BACKENDS).await;
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

/// Sends the fatal request to each entry daemon once.
async fn request_at_all_daemons(deployment: &Deployment, id: &str) {
    for edge in EDGES {
        let id = format!("{id}-{edge}");
        deployment.request(edge, "/a/deadly", &id).await;
    }
}

/// Starts back ends that crash on the fatal request, and waits until all entry daemons have
/// received them.
async fn start_fatal_backends(deployment: &Deployment, count: usize) -> Vec<ScriptedBackend> {
    let mut backends = Vec::new();
    for number in 0..count {
        let started = ScriptedBackend::start(vec![], Behaviour::CrashOn("deadly")).await;
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
