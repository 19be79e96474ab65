//! A daemon behind a narrow link, under four times the load that the link carries: it
//! goes on answering in time what fits beside the requests that come, and refuses the
//! rest at once with the promise that it was not run. Where all requests are admitted,
//! they wait in the link's queue, and nearly none is answered in time.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::narrow_link::NarrowLink;
use common::{Answer, Caller, Edge, Rules, news};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;
use tokio::time::Instant;

/// 2 Mbit/s.
const LINK_MBPS: f64 = 2.0;
const LINK_BYTES: f64 = 250_000.0;
const ANSWER_BYTES: usize = 3_000;
/// With its head a request and its answer take about 3,400 bytes in each direction.
const CARRIED_PER_SECOND: usize = 70;
const BACKENDS: usize = 24;
const IN_TIME: Duration = Duration::from_millis(400);
const SECONDS: usize = 4;

struct Emulated {
    edge: Edge,
    front: SocketAddr,
    backends: Vec<ScriptedBackend>,
}

async fn emulated() -> Emulated {
    let rules = Rules {
        timeout_ms: 2_000,
        objective_ms: IN_TIME.as_millis() as u64,
        ..Rules::default()
    };
    let edge = Edge::start(rules, vec![]).await;
    edge.exchange.gate().set_speed(LINK_MBPS);
    let link = NarrowLink::new(LINK_BYTES);
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let backend = ScriptedBackend::start(vec![], Behaviour::AnswerOfSize(ANSWER_BYTES));
        let backend = backend.await.expect("a back end");
        let address = link.behind(backend.address()).await;
        edge.state
            .adopt_instances(vec![news(number, address, InstancePhase::Ready)]);
        backends.push(backend);
    }
    let front = link.in_front_of(edge.server.address()).await;
    Emulated {
        edge,
        front,
        backends,
    }
}

struct Asked {
    id: String,
    answer: Answer,
    took: Duration,
}

async fn ask(front: SocketAddr, number: usize) -> Asked {
    let id = format!("r{number}");
    let started = Instant::now();
    let mut caller = Caller::connect(front).await;
    let object = format!("object-{}", number % 200);
    caller.send_keyed("/safe/a", &id, &object, "", b"").await;
    Asked {
        answer: caller.receive().await,
        took: started.elapsed(),
        id,
    }
}

/// Asks so often a second, each time on a connection of its own, whatever was answered.
async fn offer(front: SocketAddr, per_second: usize) -> Vec<Asked> {
    let started = Instant::now();
    let mut asking = Vec::new();
    for number in 0..per_second * SECONDS {
        let due = Duration::from_secs_f64(number as f64 / per_second as f64);
        tokio::time::sleep_until(started + due).await;
        asking.push(tokio::spawn(ask(front, number)));
    }
    let mut asked = Vec::new();
    for one in asking {
        asked.push(one.await.expect("no panic"));
    }
    asked
}

fn in_time(asked: &[Asked]) -> usize {
    let is_in_time = |one: &&Asked| one.answer.status == 200 && one.took <= IN_TIME;
    asked.iter().filter(is_in_time).count()
}

#[gtest]
#[tokio::test]
async fn goodput_holds_when_the_load_grows_past_the_link() {
    let quiet = emulated().await;
    let asked = offer(quiet.front, CARRIED_PER_SECOND / 2).await;
    expect_that!(in_time(&asked) * 100, ge(asked.len() * 95));
    drop(quiet);
    let crowded = emulated().await;
    let asked = offer(crowded.front, 4 * CARRIED_PER_SECOND).await;
    // Requests and connections take half of the link, as they are counted; 40 answers a
    // second fit into the rest. Three in five of them leave room for a busy machine.
    expect_that!(in_time(&asked), ge(25 * SECONDS));
    let refused: Vec<&Asked> = asked
        .iter()
        .filter(|one| one.answer.status == 503)
        .collect();
    let at_once = refused.iter().filter(|one| one.took <= IN_TIME).count();
    expect_that!(at_once * 100, ge(refused.len() * 95));
    for one in refused {
        expect_that!(one.answer.header("retry-after"), some(anything()));
        let has_run = crowded
            .backends
            .iter()
            .any(|backend| backend.runs().iter().any(|run| run.id == one.id));
        expect_that!(has_run, eq(false), "{}", one.id);
    }
    expect_that!(crowded.edge.exchange.metrics().in_flight.get(), eq(0));
}

/// A request is refused before its body is read, also when that comes later.
#[gtest]
#[tokio::test]
async fn a_refusal_does_not_wait_for_the_body() {
    let edge = Edge::start(Rules::default(), vec![(vec![], Behaviour::Answer(200))]).await;
    // A bit a second: one request fills it.
    edge.exchange.gate().set_speed(1e-6);
    let mut statuses = Vec::new();
    for number in 0..20 {
        let mut caller = Caller::connect(edge.server.address()).await;
        let headers = "content-length: 100000\r\n";
        let path = "/safe/a";
        caller
            .send(path, &format!("r{number}"), headers, b"begins")
            .await;
        let answer = tokio::time::timeout(Duration::from_millis(200), caller.receive()).await;
        statuses.push(answer.map_or(0, |answer| answer.status));
    }
    expect_that!(statuses.last(), some(eq(&503)));
    expect_that!(edge.arrivals(), eq(0));
}
