//! Requests late in the planned stop of an entry daemon, while it still accepts connections.

use std::time::Duration;

use coursestand_catalog::{Patch, RouteKind};
use coursestand_discovery::InstancePhase;
use coursestand_lab::items;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::Span;
use googletest::prelude::*;
use tokio::time::sleep;

use crate::deployment::heartbeat_of;
use crate::{ALL_CONTROLS, EDGE, form_group};

const STOP_MS: u64 = 6_000;
/// Before the daemon stops to accept connections, and less than the time-out before its end.
const LATE: Duration = Duration::from_millis(3_000);
const ROUTE_TIMEOUT_MS: u64 = 4_000;
/// Not over at the end of the stop if it begins late.
const WORK: Duration = Duration::from_millis(2_900);

/// Guards against a daemon that passes on a request late in its planned stop, and cuts it at the end
/// of the stop while a back end works on it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_passes_on_no_request_that_it_may_have_to_cut() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    let route = items::route("a", "s", RouteKind::Once, ROUTE_TIMEOUT_MS);
    let patch = Patch {
        upserts: vec![
            items::service("s"),
            items::limits(),
            items::route_item("a", 1, route),
        ],
        removals: Vec::new(),
    };
    expect_that!(deployment.patch(&[1], &patch).await, eq(200));
    let mut settings = deployment.edge_settings(EDGE);
    settings.bounds.stop = Span(STOP_MS);
    deployment.start(EDGE, settings).await;
    let backend = ScriptedBackend::start(vec![], Behaviour::Slow(WORK)).await;
    let backend = backend.expect("a back end");
    let ready = heartbeat_of("i", backend.address(), 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(1, &ready).await, eq(200));
    deployment
        .wait_until("the daemon has the back end and the route", || {
            deployment.phase_at(EDGE, "i").is_some() && deployment.catalog_version_at(EDGE) > 0
        })
        .await;
    let stopping = deployment.nodes.remove(&EDGE).expect("the daemon runs");
    let stop = tokio::spawn(async move { stopping.drain_and_stop().await });
    sleep(LATE).await;
    expect_that!(deployment.request(EDGE, "/a/x", "late").await, eq(503));
    expect_that!(backend.arrival_count(), eq(0));
    stop.await.expect("the daemon stops");
}
