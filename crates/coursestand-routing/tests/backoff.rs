//! Back-offs and draining as back ends tell them with answers: whom they bind, for how
//! long, and how a back end comes back.
#![allow(missing_docs)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use coursestand_catalog::Catalog;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};
use coursestand_routing::backends::ReportTrust;
use coursestand_routing::backoff::LONGEST_BACKOFF_MS;
use coursestand_routing::cold::{ColdLimits, OwnerViews};
use coursestand_routing::picker::{Balance, Place};
use coursestand_routing::{
    Backend, BackendReport, Backends, LimitAccess, LoadReport, PickRequest, Picker, RateWord,
    Refusal,
};
use googletest::prelude::*;
use proptest::prelude::*;

const SLOTS: u32 = 4;
const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
};

fn id(number: usize) -> BackendId {
    BackendId(format!("i-{number}"))
}

fn news(number: usize, born: Millis, sequence: u64, phase: InstancePhase) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: id(number),
            born: Some(born),
            service: ServiceId::from("s"),
            address: SocketAddr::from(([10, 0, 0, number as u8 + 1], 80)),
            zone: ZoneId::from("z"),
            capacity: SLOTS,
            software: "v1".to_owned(),
            sequence,
            phase,
        },
        cold_ms: 0,
    }
}

fn fleet(count: usize) -> Backends {
    let mut backends = Backends::default();
    for number in 0..count {
        backends.merge(0, news(number, 1, 1, InstancePhase::Ready));
    }
    backends
}

fn known(backends: &Backends, number: usize) -> &Backend {
    backends.get(&id(number)).expect("known")
}

fn picker() -> Picker {
    Picker::new(Place {
        daemon: "edge-1".to_owned(),
        region: RegionId::from("r"),
        zones: BTreeMap::from([(ZoneId::from("z"), RegionId::from("r"))]),
        cold: ColdLimits {
            overage: 1.5,
            slack: 5.0,
        },
        balance: Balance {
            hard_load: 1.6,
            trust: ReportTrust {
                hold_ms: 250,
                half_life_ms: 400,
            },
        },
    })
}

fn pick(backends: &Backends, key: u64, now: Millis) -> std::result::Result<BackendId, Refusal> {
    let service = ServiceId::from("s");
    let request = PickRequest {
        service: &service,
        key,
        has_object: true,
        objective_ms: 300,
        allowed_regions: &[],
        excluded: &[],
        limits: LimitAccess::default(),
        now,
    };
    let owners = OwnerViews::new(0);
    let picked = picker().pick(backends, &Catalog::default(), &owners, &request);
    picked.map(|pick| pick.id)
}

/// A refusal that tells nothing under way and asks for a back-off.
fn refuse(backends: &mut Backends, now: Millis, number: usize, backoff_ms: Millis) {
    let report = BackendReport {
        load: Some(IDLE),
        backoff_ms: Some(backoff_ms),
        drains: false,
        rate: RateWord::Untold,
    };
    backends.note_backoff(now, &id(number), backoff_ms);
    backends.note_shed(now, &id(number), &report);
}

#[gtest]
fn a_later_answer_takes_nothing_of_a_backoff_back() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 3_000);
    refuse(&mut backends, 100, 0, 500);
    backends.note_answer(200, &id(0), Some(IDLE));
    expect_that!(known(&backends, 0).backs_off(2_999), eq(true));
    expect_that!(known(&backends, 0).backs_off(3_000), eq(false));
    refuse(&mut backends, 2_000, 0, 3_000);
    expect_that!(known(&backends, 0).backs_off(4_999), eq(true));
}

#[gtest]
fn a_backoff_without_end_ends() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, Millis::MAX);
    let last = LONGEST_BACKOFF_MS - 1;
    expect_that!(known(&backends, 0).backs_off(last), eq(true));
    expect_that!(known(&backends, 0).backs_off(last + 1), eq(false));
    refuse(&mut backends, Millis::MAX - 1, 0, Millis::MAX);
    expect_that!(known(&backends, 0).backs_off(Millis::MAX - 1), eq(true));
}

#[gtest]
fn it_binds_the_incarnation_that_asked_and_no_later_one() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 3_000);
    backends.note_draining(0, &id(0));
    // News of the same incarnation take nothing back.
    backends.merge(100, news(0, 1, 9, InstancePhase::Ready));
    expect_that!(known(&backends, 0).backs_off(100), eq(true));
    expect_that!(known(&backends, 0).is_ready(), eq(false));
    backends.merge(200, news(0, 2, 1, InstancePhase::Ready));
    expect_that!(known(&backends, 0).backs_off(200), eq(false));
    expect_that!(known(&backends, 0).is_ready(), eq(true));
    // And what the earlier one says late, through control, changes nothing.
    backends.merge(300, news(0, 1, 10, InstancePhase::Draining));
    expect_that!(known(&backends, 0).is_ready(), eq(true));
}

