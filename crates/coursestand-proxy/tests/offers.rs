//! What the statuses of this daemon's own answers say: 502 and 504 only for a request
//! that a back end was offered, 503 only for one that no back end ran, and an answer to
//! every request that was read, also to one whose body is still on its way.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Answer, Caller, Edge, PROMISES, Rules, empty_state, news, server_of};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::router::Router;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const GOOD: Behaviour = Behaviour::Answer(200);
const CASES: u64 = 150;
/// More than what is held of a body.
const LONG: usize = 1_500_000;

fn behaviours() -> Vec<Behaviour> {
    vec![
        GOOD,
        GOOD,
        Behaviour::Answer(500),
        Behaviour::Shed,
        Behaviour::Shed,
        Behaviour::ShedWithLoad("0,0,4"),
        Behaviour::Misdirected,
        Behaviour::UnprovenRefusal,
        Behaviour::CloseWithoutAnswer,
        Behaviour::NeverAnswer,
        Behaviour::TruncatedAnswer,
        Behaviour::TruncatedChunks,
        Behaviour::Garbage,
        Behaviour::WrongId,
        Behaviour::Unsigned,
        Behaviour::DuplicateAnswer,
    ]
}

/// An address at which nobody listens.
fn dead_address() -> SocketAddr {
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    port.local_addr().expect("an address")
}

struct Case {
    rules: Rules,
    scripts: Vec<(Vec<Behaviour>, Behaviour)>,
    dead: usize,
    path: &'static str,
    body: usize,
}

fn draw(seed: u64) -> Case {
    let mut random = StdRng::seed_from_u64(seed);
    let all = behaviours();
    let mut one = || all[random.random_range(0..all.len())].clone();
    let mut scripts = vec![
        (vec![one(), one()], one()),
        (vec![one(), one()], one()),
        (vec![one(), one()], one()),
    ];
    scripts.truncate(random.random_range(0..=3));
    Case {
        rules: Rules {
            max_attempts: random.random_range(1..=4),
            timeout_ms: 300,
            ..Rules::default()
        },
        scripts,
        dead: random.random_range(0..=4),
        path: ["/safe/a", "/once/a"][random.random_range(0..2)],
        body: [0, 100, LONG][random.random_range(0..3)],
    }
}

#[gtest]
#[tokio::test]
async fn own_answers_say_what_became_of_the_request() {
    for seed in 0..CASES {
        let case = draw(seed);
        let told = format!("seed {seed}: {:?} to {}", case.scripts, case.path);
        let edge = Edge::start(case.rules, case.scripts).await;
        for number in 0..case.dead {
            let ready = news(10 + number, dead_address(), InstancePhase::Ready);
            edge.state.adopt_instances(vec![ready]);
        }
        let mut caller = Caller::connect(edge.server.address()).await;
        caller
            .send(case.path, "r", "", &vec![b'x'; case.body])
            .await;
        let answer = caller.receive().await;
        let runs = edge.runs_of("r");
        expect_that!(answer.status, ne(0), "{told}");
        if PROMISES.contains(&answer.status) {
            expect_that!(runs, eq(0), "{told}");
        }
        if matches!(answer.status, 502 | 504) {
            expect_that!(edge.arrivals(), ge(1), "{told}");
        }
        if case.path == "/once/a" {
            expect_that!(runs, le(1), "{told}");
        }
        expect_that!(edge.arrivals(), le(case.rules.max_attempts as usize));
    }
}

#[gtest]
#[tokio::test]
async fn a_long_body_goes_elsewhere_when_no_connection_is_made() {
    for number in 0..8 {
        let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
        edge.state
            .adopt_instances(vec![news(7, dead_address(), InstancePhase::Ready)]);
        let id = format!("r{number}");
        let mut caller = Caller::connect(edge.server.address()).await;
        caller.send("/once/a", &id, "", &vec![b'x'; LONG]).await;
        expect_that!(caller.receive().await.status, eq(200));
        expect_that!(edge.runs_of(&id), eq(1));
    }
}

/// Parts in which a caller sends its body.
const PARTS: usize = 5;

/// A caller that reads its answer once it has sent its whole body; none if the daemon
/// closed before.
async fn send_slowly(address: SocketAddr, path: &str, length: usize) -> Option<Answer> {
    let mut caller = Caller::connect(address).await;
    caller.send_part(path, "r", length, length / PARTS).await;
    for _ in 1..PARTS {
        tokio::time::sleep(Duration::from_millis(30)).await;
        if !caller.send_rest(length / PARTS).await {
            return None;
        }
    }
    Some(caller.receive().await)
}

#[gtest]
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_still_sends_its_body() {
    let state = empty_state(Rules::default());
    let (_, without_catalog) = server_of(Arc::new(Router::new(state))).await;
    let edge = Edge::start(Rules::default(), vec![(vec![], GOOD)]).await;
    for length in [10_000, 400_000, 900_000] {
        let answer = send_slowly(without_catalog.address(), "/once/a", length).await;
        let status = answer.map(|answer| answer.status);
        expect_that!(status, some(eq(503)), "{length} bytes");
        let answer = send_slowly(edge.server.address(), "/nowhere/a", length).await;
        let status = answer.map(|answer| answer.status);
        expect_that!(status, some(eq(404)), "{length} bytes");
    }
}
