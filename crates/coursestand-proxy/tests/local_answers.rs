//! Statuses of the daemon's local answers: 502 and 504 only for a request that was sent to a
//! back end, 503 only for one that no back end ran, and an answer to every request that was
//! read, also while its body is still arriving.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{
    Answer, Caller, Edge, NOT_RUN_STATUSES, RouteSettings, empty_state, instance_update,
    start_server,
};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::Behaviour;
use coursestand_proxy::router::Router;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const GOOD: Behaviour = Behaviour::Answer(200);
const SEEDS: u64 = 150;
/// More than the buffer for request bodies.
const LONG_BODY: usize = 1_500_000;

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

/// Returns an address at which nothing listens.
fn dead_address() -> SocketAddr {
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    port.local_addr().expect("an address")
}

struct Scenario {
    settings: RouteSettings,
    scripts: Vec<(Vec<Behaviour>, Behaviour)>,
    dead_backends: usize,
    path: &'static str,
    body: usize,
}

fn random_scenario(seed: u64) -> Scenario {
    let mut random = StdRng::seed_from_u64(seed);
    let all = behaviours();
    let mut behaviour = || all[random.random_range(0..all.len())].clone();
    let mut scripts = vec![
        (vec![behaviour(), behaviour()], behaviour()),
        (vec![behaviour(), behaviour()], behaviour()),
        (vec![behaviour(), behaviour()], behaviour()),
    ];
    scripts.truncate(random.random_range(0..=3));
    Scenario {
        settings: RouteSettings {
            max_attempts: random.random_range(1..=4),
            timeout_ms: 300,
            ..RouteSettings::default()
        },
        scripts,
        dead_backends: random.random_range(0..=4),
        path: ["/safe/a", "/once/a"][random.random_range(0..2)],
        body: [0, 100, LONG_BODY][random.random_range(0..3)],
    }
}

#[gtest]
#[tokio::test]
async fn local_answers_state_whether_the_request_may_have_run() {
    for seed in 0..SEEDS {
        let scenario = random_scenario(seed);
        let description = format!("seed {seed}: {:?} to {}", scenario.scripts, scenario.path);
        let edge = Edge::start(scenario.settings, scenario.scripts).await;
        for number in 0..scenario.dead_backends {
            let ready = instance_update(10 + number, dead_address(), InstancePhase::Ready);
            edge.state.adopt_instances(vec![ready]);
        }
        let mut caller = Caller::connect(edge.server.address()).await;
        caller
            .send(scenario.path, "r", "", &vec![b'x'; scenario.body])
            .await;
        let answer = caller.receive().await;
        let runs = edge.runs_of("r");
        expect_that!(answer.status, ne(0), "{description}");
        if NOT_RUN_STATUSES.contains(&answer.status) {
            expect_that!(runs, eq(0), "{description}");
        }
        if matches!(answer.status, 502 | 504) {
            expect_that!(edge.arrival_count(), ge(1), "{description}");
        }
        if scenario.path == "/once/a" {
            expect_that!(runs, le(1), "{description}");
        }
        expect_that!(
            edge.arrival_count(),
            le(scenario.settings.max_attempts as usize)
        );
    }
}

#[gtest]
#[tokio::test]
async fn a_long_body_is_sent_to_another_back_end_when_connecting_fails() {
    for number in 0..8 {
        let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
        edge.state.adopt_instances(vec![instance_update(
            7,
            dead_address(),
            InstancePhase::Ready,
        )]);
        let id = format!("r{number}");
        let mut caller = Caller::connect(edge.server.address()).await;
        caller
            .send("/once/a", &id, "", &vec![b'x'; LONG_BODY])
            .await;
        expect_that!(caller.receive().await.status, eq(200));
        expect_that!(edge.runs_of(&id), eq(1));
    }
}

/// Number of parts in which a caller sends its body.
const PARTS: usize = 5;

/// Sends a body in parts and reads the answer after the last one. Returns `None` if the
/// daemon closes the connection earlier.
async fn send_slowly(address: SocketAddr, path: &str, length: usize) -> Option<Answer> {
    let mut caller = Caller::connect(address).await;
    caller
        .send_partial_body(path, "r", length, length / PARTS)
        .await;
    for _ in 1..PARTS {
        tokio::time::sleep(Duration::from_millis(30)).await;
        if !caller.send_more_body(length / PARTS).await {
            return None;
        }
    }
    Some(caller.receive().await)
}

#[gtest]
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_is_still_sending_its_body() {
    let state = empty_state(RouteSettings::default());
    let (_, without_catalog) = start_server(Arc::new(Router::new(state))).await;
    let edge = Edge::start(RouteSettings::default(), vec![(vec![], GOOD)]).await;
    for length in [10_000, 400_000, 900_000] {
        let answer = send_slowly(without_catalog.address(), "/once/a", length).await;
        let status = answer.map(|answer| answer.status);
        expect_that!(status, some(eq(503)), "{length} bytes");
        let answer = send_slowly(edge.server.address(), "/nowhere/a", length).await;
        let status = answer.map(|answer| answer.status);
        expect_that!(status, some(eq(404)), "{length} bytes");
    }
}
