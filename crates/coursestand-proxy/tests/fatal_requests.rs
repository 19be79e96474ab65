//! A request that ends each back end which runs it.
//!
//! Requests for one object ended whatever back end ran them: 69 of 46 back ends and their
//! successors in 20 seconds. Each daemon sent each of them on and on, nobody remembered
//! under which requests back ends had ended, and what else ran there was lost with them.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Answer, Caller, Edge, Rules, catalog};
use coursestand_catalog::{Patch, Route, RouteKind};
use coursestand_lab::items;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;

const BACKENDS: usize = 14;
/// Ends of back ends that one such request may cost.
const MOST_ENDS: usize = 6;
const PAUSE: Duration = Duration::from_millis(20);

async fn ask(edge: &Edge, path: &str, id: &str, key: &str) -> Answer {
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send_about(path, id, key).await;
    caller.receive().await
}

fn ended(edge: &Edge) -> usize {
    let backends = edge.backends.iter();
    backends.filter(|backend| backend.has_crashed()).count()
}

async fn edge() -> Edge {
    let script = (vec![], Behaviour::CrashOn("deadly"));
    Edge::start(Rules::default(), vec![script; BACKENDS]).await
}

#[gtest]
#[tokio::test]
async fn a_request_that_ends_its_back_ends_is_sent_to_few_of_them() {
    let edge = edge().await;
    let mut served = 0;
    for number in 0..60 {
        ask(&edge, "/safe/deadly", &format!("d{number}"), "deadly").await;
        let id = format!("r{number}");
        served += usize::from(ask(&edge, "/safe/a", &id, &id).await.status == 200);
        tokio::time::sleep(PAUSE).await;
    }
    expect_that!(ended(&edge), le(MOST_ENDS));
    expect_that!(served, ge(57));
    // It is refused with the promise that it has not run, and told when to come back.
    let refused = ask(&edge, "/safe/deadly", "last", "deadly").await;
    expect_that!(refused.status, eq(503));
    expect_that!(refused.header("retry-after"), some(anything()));
    let arrived: usize = edge
        .backends
        .iter()
        .map(ScriptedBackend::arrival_count)
        .sum();
    ask(&edge, "/safe/deadly", "once more", "deadly").await;
    expect_that!(edge.arrivals(), eq(arrived));
}

/// A change of routes gave the same request another route, and it ended as many back ends
/// again: the route's name was a part of what tells one request from another.
#[gtest]
#[tokio::test]
async fn a_request_that_ends_its_back_ends_is_known_under_a_new_route() {
    const PATH: &str = "/safe/deadly/a";
    let edge = edge().await;
    for number in 0..5 {
        ask(&edge, PATH, &format!("d{number}"), "deadly").await;
        tokio::time::sleep(PAUSE).await;
    }
    let before = ended(&edge);
    expect_that!(before, gt(0));
    let longer = Route {
        path_prefix: "/safe/deadly/".to_owned(),
        ..items::route("longer", "s", RouteKind::Repeatable, 5_000)
    };
    let mut catalog = catalog(Rules::default());
    let patch = Patch {
        upserts: vec![items::route_item("longer", 2, longer)],
        removals: Vec::new(),
    };
    catalog.merge(&patch, 2).expect("valid");
    expect_that!(edge.state.adopt_catalog(catalog.delta(1)), eq(true));
    for number in 5..10 {
        ask(&edge, PATH, &format!("d{number}"), "deadly").await;
        tokio::time::sleep(PAUSE).await;
    }
    let status = ask(&edge, "/safe/a", "r", "r").await.status;
    expect_that!(status, eq(200));
    expect_that!(ended(&edge), eq(before));
}
