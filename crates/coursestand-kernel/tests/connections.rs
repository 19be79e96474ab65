//! What an HTTP server knows of its callers, and suspensions of the process. Guards against a caller
//! that has left and still counts as waiting.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_kernel::MonotonicClock;
use coursestand_kernel::connections::{CallerConnection, CallerConnections};
use coursestand_kernel::http::HttpServer;
use coursestand_kernel::suspension::SuspensionWatch;
use googletest::prelude::*;
use poem::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const TIMEOUT: Duration = Duration::from_secs(10);
const SUSPENSION_MS: u64 = 4_000;

struct Setup {
    server: HttpServer,
    /// The connections of the requests that the server handles; requests take forever.
    handled: mpsc::UnboundedReceiver<Arc<CallerConnection>>,
    connections: Arc<CallerConnections>,
    clock: MonotonicClock,
    suspension: coursestand_kernel::clock::SimulatedSuspension,
    suspensions: Arc<SuspensionWatch>,
}

fn addresses(request: &Request) -> (SocketAddr, SocketAddr) {
    let local = request.local_addr().as_socket_addr().copied();
    let remote = request.remote_addr().as_socket_addr().copied();
    (local.expect("an address"), remote.expect("an address"))
}

async fn start() -> Setup {
    let (clock, suspension) = MonotonicClock::with_simulated_suspensions();
    let suspensions = Arc::new(SuspensionWatch::new(clock));
    let connections = Arc::new(CallerConnections::new(clock, Arc::clone(&suspensions)));
    let (sender, handled) = mpsc::unbounded_channel();
    let known = Arc::clone(&connections);
    let endpoint = poem::endpoint::make(move |request: Request| {
        let (local, remote) = addresses(&request);
        let connection = known.find(local, remote).expect("a known connection");
        sender.send(connection).expect("the test waits");
        std::future::pending::<std::result::Result<poem::Response, poem::Error>>()
    });
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::start_tracking(any, endpoint, TIMEOUT, Arc::clone(&connections));
    Setup {
        server: server.await.expect("a server"),
        handled,
        connections,
        clock,
        suspension,
        suspensions,
    }
}

impl Setup {
    async fn send_request(&mut self) -> (TcpStream, Arc<CallerConnection>) {
        let address = self.server.address();
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        stream.write_all(request).await.expect("written");
        let handled = tokio::time::timeout(TIMEOUT, self.handled.recv()).await;
        (stream, handled.expect("in time").expect("a request"))
    }
}

async fn until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_caller_counts_as_connected_until_it_closes_or_resets() {
    let mut setup = start().await;
    let (stream, connection) = setup.send_request().await;
    expect_that!(connection.is_open(), eq(true));
    drop(stream);
    until(|| !connection.is_open()).await;
    let (stream, connection) = setup.send_request().await;
    expect_that!(connection.is_open(), eq(true));
    stream.set_zero_linger().expect("set");
    drop(stream);
    until(|| !connection.is_open()).await;
}

#[gtest]
#[tokio::test]
async fn the_age_of_a_connection_includes_a_suspension() {
    let mut setup = start().await;
    let (_stream, connection) = setup.send_request().await;
    expect_that!(connection.age_ms(), lt(SUSPENSION_MS));
    setup.suspension.suspend_ms(SUSPENSION_MS);
    expect_that!(connection.age_ms(), ge(SUSPENSION_MS));
}

/// A connection that is accepted right after a suspension may have been opened when it began.
#[gtest]
#[tokio::test]
async fn a_connection_that_queued_up_in_a_suspension_is_as_old_as_the_suspension() {
    let mut setup = start().await;
    setup.suspension.suspend_ms(SUSPENSION_MS);
    let (_stream, connection) = setup.send_request().await;
    expect_that!(connection.age_ms(), ge(SUSPENSION_MS));
    // The record of an earlier run after the suspension must not hide it.
    setup.suspensions.running_since();
    let (_stream, connection) = setup.send_request().await;
    expect_that!(connection.age_ms(), ge(SUSPENSION_MS));
}

#[gtest]
#[tokio::test]
async fn without_a_suspension_the_process_runs_since_now() {
    let setup = start().await;
    let before = setup.clock.now();
    expect_that!(setup.suspensions.running_since(), ge(before));
}

/// Guards against entries of closed connections that stay.
#[gtest]
#[tokio::test]
async fn a_closed_connection_is_forgotten() {
    let setup = start().await;
    let address = setup.server.address();
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let local = stream.local_addr().expect("an address");
    until(|| setup.connections.find(address, local).is_some()).await;
    stream.shutdown().await.expect("closed");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("read");
    until(|| setup.connections.find(address, local).is_none()).await;
}
