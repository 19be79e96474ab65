//! Crowds of callers that the operators don't control, at a daemon with little memory. What it
//! keeps for them stays within its capacity, and ordinary callers are served.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Answer, Caller, Edge, RouteSettings};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::caller_limits::CallerLimits;
use coursestand_proxy::memory_budget::{MemoryKind, STREAM_BYTES};
use coursestand_proxy::metrics::ProxyMetrics;
use coursestand_proxy::pool::Pool;
use coursestand_proxy::router::Router;
use coursestand_proxy::{Exchange, HeaderNames, ProxyServer};
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const GOOD: Behaviour = Behaviour::Answer(200);
/// Gives the smallest capacity.
const MEMORY_BYTES: u64 = 1;
const MAX_CONNECTIONS: usize = 500;
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
const HEADER_BYTES: u64 = 100_000;
/// Longer than any step of a test should take.
const WAIT: Duration = Duration::from_secs(10);
/// Time between two looks at the account.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
const LOOKS: usize = 100;

/// Starts a daemon with the smallest capacity, and a back end.
async fn small_edge(behaviour: Behaviour) -> Edge {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], behaviour)]).await;
    let metrics = ProxyMetrics::new(&prometheus::Registry::new()).expect("metrics");
    let phases = Arc::new(Router::new(Arc::clone(&edge.state)));
    let pool = Arc::new(Pool::default());
    let exchange = Exchange::new(phases, HeaderNames::default(), pool, metrics);
    let exchange = Arc::new(exchange.with_memory(MEMORY_BYTES));
    exchange.limits().set(CallerLimits {
        body_bytes: MAX_BODY_BYTES,
        header_bytes: HEADER_BYTES,
        ..exchange.limits().get()
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ProxyServer::start_bounded(address, Arc::clone(&exchange), MAX_CONNECTIONS);
    let server = Arc::new(server.await.expect("a server"));
    Edge {
        exchange,
        server,
        ..edge
    }
}

async fn send(edge: &Edge, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(edge.server.address())
        .await
        .expect("connected");
    // The daemon may refuse and close before it has read everything.
    let _ = timeout(WAIT, stream.write_all(bytes)).await;
    stream
}

/// Returns a chunked request of `length` bytes in chunks of `chunk` bytes, without its end.
fn endless_body(length: usize, chunk: usize) -> Vec<u8> {
    let mut bytes = b"POST /once/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: crowd\r\n\
        transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    for _ in 0..length / chunk {
        bytes.extend_from_slice(format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk)).as_bytes());
    }
    bytes
}

/// Looks at the account for some time. Returns the most bytes that were held.
async fn most_held(edge: &Edge) -> usize {
    let mut most = 0;
    for _ in 0..LOOKS {
        most = most.max(edge.exchange.memory().held());
        sleep(LOOK_INTERVAL).await;
    }
    most
}

fn count(edge: &Edge, outcome: &str) -> u64 {
    let refusals = &edge.exchange.metrics().memory_refusals;
    refusals.with_label_values(&[outcome]).get()
}

async fn post(edge: &Edge, id: &str, length: usize) -> Answer {
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/once/a", id, "", &vec![b'x'; length]).await;
    caller.receive().await
}

/// Guards against a daemon that keeps the bodies of a whole crowd: those that stopped longest ago
/// are refused with the promise that they have not run.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_of_bodies_without_end_stays_within_the_capacity() {
    for chunk in [1, 16_384] {
        let edge = Arc::new(small_edge(GOOD).await);
        let body = Arc::new(endless_body(400_000, chunk));
        let mut senders = Vec::new();
        for _ in 0..40 {
            let (edge, body) = (Arc::clone(&edge), Arc::clone(&body));
            senders.push(tokio::spawn(async move { send(&edge, &body).await }));
        }
        let most = most_held(&edge).await;
        expect_that!(most, le(edge.exchange.memory().capacity()));
        expect_that!(count(&edge, "evicted"), gt(0));
        let mut streams = Vec::new();
        for sender in senders {
            streams.push(sender.await.expect("sent"));
        }
        expect_that!(post(&edge, "ordinary", 200_000).await.status, eq(200));
        expect_that!(edge.runs_of("crowd"), eq(0));
        drop(streams);
    }
}

