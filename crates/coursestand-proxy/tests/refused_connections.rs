//! Back ends that refuse connections, because their processes have crashed or were replaced.
//!
//! Guards against requests that are refused although most back ends are sound: a request's key
//! ranks the back ends, and if the first three of its ranking had crashed, three refused
//! connections used up the attempts of every request for that key.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Edge, RouteSettings, TEST_TIMEOUT};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::Behaviour;
use googletest::prelude::*;
use tokio::net::TcpListener;

const BACKENDS: usize = 12;
/// Longer than the first ejection of a back end.
const AFTER_FIRST_EJECTION: Duration = Duration::from_millis(700);
const PAUSE: Duration = Duration::from_millis(100);

/// Starts back ends of which only the first `sound` accept connections.
async fn edge_with_sound_backends(sound: usize) -> Edge {
    let script = (vec![], Behaviour::Answer(200));
    let mut edge = Edge::start(RouteSettings::default(), vec![script; BACKENDS]).await;
    edge.backends.truncate(sound);
    // The aborted tasks close their listeners.
    tokio::time::sleep(PAUSE).await;
    edge
}

fn refused_attempts(edge: &Edge) -> u64 {
    let failures = &edge.exchange.metrics().failures;
    failures.with_label_values(&["refused"]).get()
}

/// Guards against refused connections that use up the attempts of a request.
#[gtest]
#[tokio::test]
async fn a_request_is_served_while_one_back_end_is_sound() {
    let edge = edge_with_sound_backends(1).await;
    expect_that!(edge.request("/safe/a", "safe").await.status, eq(200));
    let edge = edge_with_sound_backends(1).await;
    expect_that!(edge.request("/once/a", "once").await.status, eq(200));
}

/// Guards against requests that meet a crashed back end each time its ejection lapses.
#[gtest]
#[tokio::test]
async fn requests_avoid_a_back_end_until_a_probe_succeeds() {
    let edge = edge_with_sound_backends(1).await;
    edge.request("/safe/a", "first").await;
    let before = refused_attempts(&edge);
    expect_that!(before, gt(0));
    for number in 0..5 {
        tokio::time::sleep(AFTER_FIRST_EJECTION).await;
        let answer = edge.request("/safe/a", &format!("r{number}")).await;
        expect_that!(answer.status, eq(200));
    }
    expect_that!(refused_attempts(&edge), eq(before));
}

/// Guards against probes that never return a back end to service.
#[gtest]
#[tokio::test]
async fn a_back_end_returns_to_service_when_it_accepts_connections_again() {
    let edge = edge_with_sound_backends(1).await;
    edge.request("/safe/a", "first").await;
    let ejected = || {
        let routing = edge.state.routing();
        let now = edge.state.now();
        let backends = routing.backends.iter();
        let ejected = backends.filter(|backend| backend.is_ejected(now));
        Vec::from_iter(ejected.map(|backend| backend.instance.address))
    };
    let addresses = ejected();
    let address = *addresses.first().expect("an ejected back end");
    let _returned = TcpListener::bind(address).await.expect("its address");
    let started = tokio::time::Instant::now();
    while ejected().contains(&address) && started.elapsed() < TEST_TIMEOUT {
        edge.request("/safe/a", "again").await;
        tokio::time::sleep(PAUSE).await;
    }
    expect_that!(ejected(), not(contains(eq(&address))));
}

/// Guards against a request that is held until its deadline, or tries back end after back end
/// for every caller, while no back end of the service accepts connections.
#[gtest]
#[tokio::test]
async fn a_request_is_refused_at_once_while_no_back_end_is_sound() {
    let edge = edge_with_sound_backends(0).await;
    edge.request("/safe/a", "first").await;
    let before = refused_attempts(&edge);
    let started = tokio::time::Instant::now();
    let answer = edge.request("/safe/a", "second").await;
    expect_that!(answer.status, eq(503));
    expect_that!(started.elapsed(), lt(Duration::from_secs(1)));
    expect_that!(refused_attempts(&edge) - before, le(3));
    let phases = edge.state.routing();
    let mut ready = phases.backends.iter();
    expect_that!(
        ready.all(|backend| backend.instance.phase == InstancePhase::Ready),
        eq(true)
    );
}
