//! A daemon that is partitioned from its back ends relays requests to another one.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::relays::{partition, partition_from_back_ends};
use common::{Caller, Edge, RouteSettings, catalog};
use coursestand_catalog::Patch;
use coursestand_discovery::{RelayEndpoint, RelayPeer};
use coursestand_lab::items;
use coursestand_lab::scripted::Behaviour;
use coursestand_model::{RegionId, ZoneId};
use coursestand_proxy::ProxyServer;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const GOOD: Behaviour = Behaviour::Answer(200);
const LONG: Behaviour = Behaviour::Slow(Duration::from_secs(3));
const BACKENDS: usize = 4;
/// A back end must learn within this time that a caller has left.
const CANCELLED_WITHIN: Duration = Duration::from_millis(500);
/// A request that can't be served must be rejected within this time.
const REJECTED_WITHIN: Duration = Duration::from_millis(200);
/// Longer than a body that is buffered.
const LONG_BODY: usize = 3_000_000;
/// Length of the answer of `Behaviour::Trickle`.
const TRICKLED_BYTES: usize = 4 * 1024 * 1024;

/// Two daemons, of which the first is partitioned from its back ends and knows the second.
struct Pair {
    partitioned: Edge,
    other: Edge,
    relay_server: ProxyServer,
}

impl Pair {
    async fn start(behaviour: Behaviour) -> Pair {
        let scripts = vec![(vec![], behaviour); BACKENDS];
        let mut partitioned = Edge::start(RouteSettings::default(), scripts.clone()).await;
        // The aborted tasks close their listeners.
        partitioned.backends.clear();
        let other = Edge::start(RouteSettings::default(), scripts).await;
        let relay_server = partition_from_back_ends(&partitioned, &other).await;
        Pair {
            partitioned,
            other,
            relay_server,
        }
    }
}

/// Returns the lines of a head that concern both ends, without the time.
fn end_to_end(head: &str) -> Vec<String> {
    let is_kept = |line: &&str| {
        let line = line.to_lowercase();
        !line.starts_with("date:") && !line.starts_with("connection:")
    };
    head.lines().filter(is_kept).map(str::to_owned).collect()
}

/// Guards against answers that a relay changes: status, identity, signature or body.
#[gtest]
#[tokio::test]
async fn a_relayed_answer_arrives_unchanged() {
    for behaviour in [
        GOOD,
        Behaviour::Answer(404),
        Behaviour::AnswerOfSize(LONG_BODY),
    ] {
        let pair = Pair::start(behaviour).await;
        for path in ["/safe/a", "/once/a"] {
            let direct = pair.other.request(path, "same").await;
            let relayed = pair.partitioned.request(path, "same").await;
            // A partitioned daemon asks its callers to use others.
            expect_that!(relayed.header("connection"), some(eq("close")));
            expect_that!(end_to_end(&relayed.head), eq(&end_to_end(&direct.head)));
            expect_that!(relayed.body == direct.body, eq(true));
            expect_that!(relayed.is_complete, eq(true));
        }
    }
}

/// Guards against a back end that gets more time than the caller waits, or headers of the relay.
#[gtest]
#[tokio::test]
async fn a_relayed_request_keeps_its_deadline_and_body() {
    let pair = Pair::start(GOOD).await;
    let mut caller = Caller::connect(pair.partitioned.server.address()).await;
    caller
        .request("/once/a", "r", "x-deadline-ms: 900\r\n")
        .await;
    let run = pair
        .other
        .backends
        .iter()
        .find_map(|backend| backend.runs().pop());
    let run = run.expect("a run");
    expect_that!(run.deadline_ms, some(le(900)));
    expect_that!(run.body, eq(b"a body"));
    let mut caller = Caller::connect(pair.partitioned.server.address()).await;
    caller
        .send_chunked("/once/a", "long", &vec![b'y'; LONG_BODY])
        .await;
    expect_that!(caller.receive().await.status, eq(200));
    let runs = pair
        .other
        .backends
        .iter()
        .flat_map(|backend| backend.runs());
    let run = runs
        .into_iter()
        .find(|run| run.id == "long")
        .expect("a run");
    expect_that!(run.body.len(), eq(LONG_BODY));
}

