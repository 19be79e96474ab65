//! Guards against requests that a stopping daemon cuts off while their back ends work on them
//! and their route's time-out has not passed. The estimate of the time that requests were
//! queued on the link includes both directions, and shortened their deadlines by too much: a
//! request that ran was answered 504 after 1.76 s of a time-out of 2 s.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Caller, Edge, RouteSettings, TEST_TIMEOUT};
use coursestand_lab::scripted::Behaviour;
use googletest::prelude::*;
use tokio::time::Instant;

const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longer than the time-out less the estimated queueing delay.
const WORK: Duration = Duration::from_millis(1_200);
const QUEUEING_DELAY: Duration = Duration::from_millis(600);
const PEERS: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

async fn edge_with_slow_back_end() -> Edge {
    let settings = RouteSettings {
        timeout_ms: ROUTE_TIMEOUT.as_millis() as u64,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, vec![(vec![], Behaviour::Slow(WORK))]).await;
    for peer in PEERS {
        let link = edge.exchange.link();
        link.note_round_trip(peer, Duration::from_millis(1));
        link.note_round_trip(peer, QUEUEING_DELAY);
    }
    edge
}

fn begin_stop(edge: &Edge) {
    edge.set_stop_time(Instant::now() + TEST_TIMEOUT);
    edge.server.announce_stop();
}

async fn wait_for_arrival(edge: &Edge) {
    while edge.arrival_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_request_that_arrives_during_a_planned_stop_has_its_whole_timeout() {
    let edge = edge_with_slow_back_end().await;
    begin_stop(&edge);
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/once/a", "r1", "", b"a body").await;
    expect_that!(caller.receive().await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn a_request_in_flight_when_a_planned_stop_begins_has_its_whole_timeout() {
    let edge = edge_with_slow_back_end().await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/once/a", "r1", "", b"a body").await;
    wait_for_arrival(&edge).await;
    begin_stop(&edge);
    expect_that!(caller.receive().await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn without_a_planned_stop_the_queueing_delay_counts_against_the_timeout() {
    let edge = edge_with_slow_back_end().await;
    let started = Instant::now();
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/once/a", "r1", "", b"a body").await;
    expect_that!(caller.receive().await.status, eq(504));
    expect_that!(started.elapsed(), lt(WORK));
}
