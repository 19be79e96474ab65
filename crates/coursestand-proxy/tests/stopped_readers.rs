//! Callers that read none of their answers, more than the server accepts connections.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Edge, RouteSettings, connect_many, request_status};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::ProxyServer;
use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::time::{sleep, timeout};

const MAX_CONNECTIONS: usize = 4;
const STOPPED_CALLERS: usize = 8;
const RECEIVE_BUFFER_BYTES: u32 = 16_384;
const ANSWER_BYTES: usize = 1_000_000;
/// More than the buffers of the system take.
const REQUESTS: usize = 8;
/// Far longer than a connection needs that is to make room for another one.
const WAIT: Duration = Duration::from_secs(5);

/// Guards against a server that accepts no caller while others read none of their answers.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_read_nothing_give_way_to_new_callers() {
    let behaviour = Behaviour::AnswerOfSize(ANSWER_BYTES);
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], behaviour)]).await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ProxyServer::start_bounded(any, Arc::clone(&edge.exchange), MAX_CONNECTIONS);
    let server = server.await.expect("a server");
    let head = "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\r\n";
    let requests = head.repeat(REQUESTS);
    let mut streams = Vec::new();
    for _ in 0..STOPPED_CALLERS {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("set");
        let mut stream = socket.connect(server.address()).await.expect("connected");
        stream.write_all(requests.as_bytes()).await.expect("sent");
        streams.push(stream);
    }
    sleep(Duration::from_secs(2)).await;
    let late = connect_many(server.address(), 1).remove(0);
    let status = timeout(WAIT, request_status(late)).await;
    expect_that!(status.ok().flatten(), some(eq(200)));
    drop(streams);
}
