//! What a daemon answers by itself, and how it stops.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Caller, Edge, MAX_BODY, Rules, WITHIN, empty_state, server_of};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::router::Router;
use googletest::prelude::*;
use tokio::time::Instant;

const GOOD: Behaviour = Behaviour::Answer(200);

#[gtest]
#[tokio::test]
async fn without_a_catalog_nothing_is_unknown() {
    let state = empty_state(Rules::default());
    let (_, server) = server_of(Arc::new(Router::new(state))).await;
    let mut caller = Caller::connect(server.address()).await;
    let answer = caller.ask("/safe/a", "r1", "").await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

#[gtest]
#[tokio::test]
async fn requests_without_a_route_or_back_end_are_told_so() {
    let edge = Edge::start(Rules::default(), vec![]).await;
    expect_that!(edge.ask("/nowhere/a", "r1").await.status, eq(404));
    let answer = edge.ask("/safe/a", "r2").await;
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

#[gtest]
#[tokio::test]
async fn a_body_that_is_too_long_is_refused_and_a_long_one_arrives_whole() {
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller
        .send("/once/a", "r1", "", &vec![b'x'; MAX_BODY as usize + 1])
        .await;
    let answer = caller.receive().await;
    expect_that!(answer.status, any![eq(413), eq(0)]);
    expect_that!(edge.runs_of("r1"), eq(0));
    // Longer than what is held in memory.
    let long: Vec<u8> = (0..3_000_000_u32).map(|number| number as u8).collect();
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/once/a", "r2", "", &long).await;
    expect_that!(caller.receive().await.status, eq(200));
    expect_that!(edge.backends[0].runs()[0].body == long, eq(true));
}

#[gtest]
#[tokio::test]
async fn a_planned_stop_finishes_what_it_has_and_asks_callers_to_leave() {
    let slow = Behaviour::Slow(Duration::from_millis(400));
    let edge = Edge::start(Rules::default(), vec![(vec![slow], GOOD)]).await;
    let mut idle = Caller::connect(edge.server.address()).await;
    let mut busy = Caller::connect(edge.server.address()).await;
    busy.send("/once/a", "r1", "", b"a body").await;
    while edge.arrivals() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    edge.exchange.set_stop_time(Instant::now() + WITHIN);
    edge.server.announce_stop();
    // Callers whose look-ups are older are still served.
    let late = idle.ask("/once/a", "r2", "").await;
    expect_that!(late.status, eq(200));
    expect_that!(late.header("connection"), some(eq("close")));
    let server = Arc::clone(&edge.server);
    let closing = tokio::spawn(async move { server.close().await });
    let answer = busy.receive().await;
    expect_that!(answer.status, eq(200));
    expect_that!(answer.body.as_str(), eq("body of r1"));
    tokio::time::timeout(WITHIN, closing)
        .await
        .expect("closed in time")
        .expect("no panic");
}

#[gtest]
#[tokio::test]
async fn a_request_late_in_a_planned_stop_is_answered_before_the_end() {
    let rules = Rules {
        timeout_ms: 60_000,
        ..Rules::default()
    };
    for has_end in [true, false] {
        let edge = Edge::start(rules, vec![(vec![], Behaviour::NeverAnswer)]).await;
        edge.server.announce_stop();
        if has_end {
            edge.exchange
                .set_stop_time(Instant::now() + Duration::from_millis(300));
        }
        let mut caller = Caller::connect(edge.server.address()).await;
        caller.send("/once/a", "r1", "", b"a body").await;
        while edge.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // The process ends long before the route's time-out of a minute. Without
        // the bound the request would be cut off with it.
        let longest = if has_end {
            WITHIN
        } else {
            Duration::from_secs(1)
        };
        let closing = tokio::time::timeout(longest, edge.server.close());
        expect_that!(closing.await.is_ok(), eq(has_end));
        if has_end {
            expect_that!(caller.receive().await.status, eq(504));
        }
    }
}

#[gtest]
#[tokio::test]
async fn a_long_body_without_a_length_is_passed_on_up_to_the_limit() {
    for (length, is_allowed) in [(3_000_000, true), (MAX_BODY as usize + 100_000, false)] {
        let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
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
