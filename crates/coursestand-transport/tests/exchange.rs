//! Exchanges between a client and a server over the loopback interface.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_transport::frame::{decode, encode};
use coursestand_transport::{Client, Handler, Server, TransportError};
use googletest::prelude::*;

const LONG_DEADLINE: Duration = Duration::from_secs(20);

/// Doubles a number after the requested delay.
struct Doubler;

impl Handler<(u64, u64), u64> for Doubler {
    async fn handle(&self, (number, sleep_ms): (u64, u64)) -> u64 {
        tokio::time::sleep(Duration::from_millis(sleep_ms)).await;
        number * 2
    }
}

fn address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.77.3.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_get_their_own_answers() {
    let address = address();
    let _server = Server::start(address, 16, Arc::new(Doubler)).expect("listens");
    let client = Arc::new(Client::<(u64, u64), u64>::new(address).expect("a client"));
    let exchanges = (0..200_u64).map(|number| {
        let client = Arc::clone(&client);
        async move {
            (
                number,
                client.exchange(&(number, number % 7), LONG_DEADLINE).await,
            )
        }
    });
    for (number, answer) in join_all(exchanges).await {
        expect_that!(answer.expect("an answer"), eq(number * 2));
    }
}

async fn join_all<F: Future + Send + 'static>(all: impl Iterator<Item = F>) -> Vec<F::Output>
where
    F::Output: Send,
{
    let tasks: Vec<_> = all.map(tokio::spawn).collect();
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await.expect("the task ends"));
    }
    results
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_never_matched_to_another_request() {
    let address = address();
    let _server = Server::start(address, 4, Arc::new(Doubler)).expect("listens");
    let client = Client::<(u64, u64), u64>::new(address).expect("a client");
    let warm_up = client.exchange(&(1, 0), LONG_DEADLINE).await;
    expect_that!(warm_up.expect("an answer"), eq(2));
    let timed_out = client.exchange(&(5, 300), Duration::from_millis(50)).await;
    expect_that!(timed_out.is_err(), eq(true));
    for number in 10..40 {
        let answer = client.exchange(&(number, 10), LONG_DEADLINE).await;
        expect_that!(answer.expect("an answer"), eq(number * 2));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_client_connects_to_a_server_that_starts_later() {
    let address = address();
    let client = Client::<(u64, u64), u64>::new(address).expect("a client");
    let unanswered = client.exchange(&(1, 0), Duration::from_millis(100)).await;
    expect_that!(unanswered.is_err(), eq(true));
    let _server = Server::start(address, 4, Arc::new(Doubler)).expect("listens");
    let answer = client.exchange(&(4, 0), LONG_DEADLINE).await;
    expect_that!(answer.expect("an answer"), eq(8));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_client_reconnects_to_a_replaced_server() {
    let address = address();
    let first = Server::start(address, 4, Arc::new(Doubler)).expect("listens");
    let client = Client::<(u64, u64), u64>::new(address).expect("a client");
    let answer = client.exchange(&(4, 0), LONG_DEADLINE).await;
    expect_that!(answer.expect("an answer"), eq(8));
    first.stop();
    // The server closes in a separate thread: its contexts first, the listener last.
    let end = std::time::Instant::now() + LONG_DEADLINE;
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        assert!(
            std::time::Instant::now() < end,
            "the server is still listening"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for _ in 0..10 {
        // Requests without a server, like heartbeats to a stopped replica.
        let unanswered = client.exchange(&(1, 0), Duration::from_millis(100)).await;
        expect_that!(unanswered.is_err(), eq(true));
    }
    let second = || Server::start(address, 4, Arc::new(Doubler));
    let end = std::time::Instant::now() + LONG_DEADLINE;
    let _second = loop {
        match second() {
            Ok(server) => break server,
            Err(error) => assert!(std::time::Instant::now() < end, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let answer = client.exchange(&(6, 0), LONG_DEADLINE).await;
    expect_that!(answer.expect("an answer"), eq(12));
}

#[gtest]
fn invalid_frames_and_other_protocol_versions_are_rejected() {
    let mut frame = encode(&7_u64).expect("encoded");
    expect_that!(decode::<u64>(&frame).expect("decoded"), eq(7));
    expect_that!(
        decode::<u64>(&frame[..1]).unwrap_err().to_string(),
        contains_substring("too short")
    );
    expect_that!(
        decode::<String>(&[1, 0, 200]).unwrap_err().to_string(),
        contains_substring("can't be encoded or decoded")
    );
    frame[0] = 9;
    let error = decode::<u64>(&frame).unwrap_err();
    assert!(matches!(error, TransportError::Version { found: 9 }));
}
