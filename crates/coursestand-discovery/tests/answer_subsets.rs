//! Guards against uneven load when a region has more ready daemons than an answer can hold.
//! Answers that were cut off in the order of names left the daemons of the last zone with a
//! third of the requests that those of the first zone got, whose links were full.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use coursestand_discovery::{Directory, EdgePhase, EdgeRecord, LookupClient};
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;

const REGION: &str = "a";
/// Zones of the region with their numbers of daemons.
const ZONES: [(&str, u8); 3] = [("a-1", 32), ("a-2", 34), ("a-3", 32)];
const CLIENTS_PER_ZONE: u8 = 250;
const MAX_ANSWERS: usize = 64;
/// Maximum and minimum load of a daemon, in multiples of the mean.
const MAX_LOAD_RATIO: f64 = 1.25;
const MIN_LOAD_RATIO: f64 = 0.75;

fn daemon(zone: &str, zone_number: u8, host: u8) -> EdgeRecord {
    let address = SocketAddr::from(([10, 0, zone_number, host], 80));
    EdgeRecord {
        name: format!("edge-{zone}-{host}"),
        incarnation: 1,
        address,
        admin_address: address,
        zone: ZoneId::from(zone),
        region: RegionId::from(REGION),
        phase: EdgePhase::Ready,
    }
}

fn observer() -> SocketAddr {
    SocketAddr::from(([10, 0, 9, 1], 80))
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for (zone_number, (zone, count)) in (1..).zip(ZONES) {
        for host in 1..=count {
            directory.connect(observer(), &daemon(zone, zone_number, host));
        }
    }
    directory
}

fn look_up(directory: &Directory, zone: &str, host: u8) -> BTreeSet<SocketAddr> {
    let region = RegionId::from(REGION);
    let zone = ZoneId::from(zone);
    let zone_number = zone.as_str().as_bytes()[2];
    let client = LookupClient {
        region: &region,
        zone: &zone,
        address: IpAddr::V4(Ipv4Addr::new(10, 9, zone_number, host)),
    };
    let answer = directory.resolve(0, &client, MAX_ANSWERS, || 0.5);
    answer.into_iter().collect()
}

/// Returns the load of each daemon in multiples of the mean if `clients` of each zone divide
/// their requests evenly among the addresses of their answers.
fn load_ratios(directory: &Directory, clients: [u8; 3]) -> BTreeMap<SocketAddr, f64> {
    let mut load: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    for (zone_number, (zone, count)) in (1..).zip(ZONES) {
        for host in 1..=count {
            load.insert(daemon(zone, zone_number, host).address, 0.0);
        }
    }
    for ((zone, _), count) in ZONES.into_iter().zip(clients) {
        for host in 1..=count {
            let answer = look_up(directory, zone, host);
            let share = 1.0 / answer.len() as f64;
            for address in answer {
                *load.entry(address).or_default() += share;
            }
        }
    }
    let mean = load.values().sum::<f64>() / load.len() as f64;
    load.values_mut().for_each(|load| *load /= mean);
    load
}

#[gtest]
fn daemons_of_a_large_region_get_equal_load() {
    let ratios = load_ratios(&directory(), [CLIENTS_PER_ZONE; 3]);
    expect_that!(ratios.len(), eq(98));
    for (address, ratio) in ratios {
        expect_that!(ratio, le(MAX_LOAD_RATIO), "{address}");
        expect_that!(ratio, ge(MIN_LOAD_RATIO), "{address}");
    }
}

#[gtest]
fn daemons_of_a_large_region_share_the_load_of_a_zone_at_its_peak() {
    let ratios = load_ratios(&directory(), [CLIENTS_PER_ZONE, 50, 50]);
    for (address, ratio) in ratios {
        expect_that!(ratio, le(MAX_LOAD_RATIO), "{address}");
    }
}

#[gtest]
fn the_answer_of_a_client_is_full_and_stable() {
    let directory = directory();
    let first = look_up(&directory, "a-1", 7);
    expect_that!(first.len(), eq(MAX_ANSWERS));
    expect_that!(look_up(&directory, "a-1", 7), eq(&first));
    expect_that!(look_up(&directory, "a-1", 8), not(eq(&first)));
}

#[gtest]
fn a_daemon_that_stops_changes_one_address_of_an_answer() {
    let mut directory = directory();
    let before = look_up(&directory, "a-1", 7);
    let stopped = *before.first().expect("an address");
    let records: Vec<EdgeRecord> = directory.connected().cloned().collect();
    let record = records.iter().find(|record| record.address == stopped);
    let name = &record.expect("a record").name;
    directory.disconnect(observer(), name, 1);
    let after = look_up(&directory, "a-1", 7);
    let kept = before.intersection(&after).count();
    expect_that!(after.len(), eq(MAX_ANSWERS));
    expect_that!(kept, eq(MAX_ANSWERS - 1));
}
