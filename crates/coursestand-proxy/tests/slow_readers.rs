//! Callers that read their answers a little at a time.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Edge, RouteSettings};
use coursestand_lab::scripted::Behaviour;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep};

/// Kept whole by the daemon.
const ANSWER_BYTES: usize = 1_000_000;
/// More than the buffers of the system take.
const REQUESTS: usize = 8;
const RECEIVE_BUFFER_BYTES: u32 = 65_536;
/// At this pace the answers take several minutes.
const READ_BYTES: usize = 4_096;
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Far more than the time that a caller has.
const WAIT: Duration = Duration::from_secs(60);

/// Guards against answers that are kept for as long as their callers like: reading a little now
/// and then was enough.
#[gtest]
#[tokio::test]
async fn an_answer_that_is_read_too_slowly_is_not_kept() {
    let behaviour = Behaviour::AnswerOfSize(ANSWER_BYTES);
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], behaviour)]).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("set");
    let mut stream = socket
        .connect(edge.server.address())
        .await
        .expect("connected");
    let head = "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\r\n";
    let requests = head.repeat(REQUESTS);
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let memory = edge.exchange.memory();
    while memory.held() == 0 {
        sleep(READ_INTERVAL).await;
    }
    let mut bytes = [0; READ_BYTES];
    let started = Instant::now();
    while memory.held() > 0 {
        assert_that!(started.elapsed(), lt(WAIT));
        let _ = stream.read(&mut bytes).await;
        sleep(READ_INTERVAL).await;
    }
}
