//! Limits on the headers of callers and on the idle time of their connections.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Answer, Caller, Edge, RouteSettings};
use coursestand_catalog::Limits;
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::caller_limits::CallerLimits;
use googletest::prelude::*;

const GOOD: Behaviour = Behaviour::Answer(200);
const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(3_600);

async fn edge_with_idle(idle: Duration, behaviour: Behaviour) -> Edge {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], behaviour)]).await;
    set_idle(&edge, idle);
    edge
}

fn set_idle(edge: &Edge, idle: Duration) {
    let limits = edge.exchange.limits();
    limits.set(CallerLimits {
        idle,
        ..limits.get()
    });
}

#[gtest]
#[tokio::test]
async fn a_connection_is_closed_after_the_idle_timeout() {
    let edge = edge_with_idle(SHORT, GOOD).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    expect_that!(caller.request("/safe/a", "r1", "").await.status, eq(200));
    // No request is open, so `receive` returns at the end of the connection.
    expect_that!(caller.receive().await, eq(&Answer::default()));
}

#[gtest]
#[tokio::test]
async fn a_longer_idle_timeout_applies_to_open_connections() {
    let edge = edge_with_idle(SHORT, GOOD).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    set_idle(&edge, LONG);
    tokio::time::sleep(3 * SHORT).await;
    expect_that!(caller.request("/safe/a", "r1", "").await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn a_connection_with_a_request_in_flight_is_not_idle() {
    let edge = edge_with_idle(SHORT, Behaviour::Slow(4 * SHORT)).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    expect_that!(caller.request("/safe/a", "r1", "").await.status, eq(200));
}

#[gtest]
#[tokio::test]
async fn only_headers_above_the_limit_are_refused() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
    let limits = edge.exchange.limits();
    limits.set(CallerLimits {
        header_bytes: 100_000,
        ..limits.get()
    });
    let header = |bytes: usize| format!("x-filling: {}\r\n", "x".repeat(bytes));
    let mut caller = Caller::connect(edge.server.address()).await;
    let allowed = caller.request("/safe/a", "r1", &header(99_000)).await;
    expect_that!(allowed.status, eq(200));
    let refused = caller.request("/safe/a", "r2", &header(100_001)).await;
    expect_that!(refused.status, eq(431));
    expect_that!(edge.runs_of("r2"), eq(0));
}

#[gtest]
fn an_idle_timeout_of_zero_is_raised_to_a_minimum() {
    let limits = CallerLimits::of(&Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 0,
        notation: String::new(),
    });
    expect_that!(limits.idle, gt(Duration::ZERO));
    expect_that!(limits.header_bytes, eq(16_384));
}
