//! A server at its connection limit accepts new callers by closing idle connections, also
//! when callers queued up while it was stalled. With all connections busy it reports that
//! it is not accepting.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Caller, Edge, RouteSettings, connect_many, request_status};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::ProxyServer;
use googletest::prelude::*;

const GOOD: Behaviour = Behaviour::Answer(200);
/// Idle callers, more than the connection limit.
const IDLE_CALLERS: usize = 120;

async fn start_bounded(edge: &Edge, max_connections: usize) -> ProxyServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ProxyServer::start_bounded(any, Arc::clone(&edge.exchange), max_connections)
        .await
        .expect("a server")
}

#[gtest]
#[tokio::test]
async fn idle_connections_are_closed_to_accept_new_ones() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
    let server = start_bounded(&edge, 16).await;
    let idle = connect_many(server.address(), IDLE_CALLERS);
    let late = connect_many(server.address(), 1).remove(0);
    expect_that!(request_status(late).await, some(eq(200)));
    expect_that!(server.is_accepting(), eq(true));
    drop(idle);
}

#[gtest]
#[tokio::test]
async fn a_server_with_all_connections_busy_is_not_accepting_until_one_is_free() {
    let long = Behaviour::Slow(Duration::from_millis(1_500));
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], long)]).await;
    let server = start_bounded(&edge, 3).await;
    let mut callers = Vec::new();
    for number in 0..4 {
        let mut caller = Caller::connect(server.address()).await;
        let id = format!("busy{number}");
        caller.send_for_object("/safe/a", &id, &id).await;
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    expect_that!(server.is_accepting(), eq(false));
    // No busy connection was closed for a new one.
    for caller in &mut callers {
        expect_that!(caller.receive().await.status, eq(200));
    }
    // It reports that it is accepting before a new caller connects.
    drop(callers);
    tokio::time::sleep(Duration::from_millis(700)).await;
    expect_that!(server.is_accepting(), eq(true));
    let next = connect_many(server.address(), 1).remove(0);
    expect_that!(request_status(next).await, some(eq(200)));
    expect_that!(server.is_accepting(), eq(true));
}
