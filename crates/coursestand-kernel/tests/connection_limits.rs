//! Callers of an HTTP server that stay connected without completing a call.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use coursestand_kernel::http::{HttpServer, ServerOptions};
use coursestand_kernel::open_connections::IncomingCall;
use coursestand_kernel::server_limits::ServerLimits;
use googletest::prelude::*;
use poem::http::StatusCode;
use poem::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(300);
const HANDLING_TIME: Duration = Duration::from_millis(1_500);
const MIB: usize = 1024 * 1024;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// Calls of `/medium`.
static MEDIUM_CALLS: AtomicUsize = AtomicUsize::new(0);

/// Answers at `/slow` after [`HANDLING_TIME`], at `/large` with a body that fills the buffers of a
/// connection, and at `/body` once the body of the call has arrived.
async fn answer(mut request: Request) -> poem::Result<Response> {
    let body = match request.uri().path() {
        "/slow" => {
            tokio::time::sleep(HANDLING_TIME).await;
            Vec::new()
        }
        "/medium" => {
            MEDIUM_CALLS.fetch_add(1, Ordering::Relaxed);
            vec![b'x'; MIB]
        }
        "/large" => vec![b'x'; 64 * MIB],
        "/body" => {
            let call = request.extensions().get::<IncomingCall>().cloned();
            let receiving = call.expect("a call").receive_body();
            let body = request.take_body().into_vec().await?;
            drop(receiving);
            tokio::time::sleep(HANDLING_TIME).await;
            body
        }
        _ => Vec::new(),
    };
    Ok(Response::builder().status(StatusCode::OK).body(body))
}

async fn start(limits: Option<ServerLimits>) -> HttpServer {
    let any = "127.0.0.1:0".parse().expect("an address");
    let endpoint = poem::endpoint::make(answer);
    let options = match limits {
        Some(limits) => ServerOptions {
            grace: TIMEOUT,
            limits,
        },
        None => TIMEOUT.into(),
    };
    let server = HttpServer::start(any, endpoint, options).await;
    server.expect("a server")
}

async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    // The server may have closed the connection already.
    let _ = stream.write_all(bytes).await;
    stream
}

async fn crowd(server: &HttpServer, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(connect(server.address(), bytes).await);
    }
    streams
}

/// Returns the first bytes of a response, or none if the server closed the connection.
async fn response(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4_096];
    let reading = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer));
    let length = reading.await.expect("in time").unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

async fn is_answered(server: &HttpServer) -> bool {
    let mut stream = connect(server.address(), REQUEST).await;
    response(&mut stream).await.starts_with("HTTP/1.1 200")
}

