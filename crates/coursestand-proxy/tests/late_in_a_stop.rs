//! Requests that arrive late in a planned stop of the daemon.
//!
//! Guards against requests that are passed on when too little of the stop is left for their time
//! limit, and are then cut at its end while a back end works on them.
#![allow(missing_docs)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::relays::start_relaying_to;
use common::{Caller, Edge, RouteSettings, TEST_TIMEOUT};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::exchange::PlannedStop;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Time from the begin of the stop to its end.
const STOP_TIME: Duration = Duration::from_millis(3_000);
/// Time after the stop in which the last answers are sent, before the process ends.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// When the daemon stops to accept connections.
const DRAIN_TIME: Duration = Duration::from_millis(1_800);
/// From when on a request is late.
const LATE_FROM: Duration = Duration::from_millis(1_500);
/// Late in the stop: far more time is left than a usual answer takes.
const LATE: Duration = Duration::from_millis(2_000);
/// Work that does not end before the stop if it begins late.
const LONG_WORK: Duration = Duration::from_millis(1_500);
const LONG_BODY_BYTES: usize = 3_000_000;

fn settings() -> RouteSettings {
    RouteSettings {
        timeout_ms: 10_000,
        ..RouteSettings::default()
    }
}

async fn edge_with(behaviour: Behaviour) -> Edge {
    Edge::start(settings(), vec![(vec![], behaviour)]).await
}

/// Begins a planned stop that goes on as that of the process does.
fn begin_stop(edge: &Edge) -> JoinHandle<()> {
    let now = Instant::now();
    edge.exchange.begin_stop(PlannedStop {
        late_from: now + LATE_FROM,
        ends_at: now + STOP_TIME,
    });
    edge.server.announce_stop();
    let server = Arc::clone(&edge.server);
    tokio::spawn(async move {
        sleep(DRAIN_TIME).await;
        let _ = timeout(STOP_TIME + ANSWER_RESERVE - DRAIN_TIME, server.close()).await;
        server.abort();
    })
}

fn head(method: &str, path: &str, headers: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n{headers}\r\n")
}

/// Reads up to the end of the connection.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // An error ends the answer as well.
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends the first part of a request when the stop begins and the second late, and returns the
/// status line of what the caller received.
async fn send_in_two_parts(edge: &Edge, first: &[u8], second: &[u8]) -> String {
    let stop = begin_stop(edge);
    let mut stream = TcpStream::connect(edge.server.address())
        .await
        .expect("connected");
    stream.write_all(first).await.expect("written");
    sleep(LATE).await;
    // The daemon may have closed the connection.
    let _ = stream.write_all(second).await;
    let answer = read_all(&mut stream).await;
    stop.await.expect("no panic");
    answer.lines().next().unwrap_or_default().to_owned()
}

/// The two parts of requests that are complete only late: their heads, or their bodies.
fn split_requests() -> Vec<(&'static str, Vec<u8>, Vec<u8>)> {
    let get = head("GET", "/safe/a", "").into_bytes();
    let post = head("POST", "/once/a", "content-length: 6\r\n").into_bytes();
    let chunked = head("POST", "/once/a", "transfer-encoding: chunked\r\n").into_bytes();
    let (first_get, second_get) = get.split_at(get.len() / 2);
    let (first_post, second_post) = post.split_at(post.len() / 2);
    let whole_post = [second_post, b"a body"].concat();
    vec![
        ("head, safe", first_get.to_vec(), second_get.to_vec()),
        ("head, unsafe", first_post.to_vec(), whole_post),
        ("body", [&post, &b"a b"[..]].concat(), b"ody".to_vec()),
        (
            "chunks",
            [&chunked, &b"3\r\na b\r\n"[..]].concat(),
            b"3\r\nody\r\n0\r\n\r\n".to_vec(),
        ),
    ]
}

/// Guards against requests that are complete only late in the stop, and are cut at its end.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_complete_late_is_answered_whole_or_not_passed_on() {
    for (name, first, second) in split_requests() {
        let edge = edge_with(Behaviour::Slow(LONG_WORK)).await;
        let status_line = send_in_two_parts(&edge, &first, &second).await;
        let is_refused = status_line.starts_with("HTTP/1.1 503");
        expect_that!(is_refused, eq(true), "{name}: {status_line}");
        expect_that!(edge.arrival_count(), eq(0), "{name}: {status_line}");
    }
}

