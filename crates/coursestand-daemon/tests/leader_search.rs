//! A daemon finds the leader past a replica that is gone, however many of its
//! requests are under way.
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

const ATTEMPT: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(10);

/// A replica that leads.
struct Leading;

impl Handler<ControlRequest, ControlReply> for Leading {
    async fn handle(&self, _: ControlRequest) -> ControlReply {
        ControlReply::Done
    }
}

/// A replica that does not know who leads; counts who asks it.
#[derive(Default)]
struct Following {
    asked: AtomicUsize,
}

impl Handler<ControlRequest, ControlReply> for Following {
    async fn handle(&self, _: ControlRequest) -> ControlReply {
        self.asked.fetch_add(1, Ordering::Relaxed);
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
async fn many_requests_at_once_do_not_skip_the_leader_together() {
    // Nobody listens at the first address; the leader is the second.
    let (gone, leader, other) = (free_address(), free_address(), free_address());
    let _leading = Server::start(leader, 16, Arc::new(Leading)).expect("listens");
    let following = Arc::new(Following::default());
    let _following = Server::start(other, 16, Arc::clone(&following)).expect("listens");
    // As many as there are replicas: when each goes on by one for itself, all
    // together come back to the replica that is gone, and later requests begin
    // there again.
    let client = Arc::new(ControlClient::new(&[gone, leader, other]).expect("a client"));
    for _ in 0..3 {
        let asking = (0..3).map(|_| {
            let client = Arc::clone(&client);
            tokio::spawn(async move { client.send(&request(), ATTEMPT, DEADLINE).await })
        });
        for asked in asking.collect::<Vec<_>>() {
            let reply = asked.await.expect("no panic");
            expect_that!(reply.is_ok(), eq(true));
        }
        expect_that!(client.current_address(), eq(leader));
    }
    // Nobody passed the leader by.
    expect_that!(following.asked.load(Ordering::Relaxed), eq(0));
}
