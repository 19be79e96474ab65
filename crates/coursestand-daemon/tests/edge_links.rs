//! Guards against a live entry daemon that one control process leaves out because it served the
//! connection of the daemon's earlier run after that of the current one: the earlier one took the
//! place of the current one, and removed it when it closed.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_daemon::fleet::hub::Hub;
use coursestand_discovery::{EdgePhase, EdgeRecord, LookupClient};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;

const HEARTBEAT_MS: u64 = 1_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(incarnation: u64) -> EdgeRecord {
    EdgeRecord {
        name: "edge".to_owned(),
        incarnation,
        address: address(80),
        admin_address: address(81),
        zone: ZoneId::from("z-1"),
        region: RegionId::from("z"),
        phase: EdgePhase::Ready,
    }
}

fn named(hub: &Hub) -> Vec<SocketAddr> {
    hub.lookup(&LookupClient {
        region: &RegionId::from("z"),
        zone: &ZoneId::from("z-1"),
        address: address(1).ip(),
    })
}

#[gtest]
fn a_daemon_stays_in_look_ups_when_a_late_connection_of_its_earlier_run_ends() {
    let hub = Hub::new(address(2), MonotonicClock::for_process(), HEARTBEAT_MS);
    let (earlier, current) = (record(1), record(2));
    hub.note_edge(1, &current, true);
    hub.note_edge(2, &earlier, true);
    hub.note_edge(2, &earlier, false);
    expect_that!(named(&hub), elements_are![eq(&address(80))]);
    hub.note_edge(1, &current, false);
    expect_that!(named(&hub), is_empty());
}

#[gtest]
fn a_daemon_stays_in_look_ups_when_the_silent_connection_of_its_earlier_run_ends() {
    let hub = Hub::new(address(2), MonotonicClock::for_process(), HEARTBEAT_MS);
    let (earlier, current) = (record(1), record(2));
    hub.note_edge(1, &earlier, true);
    hub.note_edge(2, &current, true);
    hub.mark_edge_silent(1, &earlier);
    hub.note_edge(1, &earlier, false);
    expect_that!(named(&hub), elements_are![eq(&address(80))]);
    hub.note_edge(2, &current, false);
    expect_that!(named(&hub), is_empty());
}
