//! A fleet answered nothing for five seconds after an operator had added 1,400 routes in
//! one change. Each of five control processes sent the change whole to each entry daemon,
//! and five copies took 4.8 s of the daemons' narrow links. Requests waited behind them,
//! and so did orders of back ends to leave that control had confirmed, and every later
//! change. The bytes that came over each link in that second showed it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::Patch;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_lab::items;
use coursestand_model::{BackendId, ServiceId, ZoneId};
use googletest::prelude::*;
use tokio::time::Instant;

use crate::daemon::{Daemon, addresses, controls, time_until};
use crate::narrow_link::NarrowLink;
use crate::scripted_control::{FIRST_CHANGE, ScriptedControl};

/// A link of 2 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 250_000.0;
/// Between regions.
const DELAY: Duration = Duration::from_millis(20);
const ROUTES: usize = 1_400;
/// A change must be in force 2 s after it was confirmed, at the strictest.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// An order to leave binds after 2 s at the strictest; the rest is for requests that are
/// on their way.
const ORDER_KNOWN: Duration = Duration::from_millis(500);

fn backend(phase: InstancePhase, sequence: u64) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from("i"),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: ZoneId::from("z-1"),
            capacity: 4,
            software: "v1".to_owned(),
            sequence,
            phase,
        },
        cold_ms: 0,
    }
}

fn phase_at(daemon: &Daemon) -> Option<InstancePhase> {
    let routing = daemon.state.routing();
    let mut backends = routing.backends.iter();
    backends.next().map(|backend| backend.instance.phase)
}

fn many_routes(first: usize, version: u64) -> Patch {
    Patch {
        upserts: items::realistic_routes("s", first, ROUTES, version),
        removals: Vec::new(),
    }
}

/// Control processes that share the daemon's narrow link, and the daemon, which is ready
/// and knows one back end.
async fn behind_a_narrow_link() -> (Vec<ScriptedControl>, Daemon) {
    let controls = controls(DELAY).await;
    let link = Arc::new(NarrowLink::new(LINK_BYTES_PER_SECOND));
    for control in &controls {
        control.set_link(&link);
    }
    let daemon = Daemon::start(&addresses(&controls));
    time_until("the daemon is ready", || daemon.is_ready()).await;
    for control in &controls {
        control.tell_backend(backend(InstancePhase::Ready, 1));
    }
    time_until("the back end is known", || phase_at(&daemon).is_some()).await;
    (controls, daemon)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_many_routes_does_not_hold_an_order_to_leave_up() {
    let (controls, daemon) = behind_a_narrow_link().await;
    let change = FIRST_CHANGE + 1;
    let patch = many_routes(0, change);
    for control in &controls {
        control.apply_patch(&patch, change);
    }
    let applied = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    for control in &controls {
        control.tell_backend(backend(InstancePhase::Draining, 2));
    }
    let is_known = || phase_at(&daemon) != Some(InstancePhase::Ready);
    let took = time_until("the order is known", is_known).await;
    expect_that!(took, lt(ORDER_KNOWN));
    time_until("the change is there", || daemon.catalog() >= change).await;
    expect_that!(applied.elapsed(), lt(IN_FORCE));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_many_routes_does_not_hold_the_next_one_up() {
    let (controls, daemon) = behind_a_narrow_link().await;
    let change = FIRST_CHANGE + 1;
    let patch = many_routes(0, change);
    for control in &controls {
        control.apply_patch(&patch, change);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    for control in &controls {
        control.apply(change + 1);
    }
    let took = time_until("the next one is there", || daemon.catalog() > change).await;
    expect_that!(took, lt(IN_FORCE));
}
