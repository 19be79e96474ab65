//! Requests of all daemons to a joining back end: they stay within its limit while it is cold,
//! and reach its share of the load within two seconds after that.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use coursestand_catalog::patch::Upsert;
use coursestand_catalog::{Catalog, Item, ItemKey, Patch, ServiceItem};
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::{ColdLimits, OwnerViews};
use coursestand_routing::picker::{Balance, PickerConfig, SentRequest};
use coursestand_routing::{Backends, LimitAccess, LoadReport, PickRequest, Picker};
use googletest::prelude::*;

const DAEMONS: usize = 6;
const EXISTING_BACKENDS: usize = 4;
const SLOTS: u32 = 4;
const COLD_MS: Millis = 3_000;
const PER_SECOND: f64 = 9.0;
const LIMITS: ColdLimits = ColdLimits {
    overage: 1.5,
    slack: 5.0,
};
const JOINED_AT: Millis = 10_000;
const END: Millis = 20_000;
const OBJECTS: u64 = 400;
/// Work time of a request at a back end without a queue.
const WORK_MS: Millis = 40;

fn id(number: usize) -> BackendId {
    BackendId(format!("i-{number}"))
}

fn update(number: usize, cold_ms: Millis) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: id(number),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([10, 0, 0, number as u8 + 1], 80)),
            zone: ZoneId::from("z"),
            capacity: SLOTS,
            software: "v1".to_owned(),
            sequence: 1,
            phase: InstancePhase::Ready,
        },
        cold_ms,
    }
}

fn catalog() -> Catalog {
    let service = ServiceItem {
        health_path: String::new(),
        max_connections: 10,
        cold_start_ms: COLD_MS,
        cold_per_second: PER_SECOND,
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
    let mut catalog = Catalog::default();
    catalog.merge(&patch, 1).expect("valid");
    catalog
}

struct Daemon {
    backends: Backends,
    picker: Picker,
    owners: OwnerViews,
    /// Requests in flight, each with the times of its end and its start.
    in_flight: Vec<(Millis, Millis, SentRequest)>,
}

impl Daemon {
    fn new(number: usize) -> Daemon {
        let names: BTreeSet<String> = (0..DAEMONS)
            .map(|daemon| format!("edge-{daemon}"))
            .collect();
        let mut owners = OwnerViews::new(0);
        owners.set(0, Some(names));
        let picker = Picker::new(PickerConfig {
            daemon: format!("edge-{number}"),
            region: RegionId::from("r"),
            zones: BTreeMap::from([(ZoneId::from("z"), RegionId::from("r"))]),
            cold: LIMITS,
            balance: Balance {
                hard_load: 1.6,
                report_decay: ReportDecay {
                    hold_ms: 250,
                    half_life_ms: 400,
                },
            },
        });
        let mut backends = Backends::default();
        (0..EXISTING_BACKENDS).for_each(|number| {
            backends.merge(0, update(number, 0));
        });
        Daemon {
            backends,
            picker,
            owners,
            in_flight: Vec::new(),
        }
    }

    fn join(&mut self, now: Millis) {
        self.backends.merge(now, update(EXISTING_BACKENDS, COLD_MS));
        self.picker.invalidate(now);
    }

    fn end_requests(&mut self, now: Millis, loads: &[u32]) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (ended, in_flight): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|(end, _, _)| *end <= now);
        self.in_flight = in_flight;
        for (end, start, sent) in ended {
            let id = &sent.pick.id;
            let number: usize = id.as_str()[2..].parse().expect("a number");
            let report = LoadReport {
                running: loads[number].min(SLOTS),
                waiting: loads[number].saturating_sub(SLOTS),
            };
            self.backends.note_answer(now, id, Some(report));
            if let Some(backend) = self.backends.get(id) {
                let took_ms = (end - start) as f64;
                self.picker.note_answer(now, backend, &sent, took_ms);
            }
            self.backends.finish(id);
        }
    }

    fn send(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        object: u64,
        loads: &[u32],
    ) -> Option<usize> {
        let service = ServiceId::from("s");
        let request = PickRequest {
            service: &service,
            key: coursestand_routing::hash::hash_of(&object.to_string()),
            has_object: true,
            objective_ms: 400,
            allowed_regions: &[],
            excluded: &[],
            limits: LimitAccess::default(),
            now,
        };
        let picked = self
            .picker
            .pick(&self.backends, catalog, &self.owners, &request);
        let pick = picked.ok()?;
        let number: usize = pick.id.as_str()[2..].parse().expect("a number");
        let backend = self.backends.get(&pick.id)?;
        self.picker.note_sent(now, backend);
        self.backends.start(&pick.id);
        let queue_ms = Millis::from(loads[number] / SLOTS) * WORK_MS;
        let sent = SentRequest {
            object: Some(request.key),
            pick,
        };
        self.in_flight.push((now + WORK_MS + queue_ms, now, sent));
        Some(number)
    }
}

