//! A back end may restart under the same identity, with heartbeats numbered from one again.
//! Guards against a table that orders heartbeats by their number alone: it would ignore the
//! new incarnation until its numbers exceed those of the earlier one, and for good if the
//! earlier one has reported that it is draining.

use std::time::{Duration, Instant};

use coursestand_discovery::{InstancePhase, InstanceUpdate};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::Millis;
use googletest::prelude::*;

use crate::deployment::{Deployment, TEST_TIMEOUT, first_items, heartbeat_of};
use crate::{ALL_CONTROLS, EDGE, form_group};

const STARTED_MS: Millis = 1_796_259_000_000;
const ID: &str = "i";
/// Maximum time for a heartbeat to reach control and the daemon, and for a request.
const MAX_TIME_TO_SERVE: Duration = Duration::from_millis(1_000);

/// Returns a heartbeat of an incarnation of the back end.
fn heartbeat(
    backend: &ScriptedBackend,
    incarnation: u64,
    sequence: u64,
    phase: InstancePhase,
) -> InstanceUpdate {
    let mut update = heartbeat_of(ID, backend.address(), sequence, phase);
    update.instance.born = Some(STARTED_MS + incarnation * 60_000);
    update
}

async fn start_backend() -> ScriptedBackend {
    let started = ScriptedBackend::start(vec![], Behaviour::Answer(200)).await;
    started.expect("a back end")
}

/// Starts a fleet with a daemon that sends requests to the back end's first incarnation.
async fn serve_first_incarnation(backend: &ScriptedBackend) -> Deployment {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    deployment.start_edge(EDGE).await;
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let ready = heartbeat(backend, 0, 400, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(5, &ready).await, eq(200));
    let has_backend = || deployment.phase_at(EDGE, ID).is_some();
    deployment
        .wait_until("the daemon has the back end", has_backend)
        .await;
    expect_that!(deployment.request(EDGE, "/a/x", "r1").await, eq(200));
    deployment
}

/// Returns the time from the first heartbeat of the second incarnation to its first request.
async fn time_to_serve(deployment: &Deployment, restarted: &ScriptedBackend) -> Duration {
    let started = Instant::now();
    let ready = heartbeat(restarted, 1, 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(2, &ready).await, eq(200));
    while started.elapsed() < 3 * MAX_TIME_TO_SERVE {
        deployment.request(EDGE, "/a/x", "again").await;
        if !restarted.runs().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// Sends a heartbeat until it is accepted. A control process that has just joined refuses
/// heartbeats of draining back ends until it knows the other members.
async fn send_until_accepted(deployment: &Deployment, host: u8, update: &InstanceUpdate) {
    let started = Instant::now();
    while deployment.heartbeat(host, update).await != 200 {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the heartbeat was not accepted by {host} in time"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_back_end_that_restarts_elsewhere_gets_requests_at_once() {
    let first = start_backend().await;
    let deployment = serve_first_incarnation(&first).await;
    drop(first);
    let restarted = start_backend().await;
    let elapsed = time_to_serve(&deployment, &restarted).await;
    println!("first request after {} ms", elapsed.as_millis());
    expect_that!(elapsed, lt(MAX_TIME_TO_SERVE));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_back_end_that_restarts_gets_requests_at_once() {
    let first = start_backend().await;
    let deployment = serve_first_incarnation(&first).await;
    let leaving = heartbeat(&first, 0, 401, InstancePhase::Draining);
    expect_that!(deployment.heartbeat(1, &leaving).await, eq(200));
    let is_draining = || deployment.phase_at(EDGE, ID).as_deref() == Some("Draining");
    deployment
        .wait_until("the back end is draining", is_draining)
        .await;
    drop(first);
    let restarted = start_backend().await;
    let elapsed = time_to_serve(&deployment, &restarted).await;
    println!("first request after {} ms", elapsed.as_millis());
    expect_that!(elapsed, lt(MAX_TIME_TO_SERVE));
    // A late heartbeat of the first incarnation, to any control process, has no effect.
    for host in ALL_CONTROLS {
        let late = heartbeat(&restarted, 0, 402, InstancePhase::Draining);
        send_until_accepted(&deployment, host, &late).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(deployment.request(EDGE, "/a/x", "after").await, eq(200));
}