/// Returns whether the server has neither closed nor reset the connection.
fn is_open(stream: &TcpStream) -> bool {
    let mut buffer = [0; 4_096];
    loop {
        match stream.try_read(&mut buffer) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(error) => return error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Returns the number of open connections once it is at most `limit`, or after [`TIMEOUT`].
async fn open_connections(streams: &[TcpStream], limit: usize) -> usize {
    let started = Instant::now();
    loop {
        let open = streams.iter().filter(|stream| is_open(stream)).count();
        if open <= limit || started.elapsed() > TIMEOUT {
            return open;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn unfinished_head(length: usize) -> Vec<u8> {
    let mut head = b"GET / HTTP/1.1\r\nhost: h\r\nx-padding: ".to_vec();
    head.resize(length, b'x');
    head
}

/// Guards against heads that stop: a server kept them, up to 417 KiB each, for as long as the
/// callers stayed connected.
#[gtest]
#[tokio::test]
async fn heads_that_stop_are_given_up_by_default() {
    let server = start(None).await;
    let streams = crowd(&server, 20, &unfinished_head(60_000)).await;
    expect_that!(open_connections(&streams, 0).await, eq(0));
    expect_that!(is_answered(&server).await, eq(true));
}

/// Guards against heads that are longer than a caller needs.
#[gtest]
#[tokio::test]
async fn heads_over_the_limit_are_refused_by_default() {
    let server = start(None).await;
    let mut stream = connect(server.address(), &unfinished_head(300_000)).await;
    let head = response(&mut stream).await;
    expect_that!(
        head.is_empty() || head.starts_with("HTTP/1.1 431"),
        eq(true)
    );
}

/// Guards against empty lines without end before a call.
#[gtest]
#[tokio::test]
async fn empty_lines_without_end_are_given_up() {
    let limits = ServerLimits {
        head_timeout: SHORT,
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let streams = crowd(&server, 20, b"\r\n\r\n\r\n\r\n").await;
    expect_that!(open_connections(&streams, 0).await, eq(0));
    expect_that!(is_answered(&server).await, eq(true));
}

/// Guards against a crowd that takes all descriptors: the connections that have been silent
/// longest make room.
#[gtest]
#[tokio::test]
async fn silent_connections_make_room_for_callers() {
    let limits = ServerLimits {
        max_connections: 16,
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let streams = crowd(&server, 100, b"").await;
    expect_that!(open_connections(&streams, 16).await, le(16));
    expect_that!(is_answered(&server).await, eq(true));
}

/// Guards against many incomplete heads that are within the limit each.
#[gtest]
#[tokio::test]
async fn incomplete_heads_are_bounded_together() {
    let limits = ServerLimits {
        max_incomplete_bytes: 200_000,
        head_timeout: Duration::from_secs(3_600),
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let streams = crowd(&server, 30, &unfinished_head(50_000)).await;
    expect_that!(open_connections(&streams, 4).await, le(4));
    expect_that!(is_answered(&server).await, eq(true));
}

/// Guards against callers that complete a call and stay connected for ever.
#[gtest]
#[tokio::test]
async fn idle_connections_are_closed() {
    let limits = ServerLimits {
        idle_timeout: SHORT,
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let mut streams = crowd(&server, 20, REQUEST).await;
    for stream in &mut streams {
        expect_that!(response(stream).await, starts_with("HTTP/1.1 200"));
    }
    expect_that!(open_connections(&streams, 0).await, eq(0));
}

/// Guards against callers that never read a large response.
#[gtest]
#[tokio::test]
async fn a_response_that_nobody_reads_is_given_up() {
    let limits = ServerLimits {
        write_timeout: SHORT,
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let mut stream = connect(server.address(), b"GET /large HTTP/1.1\r\nhost: h\r\n\r\n").await;
    tokio::time::sleep(SHORT * 6).await;
    let mut received = Vec::new();
    let reading = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut received));
    // The connection may be reset.
    let _ = reading.await.expect("closed in time");
    expect_that!(received.len(), lt(64 * MIB));
}

/// Guards against calls that are sent in a row without reading the responses, which are kept until
/// the caller reads them: no call is handled before the response to the previous one is written.
#[gtest]
#[tokio::test]
async fn calls_in_a_row_wait_for_the_responses_to_be_read() {
    const CALLS: usize = 200;
    let server = start(None).await;
    let calls = b"GET /medium HTTP/1.1\r\nhost: h\r\n\r\n".repeat(CALLS);
    let mut stream = connect(server.address(), &calls).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The buffers of the connection take a few MiB.
    expect_that!(MEDIUM_CALLS.load(Ordering::Relaxed), le(CALLS / 4));
    expect_that!(is_answered(&server).await, eq(true));
    let mut received = 0;
    let mut buffer = vec![0; MIB];
    while received < CALLS * MIB {
        let reading = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer));
        let length = reading.await.expect("in time").expect("a response");
        expect_that!(length, gt(0));
        received += length;
    }
    expect_that!(MEDIUM_CALLS.load(Ordering::Relaxed), eq(CALLS));
}

/// Guards against a body that stops in the hands of a handler: its connection makes room.
#[gtest]
#[tokio::test]
async fn incomplete_bodies_make_room_for_callers() {
    let limits = ServerLimits {
        max_connections: 16,
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let call = b"POST /body HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n12345";
    let streams = crowd(&server, 100, call).await;
    expect_that!(open_connections(&streams, 16).await, le(16));
    expect_that!(is_answered(&server).await, eq(true));
}

/// Guards against limits that cut calls in progress: a follower holds a call until its order is
/// committed.
#[gtest]
#[tokio::test]
async fn a_call_in_progress_outlasts_all_limits() {
    let limits = ServerLimits {
        max_connections: 16,
        head_timeout: SHORT,
        body_timeout: SHORT,
        idle_timeout: SHORT,
        write_timeout: SHORT,
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let call = b"POST /body HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\n12345";
    let mut with_body = connect(server.address(), call).await;
    let mut slow = connect(server.address(), b"GET /slow HTTP/1.1\r\nhost: h\r\n\r\n").await;
    let _streams = crowd(&server, 100, b"").await;
    expect_that!(response(&mut slow).await, starts_with("HTTP/1.1 200"));
    expect_that!(response(&mut with_body).await, starts_with("HTTP/1.1 200"));
}

/// Guards against a limit that cuts a caller in the middle of many calls on one connection.
#[gtest]
#[tokio::test]
async fn calls_in_a_row_are_answered_on_one_connection() {
    let limits = ServerLimits {
        head_timeout: SHORT,
        max_incomplete_bytes: 1_000,
        ..ServerLimits::default()
    };
    let server = start(Some(limits)).await;
    let mut stream = connect(server.address(), b"").await;
    let started = Instant::now();
    while started.elapsed() < SHORT * 4 {
        stream.write_all(REQUEST).await.expect("sent");
        expect_that!(response(&mut stream).await, starts_with("HTTP/1.1 200"));
    }
}
