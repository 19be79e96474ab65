//! A back end may start again under the identity that it had, with its heartbeats counted
//! from one again. Nobody believed it until it had been heard as often as in its life
//! before, and never again once it had said that it leaves: the table went by the count
//! alone, and a phase never turned back.

use std::time::{Duration, Instant};

use coursestand_discovery::{InstancePhase, InstanceUpdate};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::Millis;
use googletest::prelude::*;

use crate::deployment::{Deployment, WITHIN, first_items, heartbeat_of};
use crate::{ALL, EDGE, formed};

const STARTED: Millis = 1_796_259_000_000;
const ID: &str = "i";
/// A heartbeat to control, the news on its way to the daemon, and a request.
const SERVED_WITHIN: Duration = Duration::from_millis(1_000);

fn said(
    backend: &ScriptedBackend,
    life: u64,
    sequence: u64,
    phase: InstancePhase,
) -> InstanceUpdate {
    let mut news = heartbeat_of(ID, backend.address(), sequence, phase);
    news.instance.born = Some(STARTED + life * 60_000);
    news
}

async fn backend() -> ScriptedBackend {
    let started = ScriptedBackend::start(vec![], Behaviour::Answer(200)).await;
    started.expect("a back end")
}

/// A daemon that serves by the first life of a back end.
async fn in_its_first_life(backend: &ScriptedBackend) -> Deployment {
    let mut deployment = formed(&ALL).await;
    deployment.start_edge(EDGE).await;
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let ready = said(backend, 0, 400, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(5, &ready).await, eq(200));
    let is_known = || deployment.phase_at(EDGE, ID).is_some();
    deployment
        .wait_until("the back end is known", is_known)
        .await;
    expect_that!(deployment.request(EDGE, "/a/x", "r1").await, eq(200));
    deployment
}

/// Time from the first heartbeat of its second life to the first request that it ran.
async fn time_to_serve(deployment: &Deployment, again: &ScriptedBackend) -> Duration {
    let started = Instant::now();
    let ready = said(again, 1, 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(2, &ready).await, eq(200));
    while started.elapsed() < 3 * SERVED_WITHIN {
        deployment.request(EDGE, "/a/x", "again").await;
        if !again.runs().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    started.elapsed()
}

/// A control process that has just joined refuses orders to leave until it knows the
/// others.
async fn take_surely(deployment: &Deployment, host: u8, news: &InstanceUpdate) {
    let started = Instant::now();
    while deployment.heartbeat(host, news).await != 200 {
        assert!(started.elapsed() < WITHIN, "not taken at {host}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_crashed_and_starts_again_elsewhere_is_served_at_once() {
    let first = backend().await;
    let deployment = in_its_first_life(&first).await;
    drop(first);
    let again = backend().await;
    let took = time_to_serve(&deployment, &again).await;
    println!("first request after {} ms", took.as_millis());
    expect_that!(took, lt(SERVED_WITHIN));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_left_and_starts_again_is_served_at_once() {
    let first = backend().await;
    let deployment = in_its_first_life(&first).await;
    let leaving = said(&first, 0, 401, InstancePhase::Draining);
    expect_that!(deployment.heartbeat(1, &leaving).await, eq(200));
    let leaves = || deployment.phase_at(EDGE, ID).as_deref() == Some("Draining");
    deployment.wait_until("the back end leaves", leaves).await;
    drop(first);
    let again = backend().await;
    let took = time_to_serve(&deployment, &again).await;
    println!("first request after {} ms", took.as_millis());
    expect_that!(took, lt(SERVED_WITHIN));
    // What its first life says late, at any control process, binds nobody.
    for host in ALL {
        let late = said(&again, 0, 402, InstancePhase::Draining);
        take_surely(&deployment, host, &late).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(deployment.request(EDGE, "/a/x", "after").await, eq(200));
}
