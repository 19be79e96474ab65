//! A server that listens takes new callers while others hold its places with
//! connections that rest, and with a queue of callers that piled up while it stood
//! still. Where it can't, it says so.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Caller, Edge, Rules, asks, pile_up};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::ProxyServer;
use googletest::prelude::*;

const GOOD: Behaviour = Behaviour::Answer(200);
/// Callers that rest, more than there is room for.
const RESTING: usize = 120;

async fn bounded(edge: &Edge, most: usize) -> ProxyServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ProxyServer::start_bounded(any, Arc::clone(&edge.exchange), most)
        .await
        .expect("a server")
}

#[gtest]
#[tokio::test]
async fn connections_that_rest_make_place_for_new_ones() {
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    let server = bounded(&edge, 16).await;
    let resting = pile_up(server.address(), RESTING);
    let late = pile_up(server.address(), 1).remove(0);
    expect_that!(asks(late).await, some(eq(200)));
    expect_that!(server.is_accepting(), eq(true));
    drop(resting);
}

#[gtest]
#[tokio::test]
async fn a_server_whose_places_are_all_busy_says_so_until_one_is_free() {
    let long = Behaviour::Slow(Duration::from_millis(1_500));
    let edge = Edge::start(Rules::default(), vec![(vec![], long)]).await;
    let server = bounded(&edge, 3).await;
    let mut callers = Vec::new();
    for number in 0..4 {
        let mut caller = Caller::connect(server.address()).await;
        let id = format!("busy{number}");
        caller.send_about("/safe/a", &id, &id).await;
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    expect_that!(server.is_accepting(), eq(false));
    // None of them was cut off for the next.
    for caller in &mut callers {
        expect_that!(caller.receive().await.status, eq(200));
    }
    // It says that it takes callers again before any has come.
    drop(callers);
    tokio::time::sleep(Duration::from_millis(700)).await;
    expect_that!(server.is_accepting(), eq(true));
    let next = pile_up(server.address(), 1).remove(0);
    expect_that!(asks(next).await, some(eq(200)));
    expect_that!(server.is_accepting(), eq(true));
}
