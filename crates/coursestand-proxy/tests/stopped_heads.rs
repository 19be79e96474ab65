//! Callers that stop in the middle of a head.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Answer, Caller, Edge, RouteSettings};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::ProxyServer;
use coursestand_proxy::caller_limits::CallerLimits;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

const GOOD: Behaviour = Behaviour::Answer(200);
const HEADER_TIMEOUT: Duration = Duration::from_millis(400);
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);
const LONG: Duration = Duration::from_secs(3_600);
/// Far more than the header timeout.
const WAIT: Duration = Duration::from_secs(10);

async fn edge_with(header: Duration, idle: Duration, behaviour: Behaviour) -> Edge {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], behaviour)]).await;
    let limits = edge.exchange.limits();
    limits.set(CallerLimits {
        header,
        idle,
        ..limits.get()
    });
    edge
}

async fn connect(edge: &Edge) -> TcpStream {
    TcpStream::connect(edge.server.address())
        .await
        .expect("connected")
}

/// Returns what the caller received until the end of the connection; none if it stays open.
async fn received(stream: TcpStream) -> Option<Answer> {
    let mut caller = Caller::from_stream(stream);
    timeout(WAIT, caller.receive()).await.ok()
}

/// Guards against connections that a caller keeps open for ever with the beginning of a head, or
/// with empty lines.
#[gtest]
#[tokio::test]
async fn a_head_that_stops_ends_with_its_connection() {
    let edge = edge_with(HEADER_TIMEOUT, LONG, GOOD).await;
    for beginning in ["G", "\r\n", "GET /safe/a HTTP/1.1\r\nhost: h.example\r\n"] {
        let mut stream = connect(&edge).await;
        stream.write_all(beginning.as_bytes()).await.expect("sent");
        expect_that!(
            received(stream).await,
            some(eq(&Answer::default())),
            "{beginning:?}"
        );
    }
}

/// Guards against a head that is kept open by one more line each time.
#[gtest]
#[tokio::test]
async fn a_head_that_drips_ends_with_its_connection() {
    let edge = edge_with(HEADER_TIMEOUT, LONG, GOOD).await;
    let mut stream = connect(&edge).await;
    let started = Instant::now();
    let _ = stream.write_all(b"GET /safe/a HTTP/1.1\r\n").await;
    while stream.write_all(b"x-more: same\r\n").await.is_ok() {
        assert_that!(started.elapsed(), lt(WAIT));
        sleep(HEADER_TIMEOUT / 8).await;
    }
}

/// Guards against a second request's head that stops while the connection counts as active.
#[gtest]
#[tokio::test]
async fn a_head_that_stops_after_an_answer_ends_with_its_connection() {
    let edge = edge_with(HEADER_TIMEOUT, LONG, GOOD).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    expect_that!(caller.request("/safe/a", "r1", "").await.status, eq(200));
    caller.send_more_body(5).await;
    let end = timeout(WAIT, caller.receive()).await;
    expect_that!(end, ok(eq(&Answer::default())));
}

/// Guards against a head that arrived along with the request before it, stops, and keeps its
/// connection open past the idle timeout.
#[gtest]
#[tokio::test]
async fn a_head_that_stops_behind_a_request_ends_with_its_connection() {
    let edge = edge_with(HEADER_TIMEOUT, IDLE_TIMEOUT, GOOD).await;
    let mut stream = connect(&edge).await;
    let request = "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\r\nGET /sa";
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut caller = Caller::from_stream(stream);
    expect_that!(caller.receive().await.status, eq(200));
    let end = timeout(WAIT, caller.receive()).await;
    expect_that!(end, ok(eq(&Answer::default())));
}

/// Guards against a stop of the daemon that waits for heads that have stopped.
#[gtest]
#[tokio::test]
async fn a_stop_does_not_wait_for_a_head_that_stopped() {
    let edge = edge_with(HEADER_TIMEOUT, LONG, GOOD).await;
    let mut stream = connect(&edge).await;
    stream.write_all(b"GET /safe/a").await.expect("sent");
    sleep(HEADER_TIMEOUT / 4).await;
    expect_that!(timeout(WAIT, edge.server.close()).await, ok(anything()));
}

/// Guards against a crowd of heads that stop, which takes all connections until the header timeout.
#[gtest]
#[tokio::test]
async fn heads_that_stop_make_room_for_new_connections() {
    let edge = edge_with(LONG, LONG, GOOD).await;
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ProxyServer::start_bounded(address, Arc::clone(&edge.exchange), 4).await;
    let edge = Edge {
        server: Arc::new(server.expect("a server")),
        ..edge
    };
    let mut stopped = Vec::new();
    for _ in 0..8 {
        let mut stream = connect(&edge).await;
        stream.write_all(b"GET /safe/a").await.expect("sent");
        stopped.push(stream);
    }
    let answer = timeout(WAIT, edge.request("/safe/a", "r1")).await;
    expect_that!(answer.map(|answer| answer.status).ok(), some(eq(200)));
}

/// Guards against a header timeout that cuts callers off who are slow, but in time; and against
/// one that counts the time between two requests.
#[gtest]
#[tokio::test]
async fn a_slow_head_within_its_time_is_served() {
    let edge = edge_with(4 * HEADER_TIMEOUT, LONG, GOOD).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    expect_that!(caller.request("/safe/a", "r1", "").await.status, eq(200));
    sleep(5 * HEADER_TIMEOUT).await;
    expect_that!(caller.request("/safe/a", "r2", "").await.status, eq(200));
    let mut stream = connect(&edge).await;
    for part in [
        "GET /safe/a HTTP/1.1\r\n",
        "host: h.example\r\n",
        "x-request-id: r3\r\n",
        "\r\n",
    ] {
        stream.write_all(part.as_bytes()).await.expect("sent");
        sleep(HEADER_TIMEOUT / 2).await;
    }
    let status = received(stream).await.map(|answer| answer.status);
    expect_that!(status, some(eq(200)));
}

/// Guards against a header timeout that counts while a request is served or its body is sent.
#[gtest]
#[tokio::test]
async fn slow_requests_are_not_cut_by_the_header_timeout() {
    let slow = Behaviour::Slow(3 * HEADER_TIMEOUT);
    let edge = Arc::new(edge_with(HEADER_TIMEOUT, IDLE_TIMEOUT, slow).await);
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send_partial_body("/once/a", "r1", 20, 10).await;
    sleep(3 * HEADER_TIMEOUT).await;
    caller.send_more_body(10).await;
    sleep(HEADER_TIMEOUT / 4).await;
    let server = Arc::clone(&edge.server);
    let stop = tokio::spawn(async move { server.close().await });
    expect_that!(caller.receive().await.status, eq(200));
    expect_that!(timeout(WAIT, stop).await, ok(anything()));
}
