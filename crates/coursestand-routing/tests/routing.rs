//! Routing decisions: route, traffic split, region and back end of a request.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use coursestand_catalog::patch::Upsert;
use coursestand_catalog::{
    Catalog, Item, ItemKey, Patch, Route, RouteKind, RouteTarget, ServiceItem,
};
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, RegionId, ServiceId, ZoneId};
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::{ColdLimits, OwnerViews, owner};
use coursestand_routing::hash::hash_of;
use coursestand_routing::picker::{Balance, PickerConfig};
use coursestand_routing::shares::RegionShares;
use coursestand_routing::split::SplitState;
use coursestand_routing::{
    Backends, LimitAccess, LoadReport, PickRequest, Picker, Refusal, RouteTable,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ZONES: [(&str, &str); 3] = [("a-1", "a"), ("b-1", "b"), ("c-1", "c")];

fn config(region: &str) -> PickerConfig {
    PickerConfig {
        daemon: "edge-1".to_owned(),
        region: RegionId::from(region),
        zones: ZONES
            .iter()
            .map(|(zone, region)| (ZoneId::from(*zone), RegionId::from(*region)))
            .collect(),
        cold: ColdLimits {
            overage: 1.5,
            slack: 5.0,
        },
        balance: Balance {
            hard_load: 1.6,
            report_decay: ReportDecay {
                hold_ms: 250,
                half_life_ms: 400,
            },
        },
    }
}

fn update(id: &str, zone: &str) -> InstanceUpdate {
    let host = (hash_of(id) % 250) as u8;
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from(id),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([10, 0, (hash_of(id) >> 8) as u8, host], 80)),
            zone: ZoneId::from(zone),
            capacity: 4,
            software: "v1".to_owned(),
            sequence: 1,
            phase: InstancePhase::Ready,
        },
        cold_ms: 0,
    }
}

fn fleet(counts: &[(&str, usize)]) -> Backends {
    let mut backends = Backends::default();
    for (zone, count) in counts {
        for number in 0..*count {
            backends.merge(0, update(&format!("{zone}-i{number}"), zone));
        }
    }
    backends
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let service = ServiceItem {
        health_path: String::new(),
        max_connections: 10,
        cold_start_ms: 3_000,
        cold_per_second: 9.0,
        notation: String::new(),
    };
    let patch = Patch {
        upserts: vec![Upsert {
            key: ItemKey::Service(ServiceId::from("s")),
            version: 1,
            item: Item::Service(service),
        }],
        removals: Vec::new(),
    };
    catalog.merge(&patch, 1).expect("valid");
    catalog
}

fn daemons() -> BTreeSet<String> {
    (1..=12).map(|number| format!("edge-{number}")).collect()
}

/// The view of a daemon that has followed control for a long time.
fn owners() -> OwnerViews {
    let mut owners = OwnerViews::new(0);
    owners.set(0, Some(daemons()));
    owners
}

struct RequestParameters<'a> {
    service: &'a ServiceId,
    allowed: &'a [RegionId],
    excluded: &'a [BackendId],
}

impl RequestParameters<'_> {
    fn request(&self, key: &str, now: u64) -> PickRequest<'_> {
        PickRequest {
            service: self.service,
            key: hash_of(key),
            has_object: true,
            objective_ms: 300,
            allowed_regions: self.allowed,
            excluded: self.excluded,
            limits: LimitAccess::default(),
            now,
        }
    }
}

fn pick(
    picker: &mut Picker,
    backends: &Backends,
    key: &str,
) -> std::result::Result<String, Refusal> {
    let service = ServiceId::from("s");
    let parameters = RequestParameters {
        service: &service,
        allowed: &[],
        excluded: &[],
    };
    let picked = picker.pick(backends, &catalog(), &owners(), &parameters.request(key, 0));
    picked.map(|pick| pick.id.0)
}

