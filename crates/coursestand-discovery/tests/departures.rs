//! Orders to leave that are on record hold against whatever a back end's heartbeats say.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Incarnation, Instance, InstancePhase, InstanceTable, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use googletest::prelude::*;

const HEARTBEAT_MS: Millis = 1_500;

fn ready(id: &str, born: Option<Millis>, sequence: u64) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from(id),
            born,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([10, 0, 0, 1], 8_080)),
            zone: ZoneId::from("z"),
            capacity: 4,
            software: "v1".to_owned(),
            sequence,
            phase: InstancePhase::Ready,
        },
        cold_ms: 0,
    }
}

fn departed(id: &str, born: Option<Millis>) -> Incarnation {
    Incarnation {
        id: BackendId::from(id),
        born,
    }
}

fn phase(table: &InstanceTable, id: &str) -> Option<InstancePhase> {
    let known = table.get(&BackendId::from(id))?;
    Some(known.instance.phase)
}

/// Guards against late heartbeats that bring a back end back to a process without memory.
#[gtest]
fn a_heartbeat_after_a_recorded_departure_is_not_ready() {
    for (left, heard) in [
        (None, None),
        (Some(7), Some(7)),
        (Some(7), Some(6)),
        (Some(7), None),
    ] {
        let mut table = InstanceTable::default();
        table.set_departures([departed("a", left)]);
        table.merge(0, ready("a", heard, 1_000));
        expect_that!(
            phase(&table, "a"),
            some(eq(InstancePhase::Draining)),
            "{left:?} {heard:?}"
        );
    }
}

/// Guards against a process that believed a heartbeat before it had read its log, and keeps
/// to it afterwards.
#[gtest]
fn a_departure_that_is_read_late_holds_for_known_back_ends() {
    let mut table = InstanceTable::default();
    table.merge(0, ready("a", None, 1));
    table.merge(0, ready("b", None, 1));
    let changed = table.set_departures([departed("a", None)]);
    expect_that!(changed, elements_are![eq(&BackendId::from("a"))]);
    expect_that!(phase(&table, "a"), some(eq(InstancePhase::Draining)));
    table.merge(1, ready("a", None, 2));
    expect_that!(phase(&table, "a"), some(eq(InstancePhase::Draining)));
    expect_that!(table.set_departures([departed("a", None)]), is_empty());
}

/// Guards against a record that keeps out the next incarnation of a back end.
#[gtest]
fn a_later_incarnation_is_ready() {
    let mut table = InstanceTable::default();
    table.set_departures([departed("a", Some(7))]);
    table.merge(0, ready("a", Some(8), 1));
    expect_that!(phase(&table, "a"), some(eq(InstancePhase::Ready)));
    expect_that!(table.set_departures([departed("a", Some(7))]), is_empty());
}

/// Guards against a late heartbeat of a back end that has left, which would hold the address
/// of the one that has it now for longer than two heartbeats.
#[gtest]
fn a_successor_at_the_address_is_ready_within_two_heartbeats() {
    let mut table = InstanceTable::default();
    table.set_departures([departed("old", None)]);
    table.merge(0, ready("old", None, 1_000));
    table.merge(10, ready("new", None, 1));
    table.merge(10 + HEARTBEAT_MS, ready("new", None, 2));
    table.merge(10 + 2 * HEARTBEAT_MS, ready("new", None, 3));
    table.expire(10 + 2 * HEARTBEAT_MS, 20 * HEARTBEAT_MS);
    expect_that!(phase(&table, "new"), some(eq(InstancePhase::Ready)));
    expect_that!(phase(&table, "old"), not(some(eq(InstancePhase::Ready))));
}
