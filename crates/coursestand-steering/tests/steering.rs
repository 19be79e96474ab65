//! Distribution of requests by shares, use of slots within the slots held, and the zones
//! of client addresses.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use coursestand_coordination::shares::ShareVector;
use coursestand_coordination::tables::SlotMap;
use coursestand_model::platform::BackendState;
use coursestand_model::{FULL_SHARE, ZoneId};
use coursestand_steering::backends::{BackendTable, BackendUpdate, FAILURES_UNTIL_UNREACHABLE};
use coursestand_steering::clients::ClientBlocks;
use coursestand_steering::round_robin::WeightedRoundRobin;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn deterministic_config(cases: u32) -> ProptestConfig {
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

fn backend_update<'a>(
    id: &'a coursestand_model::BackendId,
    epoch: u64,
    state: BackendState,
) -> BackendUpdate<'a> {
    static SERVICE: std::sync::LazyLock<coursestand_model::ServiceId> =
        std::sync::LazyLock::new(|| "desk".into());
    static ZONE: std::sync::LazyLock<ZoneId> = std::sync::LazyLock::new(|| "zone-0".into());
    BackendUpdate {
        id,
        service: &SERVICE,
        zone: &ZONE,
        address: "127.0.0.1:1",
        epoch,
        state,
    }
}

proptest! {
    #![proptest_config(deterministic_config(300))]

    /// After any number of requests, the count of each zone deviates from its share by
    /// less than the number of zones.
    #[test]
    fn requests_are_distributed_in_proportion_to_shares(weights in prop::collection::vec(0..50_u64, 1..8), count in 1..3_000_usize) {
        let weights: BTreeMap<ZoneId, u64> =
            weights.iter().enumerate().map(|(index, weight)| (zone(index), *weight)).collect();
        let Some(shares) = ShareVector::in_proportion(&weights) else {
            return Ok(());
        };
        let mut balancer = WeightedRoundRobin::default();
        balancer.set_shares(&shares);
        let mut counts: BTreeMap<ZoneId, usize> = BTreeMap::new();
        for _ in 0..count {
            *counts.entry(balancer.next_zone().expect("a zone").clone()).or_default() += 1;
        }
        for zone in weights.keys() {
            let expected = count as f64 * f64::from(shares.of(zone)) / f64::from(FULL_SHARE);
            let received = counts.get(zone).copied().unwrap_or(0) as f64;
            prop_assert!((received - expected).abs() < weights.len() as f64, "{} received {} requests, expected {}", zone, received, expected);
        }
    }

    /// Compares the table with a plain count: a slot is acquired only within the slots held,
    /// and never on a back end that is leaving or unreachable.
    #[test]
    fn slots_in_use_never_exceed_slots_held(steps in prop::collection::vec((0..6_u8, 0..4_usize, 0..5_u32), 1..120)) {
        let ids: Vec<coursestand_model::BackendId> =
            (0..4).map(|index| format!("b-{index}").as_str().into()).collect();
        let mut table = BackendTable::default();
        for id in &ids {
            table.update(&backend_update(id, 1, BackendState::Live));
        }
        let pool = table.pool_index(&"desk".into(), &"zone-0".into()).expect("a pool");
        let mut held_slots = SlotMap::new();
        let mut expected_in_use = [0_u32; 4];
        let mut is_leaving = [false; 4];
        let mut expected_failures = [0_u32; 4];
        let mut acquired = Vec::new();
        for (kind, index, count) in steps {
            match kind {
                0 => {
                    held_slots.insert(ids[index].clone(), count);
                    table.set_slots(&held_slots);
                }
                1 | 2 => {
                    if let Some(chosen) = table.acquire_slot(pool, None) {
                        let id = &table.get(chosen).id;
                        let position = ids.iter().position(|candidate| candidate == id).expect("known");
                        expected_in_use[position] += 1;
                        prop_assert!(expected_in_use[position] <= held_slots.get(id).copied().unwrap_or(0));
                        prop_assert!(!is_leaving[position]);
                        prop_assert!(expected_failures[position] < FAILURES_UNTIL_UNREACHABLE);
                        acquired.push((chosen, position));
                    }
                }
                3 => {
                    if let Some((chosen, position)) = acquired.pop() {
                        table.release_slot(chosen);
                        expected_in_use[position] -= 1;
                    }
                }
                4 => {
                    table.note_leaving(&ids[index], 1);
                    is_leaving[index] = true;
                    // A row of the same epoch does not revert it to "live".
                    table.update(&backend_update(&ids[index], 1, BackendState::Live));
                }
                _ => {
                    let answered = count == 0;
                    table.note_probe(&ids[index], answered);
                    expected_failures[index] = if answered { 0 } else { expected_failures[index] + 1 };
                }
            }
        }
    }
}

#[gtest]
fn the_longest_matching_client_block_selects_the_zone() {
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
fn a_back_end_that_fails_fast_does_not_attract_traffic() {
    let ids: Vec<coursestand_model::BackendId> = vec!["fast".into(), "healthy".into()];
    let mut table = BackendTable::default();
    for id in &ids {
        table.update(&backend_update(id, 1, BackendState::Live));
    }
    table.set_slots(&ids.iter().map(|id| (id.clone(), 4)).collect());
    let pool = table
        .pool_index(&"desk".into(), &"zone-0".into())
        .expect("a pool");
    let mut to_fast = 0;
    for _ in 0..100 {
        let chosen = table.acquire_slot(pool, None).expect("a slot");
        if table.get(chosen).id.as_str() == "fast" {
            to_fast += 1;
            table.note_failure(chosen);
        } else {
            table.note_answer(chosen, 20.0);
        }
        table.release_slot(chosen);
    }
    expect_that!(to_fast, le(FAILURES_UNTIL_UNREACHABLE));
}