#[gtest]
fn every_daemon_of_a_region_sends_a_key_to_the_same_back_end() {
    let backends = fleet(&[("a-1", 5), ("b-1", 5), ("c-1", 5)]);
    let mut first = Picker::new(config("a"));
    let mut second = Picker::new(PickerConfig {
        daemon: "edge-2".to_owned(),
        ..config("a")
    });
    for number in 0..200 {
        let key = number.to_string();
        expect_that!(
            pick(&mut first, &backends, &key),
            eq(&pick(&mut second, &backends, &key))
        );
    }
}

#[gtest]
fn a_leaving_back_end_moves_only_its_own_keys() {
    let mut backends = fleet(&[("a-1", 5), ("b-1", 5), ("c-1", 5)]);
    let mut picker = Picker::new(config("a"));
    let keys: Vec<String> = (0..400).map(|number| number.to_string()).collect();
    let before: Vec<_> = keys
        .iter()
        .map(|key| pick(&mut picker, &backends, key))
        .collect();
    let mut leaving = update("a-1-i0", "a-1");
    leaving.instance.sequence = 2;
    leaving.instance.phase = InstancePhase::Draining;
    backends.merge(1, leaving);
    let mut moved = 0;
    for (key, before) in keys.iter().zip(&before) {
        let after = pick(&mut picker, &backends, key);
        expect_that!(after, not(eq(&Ok("a-1-i0".to_owned()))));
        moved += usize::from(after != *before);
    }
    let assigned = before
        .iter()
        .filter(|id| **id == Ok("a-1-i0".to_owned()))
        .count();
    expect_that!(moved, eq(assigned));
}

#[gtest]
fn a_service_at_capacity_refuses_and_does_not_spill_over_to_another_region() {
    let mut backends = fleet(&[("a-1", 2), ("b-1", 4), ("c-1", 4)]);
    let mut picker = Picker::new(config("b"));
    let key = (0..100)
        .map(|number| number.to_string())
        .find(|key| pick(&mut picker, &backends, key).is_ok_and(|id| id.starts_with('b')))
        .expect("a key assigned to the region");
    // Without known work times the key's first back end of the region fills up to the hard
    // load of its four slots, and then the service is busy.
    let mut taken: HashMap<String, u32> = HashMap::new();
    while let Ok(id) = pick(&mut picker, &backends, &key) {
        backends.start(&BackendId::from(id.as_str()));
        *taken.entry(id).or_default() += 1;
    }
    expect_that!(taken.len(), eq(1));
    expect_that!(taken.keys().all(|id| id.starts_with('b')), eq(true));
    expect_that!(taken.values().sum::<u32>(), eq(7));
    expect_that!(
        pick(&mut picker, &backends, &key),
        err(matches_pattern!(Refusal::Busy { .. }))
    );
}

#[gtest]
fn a_region_without_back_ends_is_served_by_the_others() {
    let backends = fleet(&[("b-1", 4), ("c-1", 4)]);
    let mut picker = Picker::new(config("a"));
    for number in 0..50 {
        expect_that!(
            pick(&mut picker, &backends, &number.to_string()),
            ok(anything())
        );
    }
    expect_that!(
        pick(&mut picker, &Backends::default(), "1"),
        eq(&Err(Refusal::NoBackend))
    );
}

#[gtest]
fn allowed_regions_and_evacuations_are_respected() {
    let backends = fleet(&[("a-1", 3), ("b-1", 3), ("c-1", 3)]);
    let mut catalog = catalog();
    let service = ServiceId::from("s");
    let allowed = [RegionId::from("b")];
    let parameters = RequestParameters {
        service: &service,
        allowed: &allowed,
        excluded: &[],
    };
    let mut picker = Picker::new(config("a"));
    for number in 0..100 {
        let request = parameters.request(&number.to_string(), 0);
        let picked = picker
            .pick(&backends, &catalog, &owners(), &request)
            .expect("a pick");
        expect_that!(picked.id.as_str(), starts_with("b-1"));
    }
    catalog.set_evacuation(&ZoneId::from("b-1"), true, 2);
    picker.invalidate(1);
    let refused = picker.pick(&backends, &catalog, &owners(), &parameters.request("1", 1));
    expect_that!(refused, eq(&Err(Refusal::NoBackend)));
}

