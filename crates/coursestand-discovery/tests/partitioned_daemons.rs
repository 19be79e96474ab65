//! Entry daemons that are partitioned from all back ends: look-ups, and whom others relay to.
#![allow(missing_docs)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use coursestand_discovery::{
    Directory, EdgePhase, EdgeRecord, LookupClient, RelayEndpoint, RelayPeer,
};
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;

const OBSERVER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
const MAX_ANSWERS: usize = 64;

fn record(number: u8, region: &str) -> EdgeRecord {
    let address = SocketAddr::from(([127, 0, 0, number], 80));
    EdgeRecord {
        name: format!("edge-{number}"),
        incarnation: u64::from(number),
        address,
        admin_address: address,
        zone: ZoneId(format!("{region}-1")),
        region: RegionId::from(region),
        phase: EdgePhase::Ready,
    }
}

/// Returns a directory with daemons 1 to 10 in region `a` and 11 to 20 in region `b`, all of
/// which accept relayed requests.
fn directory() -> Directory {
    let mut directory = Directory::default();
    for number in 1..=20 {
        let record = record(number, if number <= 10 { "a" } else { "b" });
        directory.connect(OBSERVER, &record);
        let relay = RelayEndpoint {
            address: record.address,
            token: u128::from(number),
        };
        directory.note_relay(&record.name, record.incarnation, relay);
    }
    directory
}

fn partition(directory: &mut Directory, numbers: impl Iterator<Item = u8>) {
    for number in numbers {
        let name = format!("edge-{number}");
        directory.note_partitioned(&name, u64::from(number), true);
    }
}

fn resolve(directory: &Directory) -> Vec<SocketAddr> {
    let client = LookupClient {
        region: &RegionId::from("a"),
        zone: &ZoneId::from("a-1"),
        address: IpAddr::V4(Ipv4Addr::LOCALHOST),
    };
    directory.resolve(0, &client, MAX_ANSWERS, || 1.0)
}

fn names(peers: &[RelayPeer]) -> Vec<&str> {
    peers.iter().map(|peer| peer.name.as_str()).collect()
}

/// Guards against look-ups that name a partitioned daemon although others serve, and against
/// empty look-ups while all are partitioned.
#[gtest]
fn look_ups_leave_partitioned_daemons_out_unless_all_are() {
    let mut directory = directory();
    partition(&mut directory, 1..=9);
    expect_that!(
        resolve(&directory),
        elements_are![eq(&record(10, "a").address)]
    );
    partition(&mut directory, 10..=10);
    expect_that!(resolve(&directory).len(), eq(10));
    directory.note_partitioned("edge-3", 3, false);
    expect_that!(
        resolve(&directory),
        elements_are![eq(&record(3, "a").address)]
    );
}

/// Guards against requests that are relayed to a daemon that is partitioned too, to the daemon
/// itself, or far away although near daemons serve.
#[gtest]
fn daemons_relay_to_others_that_reach_back_ends() {
    let mut directory = directory();
    partition(&mut directory, 1..=8);
    let peers = directory.relay_peers(&record(1, "a"));
    expect_that!(
        names(&peers)[..2].to_vec(),
        unordered_elements_are![eq(&"edge-9"), eq(&"edge-10")]
    );
    expect_that!(peers.len(), eq(6));
    let far = peers
        .iter()
        .filter(|peer| peer.region == RegionId::from("b"));
    expect_that!(far.count(), eq(4));
}

/// Guards against a few daemons that all others relay to.
#[gtest]
fn the_daemons_of_a_region_are_named_evenly() {
    let directory = directory();
    let mut counts = [0; 21];
    for client in 1..=10 {
        for peer in directory.relay_peers(&record(client, "a")) {
            counts[peer.endpoint.token as usize] += 1;
        }
    }
    expect_that!(counts[1..=10].iter().sum::<i32>(), eq(80));
    expect_that!(counts[1..=10].to_vec(), each(ge(&5)));
}

/// Guards against cold back ends that are owned by a daemon that can't reach them.
#[gtest]
fn partitioned_daemons_own_no_back_ends() {
    let mut directory = directory();
    partition(&mut directory, 1..=19);
    let owners = directory.connected_to_back_ends();
    let owners: Vec<&str> = owners.map(|record| record.name.as_str()).collect();
    expect_that!(owners, elements_are![eq(&"edge-20")]);
}
