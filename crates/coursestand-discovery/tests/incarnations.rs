//! Back ends that restart under their identity, with updates of all their incarnations
//! delayed, duplicated and reordered. The table holds the state that the newest known
//! incarnation announced; updates of earlier incarnations change nothing. A naive model,
//! in which the phase never goes back across incarnations, keeps a restarted back end out.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Instance, InstancePhase, InstanceTable, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const STARTED_AT_MS: Millis = 1_796_259_000_000;

fn update(born: Option<Millis>, port: u16, sequence: u64, phase: InstancePhase) -> InstanceUpdate {
    update_of("i", born, port, sequence, phase)
}

fn update_of(
    id: &str,
    born: Option<Millis>,
    port: u16,
    sequence: u64,
    phase: InstancePhase,
) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from(id),
            born,
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

fn instance(table: &InstanceTable, id: &str) -> Option<Instance> {
    Some(table.get(&BackendId::from(id))?.instance.clone())
}

fn phases() -> impl Strategy<Value = InstancePhase> {
    prop_oneof![
        4 => Just(InstancePhase::Ready),
        1 => Just(InstancePhase::Draining),
        1 => Just(InstancePhase::Gone),
    ]
}

/// Returns the start time of the newest incarnation and its furthest phase.
fn expected(all: &[(u64, u64, InstancePhase)]) -> (Millis, InstancePhase) {
    let newest = all.iter().map(|(run, ..)| *run).max().expect("an update");
    let of_newest = all.iter().filter(|(run, ..)| *run == newest);
    let furthest = of_newest
        .map(|(_, _, phase)| *phase)
        .max()
        .expect("an update");
    (STARTED_AT_MS + newest, furthest)
}

fn updates(all: &[(u64, u64, InstancePhase)]) -> Vec<InstanceUpdate> {
    all.iter()
        .map(|(run, sequence, phase)| update(Some(STARTED_AT_MS + run), 1, *sequence, *phase))
        .collect()
}

/// Returns the phase by the naive rule, which ignores incarnations.
fn naive_phase(all: &[InstanceUpdate]) -> Option<InstancePhase> {
    all.iter().map(|update| update.instance.phase).max()
}

/// Fixes the seed unless one is given, so that each run has the same cases.
fn seeded() -> ProptestConfig {
    let given = ProptestConfig::default();
    let rng_seed = match given.rng_seed {
        RngSeed::Random => RngSeed::Fixed(11),
        RngSeed::Fixed(seed) => RngSeed::Fixed(seed),
    };
    ProptestConfig { rng_seed, ..given }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn the_newest_incarnation_wins_in_any_order_of_updates(
        all in proptest::collection::vec((0..4_u64, 1..400_u64, phases()), 1..16),
        order in proptest::collection::vec(0..1_000_usize, 24),
    ) {
        let (born, phase) = expected(&all);
        let updates = updates(&all);
        let mut table = InstanceTable::default();
        // Duplicates in any order, and then each update once.
        for pick in order {
            table.merge(0, updates[pick % updates.len()].clone());
        }
        for update in updates.iter().rev() {
            table.merge(0, update.clone());
        }
        let known = instance(&table, "i").expect("known");
        prop_assert_eq!((known.born, known.phase), (Some(born), phase));
        // A process that starts from this table's state arrives at the same state.
        let mut new_process = InstanceTable::default();
        for known in table.iter() {
            new_process.adopt(0, known.to_update(0));
        }
        prop_assert_eq!(instance(&new_process, "i").map(|known| known.phase), Some(phase));
    }
}

#[gtest]
fn a_back_end_that_left_and_restarts_is_ready() {
    let mut table = InstanceTable::default();
    table.merge(0, update(Some(STARTED_AT_MS), 1, 400, InstancePhase::Ready));
    table.merge(10, update(Some(STARTED_AT_MS), 1, 401, InstancePhase::Gone));
    let restarted = update(Some(STARTED_AT_MS + 5_000), 1, 1, InstancePhase::Ready);
    expect_that!(table.merge(5_000, restarted.clone()), not(is_empty()));
    expect_that!(
        instance(&table, "i").map(|known| known.phase),
        some(eq(InstancePhase::Ready))
    );
    let naive = naive_phase(&[
        update(Some(STARTED_AT_MS), 1, 401, InstancePhase::Gone),
        restarted.clone(),
    ]);
    expect_that!(naive, some(eq(InstancePhase::Gone)));
    // Late updates of the first incarnation, also that it drains, are ignored.
    let late = update(Some(STARTED_AT_MS), 1, 900, InstancePhase::Draining);
    expect_that!(table.merge(5_100, late), is_empty());
    expect_that!(instance(&table, "i"), some(eq(&restarted.instance)));
}

#[gtest]
fn an_incarnation_at_another_address_replaces_the_previous_one() {
    let mut table = InstanceTable::default();
    table.merge(0, update(Some(STARTED_AT_MS), 1, 400, InstancePhase::Ready));
    table.merge(
        10,
        update(Some(STARTED_AT_MS + 5), 2, 1, InstancePhase::Ready),
    );
    let address = instance(&table, "i").expect("known").address;
    expect_that!(address.port(), eq(2));
}

/// The new address of an incarnation may still belong to another back end. The incarnation
/// then claims it, as any newcomer does, and the previous one is gone meanwhile.
#[gtest]
fn an_incarnation_at_an_address_that_is_held_claims_it() {
    let mut table = InstanceTable::default();
    table.merge(0, update(Some(STARTED_AT_MS), 1, 400, InstancePhase::Ready));
    table.merge(
        0,
        update_of("j", Some(STARTED_AT_MS), 2, 400, InstancePhase::Ready),
    );
    let moved = |sequence| update(Some(STARTED_AT_MS + 5), 2, sequence, InstancePhase::Ready);
    table.merge(10, moved(1));
    let phase = |table: &InstanceTable, id| instance(table, id).map(|known| known.phase);
    expect_that!(phase(&table, "i"), some(eq(InstancePhase::Gone)));
    expect_that!(phase(&table, "j"), some(eq(InstancePhase::Ready)));
    for (now, sequence) in [(1_500, 2), (3_000, 3), (4_500, 4)] {
        table.merge(now, moved(sequence));
        // Late updates of the first incarnation do not remove the claim.
        table.merge(
            now,
            update(Some(STARTED_AT_MS), 1, 500, InstancePhase::Ready),
        );
    }
    expect_that!(phase(&table, "i"), some(eq(InstancePhase::Ready)));
    expect_that!(phase(&table, "j"), some(eq(InstancePhase::Gone)));
}

/// Of two software versions only one sends the start time. An update without it counts as
/// one of the known incarnation and never starts a new one.
#[gtest]
fn updates_without_a_start_time_apply_to_the_known_incarnation() {
    let mut table = InstanceTable::default();
    table.merge(0, update(Some(STARTED_AT_MS), 1, 4, InstancePhase::Ready));
    table.merge(1, update(None, 1, 5, InstancePhase::Draining));
    let known = instance(&table, "i").expect("known");
    expect_that!(known.born, some(eq(STARTED_AT_MS)));
    expect_that!(known.phase, eq(InstancePhase::Draining));
    // The first update with a start time does not start a new incarnation either.
    let mut table = InstanceTable::default();
    table.merge(0, update(None, 1, 4, InstancePhase::Draining));
    table.merge(1, update(Some(STARTED_AT_MS), 1, 5, InstancePhase::Ready));
    let known = instance(&table, "i").expect("known");
    expect_that!(known.born, some(eq(STARTED_AT_MS)));
    expect_that!(known.phase, eq(InstancePhase::Draining));
}