/// Guards against a daemon that keeps the heads of a whole crowd.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_of_heads_that_stop_stays_within_the_capacity() {
    let edge = small_edge(GOOD).await;
    let filling = "x".repeat(HEADER_BYTES as usize - 1_000);
    let head = format!("GET /safe/a HTTP/1.1\r\nx-filling: {filling}");
    let mut streams = Vec::new();
    for _ in 0..100 {
        streams.push(send(&edge, head.as_bytes()).await);
    }
    expect_that!(
        most_held(&edge).await,
        le(edge.exchange.memory().capacity())
    );
    expect_that!(count(&edge, "evicted"), gt(0));
    expect_that!(edge.request("/safe/a", "r1").await.status, eq(200));
    let mut caller = Caller::connect(edge.server.address()).await;
    let headers = format!("x-filling: {filling}\r\n");
    expect_that!(
        caller.request("/safe/a", "r2", &headers).await.status,
        eq(200)
    );
    drop(streams);
}

/// Guards against limits that a single request inside the pages' limits meets in calm, and against
/// bytes that stay charged.
#[gtest]
#[tokio::test]
async fn single_requests_are_served_and_what_was_kept_is_given_back() {
    let edge = small_edge(Behaviour::AnswerOfSize(900_000)).await;
    for length in [0, 100, 20_000, 900_000, 4_000_000] {
        let answer = post(&edge, &format!("r{length}"), length).await;
        expect_that!((answer.status, answer.is_complete), eq((200, true)));
    }
    let mut caller = Caller::connect(edge.server.address()).await;
    caller
        .send_chunked("/once/a", "chunked", &vec![b'x'; 1_000_000])
        .await;
    expect_that!(caller.receive().await.status, eq(200));
    drop(caller);
    let given_back = async {
        while edge.exchange.memory().held() > 0 {
            sleep(LOOK_INTERVAL).await;
        }
    };
    expect_that!(timeout(WAIT, given_back).await, ok(anything()));
    expect_that!(count(&edge, "evicted") + count(&edge, "refused"), eq(0));
}

/// Guards against bodies that are kept without room, and against a refusal that doesn't promise
/// that the request has not run. Small requests need no room.
#[gtest]
#[tokio::test]
async fn without_room_bodies_are_refused_and_small_requests_are_served() {
    let edge = small_edge(GOOD).await;
    let mut full = edge.exchange.memory().hold(MemoryKind::Stream);
    full.resize(edge.exchange.memory().capacity())
        .expect("room");
    for length in [500_000, 4_000_000] {
        let refused = post(&edge, "large", length).await;
        expect_that!(refused.status, eq(503));
        expect_that!(refused.header("retry-after"), some(anything()));
        expect_that!(refused.header("connection"), some(eq("close")));
    }
    expect_that!(edge.runs_of("large"), eq(0));
    expect_that!(post(&edge, "small", 5_000).await.status, eq(200));
}

/// Guards against answers that are kept without room: they are streamed if their buffers fit, and
/// lost otherwise.
#[gtest]
#[tokio::test]
async fn without_room_answers_are_streamed_or_lost() {
    let edge = small_edge(Behaviour::AnswerOfSize(900_000)).await;
    let memory = edge.exchange.memory();
    let mut full = memory.hold(MemoryKind::Stream);
    full.resize(memory.capacity() - STREAM_BYTES).expect("room");
    let streamed = post(&edge, "streamed", 0).await;
    expect_that!((streamed.status, streamed.is_complete), eq((200, true)));
    full.resize(memory.capacity()).expect("room");
    expect_that!(post(&edge, "lost", 0).await.status, eq(502));
}
