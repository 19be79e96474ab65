//! Callers whose bodies stop, more than the server accepts connections.
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
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const MAX_CONNECTIONS: usize = 16;
const STOPPED_CALLERS: usize = 40;
/// Limit of the route: how long a body that stops may be received.
const TIMEOUT_MS: u64 = 20_000;
/// Far longer than a connection needs that is to make room for another one.
const WAIT: Duration = Duration::from_secs(3);
const STOPPED_BODY: &[u8] = b"POST /once/a HTTP/1.1\r\nhost: h.example\r\nx-request-id: crowd\r\n\
    transfer-encoding: chunked\r\n\r\n1\r\nx\r\n";

/// Guards against a server that accepts no caller for as long as the bodies of others may take:
/// each connection with a request that is being received counts as busy.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_give_way_to_new_callers() {
    let settings = RouteSettings {
        timeout_ms: TIMEOUT_MS,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, vec![(vec![], Behaviour::Answer(200))]).await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ProxyServer::start_bounded(any, Arc::clone(&edge.exchange), MAX_CONNECTIONS);
    let server = server.await.expect("a server");
    let mut streams = Vec::new();
    for _ in 0..STOPPED_CALLERS {
        let mut stream = TcpStream::connect(server.address())
            .await
            .expect("connected");
        stream.write_all(STOPPED_BODY).await.expect("sent");
        streams.push(stream);
    }
    sleep(Duration::from_millis(500)).await;
    let late = connect_many(server.address(), 1).remove(0);
    let status = timeout(WAIT, request_status(late)).await;
    expect_that!(status.ok().flatten(), some(eq(200)));
    expect_that!(server.is_accepting(), eq(true));
    drop(streams);
}
