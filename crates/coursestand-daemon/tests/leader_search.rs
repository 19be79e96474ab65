//! Guards against concurrent requests that skip the leader: if each of them advances the shared
//! position past an unreachable replica, together they return to it.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use coursestand_coordination::once::{OnceCommand, OnceKey};
use coursestand_coordination::wire::{ControlReply, ControlRequest};
use coursestand_daemon::entry::control_client::ControlClient;
use coursestand_transport::{Handler, Server};
use googletest::prelude::*;

const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(10);

/// A replica that is the leader.
struct LeaderReplica;

impl Handler<ControlRequest, ControlReply> for LeaderReplica {
    async fn handle(&self, _: ControlRequest) -> ControlReply {
        ControlReply::Done
    }
}

/// A replica that is not the leader, names none, and counts its requests.
#[derive(Default)]
struct FollowerReplica {
    received: AtomicUsize,
}

impl Handler<ControlRequest, ControlReply> for FollowerReplica {
    async fn handle(&self, _: ControlRequest) -> ControlReply {
        self.received.fetch_add(1, Ordering::Relaxed);
        ControlReply::NotLeader(None)
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.77.4.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn request() -> ControlRequest {
    let key = OnceKey::parse(&"s".into(), "1000-k").expect("a key");
    let claim = coursestand_coordination::once::ClaimId {
        daemon: Default::default(),
        sequence: 1,
    };
    ControlRequest::Once(OnceCommand::Release { key, claim })
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_do_not_skip_the_leader() {
    // No server listens at the first address; the leader is at the second.
    let (unreachable, leader, other) = (free_address(), free_address(), free_address());
    let _leading = Server::start(leader, 16, Arc::new(LeaderReplica)).expect("listens");
    let following = Arc::new(FollowerReplica::default());
    let _following = Server::start(other, 16, Arc::clone(&following)).expect("listens");
    // As many concurrent requests as replicas: if each advanced the position separately, it
    // would return to the unreachable replica, and later requests would start there.
    let client = Arc::new(ControlClient::new(&[unreachable, leader, other]).expect("a client"));
    for _ in 0..3 {
        let requests = (0..3).map(|_| {
            let client = Arc::clone(&client);
            tokio::spawn(async move { client.send(&request(), ATTEMPT_TIMEOUT, DEADLINE).await })
        });
        for request in requests.collect::<Vec<_>>() {
            let reply = request.await.expect("no panic");
            expect_that!(reply.is_ok(), eq(true));
        }
        expect_that!(client.current_address(), eq(leader));
    }
    // No request skipped the leader.
    expect_that!(following.received.load(Ordering::Relaxed), eq(0));
}
