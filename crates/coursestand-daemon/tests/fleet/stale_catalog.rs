//! Control's side of the daemons that served by an old catalog: a new connection began
//! with all back ends and only then told the catalog, and a daemon whose signs of life
//! came late over a full link was cut off, to begin all over again.

use std::time::Duration;

use coursestand_daemon::fleet::wire::{ToControl, ToEdge, TrailingFlag};
use coursestand_discovery::{EdgePhase, EdgeRecord, InstancePhase};
use coursestand_model::{RegionId, ZoneId};
use coursestand_transport::stream::{self, Receiver, Sender};
use googletest::prelude::*;
use tokio::time::Instant;

use crate::deployment::{Deployment, first_items, heartbeat_of};
use crate::{SEEDS, formed};

/// A sign of life of a daemon that control may give up meanwhile.
const PAUSE: Duration = Duration::from_millis(4_500);

async fn follow(deployment: &Deployment, host: u8) -> (Receiver<ToEdge>, Sender<ToControl>) {
    let (receiver, mut sender) = stream::connect(deployment.internal(host))
        .await
        .expect("a connection");
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let record = EdgeRecord {
        name: "late".to_owned(),
        incarnation: 1,
        address: nowhere,
        admin_address: nowhere,
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
    };
    sender.send(&hello).await.expect("sent");
    (receiver, sender)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_begins_with_the_catalog() {
    let deployment = formed(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let ready = heartbeat_of("i", address, 1, InstancePhase::Ready);
    expect_that!(deployment.heartbeat(1, &ready).await, eq(200));
    let (mut receiver, _sender) = follow(&deployment, 1).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(5) {
        match receiver.next().await.expect("a message") {
            ToEdge::Catalog(_) => return,
            ToEdge::Instances(..) => panic!("the back ends came before the catalog"),
            _ => {}
        }
    }
    panic!("no catalog came");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_whose_signs_of_life_come_late_is_not_cut_off() {
    let deployment = formed(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    let (mut receiver, mut sender) = follow(&deployment, 1).await;
    let named = "127.0.0.1:9".to_owned();
    deployment
        .wait_for_lookup(1, "heard, it is named", |names| names.contains(&named))
        .await;
    let silent_since = Instant::now();
    deployment
        .wait_for_lookup(1, "silent, it is not named", |names| {
            !names.contains(&named)
        })
        .await;
    tokio::time::sleep(PAUSE.saturating_sub(silent_since.elapsed())).await;
    sender.send(&ToControl::EdgePing(0)).await.expect("sent");
    loop {
        let message = receiver.next().await.expect("the connection lives");
        if matches!(message, ToEdge::Pong { .. }) {
            break;
        }
    }
    deployment
        .wait_for_lookup(1, "heard again, it is named", |names| {
            names.contains(&named)
        })
        .await;
}

/// The old connection was given up once control knew the daemon, by one connection or the
/// other. Where control had not read the greeting on the new one by then, it knew no daemon
/// for a moment, rightly. Control answers a greeting after it has noted it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_renewed_its_connection_outlives_the_old_one() {
    let deployment = formed(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    let (_, old) = follow(&deployment, 1).await;
    deployment
        .wait_until("the first connection is known", || {
            edges_at(&deployment, 1) == ["late"]
        })
        .await;
    let (mut receiver, mut sender) = follow(&deployment, 1).await;
    expect_that!(receiver.next().await, ok(anything()));
    drop(old);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        sender.send(&ToControl::EdgePing(0)).await.expect("sent");
        expect_that!(edges_at(&deployment, 1), elements_are![eq("late")]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Names of the entry daemons that `host` is connected with.
fn edges_at(deployment: &Deployment, host: u8) -> Vec<String> {
    let dump = deployment.nodes[&host].kernel().dump();
    let edges = dump["hub"]["soft_state"]["edges"].as_array().cloned();
    let names = edges.unwrap_or_default();
    names
        .iter()
        .filter_map(|edge| edge["name"].as_str().map(str::to_owned))
        .collect()
}
