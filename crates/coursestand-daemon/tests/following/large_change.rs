//! Guards against sending a large change of the catalog to an entry daemon once per control
//! process. Five copies of a change of 1,400 routes occupy a link of 2 Mbit/s for 4.8 s;
//! requests, confirmed updates that back ends are leaving, and later changes wait behind them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::Patch;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_lab::items;
use coursestand_model::{BackendId, ServiceId, ZoneId};
use googletest::prelude::*;
use tokio::time::Instant;

use crate::daemon::{Daemon, addresses, start_controls, time_until};
use crate::narrow_link::NarrowLink;
use crate::scripted_control::{FIRST_CHANGE, ScriptedControl};

/// A link of 2 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 250_000.0;
/// Network delay between regions.
const DELAY: Duration = Duration::from_millis(20);
const ROUTES: usize = 1_400;
/// The strictest bound on the time from the confirmation of a change until it is in force.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_millis(2_000);
/// The strictest bound after which a leaving back end gets no requests is 2 s; the remainder
/// is for requests that are in flight.
const MAX_DRAINING_DELAY: Duration = Duration::from_millis(500);

fn backend_update(phase: InstancePhase, sequence: u64) -> InstanceUpdate {
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

fn backend_phase(daemon: &Daemon) -> Option<InstancePhase> {
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

/// Starts control processes that share the daemon's narrow link, and the daemon, and waits
/// until it is ready and has one back end.
async fn start_behind_narrow_link() -> (Vec<ScriptedControl>, Daemon) {
    let controls = start_controls(DELAY).await;
    let link = Arc::new(NarrowLink::new(LINK_BYTES_PER_SECOND));
    for control in &controls {
        control.set_link(&link);
    }
    let daemon = Daemon::start(&addresses(&controls));
    time_until("the daemon is ready", || daemon.is_ready()).await;
    for control in &controls {
        control.send_backend_update(backend_update(InstancePhase::Ready, 1));
    }
    time_until("the daemon has the back end", || {
        backend_phase(&daemon).is_some()
    })
    .await;
    (controls, daemon)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_many_routes_does_not_delay_the_draining_of_a_back_end() {
    let (controls, daemon) = start_behind_narrow_link().await;
    let change = FIRST_CHANGE + 1;
    let patch = many_routes(0, change);
    for control in &controls {
        control.apply_patch(&patch, change);
    }
    let applied_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    for control in &controls {
        control.send_backend_update(backend_update(InstancePhase::Draining, 2));
    }
    let is_draining = || backend_phase(&daemon) != Some(InstancePhase::Ready);
    let elapsed = time_until("the back end is draining", is_draining).await;
    expect_that!(elapsed, lt(MAX_DRAINING_DELAY));
    time_until("the daemon has the change", || {
        daemon.catalog_version() >= change
    })
    .await;
    expect_that!(applied_at.elapsed(), lt(MAX_IN_FORCE_DELAY));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_many_routes_does_not_delay_the_next_change() {
    let (controls, daemon) = start_behind_narrow_link().await;
    let change = FIRST_CHANGE + 1;
    let patch = many_routes(0, change);
    for control in &controls {
        control.apply_patch(&patch, change);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    for control in &controls {
        control.apply(change + 1);
    }
    let elapsed = time_until("the daemon has the next change", || {
        daemon.catalog_version() > change
    })
    .await;
    expect_that!(elapsed, lt(MAX_IN_FORCE_DELAY));
}