#[gtest]
fn it_is_no_failure() {
    let mut backends = fleet(1);
    for round in 0..10 {
        refuse(&mut backends, round * 100, 0, 100);
    }
    let backend = known(&backends, 0);
    expect_that!(backend.is_ejected(1_000), eq(false));
    expect_that!(backend.backs_off(1_000), eq(false));
    expect_that!(backend.has_room(1_000), eq(true));
}

#[gtest]
fn the_refusal_of_a_whole_service_names_the_earliest_end() {
    let mut backends = fleet(3);
    for (number, backoff_ms) in [4_000, 1_500, 9_000].into_iter().enumerate() {
        refuse(&mut backends, 1_000, number, backoff_ms);
    }
    let ends_in_ms = 1_400;
    let refused = pick(&backends, 7, 1_100);
    expect_that!(refused, err(eq(&Refusal::BackingOff { ends_in_ms })));
    expect_that!(pick(&backends, 7, 2_500), ok(eq(&id(1))));
}

#[gtest]
fn after_its_end_requests_come_one_at_a_time_and_twice_as_many_after_each_answer() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 1_000);
    let mut taken = Vec::new();
    for now in 1_000..1_005 {
        let mut count = 0;
        while known(&backends, 0).has_room(now) && count < 3 * SLOTS {
            backends.start(&id(0));
            count += 1;
        }
        taken.push(count);
        backends.note_answer(now, &id(0), Some(IDLE));
        for _ in 0..count {
            backends.finish(&id(0));
        }
    }
    expect_that!(
        taken,
        elements_are![eq(&1), eq(&2), eq(&4), eq(&12), eq(&12)]
    );
}

#[gtest]
fn a_refusal_on_the_way_back_begins_it_anew() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 1_000);
    backends.note_answer(1_000, &id(0), Some(IDLE));
    backends.start(&id(0));
    expect_that!(known(&backends, 0).has_room(1_001), eq(true));
    let report = BackendReport {
        load: Some(IDLE),
        ..BackendReport::default()
    };
    backends.note_shed(1_002, &id(0), &report);
    expect_that!(known(&backends, 0).has_room(1_002), eq(false));
}

/// What may come to a daemon, in any order.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A back end refuses and asks for so long.
    Refuse(usize, Millis),
    /// A back end answers a request that was sent before.
    Answer(usize),
    /// Discovery tells of it, with this sequence.
    Hear(usize, u64),
    /// It starts again.
    StartAgain(usize),
    /// It says with an answer that it drains.
    Drain(usize),
    /// Time passes, and this key is asked for.
    Ask(Millis, u64),
}

const BACKENDS: usize = 4;

fn event() -> impl Strategy<Value = Event> {
    let backend = 0..BACKENDS;
    prop_oneof![
        (backend.clone(), 0..4_000_u64).prop_map(|(one, asked)| Event::Refuse(one, asked)),
        backend.clone().prop_map(Event::Answer),
        (backend.clone(), 1..50_u64).prop_map(|(one, sequence)| Event::Hear(one, sequence)),
        backend.clone().prop_map(Event::StartAgain),
        backend.prop_map(Event::Drain),
        (0..900_u64, any::<u64>()).prop_map(|(passes, key)| Event::Ask(passes, key)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(33), ..ProptestConfig::with_cases(2_000) })]

    /// No pick goes to a back end whose incarnation asked for more time or drains,
    /// whatever came in which order; and where one is free, a request is not refused.
    #[gtest]
    fn no_pick_goes_to_a_back_end_that_backs_off_or_drains(
        events in proptest::collection::vec(event(), 1..60)
    ) {
        let mut backends = fleet(BACKENDS);
        let mut ends: HashMap<usize, Millis> = HashMap::new();
        let mut drains = [false; BACKENDS];
        let mut born = [1; BACKENDS];
        let mut now = 0;
        for event in events {
            match event {
                Event::Refuse(one, asked) => {
                    refuse(&mut backends, now, one, asked);
                    let end = ends.entry(one).or_default();
                    *end = (*end).max(now + asked);
                }
                Event::Answer(one) => backends.note_answer(now, &id(one), Some(IDLE)),
                Event::Hear(one, sequence) => {
                    backends.merge(now, news(one, born[one], sequence, InstancePhase::Ready));
                }
                Event::StartAgain(one) => {
                    born[one] += 1;
                    backends.merge(now, news(one, born[one], 1, InstancePhase::Ready));
                    ends.remove(&one);
                    drains[one] = false;
                }
                Event::Drain(one) => {
                    backends.note_draining(now, &id(one));
                    drains[one] = true;
                }
                Event::Ask(passes, key) => {
                    now += passes;
                    let is_free = |one: &usize| {
                        !drains[*one] && ends.get(one).is_none_or(|end| *end <= now)
                    };
                    match pick(&backends, key, now) {
                        Ok(picked) => {
                            let picked = (0..BACKENDS).find(|one| id(*one) == picked);
                            prop_assert!(picked.is_some_and(|one| is_free(&one)));
                        }
                        Err(Refusal::Busy { .. }) => {}
                        Err(_) => prop_assert!(!(0..BACKENDS).any(|one| is_free(&one))),
                    }
                }
            }
        }
    }
}
