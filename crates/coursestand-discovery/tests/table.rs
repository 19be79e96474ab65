//! Records of back ends move forward only, in whatever order news come.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Instance, InstanceNews, InstancePhase, InstanceTable};
use coursestand_model::{BackendId, ServiceId, ZoneId};
use googletest::prelude::*;
use proptest::prelude::*;

fn news(id: &str, port: u16, sequence: u64, phase: InstancePhase) -> InstanceNews {
    InstanceNews {
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
    /// Two tables that hear the same in different orders agree, and the phase
    /// is the furthest that was heard.
    #[test]
    fn the_order_of_news_does_not_matter(
        all in proptest::collection::vec((1..20_u64, phases()), 1..12),
        seed in proptest::collection::vec(0..1_000_usize, 12),
    ) {
        let heard: Vec<InstanceNews> =
            all.iter().map(|(sequence, phase)| news("i", 1, *sequence, *phase)).collect();
        let mut shuffled = heard.clone();
        for (index, pick) in seed.iter().enumerate() {
            let length = shuffled.len();
            shuffled.swap(index % length, pick % length);
        }
        let mut first = InstanceTable::default();
        let mut second = InstanceTable::default();
        for one in heard {
            first.merge(0, one);
        }
        for one in shuffled {
            second.merge(0, one);
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
fn a_late_heartbeat_does_not_bring_a_leaving_back_end_back() {
    let mut table = InstanceTable::default();
    table.merge(0, news("i", 1, 4, InstancePhase::Draining));
    expect_that!(
        table.merge(1, news("i", 1, 3, InstancePhase::Ready)),
        is_empty()
    );
    // Even a later one: leaving never turns back.
    table.merge(2, news("i", 1, 5, InstancePhase::Ready));
    expect_that!(phase_of(&table, "i"), some(eq(InstancePhase::Draining)));
}

#[gtest]
fn a_newcomer_that_lives_on_ends_the_silent_one_that_had_its_address() {
    let mut table = InstanceTable::default();
    table.merge(0, news("old", 1, 4, InstancePhase::Ready));
    let changed = table.merge(2_000, news("new", 1, 1, InstancePhase::Ready));
    expect_that!(changed, is_empty());
    let changed = table.merge(3_500, news("new", 1, 2, InstancePhase::Ready));
    expect_that!(
        changed,
        unordered_elements_are![eq(&BackendId::from("old")), eq(&BackendId::from("new"))]
    );
    expect_that!(phase_of(&table, "old"), some(eq(InstancePhase::Gone)));
    // A late heartbeat of the old one changes nothing.
    table.merge(3_600, news("old", 1, 9, InstancePhase::Ready));
    expect_that!(phase_of(&table, "old"), some(eq(InstancePhase::Gone)));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn a_newcomer_has_an_address_at_once_that_is_free() {
    let mut table = InstanceTable::default();
    table.merge(0, news("old", 1, 4, InstancePhase::Gone));
    table.merge(1, news("new", 1, 1, InstancePhase::Ready));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
    // One that waits for it has it with its first heartbeat after that.
    table.merge(2, news("next", 1, 1, InstancePhase::Ready));
    expect_that!(phase_of(&table, "next"), none());
    table.merge(3, news("new", 1, 2, InstancePhase::Gone));
    expect_that!(phase_of(&table, "next"), none());
    table.merge(1_502, news("next", 1, 2, InstancePhase::Ready));
    expect_that!(phase_of(&table, "next"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn a_heartbeat_of_one_that_ended_unknown_does_not_end_its_successor() {
    // The process never heard of the old one, or has forgotten it.
    let mut table = InstanceTable::default();
    table.merge(0, news("new", 1, 1, InstancePhase::Ready));
    for sequence in [7, 5, 5, 8] {
        let changed = table.merge(1, news("old", 1, sequence, InstancePhase::Ready));
        expect_that!(changed, is_empty());
    }
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
    expect_that!(phase_of(&table, "old"), none());
    // Nor when it is silent for a while: copies of a message are no sign of life.
    table.merge(9_000, news("old", 1, 5, InstancePhase::Ready));
    table.merge(10_500, news("old", 1, 5, InstancePhase::Ready));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn a_newcomer_that_another_process_hears_is_admitted_when_the_old_one_ends() {
    let mut table = InstanceTable::default();
    table.merge(0, news("old", 1, 4, InstancePhase::Ready));
    table.merge(1_000, news("new", 1, 1, InstancePhase::Ready));
    table.heard(2_500, &BackendId::from("new"));
    table.heard(4_000, &BackendId::from("new"));
    // Copies of one message could be heard so: it waits for the end of the old one.
    expect_that!(table.expire(4_000, 5_000), is_empty());
    table.heard(5_200, &BackendId::from("new"));
    expect_that!(table.expire(5_500, 5_000), len(eq(2)));
    expect_that!(phase_of(&table, "new"), some(eq(InstancePhase::Ready)));
}

#[gtest]
fn a_heartbeat_that_says_nothing_new_is_no_news() {
    let mut table = InstanceTable::default();
    table.merge(0, news("i", 1, 1, InstancePhase::Ready));
    expect_that!(
        table.merge(1_500, news("i", 1, 2, InstancePhase::Ready)),
        is_empty()
    );
    let mut cold = news("i", 1, 3, InstancePhase::Ready);
    cold.cold_ms = 3_000;
    expect_that!(table.merge(3_000, cold.clone()), not(is_empty()));
    // The same end of the cold time, told a heartbeat later.
    cold.instance.sequence = 4;
    cold.cold_ms = 1_500;
    expect_that!(table.merge(4_500, cold), is_empty());
}

#[gtest]
fn silent_back_ends_end_and_their_tombstones_go_later() {
    let mut table = InstanceTable::default();
    table.merge(0, news("i", 1, 1, InstancePhase::Ready));
    table.heard(5_000, &BackendId::from("i"));
    expect_that!(table.expire(14_000, 10_000), is_empty());
    expect_that!(table.expire(15_001, 10_000), len(eq(1)));
    expect_that!(phase_of(&table, "i"), some(eq(InstancePhase::Gone)));
    table.expire(15_000 + 10_000 + 120_001, 10_000);
    expect_that!(phase_of(&table, "i"), none());
}
