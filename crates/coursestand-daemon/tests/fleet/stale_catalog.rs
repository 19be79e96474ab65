//! The control side of entry daemons that route by an old catalog. Guards against control
//! sending all back ends before the catalog on a new connection, and against closing the
//! connection of a daemon whose pings are late on a full link, which then starts over.

use std::time::Duration;

use coursestand_daemon::fleet::wire::{ToControl, ToEdge, TrailingFlag};
use coursestand_discovery::{EdgePhase, EdgeRecord, InstancePhase};
use coursestand_model::{RegionId, ZoneId};
use coursestand_transport::stream::{self, Receiver, Sender};
use googletest::prelude::*;
use tokio::time::Instant;

use crate::deployment::{Deployment, first_items, heartbeat_of};
use crate::{SEEDS, form_group};

/// Time between two pings, long enough for control to consider the daemon unreachable.
const PING_PAUSE: Duration = Duration::from_millis(4_500);

/// Connects with a control process as an entry daemon.
async fn connect_as_edge(
    deployment: &Deployment,
    host: u8,
) -> (Receiver<ToEdge>, Sender<ToControl>) {
    let (receiver, mut sender) = stream::connect(deployment.internal(host))
        .await
        .expect("a connection");
    let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let record = EdgeRecord {
        name: "late".to_owned(),
        incarnation: 1,
        address: unused_address,
        admin_address: unused_address,
        zone: ZoneId::from("z-1"),
        region: RegionId::from("z"),
        phase: EdgePhase::Ready,
    };
    let hello = ToControl::EdgeHello {
        record,
        catalog_version: 0,
        reads_findings: TrailingFlag::default(),
        reads_crash_records: TrailingFlag::default(),
        reads_limits: TrailingFlag::default(),
        reads_relays: TrailingFlag::default(),
    };
    sender.send(&hello).await.expect("sent");
    (receiver, sender)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_connection_starts_with_the_catalog() {
    let deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let ready = heartbeat_of("i", address, 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(1, &ready).await, eq(200));
    let (mut receiver, _sender) = connect_as_edge(&deployment, 1).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(5) {
        match receiver.next().await.expect("a message") {
            ToEdge::Catalog(_) => return,
            ToEdge::Instances(..) => panic!("the back ends were sent before the catalog"),
            _ => {}
        }
    }
    panic!("no catalog was sent");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_whose_pings_are_late_stays_connected() {
    let deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    let (mut receiver, mut sender) = connect_as_edge(&deployment, 1).await;
    let address = "127.0.0.1:9".to_owned();
    deployment
        .wait_for_lookup(1, "a daemon that pings is in look-ups", |addresses| {
            addresses.contains(&address)
        })
        .await;
    let silent_since = Instant::now();
    deployment
        .wait_for_lookup(1, "a silent daemon is not in look-ups", |addresses| {
            !addresses.contains(&address)
        })
        .await;
    tokio::time::sleep(PING_PAUSE.saturating_sub(silent_since.elapsed())).await;
    sender.send(&ToControl::EdgePing(0)).await.expect("sent");
    loop {
        let message = receiver.next().await.expect("the connection is open");
        if matches!(message, ToEdge::Pong { .. }) {
            break;
        }
    }
    deployment
        .wait_for_lookup(1, "a daemon that pings again is in look-ups", |addresses| {
            addresses.contains(&address)
        })
        .await;
}

/// Guards against removing a daemon when its old connection closes while a new one is open.
/// The test closes the old connection only after the answer to the hello on the new one, since
/// control answers after it has registered the connection; before that, an empty list is
/// correct.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_reconnected_daemon_stays_registered_when_its_old_connection_closes() {
    let deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    let (_, old) = connect_as_edge(&deployment, 1).await;
    deployment
        .wait_until("the first connection is registered", || {
            edges_at(&deployment, 1) == ["late"]
        })
        .await;
    let (mut receiver, mut sender) = connect_as_edge(&deployment, 1).await;
    expect_that!(receiver.next().await, ok(anything()));
    drop(old);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        sender.send(&ToControl::EdgePing(0)).await.expect("sent");
        expect_that!(edges_at(&deployment, 1), elements_are![eq("late")]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the names of the entry daemons that `host` is connected with.
fn edges_at(deployment: &Deployment, host: u8) -> Vec<String> {
    let dump = deployment.nodes[&host].kernel().dump();
    let edges = dump["hub"]["soft_state"]["edges"].as_array().cloned();
    let names = edges.unwrap_or_default();
    names
        .iter()
        .filter_map(|edge| edge["name"].as_str().map(str::to_owned))
        .collect()
}
