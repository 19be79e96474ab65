//! Records of back ends only advance, in any order of updates.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Instance, InstancePhase, InstanceTable, InstanceUpdate};
use coursestand_model::{BackendId, ServiceId, ZoneId};
use googletest::prelude::*;
use proptest::prelude::*;

fn update(id: &str, port: u16, sequence: u64, phase: InstancePhase) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from(id),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: ZoneId::from("z"),
            capacity: 6,
            software: "v1".to_owned(),
            sequence,
            phase,
        },
        cold_ms: 0,
    }
}

fn phase_of(table: &InstanceTable, id: &str) -> Option<InstancePhase> {
    Some(table.get(&BackendId::from(id))?.instance.phase)
}

fn phases() -> impl Strategy<Value = InstancePhase> {
    prop_oneof![
        4 => Just(InstancePhase::Ready),
        1 => Just(InstancePhase::Draining),
        1 => Just(InstancePhase::Gone),
    ]
}

proptest! {
    /// Two tables that receive the same updates in different orders agree, and the phase
    /// is the furthest one received.
    #[test]
    fn the_order_of_updates_does_not_matter(
        all in proptest::collection::vec((1..20_u64, phases()), 1..12),
        seed in proptest::collection::vec(0..1_000_usize, 12),
    ) {
        let updates: Vec<InstanceUpdate> =
            all.iter().map(|(sequence, phase)| update("i", 1, *sequence, *phase)).collect();
        let mut shuffled = updates.clone();
        for (index, pick) in seed.iter().enumerate() {
            let length = shuffled.len();
            shuffled.swap(index % length, pick % length);
        }
        let mut first = InstanceTable::default();
        let mut second = InstanceTable::default();
        for update in updates {
            first.merge(0, update);
        }
        for update in shuffled {
            second.merge(0, update);
        }
        let furthest = all.iter().map(|(_, phase)| *phase).max();
        prop_assert_eq!(phase_of(&first, "i"), furthest);
        prop_assert_eq!(phase_of(&second, "i"), furthest);
        let newest = all.iter().map(|(sequence, _)| *sequence).max();
        let known = second.get(&BackendId::from("i")).map(|known| known.instance.sequence);
        prop_assert_eq!(known, newest);
    }
}

#[gtest]
fn a_late_heartbeat_does_not_make_a_draining_back_end_ready() {
    let mut table = InstanceTable::default();
    table.merge(0, update("i", 1, 4, InstancePhase::Draining));
    expect_that!(
        table.merge(1, update("i", 1, 3, InstancePhase::Ready)),
        is_empty()
    );
    // Nor does a later heartbeat: draining is irreversible.
    table.merge(2, update("i", 1, 5, InstancePhase::Ready));
    expect_that!(phase_of(&table, "i"), some(eq(InstancePhase::Draining)));
}

#[gtest]
fn a_newcomer_with_further_heartbeats_replaces_a_silent_holder_of_its_address() {
    let mut table = InstanceTable::default();
    table.merge(0, update("old", 1, 4, InstancePhase::Ready));
    let changed = table.merge(2_000, update("new", 1, 1, InstancePhase::Ready));
    expect_that!(changed, is_empty());
    let changed = table.merge(3_500, update("new", 1, 2, InstancePhase::Ready));
    expect_that!(
        changed,
        unordered_elements_are![eq(&BackendId::from("old")), eq(&BackendId::from("new"))]
    );
    expect_that!(phase_of(&table, "old"), some(eq(InstancePhase::Gone)));
    // A late heartbeat of the replaced instance changes nothing.
    table.merge(3_600, update("old", 1, 9, InstancePhase::Ready));
    expect_that!(phase_of(&table, "old"), some(eq(InstancePhase::Gone)));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn a_newcomer_gets_a_free_address_at_once() {
    let mut table = InstanceTable::default();
    table.merge(0, update("old", 1, 4, InstancePhase::Gone));
    table.merge(1, update("new", 1, 1, InstancePhase::Ready));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
    // A claimant gets the address with its first heartbeat after it becomes free.
    table.merge(2, update("next", 1, 1, InstancePhase::Ready));
    expect_that!(phase_of(&table, "next"), none());
    table.merge(3, update("new", 1, 2, InstancePhase::Gone));
    expect_that!(phase_of(&table, "next"), none());
    table.merge(1_502, update("next", 1, 2, InstancePhase::Ready));
    expect_that!(phase_of(&table, "next"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn heartbeats_of_an_unknown_crashed_instance_do_not_mark_its_successor_as_gone() {
    // The process has no record of the old instance, or has removed it.
    let mut table = InstanceTable::default();
    table.merge(0, update("new", 1, 1, InstancePhase::Ready));
    for sequence in [7, 5, 5, 8] {
        let changed = table.merge(1, update("old", 1, sequence, InstancePhase::Ready));
        expect_that!(changed, is_empty());
    }
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
    expect_that!(phase_of(&table, "old"), none());
    // Nor if the successor is silent for a while: copies of a message do not count.
    table.merge(9_000, update("old", 1, 5, InstancePhase::Ready));
    table.merge(10_500, update("old", 1, 5, InstancePhase::Ready));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn a_newcomer_that_another_process_reports_is_admitted_when_the_holder_is_gone() {
    let mut table = InstanceTable::default();
    table.merge(0, update("old", 1, 4, InstancePhase::Ready));
    table.merge(1_000, update("new", 1, 1, InstancePhase::Ready));
    table.note_remote_contact(2_500, &BackendId::from("new"));
    table.note_remote_contact(4_000, &BackendId::from("new"));
    // Copies of one message could cause these reports: the holder must be gone first.
    expect_that!(table.expire(4_000, 5_000), is_empty());
    table.note_remote_contact(5_200, &BackendId::from("new"));
    expect_that!(table.expire(5_500, 5_000), len(eq(2)));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn a_heartbeat_without_changes_is_not_reported() {
    let mut table = InstanceTable::default();
    table.merge(0, update("i", 1, 1, InstancePhase::Ready));
    expect_that!(
        table.merge(1_500, update("i", 1, 2, InstancePhase::Ready)),
        is_empty()
    );
    let mut cold = update("i", 1, 3, InstancePhase::Ready);
    cold.cold_ms = 3_000;
    expect_that!(table.merge(3_000, cold.clone()), not(is_empty()));
    // The same end of the cold time, sent a heartbeat later.
    cold.instance.sequence = 4;
    cold.cold_ms = 1_500;
    expect_that!(table.merge(4_500, cold), is_empty());
}

#[gtest]
fn silent_back_ends_are_gone_and_their_tombstones_expire_later() {
    let mut table = InstanceTable::default();
    table.merge(0, update("i", 1, 1, InstancePhase::Ready));
    table.note_remote_contact(5_000, &BackendId::from("i"));
    expect_that!(table.expire(14_000, 10_000), is_empty());
    expect_that!(table.expire(15_001, 10_000), len(eq(1)));
    expect_that!(phase_of(&table, "i"), some(eq(InstancePhase::Gone)));
    table.expire(15_000 + 10_000 + 120_001, 10_000);
    expect_that!(phase_of(&table, "i"), none());
}
