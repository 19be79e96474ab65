//! The control group forms without an operator and keeps acknowledged changes through crashes
//! and lost disks; entry daemons receive its state.
#![allow(missing_docs)]

mod control_stop;
mod departures;
mod deployment;
mod edge_stop;
mod evacuations;
mod fatal_requests;
mod large_bodies;
mod large_change;
mod lost_reports;
#[path = "../soak/relay.rs"]
#[allow(dead_code)]
mod relay;
mod reset_connections;
mod restarted_backend;
mod restarted_control;
mod silent_control;
mod silent_edge;
mod stale_catalog;
mod state_dump;
mod unknown_peers;

use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;

use crate::deployment::{Deployment, first_items, heartbeat_of, key_of, one_route};
use crate::silent_edge::SilentEdge;

const SEEDS: [u8; 3] = [1, 2, 3];
const ALL_CONTROLS: [u8; 5] = [1, 2, 3, 4, 5];
const EDGE: u8 = 11;
const OTHER_EDGE: u8 = 12;

/// Starts the control processes in this order and waits until all are voters.
async fn form_group(order: &[u8]) -> Deployment {
    let mut deployment = Deployment::new(&SEEDS);
    for host in order {
        deployment.start_control(*host, true).await;
    }
    deployment.wait_for_voters(order).await;
    deployment
}

