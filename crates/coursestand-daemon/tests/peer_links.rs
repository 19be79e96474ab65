//! Guards against queues to other control processes that are bounded in messages only. A
//! message holds up to 2 MiB of log entries, so a leader with a peer that is down or stopped
//! runs out of memory.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_daemon::fleet::peer_links::{AskError, PeerLinks, PeerState};
use coursestand_daemon::fleet::wire::{PeerMessage, Question, TrailingFlag};
use coursestand_discovery::{ConnectionDigest, EdgeRecord};
use coursestand_kernel::Tasks;
use googletest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const MIB: usize = 1024 * 1024;
/// Memory that one connection may take.
const MAX_QUEUE_BYTES: usize = 8 * MIB;
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A process without entry daemons and back ends.
struct NoState;

impl PeerState for NoState {
    fn initial_messages(&self) -> Vec<PeerMessage> {
        Vec::new()
    }

    fn edge_digest(&self) -> ConnectionDigest {
        ConnectionDigest::default()
    }

    fn edge_report(&self) -> Vec<EdgeRecord> {
        Vec::new()
    }
}

fn links() -> PeerLinks {
    let local_address = SocketAddr::from(([127, 0, 0, 1], 1));
    PeerLinks::new(local_address, Arc::new(NoState), Arc::new(Tasks::default()))
}

fn large_message(bytes: usize) -> PeerMessage {
    PeerMessage::Consensus(vec![0; bytes])
}

/// Returns an address that refuses connections.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

/// Sends messages until one is queued.
async fn wait_until_connected(links: &PeerLinks, address: SocketAddr, bytes: usize) {
    let started = Instant::now();
    while links.queued_bytes() == 0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "not connected in time");
        links.send_to(address, large_message(bytes));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_queued_for_a_peer_that_is_down() {
    let links = links();
    let address = unused_address().await;
    for _ in 0..100 {
        links.send_to(address, large_message(MIB));
    }
    expect_that!(links.queued_bytes(), eq(0));
}

/// An operator's read or order waits for the leader. If its question is dropped without
/// notice, it fails only at its deadline although the leader is connected by then.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_question_to_a_peer_that_is_down_fails_at_once() {
    let links = links();
    let address = unused_address().await;
    let started = Instant::now();
    let question = Question::ReadCatalog {
        version_only: TrailingFlag(true),
    };
    let answer = links.ask(address, question, TEST_TIMEOUT).await;
    expect_that!(answer.err(), some(eq(AskError::NotSent)));
    expect_that!(started.elapsed(), lt(Duration::from_secs(1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_queue_to_a_peer_that_reads_nothing_is_bounded_in_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let links = links();
    // The system accepts the connection; nobody reads from it.
    wait_until_connected(&links, address, MIB).await;
    for _ in 0..100 {
        links.send_to(address, large_message(MIB));
    }
    expect_that!(links.queued_bytes(), le(MAX_QUEUE_BYTES));
}

/// An entry may be larger than the bound and must reach the other replicas.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_message_larger_than_the_bound_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let links = links();
    let length = MAX_QUEUE_BYTES + MIB;
    wait_until_connected(&links, address, length).await;
    let (mut connection, _) = listener.accept().await.expect("a connection");
    let mut received = 0;
    let mut buffer = vec![0; MIB];
    let reading = async {
        while received < length {
            received += connection.read(&mut buffer).await.expect("data");
        }
    };
    let result = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    expect_that!(result.is_ok(), eq(true));
}
