//! A server that listens takes new callers: while others hold its places with
//! connections that rest, when the process has no descriptor left, and with a queue of
//! callers that piled up while it stood still. Where it can't, it says so.
//!
//! The tests lower the limit of descriptors of their process, so they run one after the
//! other.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Caller, Edge, Rules};
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::ProxyServer;
use googletest::prelude::*;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

const GOOD: Behaviour = Behaviour::Answer(200);
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
/// Callers that rest, more than there is room for.
const RESTING: usize = 120;
/// Far below the idle time-out.
const SOON: Duration = Duration::from_secs(4);

/// Keeps the limit of descriptors low until dropped.
struct FewDescriptors(Rlimit);

impl FewDescriptors {
    /// Leaves so many descriptors free.
    fn leave(free: u64) -> FewDescriptors {
        let before = getrlimit(Resource::Nofile);
        let open = std::fs::read_dir("/proc/self/fd").expect("a list").count() as u64;
        let low = Rlimit {
            current: Some(open + free),
            ..before
        };
        setrlimit(Resource::Nofile, low).expect("lowered");
        FewDescriptors(before)
    }
}

impl Drop for FewDescriptors {
    fn drop(&mut self) {
        // The limit was in force before.
        let _ = setrlimit(Resource::Nofile, self.0);
    }
}

/// Callers that are connected before the server, which runs on this thread, sees any.
fn pile_up(address: SocketAddr, count: usize) -> Vec<std::net::TcpStream> {
    let connect = |_| std::net::TcpStream::connect(address).expect("connected");
    (0..count).map(connect).collect()
}

async fn bounded(edge: &Edge, most: usize) -> ProxyServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ProxyServer::start_bounded(any, Arc::clone(&edge.exchange), most)
        .await
        .expect("a server")
}

async fn asks(stream: std::net::TcpStream) -> Option<u16> {
    stream.set_nonblocking(true).expect("set");
    let mut caller = Caller::of(TcpStream::from_std(stream).expect("a stream"));
    let asked = caller.ask("/safe/a", "late", "");
    let answer = tokio::time::timeout(SOON, asked).await;
    answer.ok().map(|answer| answer.status)
}

#[gtest]
#[tokio::test]
async fn connections_that_rest_make_place_for_new_ones() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    let server = bounded(&edge, 16).await;
    let resting = pile_up(server.address(), RESTING);
    let late = pile_up(server.address(), 1).remove(0);
    expect_that!(asks(late).await, some(eq(200)));
    expect_that!(server.takes_callers(), eq(true));
    drop(resting);
}

#[gtest]
#[tokio::test]
async fn new_callers_are_taken_when_descriptors_are_spent() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    let address = edge.server.address();
    let resting = pile_up(address, RESTING);
    let late = pile_up(address, 1).remove(0);
    let few = FewDescriptors::leave(24);
    expect_that!(asks(late).await, some(eq(200)));
    expect_that!(edge.server.takes_callers(), eq(true));
    drop(few);
    drop(resting);
}

#[gtest]
#[tokio::test]
async fn a_server_whose_places_are_all_busy_says_so_until_one_is_free() {
    let _alone = ONE_AT_A_TIME.lock().await;
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
    expect_that!(server.takes_callers(), eq(false));
    // None of them was cut off for the next.
    for mut caller in callers {
        expect_that!(caller.receive().await.status, eq(200));
    }
    let next = pile_up(server.address(), 1).remove(0);
    expect_that!(asks(next).await, some(eq(200)));
    expect_that!(server.takes_callers(), eq(true));
}