/// Sends a request to an address where a daemon accepts relayed requests, and returns the status.
async fn send_forged(address: SocketAddr, headers: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = format!(
        "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: forged\r\n{headers}connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("read");
    String::from_utf8_lossy(&answer)[..12].to_owned()
}

/// Guards against callers that use a daemon's internal port, or that pass their request off as
/// one that was relayed.
#[gtest]
#[tokio::test]
async fn only_daemons_can_relay_requests() {
    let pair = Pair::start(GOOD).await;
    let token = format!("coursestand-relay-token: {:032x}\r\n", 7);
    let attempts = "coursestand-relay-attempts: 0\r\ncoursestand-relay-catalog: 0\r\n";
    for headers in ["", attempts, &format!("{token}{attempts}")] {
        let status = send_forged(pair.relay_server.address(), headers).await;
        expect_that!(status, eq("HTTP/1.1 403"));
    }
    expect_that!(pair.other.runs_of("forged"), eq(0));
    // The headers mean nothing on the callers' port: two attempts are left.
    let spent = "coursestand-relay-attempts: 9\r\n";
    let status = send_forged(pair.other.server.address(), spent).await;
    expect_that!(status, eq("HTTP/1.1 200"));
}

/// Guards against a daemon with an old catalog that decides about a request of one with a newer
/// catalog, whose callers rely on the newer one.
#[gtest]
#[tokio::test]
async fn a_daemon_with_an_older_catalog_decides_nothing() {
    let pair = Pair::start(GOOD).await;
    let patch = Patch {
        upserts: vec![items::service("later")],
        removals: Vec::new(),
    };
    let mut newer = catalog(RouteSettings::default());
    newer.merge(&patch, 2).expect("valid");
    pair.partitioned.state.adopt_catalog(newer.delta(1));
    let answer = pair.partitioned.request("/safe/a", "r").await;
    expect_that!(answer.status, eq(503));
    expect_that!(pair.other.runs_of("r"), eq(0));
    pair.other.state.adopt_catalog(newer.delta(1));
    // The other daemon gets no further requests for a moment.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let answer = pair.partitioned.request("/safe/a", "again").await;
    expect_that!(answer.status, eq(200));
}

/// Guards against requests that travel from one partitioned daemon to the next, and against
/// callers that wait for a rejection.
#[gtest]
#[tokio::test]
async fn a_request_is_relayed_once_and_then_rejected_at_once() {
    let mut pair = Pair::start(GOOD).await;
    pair.other.backends.clear();
    partition(&pair.other);
    // The other daemon could relay the request back.
    let back = RelayPeer {
        name: "edge-1".to_owned(),
        endpoint: RelayEndpoint {
            address: pair.relay_server.address(),
            token: 0,
        },
        zone: ZoneId::from("z"),
        region: RegionId::from("r"),
        link_use: None,
    };
    let control = SocketAddr::from(([127, 0, 0, 1], 1));
    pair.other.state.relay_peers().set(control, vec![back]);
    for path in ["/safe/a", "/once/a"] {
        let started = Instant::now();
        let answer = pair.partitioned.request(path, "r").await;
        expect_that!(answer.status, eq(503));
        expect_that!(answer.header("retry-after"), some(anything()));
        expect_that!(started.elapsed(), lt(REJECTED_WITHIN));
    }
    let relays = &pair.other.exchange.metrics().relays;
    expect_that!(relays.with_label_values(&["not-handled"]).get(), eq(0));
}

/// Guards against a storm of relayed requests while a service is down for all daemons.
#[gtest]
#[tokio::test]
async fn few_requests_are_relayed_while_no_daemon_reaches_the_service() {
    const REQUESTS: usize = 100;
    const MAX_RELAYS: u64 = 5;
    let mut pair = Pair::start(GOOD).await;
    pair.other.backends.clear();
    partition(&pair.other);
    for number in 0..REQUESTS {
        let answer = pair
            .partitioned
            .request("/safe/a", &format!("r{number}"))
            .await;
        expect_that!(answer.status, eq(503));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let relays = &pair.partitioned.exchange.metrics().relays;
    let count = relays.with_label_values(&["not-handled"]).get();
    expect_that!(count, all!(ge(1), le(MAX_RELAYS)));
}

/// Guards against back ends that work for callers that have left, over both hops.
#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_ends_the_run_over_both_hops() {
    for path in ["/safe/a", "/once/a"] {
        let pair = Pair::start(LONG).await;
        let mut caller = Caller::connect(pair.partitioned.server.address()).await;
        caller.send(path, "left", "", b"a body").await;
        while pair.other.arrival_count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        let stopped = pair.other.backends.iter();
        let stopped = stopped.map(|backend| Box::pin(backend.wait_for_abandoned(1)));
        let any = futures::future::select_all(stopped);
        let stopped = tokio::time::timeout(CANCELLED_WITHIN, any).await;
        expect_that!(stopped.is_ok(), eq(true), "{path}");
    }
}

/// Guards against an answer that looks complete although the relay broke in the middle.
#[gtest]
#[tokio::test]
async fn a_relay_that_breaks_within_an_answer_never_looks_complete() {
    let pair = Pair::start(Behaviour::Trickle).await;
    let mut caller = TcpStream::connect(pair.partitioned.server.address())
        .await
        .expect("connected");
    let request = "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: r\r\n\r\n";
    caller.write_all(request.as_bytes()).await.expect("written");
    let mut answer = vec![0; 64 * 1024];
    let count = caller
        .read(&mut answer)
        .await
        .expect("a part of the answer");
    expect_that!(count, gt(0));
    pair.relay_server.abort();
    let mut rest = Vec::new();
    // An error is as good as an end before the announced length.
    let _ = caller.read_to_end(&mut rest).await;
    expect_that!(count + rest.len(), lt(TRICKLED_BYTES));
}