#[gtest]
fn a_load_report_counts_and_decays() {
    let mut backends = fleet(&[("a-1", 1), ("b-1", 1), ("c-1", 1)]);
    let id = BackendId::from("a-1-i0");
    backends.start(&id);
    let report = LoadReport {
        running: 4,
        waiting: 3,
    };
    backends.note_answer(1_000, &id, Some(report));
    backends.finish(&id);
    let report_decay = config("a").balance.report_decay;
    let load = |now| backends.get(&id).expect("known").load(now, report_decay);
    expect_that!(load(1_200), near(6.0, 0.01));
    // One second is a quarter of the time constant of the average: 1.33 of 6. The report
    // decays towards this average, which itself decays.
    expect_that!(load(1_650), near(3.627, 0.001));
    expect_that!(load(10_000), near(0.609, 0.001));
    expect_that!(load(60_000), lt(0.1));
}

proptest! {
    #[test]
    fn shares_sum_up_to_one_and_exceed_no_region_s_capacity(
        local in 0..3_usize,
        capacity in proptest::collection::vec(0..40_u32, 3),
    ) {
        let regions = ["a", "b", "c"];
        let capacities: BTreeMap<RegionId, f64> = regions
            .iter()
            .zip(&capacity)
            .filter(|(_, capacity)| **capacity > 0)
            .map(|(region, capacity)| (RegionId::from(*region), f64::from(*capacity)))
            .collect();
        let shares = RegionShares::new(&RegionId::from(regions[local]), &capacities, 3);
        let total: f64 = shares.iter().map(|(_, share)| share).sum();
        if capacities.is_empty() {
            prop_assert_eq!(total, 0.0);
        } else {
            prop_assert!((total - 1.0).abs() < 1e-9);
        }
        // No region is assigned more of the total demand than its fraction of the capacity.
        let all: f64 = capacities.values().sum();
        for (region, capacity) in &capacities {
            let assigned: f64 = regions
                .iter()
                .map(|from| {
                    let shares = RegionShares::new(&RegionId::from(*from), &capacities, 3);
                    shares.iter().filter(|(to, _)| to == region).map(|(_, share)| share / 3.0).sum::<f64>()
                })
                .sum();
            prop_assert!(assigned <= capacity / all + 1e-9);
        }
    }

    #[test]
    fn a_split_divides_evenly_over_any_number_of_requests(
        weights in proptest::collection::vec(1..100_u32, 1..5),
        rounds in 100..400_usize,
    ) {
        let mut state = SplitState::default();
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..rounds {
            counts[state.next(&weights)] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let expected = rounds as f64 * f64::from(*weight) / f64::from(total);
            prop_assert!((f64::from(*count) - expected).abs() <= weights.len() as f64);
        }
    }

    /// Many incarnations with few requests each divide these by the weights in total.
    #[test]
    fn incarnations_with_few_requests_divide_evenly_in_total(
        weights in proptest::collection::vec(1..100_u32, 1..5),
        requests_per_incarnation in 1..4_usize,
        seed in any::<u64>(),
    ) {
        const INCARNATIONS: usize = 4_000;
        let mut random = StdRng::seed_from_u64(seed);
        let mut counts = vec![0_usize; weights.len()];
        for _ in 0..INCARNATIONS {
            let mut state = SplitState::at_offset(&weights, random.random());
            for _ in 0..requests_per_incarnation {
                counts[state.next(&weights)] += 1;
            }
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let share = *count as f64 / (INCARNATIONS * requests_per_incarnation) as f64;
            prop_assert!((share - f64::from(*weight) / f64::from(total)).abs() < 0.05);
        }
    }

    /// Compares the route with that of a naive search for the longest prefix.
    #[test]
    fn the_longest_prefix_wins(
        prefixes in proptest::collection::btree_set("(/[ab]){1,4}/", 1..8),
        path in "(/[ab]){1,6}/x",
    ) {
        let mut catalog = catalog();
        for (number, prefix) in prefixes.iter().enumerate() {
            let route = Route {
                host: "h".to_owned(),
                path_prefix: prefix.clone(),
                kind: RouteKind::Once,
                timeout_ms: 1_000,
                target_latency_ms: 100,
                priority: 0,
                target: RouteTarget::Service(ServiceId::from("s")),
                max_attempts: 1,
                affinity: false,
                allowed_regions: Vec::new(),
                notation: String::new(),
            };
            let patch = Patch {
                upserts: vec![Upsert {
                    key: ItemKey::Route(format!("r{number}")),
                    version: 1,
                    item: Item::Route(route),
                }],
                removals: Vec::new(),
            };
            catalog.merge(&patch, number as u64 + 2).expect("valid");
        }
        let naive = prefixes
            .iter()
            .filter(|prefix| path.starts_with(prefix.as_str()))
            .max_by_key(|prefix| prefix.len());
        let table = RouteTable::new(&catalog);
        let found = table.find("H:8080", &path).map(|entry| entry.route.path_prefix.clone());
        prop_assert_eq!(found.as_ref(), naive);
        prop_assert!(table.find("other", &path).is_none());
    }
}

