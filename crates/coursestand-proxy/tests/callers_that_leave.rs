//! When a caller disconnects before its answer, its request is sent to no further back end,
//! and a back end that runs it is cancelled within half a second, whether the request is
//! unread, waiting for a connection, in flight or being retried.
#![allow(missing_docs)]

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use common::{Caller, Edge, RouteSettings, instance_update};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_proxy::HeaderNames;
use googletest::prelude::*;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

const GOOD: Behaviour = Behaviour::Answer(200);
/// Time within which the request of a disconnected caller must be cancelled.
const CANCELLED_WITHIN: Duration = Duration::from_millis(500);
const LONG: Behaviour = Behaviour::Slow(Duration::from_secs(3));

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Sends a request and closes the connection before the daemon, which shares this test's
/// single-threaded runtime, can read it.
fn request_and_disconnect(address: SocketAddr, path: &str, id: &str) {
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
async fn a_request_whose_caller_disconnected_before_it_was_read_is_not_sent() {
    // Without and with a pooled connection to the back end.
    for is_warm in [false, true] {
        let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
        if is_warm {
            edge.request("/safe/a", "warm").await;
            pause(50).await;
        }
        for number in 0..20 {
            request_and_disconnect(edge.server.address(), "/safe/a", &format!("r{number}"));
        }
        pause(300).await;
        expect_that!(edge.arrival_count(), eq(usize::from(is_warm)));
    }
}

#[gtest]
#[tokio::test]
async fn a_request_in_flight_is_cancelled_at_its_back_end() {
    for path in ["/safe/a", "/once/a"] {
        let edge = Edge::start(RouteSettings::default(), vec![(vec![GOOD], LONG)]).await;
        let mut caller = Caller::connect(edge.server.address()).await;
        caller.request(path, "warm", "").await;
        caller.send(path, "left", "", b"a body").await;
        while edge.arrival_count() < 2 {
            pause(5).await;
        }
        drop(caller);
        let stopped =
            tokio::time::timeout(CANCELLED_WITHIN, edge.backends[0].wait_for_abandoned(1)).await;
        expect_that!(stopped, ok(anything()), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_retried_request_is_not_sent_to_a_further_back_end() {
    // After a failure at the first back end, the request is in flight at the second when its
    // caller disconnects; no third back end may get it.
    let scripts = (0..3).map(|_| (vec![], LONG)).collect();
    let settings = RouteSettings {
        max_attempts: 4,
        ..RouteSettings::default()
    };
    let edge = Edge::start(settings, scripts).await;
    let failing = ScriptedBackend::start(vec![], Behaviour::CloseWithoutAnswer)
        .await
        .expect("a back end");
    for number in 3..9 {
        let ready = instance_update(number, failing.address(), InstancePhase::Ready);
        edge.state.adopt_instances(vec![ready]);
    }
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/safe/a", "left", "", b"").await;
    while edge.arrival_count() + failing.arrival_count() == 0 || edge.arrival_count() == 0 {
        pause(5).await;
    }
    drop(caller);
    let all_arrivals = || edge.arrival_count() + failing.arrival_count();
    let before = all_arrivals();
    pause(CANCELLED_WITHIN.as_millis() as u64).await;
    expect_that!(all_arrivals(), eq(before));
    let stopped = edge
        .backends
        .iter()
        .map(|backend| backend.wait_for_abandoned(1));
    let any = futures::future::select_all(stopped.map(Box::pin));
    let stopped = tokio::time::timeout(Duration::from_millis(1), any).await;
    expect_that!(stopped.is_ok(), eq(true));
}

/// Returns a listener whose accept queue is full, so that further connections hang.
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
async fn a_pending_connection_is_abandoned_and_no_other_is_opened() {
    let (listener, _fillers) = full_listener().await;
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], LONG)]).await;
    let address = listener.local_addr().expect("an address");
    edge.state
        .adopt_instances(vec![instance_update(1, address, InstancePhase::Ready)]);
    let mut callers = Vec::new();
    for number in 0..6 {
        let mut caller = Caller::connect(edge.server.address()).await;
        let id = format!("left{number}");
        caller.send_for_object("/safe/a", &id, &id).await;
        callers.push(caller);
    }
    pause(200).await;
    let before = edge.arrival_count();
    // The others wait for a connection to the full listener; after the connect timeout they
    // would go to the other back end.
    expect_that!(before, lt(6));
    drop(callers);
    pause(1_500).await;
    expect_that!(edge.arrival_count(), eq(before));
    expect_that!(edge.exchange.metrics().in_flight.get(), eq(0));
}

#[gtest]
#[tokio::test]
async fn a_request_whose_caller_disconnects_within_the_body_is_not_run() {
    // A body that is buffered, and one that is streamed.
    for (length, sent) in [(20_000, 10_000), (3_000_000, 1_500_000)] {
        let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
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
async fn a_streamed_answer_is_cancelled() {
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], Behaviour::Trickle)]).await;
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send("/safe/a", "left", "", b"").await;
    while edge.arrival_count() == 0 {
        pause(5).await;
    }
    pause(100).await;
    drop(caller);
    let stopped =
        tokio::time::timeout(CANCELLED_WITHIN, edge.backends[0].wait_for_abandoned(1)).await;
    expect_that!(stopped, ok(anything()));
}
