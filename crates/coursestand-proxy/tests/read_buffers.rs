//! What a daemon reads and keeps of one connection follows the limits in force.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Caller, Edge, RouteSettings};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::caller_limits::CallerLimits;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const HEADER_BYTES: u64 = 16 * 1024;
/// Several times the limit, and more than the buffers of the daemon and of the system hold
/// besides it.
const ENDLESS_BYTES: usize = 240 * 1024;
const WAIT: Duration = Duration::from_secs(5);

async fn edge_with_header_limit(header_bytes: u64) -> Edge {
    let good = vec![(vec![], Behaviour::Answer(200))];
    let edge = Edge::start(RouteSettings::default(), good).await;
    set_header_limit(&edge, header_bytes);
    edge
}

fn set_header_limit(edge: &Edge, header_bytes: u64) {
    let limits = edge.exchange.limits();
    limits.set(CallerLimits {
        header_bytes,
        ..limits.get()
    });
}

fn filling(bytes: usize) -> String {
    format!("x-filling: {}\r\n", "x".repeat(bytes))
}

/// Guards against a daemon that keeps 256 KiB of each head that stops, whatever the limits say.
#[gtest]
#[tokio::test]
async fn a_head_far_over_the_limit_is_refused_before_it_ends() {
    let edge = edge_with_header_limit(HEADER_BYTES).await;
    let mut stream = TcpStream::connect(edge.server.address())
        .await
        .expect("connected");
    let head = format!("GET /safe/a HTTP/1.1\r\n{}", filling(ENDLESS_BYTES));
    // The daemon may close before it has read everything.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut caller = Caller::from_stream(stream);
    let answer = timeout(WAIT, caller.receive()).await.ok();
    let status = answer.map(|answer| answer.status);
    expect_that!(status, any![eq(Some(431)), eq(Some(0))]);
}

/// Guards against a connection that stays at the buffer of its first limit, so that a request
/// inside the limits in force is refused on it.
#[gtest]
#[tokio::test]
async fn a_connection_is_closed_when_heads_of_a_raised_limit_would_not_fit() {
    let edge = edge_with_header_limit(HEADER_BYTES).await;
    let mut early = Caller::connect(edge.server.address()).await;
    expect_that!(early.request("/safe/a", "r1", "").await.status, eq(200));
    set_header_limit(&edge, 10 * HEADER_BYTES);
    // No request is open, so `receive` returns at the end of the connection.
    expect_that!(early.receive().await.status, eq(0));
    let mut late = Caller::connect(edge.server.address()).await;
    let headers = filling(9 * HEADER_BYTES as usize);
    expect_that!(
        late.request("/safe/a", "r2", &headers).await.status,
        eq(200)
    );
}

/// Guards against a limit below the smallest buffer, with which no request could be read.
#[gtest]
#[tokio::test]
async fn requests_are_served_under_a_limit_below_the_smallest_buffer() {
    let edge = edge_with_header_limit(200).await;
    expect_that!(edge.request("/safe/a", "r1").await.status, eq(200));
}