#[gtest]
fn a_cold_back_end_gets_requests_only_from_its_owner() {
    let mut backends = Backends::default();
    let mut cold = update("a-1-i0", "a-1");
    cold.cold_ms = 3_000;
    backends.merge(0, cold);
    let names = daemons();
    let id = BackendId::from("a-1-i0");
    let owner_name = owner(&id, names.iter().map(String::as_str))
        .expect("an owner")
        .to_owned();
    for name in &names {
        let mut picker = Picker::new(PickerConfig {
            daemon: name.clone(),
            ..config("a")
        });
        let result = pick(&mut picker, &backends, "k");
        expect_that!(result.is_ok(), eq(*name == owner_name));
    }
}

#[gtest]
fn a_permanently_overloaded_back_end_counts_as_such_when_its_last_report_is_old() {
    let mut backends = fleet(&[("a-1", 2)]);
    let report_decay = config("a").balance.report_decay;
    let [overloaded, idle] = ["a-1-i0", "a-1-i1"].map(BackendId::from);
    // In a large fleet a daemon receives a report of each back end every two seconds.
    for now in (0..20_000).step_by(2_000) {
        let many = LoadReport {
            running: 4,
            waiting: 6,
        };
        let few = LoadReport {
            running: 1,
            waiting: 0,
        };
        backends.note_answer(now, &overloaded, Some(many));
        backends.note_answer(now, &idle, Some(few));
    }
    let load = |id, now| {
        backends
            .get(id)
            .map_or(0.0, |backend| backend.load(now, report_decay))
    };
    expect_that!(load(&overloaded, 20_000), ge(6.0));
    expect_that!(load(&idle, 20_000), le(1.0));
    // The average decays as well.
    expect_that!(load(&overloaded, 80_000), le(0.5));
}

#[gtest]
fn a_single_report_of_overload_decays_within_seconds() {
    let mut backends = fleet(&[("a-1", 1)]);
    let report_decay = config("a").balance.report_decay;
    let id = BackendId::from("a-1-i0");
    for now in (0..20_000).step_by(500) {
        backends.note_answer(
            now,
            &id,
            Some(LoadReport {
                running: 1,
                waiting: 0,
            }),
        );
    }
    backends.note_answer(
        20_000,
        &id,
        Some(LoadReport {
            running: 4,
            waiting: 8,
        }),
    );
    let load = |now| {
        backends
            .get(&id)
            .map_or(0.0, |backend| backend.load(now, report_decay))
    };
    expect_that!(load(20_000), ge(11.0));
    expect_that!(load(22_000), le(3.0));
}
