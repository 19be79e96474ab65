//! Limits that grow while a head arrives on a connection that has been used before.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Edge, RouteSettings};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::caller_limits::CallerLimits;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const REQUEST: &[u8] = b"GET /safe/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\r\n";
const FIRST_PART_BYTES: usize = 30;
const PAUSE: Duration = Duration::from_millis(50);
const WAIT: Duration = Duration::from_secs(3);

async fn receive(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4_096];
    let reading = timeout(WAIT, stream.read(&mut buffer));
    let length = reading.await.expect("in time").unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

/// Guards against a request that is cut in its head because limits grow.
#[gtest]
#[tokio::test]
async fn a_head_that_has_begun_on_a_kept_connection_is_read() {
    let edge = Edge::start(
        RouteSettings::default(),
        vec![(vec![], Behaviour::Answer(200))],
    )
    .await;
    let mut stream = TcpStream::connect(edge.server.address())
        .await
        .expect("connected");
    stream.write_all(REQUEST).await.expect("sent");
    expect_that!(receive(&mut stream).await, starts_with("HTTP/1.1 200"));
    let (first, rest) = REQUEST.split_at(FIRST_PART_BYTES);
    stream.write_all(first).await.expect("sent");
    sleep(PAUSE).await;
    let limits = edge.exchange.limits();
    limits.set(CallerLimits {
        header_bytes: 2 * limits.get().header_bytes,
        ..limits.get()
    });
    sleep(PAUSE).await;
    let _ = stream.write_all(rest).await;
    expect_that!(receive(&mut stream).await, starts_with("HTTP/1.1 200"));
}
