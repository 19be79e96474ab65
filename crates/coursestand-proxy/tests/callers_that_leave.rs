//! A caller that closes its connection before its answer: its request reaches no back
//! end from then on, and a back end that works on it is told to stop within half a
//! second, wherever the request is: not read yet, on its way to a back end, there, or
//! being sent again.
#![allow(missing_docs)]

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use common::{Caller, Edge, Rules, news};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_proxy::HeaderNames;
use googletest::prelude::*;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

const GOOD: Behaviour = Behaviour::Answer(200);
/// Time within which nobody works for a caller that left.
const BROKEN_OFF: Duration = Duration::from_millis(500);
const LONG: Behaviour = Behaviour::Slow(Duration::from_secs(3));

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Sends a request and closes the connection, while the daemon, whose runtime is this
/// test's, stands still.
fn ask_and_leave(address: SocketAddr, path: &str, id: &str) {
    let names = HeaderNames::default();
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: h.example\r\n{}: {id}\r\n\r\n",
        names.request_id
    );
    stream.write_all(head.as_bytes()).expect("written");
}

#[gtest]
#[tokio::test]
async fn a_caller_that_left_before_it_was_read_is_not_served() {
    // With no connection to the back end, and with one that is kept.
    for is_warm in [false, true] {
        let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
        if is_warm {
            edge.ask("/safe/a", "warm").await;
            pause(50).await;
        }
        for number in 0..20 {
            ask_and_leave(edge.server.address(), "/safe/a", &format!("r{number}"));
        }
        pause(300).await;
        expect_that!(edge.arrivals(), eq(usize::from(is_warm)));
    }
}

#[gtest]
#[tokio::test]
async fn a_back_end_at_work_is_told_to_stop() {
    for path in ["/safe/a", "/once/a"] {
        let edge = Edge::start(Rules::default(), vec![(vec![GOOD], LONG)]).await;
        let mut caller = Caller::connect(edge.server.address()).await;
        caller.ask(path, "warm", "").await;
        caller.send(path, "left", "", b"a body").await;
        while edge.arrivals() < 2 {
            pause(5).await;
        }
        drop(caller);
        let stopped =
            tokio::time::timeout(BROKEN_OFF, edge.backends[0].wait_for_abandoned(1)).await;
        expect_that!(stopped, ok(anything()), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_request_that_is_being_repeated_goes_no_further() {
    // Refused by the first, it is at the second when its caller leaves; no third gets it.
    let scripts = (0..3).map(|_| (vec![], LONG)).collect();
    let rules = Rules {
        max_attempts: 4,
        ..Rules::default()
    };
    let edge = Edge::start(rules, scripts).await;
    let first = ScriptedBackend::start(vec![], Behaviour::CloseWithoutAnswer)
        .await
        .expect("a back end");
    for number in 3..9 {
        let ready = news(number, first.address(), InstancePhase::Ready);
        edge.state.adopt_instances(vec![ready]);
    }
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/safe/a", "left", "", b"").await;
    while edge.arrivals() + first.arrival_count() == 0 || edge.arrivals() == 0 {
        pause(5).await;
    }
    drop(caller);
    let all = || edge.arrivals() + first.arrival_count();
    let before = all();
    pause(BROKEN_OFF.as_millis() as u64).await;
    expect_that!(all(), eq(before));
    let stopped = edge
        .backends
        .iter()
        .map(|backend| backend.wait_for_abandoned(1));
    let any = futures::future::select_all(stopped.map(Box::pin));
    let stopped = tokio::time::timeout(Duration::from_millis(1), any).await;
    expect_that!(stopped.is_ok(), eq(true));
}

/// A listener whose queue of new connections is full, so that further ones hang.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("bound");
    socket.listen(0).expect("listening");
    socket.set_nonblocking(true).expect("set");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut fillers = Vec::new();
    while let Ok(Ok(filler)) =
        tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    {
        fillers.push(filler);
    }
    (listener, fillers)
}

#[gtest]
#[tokio::test]
async fn a_connection_that_is_being_made_is_given_up_and_no_other_is_made() {
    let (listener, _fillers) = full_listener().await;
    let edge = Edge::start(Rules::default(), vec![(vec![], LONG)]).await;
    let address = listener.local_addr().expect("an address");
    edge.state
        .adopt_instances(vec![news(1, address, InstancePhase::Ready)]);
    let mut callers = Vec::new();
    for number in 0..6 {
        let mut caller = Caller::connect(edge.server.address()).await;
        let id = format!("left{number}");
        caller.send_about("/safe/a", &id, &id).await;
        callers.push(caller);
    }
    pause(200).await;
    let before = edge.arrivals();
    // Some wait for a connection still; after its time-out they would go to the other.
    expect_that!(before, lt(6));
    drop(callers);
    pause(1_500).await;
    expect_that!(edge.arrivals(), eq(before));
    expect_that!(edge.exchange.metrics().in_flight.get(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_caller_that_leaves_within_its_body_takes_it_back() {
    // One that is held, and one that is passed on as it comes.
    for (length, sent) in [(20_000, 10_000), (3_000_000, 1_500_000)] {
        let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
        let mut stream = TcpStream::connect(edge.server.address())
            .await
            .expect("connected");
        let head = format!(
            "POST /once/a HTTP/1.1\r\nhost: h.example\r\n{}: left\r\ncontent-length: {length}\r\n\r\n",
            HeaderNames::default().request_id
        );
        let piece = vec![b'x'; sent];
        tokio::io::AsyncWriteExt::write_all(&mut stream, head.as_bytes())
            .await
            .expect("written");
        tokio::io::AsyncWriteExt::write_all(&mut stream, &piece)
            .await
            .expect("written");
        pause(50).await;
        drop(stream);
        pause(300).await;
        expect_that!(edge.runs_of("left"), eq(0), "{length} bytes");
        expect_that!(edge.exchange.metrics().in_flight.get(), eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn a_long_answer_on_its_way_is_broken_off() {
    let edge = Edge::start(Rules::default(), vec![(vec![], Behaviour::Trickle)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/safe/a", "left", "", b"").await;
    while edge.arrivals() == 0 {
        pause(5).await;
    }
    pause(100).await;
    drop(caller);
    let stopped = tokio::time::timeout(BROKEN_OFF, edge.backends[0].wait_for_abandoned(1)).await;
    expect_that!(stopped, ok(anything()));
}
