//! Local answers of a daemon, body limits, and planned stops.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::hooked_phases::{HookedPath, HookedPhases};
use common::{Caller, Edge, MAX_BODY, RouteSettings, TEST_TIMEOUT, empty_state, start_server};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::router::Router;
use googletest::prelude::*;
use tokio::time::Instant;

const GOOD: Behaviour = Behaviour::Answer(200);

#[gtest]
#[tokio::test]
async fn without_a_catalog_requests_get_503_instead_of_404() {
    let state = empty_state(RouteSettings::default());
    let (_, server) = start_server(Arc::new(Router::new(state))).await;
    let mut caller = Caller::connect(server.address()).await;
    let answer = caller.request("/safe/a", "r1", "").await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

#[gtest]
#[tokio::test]
async fn requests_without_a_route_get_404_and_without_a_back_end_503() {
    let edge = Edge::start(RouteSettings::default(), vec![]).await;
    expect_that!(edge.request("/nowhere/a", "r1").await.status, eq(404));
    let answer = edge.request("/safe/a", "r2").await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

#[gtest]
#[tokio::test]
async fn a_body_above_the_limit_is_refused_and_a_long_one_arrives_complete() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller
        .send("/once/a", "r1", "", &vec![b'x'; MAX_BODY as usize + 1])
        .await;
    let answer = caller.receive().await;
    expect_that!(answer.status, any![eq(413), eq(0)]);
    expect_that!(edge.runs_of("r1"), eq(0));
    // Longer than the buffer for request bodies.
    let long: Vec<u8> = (0..3_000_000_u32).map(|number| number as u8).collect();
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/once/a", "r2", "", &long).await;
    expect_that!(caller.receive().await.status, eq(200));
    expect_that!(edge.backends[0].runs()[0].body == long, eq(true));
}

#[gtest]
#[tokio::test]
async fn a_planned_stop_finishes_requests_in_flight_and_closes_connections() {
    let slow = Behaviour::Slow(Duration::from_millis(400));
    let edge = Edge::start(RouteSettings::default(), vec![(vec![slow], GOOD)]).await;
    let mut idle = Caller::connect(edge.server.address()).await;
    let mut busy = Caller::connect(edge.server.address()).await;
    busy.send("/once/a", "r1", "", b"a body").await;
    while edge.arrival_count() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    edge.set_stop_time(Instant::now() + TEST_TIMEOUT);
    edge.server.announce_stop();
    // Callers that still use an earlier look-up are served.
    let late = idle.request("/once/a", "r2", "").await;
    expect_that!(late.status, eq(200));
    expect_that!(late.header("connection"), some(eq("close")));
    let server = Arc::clone(&edge.server);
    let closing = tokio::spawn(async move { server.close().await });
    let answer = busy.receive().await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.body.as_str(), eq("body of r1"));
    tokio::time::timeout(TEST_TIMEOUT, closing)
        .await
        .expect("closed in time")
        .expect("no panic");
}

#[gtest]
#[tokio::test]
async fn a_request_late_in_a_planned_stop_is_answered_before_the_process_ends() {
    let settings = RouteSettings {
        timeout_ms: 60_000,
        ..RouteSettings::default()
    };
    for has_stop_time in [true, false] {
        let edge = Edge::start(settings, vec![(vec![], Behaviour::NeverAnswer)]).await;
        edge.server.announce_stop();
        if has_stop_time {
            edge.set_stop_time(Instant::now() + Duration::from_millis(300));
        }
        let mut caller = Caller::connect(edge.server.address()).await;
        caller.send("/once/a", "r1", "", b"a body").await;
        while edge.arrival_count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // The process ends long before the route's timeout of a minute. Without the stop
        // time the connection of the request would be closed without an answer.
        let close_timeout = if has_stop_time {
            TEST_TIMEOUT
        } else {
            Duration::from_secs(1)
        };
        let closing = tokio::time::timeout(close_timeout, edge.server.close());
        expect_that!(closing.await.is_ok(), eq(has_stop_time));
        if has_stop_time {
            expect_that!(caller.receive().await.status, eq(504));
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_chunked_body_is_forwarded_up_to_the_limit() {
    for (length, is_allowed) in [(3_000_000, true), (MAX_BODY as usize + 100_000, false)] {
        let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
        let body: Vec<u8> = (0..length).map(|number| number as u8).collect();
        let mut caller = Caller::connect(edge.server.address()).await;
        caller.send_chunked("/once/a", "r1", &body).await;
        let answer = caller.receive().await;
        expect_that!(answer.status == 200, eq(is_allowed), "{answer:?}");
        if is_allowed {
            expect_that!(edge.backends[0].runs()[0].body == body, eq(true));
        }
    }
}

/// Guards against requests that a stopping daemon breaks off while back ends that are slower than
/// usual work on them. A daemon that is not stopping repeats such a request.
#[gtest]
#[tokio::test]
async fn a_stopping_daemon_breaks_off_no_request_for_silence() {
    const WARM_UP_REQUESTS: usize = 4;
    for is_stopping in [true, false] {
        let slow = Behaviour::Slow(Duration::from_millis(1_500));
        let script = vec![GOOD; WARM_UP_REQUESTS];
        let edge = Edge::start(RouteSettings::default(), vec![(script, slow)]).await;
        let mut caller = Caller::connect(edge.server.address()).await;
        for number in 0..WARM_UP_REQUESTS {
            let answer = caller.request("/safe/a", &format!("w{number}"), "").await;
            expect_that!(answer.status, eq(200));
        }
        caller.send("/safe/a", "r1", "", b"").await;
        while edge.arrival_count() == WARM_UP_REQUESTS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if is_stopping {
            edge.set_stop_time(Instant::now() + TEST_TIMEOUT);
            edge.server.announce_stop();
        }
        expect_that!(caller.receive().await.status, eq(200));
        let runs = edge.arrival_count() - WARM_UP_REQUESTS;
        expect_that!(runs, eq(if is_stopping { 1 } else { 2 }));
    }
}

/// Guards against a request that a daemon breaks off right after its planned stop began, because the
/// answer had been overdue just before.
#[gtest]
#[tokio::test]
async fn a_stop_that_begins_while_an_answer_is_overdue_breaks_off_no_request() {
    for is_stopping in [true, false] {
        let slow = Behaviour::Slow(Duration::from_millis(500));
        let path: Arc<HookedPath> = Arc::default();
        let scripts = vec![(vec![], slow)];
        let edge = Edge::start_with(RouteSettings::default(), scripts, |state| {
            Arc::new(HookedPhases {
                path: Arc::clone(&path),
                ..HookedPhases::new(state)
            })
        })
        .await;
        let mut caller = Caller::connect(edge.server.address()).await;
        caller.send("/safe/a", "r1", "", b"").await;
        while edge.arrival_count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        path.close_once();
        path.seen.notified().await;
        if is_stopping {
            edge.set_stop_time(Instant::now() + TEST_TIMEOUT);
            edge.server.announce_stop();
        }
        expect_that!(caller.receive().await.status, eq(200));
        expect_that!(edge.arrival_count(), eq(if is_stopping { 1 } else { 2 }));
    }
}
