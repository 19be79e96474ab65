//! Guards against a fault of the messaging library when a server stops while replies are being
//! sent: the last operation on a context released it after its socket had been freed. The
//! process aborted (`pthread_mutex_lock: Invalid argument`), or its threads waited for each
//! other forever. Daemons stop this way.
#![allow(missing_docs)]

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use coursestand_transport::{Client, Handler, Server};
use googletest::prelude::*;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::JoinSet;

/// Requests in flight at each server when it stops.
const IN_FLIGHT: usize = 32;
/// Servers that are stopped one after the other by each of `CONCURRENT_SERIES` tasks.
const STOPS_IN_SERIES: u64 = 250;
const CONCURRENT_SERIES: u64 = 4;
/// A server stops after one of these delays, while its replies are being sent.
const STOP_DELAYS_MICROS: u64 = 900;
const DEADLINE: Duration = Duration::from_millis(20);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Replies after at most a millisecond.
struct ShortWork;

impl Handler<u64, u64> for ShortWork {
    async fn handle(&self, micros: u64) -> u64 {
        tokio::time::sleep(Duration::from_micros(micros)).await;
        micros
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.77.3.2:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Stops a server while it sends replies. `number` determines when.
async fn stop_while_replying(number: u64) {
    let address = free_address();
    let server = Server::start(address, IN_FLIGHT, Arc::new(ShortWork)).expect("listens");
    let client = Arc::new(Client::<u64, u64>::new(address).expect("a client"));
    let first = client.exchange(&0, Duration::from_secs(20)).await;
    assert_eq!(first.expect("an answer"), 0);
    let mut exchanges = JoinSet::new();
    for request in 0..IN_FLIGHT as u64 {
        let client = Arc::clone(&client);
        let micros = (request * 37 + number * 101) % 1_000;
        exchanges.spawn(async move { client.exchange(&micros, DEADLINE).await });
    }
    let delay = Duration::from_micros(number * 53 % STOP_DELAYS_MICROS);
    tokio::time::sleep(delay).await;
    server.stop();
    // Requests that were cut off by the stop get no reply.
    while exchanges.join_next().await.is_some() {}
    wait_until_closed(address).await;
}

/// The server closes in a separate thread: its contexts first, the listener last.
async fn wait_until_closed(address: SocketAddr) {
    let closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let result = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
    result.expect("the server closes");
}

async fn stop_servers_while_they_reply() {
    let mut series = JoinSet::new();
    for first in 0..CONCURRENT_SERIES {
        series.spawn(async move {
            for stop in 0..STOPS_IN_SERIES {
                stop_while_replying(stop * CONCURRENT_SERIES + first).await;
            }
        });
    }
    while let Some(ended) = series.join_next().await {
        ended.expect("the series ends");
    }
}

/// The servers run in a separate thread: if all threads of their runtime are blocked, no timer
/// of that runtime expires.
#[gtest]
fn a_server_that_stops_while_it_replies_does_not_abort_or_block_the_process() {
    let (ended_sender, ended) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build();
        runtime
            .expect("a runtime")
            .block_on(stop_servers_while_they_reply());
        ended_sender.send(()).expect("the test waits");
    });
    let result = ended.recv_timeout(TEST_TIMEOUT);
    result.expect("all servers stop in time");
}
