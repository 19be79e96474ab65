//! A request that crashes each back end that runs it.
//!
//! Guards against daemons that send such a request to one back end after another. Without
//! crash records, requests for one object crash all back ends and their restarted processes
//! within 20 seconds, and the other requests in flight there are lost.
#![allow(missing_docs)]

mod common;

use std::time::Duration;

use common::{Answer, Caller, Edge, RouteSettings, catalog};
use coursestand_catalog::{Patch, Route, RouteKind};
use coursestand_lab::items;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;

const BACKENDS: usize = 14;
/// Maximum number of back ends that a fatal request may crash.
const MAX_CRASHES: usize = 6;
const PAUSE: Duration = Duration::from_millis(20);

async fn request(edge: &Edge, path: &str, id: &str, key: &str) -> Answer {
    let mut caller = Caller::connect(edge.server.address()).await;
    caller.send_for_object(path, id, key).await;
    caller.receive().await
}

fn crashed_count(edge: &Edge) -> usize {
    let backends = edge.backends.iter();
    backends.filter(|backend| backend.has_crashed()).count()
}

async fn edge() -> Edge {
    let script = (vec![], Behaviour::CrashOn("deadly"));
    Edge::start(RouteSettings::default(), vec![script; BACKENDS]).await
}

#[gtest]
#[tokio::test]
async fn a_fatal_request_is_sent_to_few_back_ends() {
    let edge = edge().await;
    let mut served = 0;
    for number in 0..60 {
        request(&edge, "/safe/deadly", &format!("d{number}"), "deadly").await;
        let id = format!("r{number}");
        served += usize::from(request(&edge, "/safe/a", &id, &id).await.status == 200);
        tokio::time::sleep(PAUSE).await;
    }
    expect_that!(crashed_count(&edge), le(MAX_CRASHES));
    expect_that!(served, ge(57));
    // It is refused with a status that guarantees that it was not run, and a retry time.
    let refused = request(&edge, "/safe/deadly", "last", "deadly").await;
    expect_that!(refused.status, eq(503));
    expect_that!(refused.header("retry-after"), some(anything()));
    let before: usize = edge
        .backends
        .iter()
        .map(ScriptedBackend::arrival_count)
        .sum();
    request(&edge, "/safe/deadly", "once more", "deadly").await;
    expect_that!(edge.arrival_count(), eq(before));
}

/// Guards against a request fingerprint that contains the name of the route: a request that
/// gets another route by a change of the catalog would crash as many back ends again.
#[gtest]
#[tokio::test]
async fn a_fatal_request_is_recognized_under_a_new_route() {
    const PATH: &str = "/safe/deadly/a";
    let edge = edge().await;
    for number in 0..5 {
        request(&edge, PATH, &format!("d{number}"), "deadly").await;
        tokio::time::sleep(PAUSE).await;
    }
    let before = crashed_count(&edge);
    expect_that!(before, gt(0));
    let longer = Route {
        path_prefix: "/safe/deadly/".to_owned(),
        ..items::route("longer", "s", RouteKind::Repeatable, 5_000)
    };
    let mut catalog = catalog(RouteSettings::default());
    let patch = Patch {
        upserts: vec![items::route_item("longer", 2, longer)],
        removals: Vec::new(),
    };
    catalog.merge(&patch, 2).expect("valid");
    let adopted = edge.state.adopt_catalog(catalog.delta(1));
    expect_that!(adopted.is_empty(), eq(false));
    for number in 5..10 {
        request(&edge, PATH, &format!("d{number}"), "deadly").await;
        tokio::time::sleep(PAUSE).await;
    }
    let status = request(&edge, "/safe/a", "r", "r").await.status;
    expect_that!(status, eq(200));
    expect_that!(crashed_count(&edge), eq(before));
}

/// Longer than the time for which a request is suspect after one crash.
const AFTER_SUSPICION: Duration = Duration::from_millis(1_300);

/// Guards against a daemon without control that crashes another back end with a request of which
/// it has a crash record, since it does not hear of the crashes that others observe.
#[gtest]
#[tokio::test]
async fn a_disconnected_daemon_withholds_a_request_with_a_crash_record() {
    let settings = RouteSettings {
        max_attempts: 1,
        ..RouteSettings::default()
    };
    let script = (vec![], Behaviour::CrashOn("deadly"));
    let edge = Edge::start(settings, vec![script; BACKENDS]).await;
    request(&edge, "/safe/deadly", "first", "deadly").await;
    edge.state.set_following(false);
    tokio::time::sleep(AFTER_SUSPICION).await;
    let withheld = request(&edge, "/safe/deadly", "second", "deadly").await;
    expect_that!(withheld.status, eq(503));
    expect_that!(crashed_count(&edge), eq(1));
}

/// Guards against a daemon without control that repeats a request at a second back end, although
/// others may have observed crashes already.
#[gtest]
#[tokio::test]
async fn a_disconnected_daemon_does_not_repeat_a_request_after_a_broken_connection() {
    let edge = edge().await;
    edge.state.set_following(false);
    let answer = request(&edge, "/safe/deadly", "first", "deadly").await;
    expect_that!(answer.status, eq(502));
    expect_that!(crashed_count(&edge), eq(1));
}