/// Runs a simulation with `requests` requests every 10 ms. Returns the times at which requests
/// were sent to the joining back end, and the number of requests sent to all back ends from
/// two seconds after the end of its cold time.
fn simulate(requests: u64) -> (Vec<Millis>, usize) {
    let catalog = catalog();
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(Daemon::new).collect();
    let mut joined = Vec::new();
    let mut late = 0;
    let mut number: u64 = 0;
    for now in (0..END).step_by(10) {
        if now == JOINED_AT {
            daemons.iter_mut().for_each(|daemon| daemon.join(now));
        }
        let mut loads = [0_u32; EXISTING_BACKENDS + 1];
        for (_, _, sent) in daemons.iter().flat_map(|daemon| &daemon.in_flight) {
            let number: usize = sent.pick.id.as_str()[2..].parse().expect("a number");
            loads[number] += 1;
        }
        for daemon in &mut daemons {
            daemon.end_requests(now, &loads);
        }
        for _ in 0..requests {
            number += 1;
            let daemon = &mut daemons[number as usize % DAEMONS];
            // Coprime to the number of objects, so that all of them are visited.
            let object = number * 7_919 % OBJECTS;
            let chosen = daemon.send(now, &catalog, object, &loads);
            if chosen == Some(EXISTING_BACKENDS) {
                joined.push(now);
            }
            let is_late = now >= JOINED_AT + COLD_MS + 2_000;
            late += usize::from(is_late && chosen.is_some());
        }
    }
    (joined, late)
}

#[gtest]
fn a_joining_back_end_gets_its_share_two_seconds_after_its_cold_time() {
    // At half of the total capacity, and close to it.
    for requests in [2, 3] {
        let (joined, late) = simulate(requests);
        let measured_from = JOINED_AT + COLD_MS + 2_000;
        let sent_to_joined = joined.iter().filter(|at| **at >= measured_from).count();
        let share = sent_to_joined as f64 / late as f64;
        let fair = 1.0 / (EXISTING_BACKENDS + 1) as f64;
        expect_that!(share, ge(0.6 * fair), "{requests}");
        expect_that!(share, le(1.6 * fair), "{requests}");
    }
}

#[gtest]
fn a_cold_back_end_gets_no_more_than_its_limit_from_all_daemons() {
    // Up to twice the capacity of the others.
    for requests in [2, 4, 8] {
        let (joined, _) = simulate(requests);
        let bound = (PER_SECOND * LIMITS.overage + LIMITS.slack) as usize;
        let cold: Vec<Millis> = joined
            .into_iter()
            .filter(|at| *at < JOINED_AT + COLD_MS)
            .collect();
        for start in (JOINED_AT..JOINED_AT + COLD_MS).step_by(10) {
            let window = start..start + 1_000;
            let count = cold.iter().filter(|at| window.contains(at)).count();
            expect_that!(count, le(bound), "{requests} from {start}");
        }
        if requests == 8 {
            expect_that!(cold.len(), ge(10), "the others are at capacity");
        }
    }
}
