//! The control group forms itself, keeps what it acknowledged through crashes and
//! lost disks, and entry daemons follow it.
#![allow(missing_docs)]

mod deployment;
mod fatal_requests;
mod large_change;
mod restarted_backend;
mod silent_edge;
mod stale_catalog;
mod state_dump;

use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;

use crate::deployment::{Deployment, first_items, heartbeat_of, key_of, one_route};
use crate::silent_edge::SilentEdge;

const SEEDS: [u8; 3] = [1, 2, 3];
const ALL: [u8; 5] = [1, 2, 3, 4, 5];
const EDGE: u8 = 11;
const OTHER_EDGE: u8 = 12;

async fn formed(order: &[u8]) -> Deployment {
    let mut deployment = Deployment::new(&SEEDS);
    for host in order {
        deployment.start_control(*host, true).await;
    }
    deployment.wait_for_voters(order).await;
    deployment
}

/// Deployments of other processes are kept apart by the same sockets.
#[gtest]
fn no_two_deployments_have_a_network_in_common() {
    let first = Deployment::new(&SEEDS);
    let second = Deployment::new(&SEEDS);
    expect_that!(second.ip(EDGE), not(eq(first.ip(EDGE))));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_group_forms_from_seeds_in_any_start_order() {
    for order in [[1, 2, 3, 4, 5], [5, 4, 3, 2, 1], [4, 1, 5, 3, 2]] {
        let deployment = formed(&order).await;
        expect_that!(deployment.patch(&order, &first_items()).await, eq(200));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_is_acknowledged_survives_the_loss_of_two_disks_and_they_rejoin() {
    let mut deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    expect_that!(deployment.patch(&[2], &one_route("b", 4)).await, eq(200));
    deployment.wipe(1).await;
    deployment.wipe(2).await;
    // They come back at their addresses, empty, and nobody helps them.
    deployment.start_control(1, false).await;
    deployment.start_control(2, false).await;
    deployment.wait_for_voters(&ALL).await;
    for host in ALL {
        let items = deployment.read(host).await;
        expect_that!(items.get(&key_of("b")), some(eq(&4)), "at {host}");
    }
    // Two others now: the first two must hold all of it.
    deployment.wipe(3).await;
    deployment.wipe(4).await;
    deployment.start_control(3, false).await;
    deployment.start_control(4, false).await;
    deployment.wait_for_voters(&ALL).await;
    expect_that!(deployment.read(3).await.get(&key_of("b")), some(eq(&4)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_is_acknowledged_survives_the_death_of_all() {
    let mut deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    for host in ALL {
        deployment.stop(host).await;
    }
    for host in [5, 3, 1, 2, 4] {
        deployment.start_control(host, false).await;
    }
    deployment.wait_for_voters(&ALL).await;
    expect_that!(deployment.read(4).await.get(&key_of("a")), some(eq(&1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_minority_acknowledges_nothing() {
    let mut deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    for host in [1, 2, 3] {
        deployment.stop(host).await;
    }
    let body = serde_json::to_string(&one_route("b", 2)).expect("JSON");
    for host in [4, 5] {
        let patched = deployment.try_patch(host, &body).await;
        expect_that!(patched, not(eq(200)));
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        let leaving = heartbeat_of("i", address, 1, InstancePhase::Draining);
        expect_that!(deployment.heartbeat(host, &leaving).await, eq(503));
    }
    for host in [1, 2, 3] {
        deployment.start_control(host, false).await;
    }
    deployment.wait_for_voters(&ALL).await;
    expect_that!(deployment.patch(&[4], &one_route("b", 2)).await, eq(200));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_machine_takes_the_place_of_the_one_that_is_gone() {
    let mut deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.stop(1).await;
    deployment.start_control(6, false).await;
    deployment.wait_for_voters(&[2, 3, 4, 5, 6]).await;
    expect_that!(deployment.read(6).await.get(&key_of("a")), some(eq(&1)));
    // The one that was gone comes back with its disk and is taken in again.
    deployment.start_control(1, false).await;
    deployment.wait_for_voters(&[1, 2, 3, 4, 5, 6]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_daemons_serve_by_the_newest_catalog_and_leave_look_ups_when_they_stop() {
    let mut deployment = formed(&ALL).await;
    deployment.start_edge(EDGE).await;
    deployment.start_edge(OTHER_EDGE).await;
    // Without a catalog nothing is unknown.
    expect_that!(deployment.request(EDGE, "/a/x", "r0").await, eq(503));
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backend = ScriptedBackend::start(vec![], Behaviour::Answer(200)).await;
    let backend = backend.expect("a back end");
    let ready = heartbeat_of("i", backend.address(), 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(5, &ready).await, eq(200));
    for edge in [EDGE, OTHER_EDGE] {
        deployment
            .wait_until("the back end is known", || {
                deployment.phase_at(edge, "i").is_some()
            })
            .await;
        expect_that!(deployment.request(edge, "/a/x", "r1").await, eq(200));
        expect_that!(deployment.request(edge, "/none/x", "r2").await, eq(404));
    }
    // An order to leave that one control process took reaches every daemon.
    let leaving = heartbeat_of("i", backend.address(), 2, InstancePhase::Draining);
    expect_that!(deployment.heartbeat(2, &leaving).await, eq(200));
    for edge in [EDGE, OTHER_EDGE] {
        deployment
            .wait_until("the back end leaves", || {
                deployment.phase_at(edge, "i").as_deref() == Some("Draining")
            })
            .await;
        expect_that!(deployment.request(edge, "/a/x", "r3").await, eq(503));
    }
    let named = deployment.lookup(3).await;
    expect_that!(named, len(eq(2)));
    let stopping = deployment.nodes.remove(&EDGE).expect("it runs");
    let stop = tokio::spawn(async move { stopping.drain_and_stop().await });
    let front = deployment.front(EDGE).to_string();
    for host in ALL {
        let started = std::time::Instant::now();
        while deployment.lookup(host).await.contains(&front) {
            assert!(
                started.elapsed() < deployment::WITHIN,
                "still named at {host}"
            );
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
    stop.await.expect("it stops");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_entry_daemon_catches_up_with_all_that_went_by() {
    let mut deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    deployment
        .wait_until("the daemon follows", || {
            deployment.catalog_version_at(EDGE) > 0
        })
        .await;
    let before = deployment.catalog_version_at(EDGE);
    deployment.stop(EDGE).await;
    for version in 2..120 {
        let status = deployment.patch(&ALL, &one_route("a", version)).await;
        expect_that!(status, eq(200));
    }
    deployment.start_edge(EDGE).await;
    deployment
        .wait_until("the daemon has caught up", || {
            deployment.catalog_version_at(EDGE) >= before + 118
        })
        .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bad_calls_get_a_clear_error_and_change_nothing() {
    let deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    let before = deployment.read(1).await;
    let whole = serde_json::to_string(&one_route("b", 2)).expect("JSON");
    let invalid = whole.replace("\"/b/\"", "\"b/\"");
    for body in [&whole[..whole.len() / 2], invalid.as_str()] {
        expect_that!(deployment.try_patch(2, body).await, eq(400));
    }
    let too_long = " ".repeat(17 * 1024 * 1024);
    expect_that!(
        deployment.try_patch(2, &too_long).await,
        any![eq(400), eq(413), eq(0)]
    );
    expect_that!(deployment.evacuate(3, "nowhere").await, eq(404));
    expect_that!(deployment.read(4).await, eq(&before));
    // Resent, what was acknowledged is acknowledged once more.
    expect_that!(deployment.patch(&[5], &first_items()).await, eq(200));
}

/// Names that a page of metrics tells help for.
fn metric_names(text: &str) -> std::collections::BTreeSet<String> {
    text.lines()
        .filter_map(|line| line.strip_prefix("# HELP "))
        .filter_map(|line| line.split(' ').next())
        .map(str::to_owned)
        .collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_operators_page_lists_the_metrics_that_are_served() {
    let mut deployment = formed(&ALL).await;
    deployment.start_edge(EDGE).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    let mut served = metric_names(&deployment.metrics(1).await);
    // Those by service are shown once the daemon knows a service.
    let mut of_edge = String::new();
    while !of_edge.contains("coursestand_edge_retry_budget") {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        of_edge = deployment.metrics(EDGE).await;
    }
    served.extend(metric_names(&of_edge));
    let page = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operations/METRICS.md"
    );
    let page = std::fs::read_to_string(page).expect("the page");
    let listed: std::collections::BTreeSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .map(str::to_owned)
        .collect();
    expect_that!(listed, eq(&served));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_control_cannot_reach_is_named_while_another_one_reaches_it() {
    let mut deployment = formed(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let silent = SilentEdge::start(SEEDS.map(|host| deployment.internal(host))).await;
    let named = silent.record().address.to_string();
    deployment
        .wait_for_lookup(1, "connected, it is named", |names| names.contains(&named))
        .await;
    silent.fall_silent();
    // First nobody knows of it, then the other daemon has reached it.
    deployment
        .wait_for_lookup(1, "silent, it is not named", |names| {
            !names.contains(&named)
        })
        .await;
    deployment
        .wait_for_lookup(1, "reached by another, it is named", |names| {
            names.contains(&named)
        })
        .await;
    silent.set_ready(false);
    deployment
        .wait_for_lookup(1, "no longer ready, it is not named", |names| {
            !names.contains(&named)
        })
        .await;
}