/// Guards against address conflicts of concurrent deployments. The same sockets separate
/// deployments of other processes.
#[gtest]
fn no_two_deployments_share_a_network() {
    let first = Deployment::new(&SEEDS);
    let second = Deployment::new(&SEEDS);
    expect_that!(second.ip(EDGE), not(eq(first.ip(EDGE))));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_group_forms_from_seeds_in_any_start_order() {
    for order in [[1, 2, 3, 4, 5], [5, 4, 3, 2, 1], [4, 1, 5, 3, 2]] {
        let deployment = form_group(&order).await;
        expect_that!(deployment.patch(&order, &first_items()).await, eq(200));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_survive_the_loss_of_two_disks_and_the_replicas_rejoin() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    expect_that!(deployment.patch(&[2], &one_route("b", 4)).await, eq(200));
    deployment.wipe(1).await;
    deployment.wipe(2).await;
    // They restart at their addresses without data, and without help of an operator.
    deployment.start_control(1, false).await;
    deployment.start_control(2, false).await;
    deployment.wait_for_voters(&ALL_CONTROLS).await;
    for host in ALL_CONTROLS {
        let items = deployment.read(host).await;
        expect_that!(items.get(&key_of("b")), some(eq(&4)), "at {host}");
    }
    // The first two must hold all changes, since two others lose their data.
    deployment.wipe(3).await;
    deployment.wipe(4).await;
    deployment.start_control(3, false).await;
    deployment.start_control(4, false).await;
    deployment.wait_for_voters(&ALL_CONTROLS).await;
    expect_that!(deployment.read(3).await.get(&key_of("b")), some(eq(&4)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_changes_survive_a_crash_of_all_replicas() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    for host in ALL_CONTROLS {
        deployment.stop(host).await;
    }
    for host in [5, 3, 1, 2, 4] {
        deployment.start_control(host, false).await;
    }
    deployment.wait_for_voters(&ALL_CONTROLS).await;
    expect_that!(deployment.read(4).await.get(&key_of("a")), some(eq(&1)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_minority_acknowledges_nothing() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    for host in [1, 2, 3] {
        deployment.stop(host).await;
    }
    let body = serde_json::to_string(&one_route("b", 2)).expect("JSON");
    for host in [4, 5] {
        let status = deployment.try_patch(host, &body).await;
        expect_that!(status, not(eq(200)));
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        let leaving = heartbeat_of("i", address, 1, InstancePhase::Draining);
        expect_that!(deployment.heartbeat(host, &leaving).await, eq(503));
    }
    for host in [1, 2, 3] {
        deployment.start_control(host, false).await;
    }
    deployment.wait_for_voters(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[4], &one_route("b", 2)).await, eq(200));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_machine_replaces_a_failed_member() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.stop(1).await;
    deployment.start_control(6, false).await;
    deployment.wait_for_voters(&[2, 3, 4, 5, 6]).await;
    expect_that!(deployment.read(6).await.get(&key_of("a")), some(eq(&1)));
    // The failed member returns with its data and joins again.
    deployment.start_control(1, false).await;
    deployment.wait_for_voters(&[1, 2, 3, 4, 5, 6]).await;
}

/// Guards against a group without a leader for good: a replaced process that has stopped as planned
/// still counts as a voter when two others lose their disks.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_replacement_does_not_reduce_the_number_of_disks_that_may_be_lost() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_control(6, false).await;
    deployment.wait_for_voters(&[1, 2, 3, 4, 5, 6]).await;
    let replaced = deployment.nodes.remove(&5).expect("the process runs");
    replaced.drain_and_stop().await;
    expect_that!(deployment.patch(&[1], &one_route("b", 4)).await, eq(200));
    let leader = deployment.leader().expect("a leader");
    let other = if leader == 2 { 3 } else { 2 };
    for host in [leader, other] {
        deployment.wipe(host).await;
    }
    for host in [leader, other] {
        deployment.start_control(host, false).await;
    }
    deployment.wait_for_voters(&[1, 2, 3, 4, 6]).await;
    expect_that!(deployment.read(6).await.get(&key_of("b")), some(eq(&4)));
}

/// Guards against a group that gives up replicas which it needs: without voters to spare, one that
/// stops as planned remains a member and returns with its data.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_stops_as_planned_remains_a_voter_if_there_is_none_to_spare() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    let stopping = deployment.nodes.remove(&5).expect("the process runs");
    stopping.drain_and_stop().await;
    expect_that!(deployment.voters(1), len(eq(ALL_CONTROLS.len())));
    deployment.start_control(5, false).await;
    deployment.wait_for_voters(&ALL_CONTROLS).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_daemons_route_by_the_newest_catalog_and_leave_look_ups_when_they_stop() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    deployment.start_edge(EDGE).await;
    deployment.start_edge(OTHER_EDGE).await;
    // Without a catalog the daemon can't tell that a route is missing.
    expect_that!(deployment.request(EDGE, "/a/x", "r0").await, eq(503));
    expect_that!(deployment.patch(&[4], &first_items()).await, eq(200));
    let backend = ScriptedBackend::start(vec![], Behaviour::Answer(200)).await;
    let backend = backend.expect("a back end");
    let ready = heartbeat_of("i", backend.address(), 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(5, &ready).await, eq(200));
    for edge in [EDGE, OTHER_EDGE] {
        deployment
            .wait_until("the daemon has the back end", || {
                deployment.phase_at(edge, "i").is_some()
            })
            .await;
        expect_that!(deployment.request(edge, "/a/x", "r1").await, eq(200));
        expect_that!(deployment.request(edge, "/none/x", "r2").await, eq(404));
    }
    // The draining phase that one control process acknowledged reaches every daemon.
    let leaving = heartbeat_of("i", backend.address(), 2, InstancePhase::Draining);
    expect_that!(deployment.heartbeat(2, &leaving).await, eq(200));
    for edge in [EDGE, OTHER_EDGE] {
        deployment
            .wait_until("the back end is draining", || {
                deployment.phase_at(edge, "i").as_deref() == Some("Draining")
            })
            .await;
        expect_that!(deployment.request(edge, "/a/x", "r3").await, eq(503));
    }
    let addresses = deployment.lookup(3).await;
    expect_that!(addresses, len(eq(2)));
    let stopping = deployment.nodes.remove(&EDGE).expect("the daemon runs");
    let stop = tokio::spawn(async move { stopping.drain_and_stop().await });
    let front = deployment.front(EDGE).to_string();
    for host in ALL_CONTROLS {
        let started = std::time::Instant::now();
        while deployment.lookup(host).await.contains(&front) {
            assert!(
                started.elapsed() < deployment::TEST_TIMEOUT,
                "still in the look-ups of {host}"
            );
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
    stop.await.expect("the daemon stops");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_entry_daemon_receives_all_missed_changes() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    deployment
        .wait_until("the daemon has a catalog", || {
            deployment.catalog_version_at(EDGE) > 0
        })
        .await;
    let before = deployment.catalog_version_at(EDGE);
    deployment.stop(EDGE).await;
    for version in 2..120 {
        let status = deployment
            .patch(&ALL_CONTROLS, &one_route("a", version))
            .await;
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
async fn invalid_calls_get_an_error_status_and_change_nothing() {
    let deployment = form_group(&ALL_CONTROLS).await;
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
    // A change that is sent again is acknowledged again.
    expect_that!(deployment.patch(&[5], &first_items()).await, eq(200));
}

/// Returns the names of the metrics that have a `# HELP` line.
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
    let mut deployment = form_group(&ALL_CONTROLS).await;
    deployment.start_edge(EDGE).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    let mut served = metric_names(&deployment.metrics(1).await);
    // Metrics with a label for the service appear once the daemon has a service.
    let mut edge_metrics = String::new();
    while !edge_metrics.contains("coursestand_edge_retry_budget") {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        edge_metrics = deployment.metrics(EDGE).await;
    }
    served.extend(metric_names(&edge_metrics));
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
async fn a_daemon_that_control_cannot_reach_stays_in_look_ups_while_another_daemon_reaches_it() {
    let mut deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let silent = SilentEdge::start(SEEDS.map(|host| deployment.internal(host))).await;
    let address = silent.record().address.to_string();
    deployment
        .wait_for_lookup(1, "a connected daemon is in look-ups", |addresses| {
            addresses.contains(&address)
        })
        .await;
    // Else a probe may reach it before a look-up shows that it was left out.
    silent.set_ready(false);
    silent.fall_silent();
    // It leaves the look-ups, and returns once the other daemon has reached it.
    deployment
        .wait_for_lookup(1, "a silent daemon is not in look-ups", |addresses| {
            !addresses.contains(&address)
        })
        .await;
    silent.set_ready(true);
    deployment
        .wait_for_lookup(
            1,
            "a daemon reached by another is in look-ups",
            |addresses| addresses.contains(&address),
        )
        .await;
    silent.set_ready(false);
    deployment
        .wait_for_lookup(
            1,
            "a daemon that is not ready is not in look-ups",
            |addresses| !addresses.contains(&address),
        )
        .await;
}

/// Guards against a daemon that stays in look-ups because another process answers at its address:
/// any answer counted as its own.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_at_whose_address_another_process_answers_leaves_the_look_ups() {
    let mut deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let silent = SilentEdge::start(SEEDS.map(|host| deployment.internal(host))).await;
    let incarnation = silent.record().incarnation;
    let address = silent.record().address.to_string();
    let is_named = |addresses: &[String]| addresses.contains(&address);
    deployment
        .wait_for_lookup(1, "a connected daemon is in look-ups", is_named)
        .await;
    silent.tell_incarnation(incarnation);
    // Else a probe may reach it before a look-up shows that it was left out.
    silent.set_ready(false);
    silent.fall_silent();
    deployment
        .wait_for_lookup(1, "a silent daemon is not in look-ups", |addresses| {
            !is_named(addresses)
        })
        .await;
    silent.set_ready(true);
    deployment
        .wait_for_lookup(1, "the same run is reached by another daemon", is_named)
        .await;
    silent.tell_incarnation(incarnation + 1);
    deployment
        .wait_for_lookup(1, "another process answers", |addresses| {
            !is_named(addresses)
        })
        .await;
}