/// Guards against requests on connections that were accepted in time, and that arrive while the
/// daemon still accepts others.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_request_on_a_new_connection_is_answered_whole_or_not_passed_on() {
    for path in ["/safe/a", "/once/a"] {
        let edge = edge_with(Behaviour::Slow(LONG_WORK)).await;
        let stop = begin_stop(&edge);
        sleep(DRAIN_TIME - Duration::from_millis(100)).await;
        let answer = edge.request(path, "r1").await;
        expect_that!(answer.status, eq(503), "{path}");
        expect_that!(edge.arrival_count(), eq(0), "{path}");
        stop.await.expect("no panic");
    }
}

/// Guards against refusals of late requests whose time limit ends before the stop.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_request_with_enough_time_is_served() {
    let short_limit = "x-deadline-ms: 700\r\n";
    for path in ["/safe/a", "/once/a"] {
        let edge = edge_with(Behaviour::Slow(Duration::from_millis(300))).await;
        let stop = begin_stop(&edge);
        sleep(DRAIN_TIME - Duration::from_millis(100)).await;
        let mut caller = Caller::connect(edge.server.address()).await;
        let answer = caller.request(path, "r1", short_limit).await;
        expect_that!(answer.status, eq(200), "{path}");
        stop.await.expect("no panic");
    }
}

/// Guards against refusals of requests early in the stop, when callers still use this daemon.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_early_in_a_stop_is_served_whatever_its_time_limit() {
    for path in ["/safe/a", "/once/a"] {
        let edge = edge_with(Behaviour::Slow(LONG_WORK)).await;
        let mut kept = Caller::connect(edge.server.address()).await;
        let stop = begin_stop(&edge);
        sleep(Duration::from_millis(200)).await;
        expect_that!(kept.request(path, "r1", "").await.status, eq(200), "{path}");
        stop.await.expect("no panic");
    }
}

/// Guards against an upload that is in progress when the stop begins and is cut although its back
/// end has time to finish.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_in_progress_is_finished() {
    let edge = edge_with(Behaviour::Answer(200)).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    let half = LONG_BODY_BYTES / 2;
    caller
        .send_partial_body("/once/a", "r1", LONG_BODY_BYTES, half)
        .await;
    let stop = begin_stop(&edge);
    sleep(LATE).await;
    expect_that!(
        caller.send_more_body(LONG_BODY_BYTES - half).await,
        eq(true)
    );
    expect_that!(caller.receive().await.status, eq(200));
    stop.await.expect("no panic");
}

/// Guards against a pipelined request that is passed on after the answer that announces the close
/// of its connection.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_pipelined_behind_another_is_not_passed_on_and_cut() {
    for path in ["/safe/a", "/once/a"] {
        let edge = edge_with(Behaviour::Slow(Duration::from_millis(300))).await;
        let stop = begin_stop(&edge);
        let mut stream = TcpStream::connect(edge.server.address())
            .await
            .expect("connected");
        let request = head("POST", path, "content-length: 0\r\n");
        let both = request.repeat(2);
        stream.write_all(both.as_bytes()).await.expect("written");
        let answers = read_all(&mut stream).await;
        let count = answers.matches("HTTP/1.1 200").count();
        expect_that!(count, ge(1), "{path}");
        expect_that!(edge.arrival_count(), eq(count), "{path}: {answers}");
        stop.await.expect("no panic");
    }
}

/// Guards against relayed requests that are cut at the end of the stop of the daemon that they were
/// relayed to: the callers of the relaying daemon know nothing of that stop.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_relayed_late_is_answered_whole_or_not_passed_on() {
    for path in ["/safe/a", "/once/a"] {
        let edge = edge_with(Behaviour::Slow(LONG_WORK)).await;
        let (relaying, _relay_server) = start_relaying_to(&edge, settings()).await;
        let stop = begin_stop(&edge);
        sleep(LATE).await;
        let answer = relaying.request(path, "r1").await;
        expect_that!(answer.status, eq(503), "{path}");
        expect_that!(edge.arrival_count(), eq(0), "{path}");
        stop.await.expect("no panic");
    }
}
