//! Which entry daemons look-ups name.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Directory, EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 80))
}

fn edge(host: u8, incarnation: u64, zone: &str, phase: EdgePhase) -> EdgeRecord {
    EdgeRecord {
        name: format!("edge-{host}"),
        incarnation,
        address: address(host),
        zone: ZoneId::from(zone),
        region: RegionId::from(zone.split('-').next().unwrap_or_default()),
        phase,
    }
}

fn resolve(directory: &Directory, zone: &str) -> Vec<SocketAddr> {
    let region = RegionId::from(zone.split('-').next().unwrap_or_default());
    directory.resolve(&region, &ZoneId::from(zone), 64)
}

const FIRST: u8 = 101;
const SECOND: u8 = 102;

#[gtest]
fn near_ones_come_first_and_other_regions_only_in_need() {
    let mut directory = Directory::default();
    for (host, zone) in [(1, "a-1"), (2, "a-2"), (3, "b-1")] {
        directory.connect(address(FIRST), &edge(host, 1, zone, EdgePhase::Ready));
    }
    expect_that!(
        resolve(&directory, "a-2"),
        elements_are![eq(&address(2)), eq(&address(1))]
    );
    directory.connect(address(FIRST), &edge(1, 1, "a-1", EdgePhase::Draining));
    directory.connect(address(FIRST), &edge(2, 1, "a-2", EdgePhase::Draining));
    expect_that!(resolve(&directory, "a-2"), elements_are![eq(&address(3))]);
}

#[gtest]
fn a_daemon_stays_named_while_one_live_witness_is_connected() {
    let mut directory = Directory::default();
    let ready = edge(1, 1, "a-1", EdgePhase::Ready);
    directory.connect(address(FIRST), &ready);
    directory.connect(address(SECOND), &ready);
    directory.disconnect(address(FIRST), "edge-1", 1);
    expect_that!(resolve(&directory, "a-1"), len(eq(1)));
    directory.drop_witness(address(SECOND));
    expect_that!(resolve(&directory, "a-1"), is_empty());
}

#[gtest]
fn leaving_is_not_taken_back_by_late_news() {
    let mut directory = Directory::default();
    directory.connect(address(FIRST), &edge(1, 1, "a-1", EdgePhase::Draining));
    directory.connect(address(SECOND), &edge(1, 1, "a-1", EdgePhase::Ready));
    expect_that!(resolve(&directory, "a-1"), is_empty());
}

#[gtest]
fn the_next_run_replaces_the_one_before_whatever_its_number() {
    let mut directory = Directory::default();
    directory.connect(address(FIRST), &edge(1, 9, "a-1", EdgePhase::Draining));
    directory.connect(address(FIRST), &edge(1, 2, "a-1", EdgePhase::Ready));
    expect_that!(resolve(&directory, "a-1"), len(eq(1)));
    // The end of the earlier run's connection comes after the next one.
    directory.disconnect(address(FIRST), "edge-1", 9);
    expect_that!(resolve(&directory, "a-1"), len(eq(1)));
}
