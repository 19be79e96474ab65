//! Requests for one object end each back end that runs them, and come to five entry daemons
//! by turns. Each daemon learned alone under which requests back ends had ended, and paid
//! for the same lesson.

use std::time::Duration;

use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;

use crate::deployment::{Deployment, first_items, heartbeat_of};
use crate::{ALL, EDGE, OTHER_EDGE, formed};

const EDGES: [u8; 5] = [EDGE, OTHER_EDGE, 13, 14, 15];
const BACKENDS: usize = 16;
/// Ends of back ends that one such request may cost, at however many daemons.
const MOST_ENDS: usize = 6;
const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(30);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_learn_together_which_request_ends_back_ends() {
    let mut deployment = formed(&ALL).await;
    for edge in EDGES {
        deployment.start_edge(edge).await;
    }
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backends = deadly_backends(&deployment, BACKENDS).await;
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
    let ended = backends.iter().filter(|backend| backend.has_crashed());
    expect_that!(ended.count(), le(MOST_ENDS));
    expect_that!(served, ge(REQUESTS * 9 / 10));
    for edge in EDGES {
        let status = deployment.request(edge, "/a/deadly", "last").await;
        expect_that!(status, eq(503));
    }
}

/// Rounds in which one entry daemon each is killed and starts again.
const RESTARTS: usize = 10;
/// Ends that one request may cost whatever starts again: it is convicted by three, and two
/// more may be under way by then.
const MOST_ENDS_IN_ALL: usize = 5;

/// A request that ended back ends was asked for a few times a second while entry daemons
/// were killed by turns, and 20 back ends ended in 31 s, one to three after each start. What a
/// daemon had learnt was kept in its process only: a life that began ran the request and
/// repeated it, as logs with the age of each sender showed, all of them connected with
/// control. Control keeps the cases now and hands them over before the catalog, and grants
/// the trials.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_and_control_that_start_again_know_which_request_ends_back_ends() {
    let mut deployment = formed(&ALL).await;
    for edge in EDGES {
        deployment.start_edge(edge).await;
    }
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backends = deadly_backends(&deployment, 4 * BACKENDS).await;
    ask_everywhere(&deployment, "first").await;
    for round in 0..RESTARTS {
        let edge = EDGES[round % EDGES.len()];
        deployment.stop(edge).await;
        deployment.start_edge(edge).await;
        if round >= EDGES.len() {
            // Control processes start again as well, one by one.
            let control = ALL[round % ALL.len()];
            deployment.stop(control).await;
            deployment.start_control(control, false).await;
        }
        let is_ready = || deployment.catalog_version_at(edge) > 0;
        deployment
            .wait_until("a daemon has its catalog", is_ready)
            .await;
        for again in 0..3 {
            ask_everywhere(&deployment, &format!("{round}-{again}")).await;
        }
    }
    let ended = backends.iter().filter(|backend| backend.has_crashed());
    expect_that!(ended.count(), le(MOST_ENDS_IN_ALL));
    let status = deployment.request(EDGE, "/a/other", "other").await;
    expect_that!(status, eq(200));
}

async fn ask_everywhere(deployment: &Deployment, id: &str) {
    for edge in EDGES {
        let id = format!("{id}-{edge}");
        deployment.request(edge, "/a/deadly", &id).await;
    }
}

/// Back ends that end under the request, known to all entry daemons.
async fn deadly_backends(deployment: &Deployment, count: usize) -> Vec<ScriptedBackend> {
    let mut backends = Vec::new();
    for number in 0..count {
        let started = ScriptedBackend::start(vec![], Behaviour::CrashOn("deadly")).await;
        let backend = started.expect("a back end");
        let news = heartbeat_of(
            &format!("i-{number}"),
            backend.address(),
            1,
            InstancePhase::Ready,
        );
        expect_that!(deployment.heartbeat(5, &news).await, eq(200));
        backends.push(backend);
    }
    for number in 0..count {
        let id = format!("i-{number}");
        for edge in EDGES {
            let is_known = || deployment.phase_at(edge, &id).is_some();
            deployment.wait_until("a back end is known", is_known).await;
        }
    }
    backends
}
