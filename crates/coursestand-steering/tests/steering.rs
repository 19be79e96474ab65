//! Exact splitting by shares, slots within what is held, and look-ups.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use coursestand_coordination::shares::ShareVector;
use coursestand_coordination::tables::SlotMap;
use coursestand_model::platform::BackendState;
use coursestand_model::{FULL_SHARE, ZoneId};
use coursestand_steering::backends::{BackendNews, BackendTable, FAILURES_UNTIL_UNREACHABLE};
use coursestand_steering::clients::ClientBlocks;
use coursestand_steering::wheel::ShareWheel;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn zone(index: usize) -> ZoneId {
    ZoneId(format!("zone-{index}"))
}

fn news<'a>(
    id: &'a coursestand_model::BackendId,
    epoch: u64,
    state: BackendState,
) -> BackendNews<'a> {
    static SERVICE: std::sync::LazyLock<coursestand_model::ServiceId> =
        std::sync::LazyLock::new(|| "desk".into());
    static ZONE: std::sync::LazyLock<ZoneId> = std::sync::LazyLock::new(|| "zone-0".into());
    BackendNews {
        id,
        service: &SERVICE,
        zone: &ZONE,
        address: "127.0.0.1:1",
        epoch,
        state,
    }
}

proptest! {
    #![proptest_config(fixed(300))]

    /// After any number of requests each zone has its share, give or take less
    /// than the number of zones.
    #[test]
    fn requests_are_split_exactly(weights in prop::collection::vec(0..50_u64, 1..8), count in 1..3_000_usize) {
        let weights: BTreeMap<ZoneId, u64> =
            weights.iter().enumerate().map(|(index, weight)| (zone(index), *weight)).collect();
        let Some(shares) = ShareVector::in_proportion(&weights) else {
            return Ok(());
        };
        let mut wheel = ShareWheel::default();
        wheel.replace(&shares);
        let mut dealt: BTreeMap<ZoneId, usize> = BTreeMap::new();
        for _ in 0..count {
            *dealt.entry(wheel.deal().expect("a zone").clone()).or_default() += 1;
        }
        for zone in weights.keys() {
            let wanted = count as f64 * f64::from(shares.of(zone)) / f64::from(FULL_SHARE);
            let got = dealt.get(zone).copied().unwrap_or(0) as f64;
            prop_assert!((got - wanted).abs() < weights.len() as f64, "{} got {} of {}", zone, got, wanted);
        }
    }

    /// Against a naive count: never more in use than slots held when taken, and
    /// nothing to a back end that is leaving or unreachable.
    #[test]
    fn slots_are_never_exceeded(steps in prop::collection::vec((0..6_u8, 0..4_usize, 0..5_u32), 1..120)) {
        let ids: Vec<coursestand_model::BackendId> =
            (0..4).map(|index| format!("b-{index}").as_str().into()).collect();
        let mut table = BackendTable::default();
        for id in &ids {
            table.update(&news(id, 1, BackendState::Live));
        }
        let pool = table.pool_index(&"desk".into(), &"zone-0".into()).expect("a pool");
        let mut held = SlotMap::new();
        let mut naive_in_use = [0_u32; 4];
        let mut naive_leaving = [false; 4];
        let mut naive_failures = [0_u32; 4];
        let mut taken = Vec::new();
        for (kind, index, count) in steps {
            match kind {
                0 => {
                    held.insert(ids[index].clone(), count);
                    table.set_slots(&held);
                }
                1 | 2 => {
                    if let Some(chosen) = table.take_slot(pool, None) {
                        let id = &table.get(chosen).id;
                        let position = ids.iter().position(|known| known == id).expect("known");
                        naive_in_use[position] += 1;
                        prop_assert!(naive_in_use[position] <= held.get(id).copied().unwrap_or(0));
                        prop_assert!(!naive_leaving[position]);
                        prop_assert!(naive_failures[position] < FAILURES_UNTIL_UNREACHABLE);
                        taken.push((chosen, position));
                    }
                }
                3 => {
                    if let Some((chosen, position)) = taken.pop() {
                        table.give_back(chosen);
                        naive_in_use[position] -= 1;
                    }
                }
                4 => {
                    table.note_leaving(&ids[index], 1);
                    naive_leaving[index] = true;
                    // Older news does not take it back.
                    table.update(&news(&ids[index], 1, BackendState::Live));
                }
                _ => {
                    let answered = count == 0;
                    table.note_probe(&ids[index], answered);
                    naive_failures[index] = if answered { 0 } else { naive_failures[index] + 1 };
                }
            }
        }
    }
}

#[gtest]
fn the_longest_block_decides() {
    let block = |block: &str, zone: &str| coursestand_model::bundle::ClientBlock {
        block: block.parse().expect("a block"),
        zone: zone.into(),
    };
    let table = ClientBlocks::new(&[
        block("10.0.0.0/8", "wide"),
        block("10.1.0.0/16", "narrow"),
        block("2001:db8::/32", "six"),
    ]);
    let zone_of = |text: &str| {
        table
            .zone_of(text.parse().expect("an address"))
            .map(ZoneId::as_str)
    };
    expect_that!(zone_of("10.1.2.3"), eq(Some("narrow")));
    expect_that!(zone_of("10.2.2.3"), eq(Some("wide")));
    expect_that!(zone_of("2001:db8::1"), eq(Some("six")));
    expect_that!(zone_of("192.0.2.1"), none());
}

#[gtest]
fn a_back_end_that_fails_fast_attracts_no_traffic() {
    let ids: Vec<coursestand_model::BackendId> = vec!["fast".into(), "sound".into()];
    let mut table = BackendTable::default();
    for id in &ids {
        table.update(&news(id, 1, BackendState::Live));
    }
    table.set_slots(&ids.iter().map(|id| (id.clone(), 4)).collect());
    let pool = table
        .pool_index(&"desk".into(), &"zone-0".into())
        .expect("a pool");
    let mut to_fast = 0;
    for _ in 0..100 {
        let chosen = table.take_slot(pool, None).expect("a slot");
        if table.get(chosen).id.as_str() == "fast" {
            to_fast += 1;
            table.note_failure(chosen);
        } else {
            table.note_answer(chosen, 20.0);
        }
        table.give_back(chosen);
    }
    expect_that!(to_fast, le(FAILURES_UNTIL_UNREACHABLE));
}
