//! Entry daemons that look-ups return.
#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use coursestand_discovery::{Directory, EdgePhase, EdgeRecord, LookupClient};
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
        admin_address: address(host),
        zone: ZoneId::from(zone),
        region: RegionId::from(zone.split('-').next().unwrap_or_default()),
        phase,
    }
}

fn client<'a>(region: &'a RegionId, zone: &'a ZoneId) -> LookupClient<'a> {
    LookupClient {
        region,
        zone,
        address: address(200).ip(),
    }
}

fn resolve(directory: &Directory, zone: &str) -> Vec<SocketAddr> {
    let region = RegionId::from(zone.split('-').next().unwrap_or_default());
    let zone = ZoneId::from(zone);
    directory.resolve(0, &client(&region, &zone), 64, || 0.0)
}

const FIRST: u8 = 101;
const SECOND: u8 = 102;

#[gtest]
fn daemons_of_the_zone_come_first_and_other_regions_only_if_the_region_has_none() {
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
fn a_daemon_is_returned_while_a_live_control_process_is_connected() {
    let mut directory = Directory::default();
    let ready = edge(1, 1, "a-1", EdgePhase::Ready);
    directory.connect(address(FIRST), &ready);
    directory.connect(address(SECOND), &ready);
    directory.disconnect(address(FIRST), "edge-1", 1);
    expect_that!(resolve(&directory, "a-1"), len(eq(1)));
    directory.remove_observer(address(SECOND));
    expect_that!(resolve(&directory, "a-1"), is_empty());
}

#[gtest]
fn a_late_update_does_not_make_a_draining_daemon_ready() {
    let mut directory = Directory::default();
    directory.connect(address(FIRST), &edge(1, 1, "a-1", EdgePhase::Draining));
    directory.connect(address(SECOND), &edge(1, 1, "a-1", EdgePhase::Ready));
    expect_that!(resolve(&directory, "a-1"), is_empty());
}

#[gtest]
fn a_new_incarnation_replaces_the_previous_one_regardless_of_its_number() {
    let mut directory = Directory::default();
    directory.connect(address(FIRST), &edge(1, 9, "a-1", EdgePhase::Draining));
    directory.connect(address(FIRST), &edge(1, 2, "a-1", EdgePhase::Ready));
    expect_that!(resolve(&directory, "a-1"), len(eq(1)));
    // The previous incarnation's connection is lost after the new one connects.
    directory.disconnect(address(FIRST), "edge-1", 9);
    expect_that!(resolve(&directory, "a-1"), len(eq(1)));
}

/// Returns for each of the daemons 1 to `count` the fraction of 1,000 look-ups that return
/// it.
fn returned_fractions(directory: &Directory, count: u8) -> Vec<f64> {
    const LOOK_UPS: usize = 1_000;
    let mut times = vec![0; usize::from(count)];
    let mut number = 0_u32;
    for _ in 0..LOOK_UPS {
        // A low-discrepancy sequence (multiples of the golden ratio).
        let draw = || {
            number = number.wrapping_add(2_654_435_769);
            f64::from(number) / f64::from(u32::MAX)
        };
        let answer = directory.resolve(
            0,
            &client(&RegionId::from("a"), &ZoneId::from("a-1")),
            64,
            draw,
        );
        for host in 1..=count {
            times[usize::from(host) - 1] += usize::from(answer.contains(&address(host)));
        }
    }
    times
        .iter()
        .map(|times| *times as f64 / LOOK_UPS as f64)
        .collect()
}

fn directory_with_use(link_use: &[u8]) -> Directory {
    let mut directory = Directory::default();
    for (index, link_use) in link_use.iter().enumerate() {
        let host = index as u8 + 1;
        directory.connect(address(FIRST), &edge(host, 1, "a-1", EdgePhase::Ready));
        directory.note_link_use(&format!("edge-{host}"), 1, *link_use);
    }
    directory
}

#[gtest]
fn daemons_with_busy_links_are_returned_less_often() {
    let directory = directory_with_use(&[90, 60, 50, 40]);
    let fractions = returned_fractions(&directory, 4);
    // The mean is 60: half of the first daemon's excess is a sixth of its utilization.
    expect_that!(fractions[0], near(1.0 - 0.5 * 30.0 / 90.0, 0.01));
    expect_that!(fractions[1..], each(eq(&1.0)));
}

#[gtest]
fn links_below_the_balancing_threshold_are_not_balanced() {
    let directory = directory_with_use(&[34, 2, 2, 2]);
    expect_that!(returned_fractions(&directory, 4), each(eq(&1.0)));
}

#[gtest]
fn busy_links_never_make_a_look_up_empty() {
    let directory = directory_with_use(&[90, 20]);
    let ready = directory.resolve(
        0,
        &client(&RegionId::from("a"), &ZoneId::from("a-1")),
        1,
        || 0.0,
    );
    expect_that!(ready, len(eq(1)));
    let mut alone = directory_with_use(&[90]);
    alone.connect(address(FIRST), &edge(2, 1, "b-1", EdgePhase::Ready));
    expect_that!(resolve(&alone, "a-1"), elements_are![eq(&address(1))]);
}

/// A model of clients that look up every second and keep their connections while their
/// daemon is returned: link utilization becomes balanced and does not oscillate.
#[gtest]
fn uneven_link_use_is_balanced_without_oscillation() {
    const DAEMONS: u8 = 24;
    const CLIENTS: usize = 300;
    let mut number = 7_u32;
    let mut draw = || {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(number) / (f64::from(u32::MAX) + 1.0)
    };
    let mut chosen: Vec<u8> = (0..CLIENTS)
        .map(|_| 1 + (draw() * draw() * f64::from(DAEMONS)) as u8)
        .collect();
    let mut smoothed = vec![0.0; usize::from(DAEMONS)];
    let mut spreads = Vec::new();
    for _ in 0..30 {
        let mut counts = vec![0.0; usize::from(DAEMONS)];
        for daemon in &chosen {
            counts[usize::from(*daemon) - 1] += 1.0;
        }
        let max = counts.iter().copied().fold(0.0, f64::max);
        spreads.push(max * f64::from(DAEMONS) / CLIENTS as f64);
        for (smoothed, count) in smoothed.iter_mut().zip(&counts) {
            *smoothed += (count - *smoothed) * 0.5;
        }
        // The mean of 12.5 clients per daemon uses three fifths of its link.
        let link_use: Vec<u8> = smoothed.iter().map(|count| (count * 4.8) as u8).collect();
        let directory = directory_with_use(&link_use);
        for daemon in &mut chosen {
            let answer = directory.resolve(
                0,
                &client(&RegionId::from("a"), &ZoneId::from("a-1")),
                64,
                &mut draw,
            );
            if !answer.contains(&address(*daemon)) {
                let next = answer[(draw() * answer.len() as f64) as usize];
                let SocketAddr::V4(next) = next else { continue };
                *daemon = next.ip().octets()[3];
            }
        }
    }
    expect_that!(spreads[0], ge(2.0));
    expect_that!(spreads[15..], each(le(&1.6)));
}

fn resolve_at(directory: &Directory, now: u64) -> Vec<SocketAddr> {
    directory.resolve(
        now,
        &client(&RegionId::from("a"), &ZoneId::from("a-1")),
        64,
        || 0.0,
    )
}

fn directory_with_a_suspect() -> Directory {
    let mut directory = Directory::default();
    for host in [1, 2] {
        directory.connect(address(FIRST), &edge(host, 1, "a-1", EdgePhase::Ready));
    }
    directory.disconnect(address(FIRST), "edge-2", 1);
    directory.suspect(1_000, &edge(2, 1, "a-1", EdgePhase::Ready));
    directory
}

#[gtest]
fn a_disconnected_daemon_is_returned_only_while_other_daemons_reach_it() {
    let mut directory = directory_with_a_suspect();
    expect_that!(resolve_at(&directory, 1_000), len(eq(1)));
    expect_that!(directory.suspects(1_500), len(eq(1)));
    directory.note_reachable(1_500, "edge-2", 1);
    expect_that!(resolve_at(&directory, 3_000), contains(eq(&address(2))));
    // The successful probe has expired.
    expect_that!(resolve_at(&directory, 4_500), len(eq(1)));
    expect_that!(directory.suspects(60_000), is_empty());
    directory.note_reachable(60_000, "edge-2", 1);
    expect_that!(resolve_at(&directory, 60_001), len(eq(1)));
}

#[gtest]
fn a_new_incarnation_of_a_suspect_clears_the_suspicion() {
    let mut directory = directory_with_a_suspect();
    directory.note_reachable(1_500, "edge-2", 1);
    directory.connect(address(FIRST), &edge(2, 7, "a-1", EdgePhase::Starting));
    expect_that!(resolve_at(&directory, 1_600), len(eq(1)));
    expect_that!(directory.suspects(1_600), is_empty());
}

#[gtest]
fn a_disconnected_draining_daemon_does_not_become_a_suspect() {
    let mut directory = Directory::default();
    directory.suspect(0, &edge(1, 1, "a-1", EdgePhase::Draining));
    directory.note_reachable(0, "edge-1", 1);
    expect_that!(resolve_at(&directory, 1), is_empty());
}

/// Guards against daemons that stay listed for good because a control process that was connected
/// with them restarted before it noticed their end.
#[gtest]
fn a_full_report_replaces_what_a_control_process_reported_before() {
    let mut directory = Directory::default();
    let (kept, lost) = (
        edge(1, 1, "a-1", EdgePhase::Ready),
        edge(2, 1, "a-1", EdgePhase::Ready),
    );
    directory.connect(address(FIRST), &kept);
    directory.connect(address(FIRST), &lost);
    directory.connect(address(SECOND), &lost);
    // The second one has noticed that the daemon fell silent.
    directory.disconnect(address(SECOND), &lost.name, lost.incarnation);
    directory.suspect(0, &lost);
    expect_that!(resolve(&directory, "a-1").len(), eq(2));
    let report = BTreeSet::from([(kept.name.clone(), kept.incarnation)]);
    expect_that!(
        directory.replace_connections(0, address(FIRST), &report),
        eq(true)
    );
    expect_that!(resolve(&directory, "a-1"), elements_are![eq(&address(1))]);
    expect_that!(
        directory.replace_connections(0, address(FIRST), &report),
        eq(false)
    );
}

/// Guards against sound daemons that drop out of look-ups while they reconnect to a control process
/// that has restarted.
#[gtest]
fn a_daemon_that_only_a_restarted_control_process_knew_has_time_to_reconnect() {
    let mut directory = Directory::default();
    directory.connect(address(FIRST), &edge(1, 1, "a-1", EdgePhase::Ready));
    directory.replace_connections(0, address(FIRST), &BTreeSet::new());
    expect_that!(resolve(&directory, "a-1"), elements_are![eq(&address(1))]);
    expect_that!(directory.suspects(0).len(), eq(1));
}

/// Guards against daemons that stay listed, or stay unlisted, because a message between two control
/// processes was lost: their digests of the same connections have to differ then, and only then.
#[gtest]
fn digests_differ_until_a_full_report_has_replaced_what_was_lost() {
    let (first, second) = (
        edge(1, 1, "a-1", EdgePhase::Ready),
        edge(2, 1, "a-1", EdgePhase::Ready),
    );
    let mut reporter = Directory::default();
    let mut receiver = Directory::default();
    for record in [&first, &second] {
        reporter.connect(address(FIRST), record);
    }
    for record in [&second, &first] {
        receiver.connect(address(FIRST), record);
        receiver.connect(address(SECOND), record);
    }
    let matches = |reporter: &Directory, receiver: &Directory| {
        reporter.digest_of(address(FIRST)) == receiver.digest_of(address(FIRST))
    };
    expect_that!(matches(&reporter, &receiver), eq(true));
    reporter.disconnect(address(FIRST), &first.name, first.incarnation);
    reporter.connect(address(FIRST), &edge(2, 1, "a-1", EdgePhase::Draining));
    reporter.connect(address(FIRST), &edge(3, 1, "a-1", EdgePhase::Ready));
    expect_that!(matches(&reporter, &receiver), eq(false));
    let report: Vec<EdgeRecord> = reporter.connected_with(address(FIRST)).cloned().collect();
    expect_that!(receiver.set_connections(address(FIRST), &report), eq(true));
    expect_that!(matches(&reporter, &receiver), eq(true));
    expect_that!(receiver.set_connections(address(FIRST), &report), eq(false));
    // The other control process is still connected with the first daemon.
    expect_that!(
        resolve(&receiver, "a-1"),
        unordered_elements_are![eq(&address(1)), eq(&address(3))]
    );
}

/// The reporter has not restarted, so a daemon that it does not report has no time to reconnect.
#[gtest]
fn a_daemon_that_a_requested_report_lacks_is_removed_at_once() {
    let mut directory = Directory::default();
    directory.connect(address(FIRST), &edge(1, 1, "a-1", EdgePhase::Ready));
    directory.set_connections(address(FIRST), &[]);
    expect_that!(resolve(&directory, "a-1"), is_empty());
    expect_that!(directory.suspects(0), is_empty());
}
