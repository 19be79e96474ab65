//! Back-offs and draining that back ends report with answers: which incarnation they apply to,
//! for how long, and the slow start afterwards.
#![allow(missing_docs)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use coursestand_catalog::Catalog;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::backoff::MAX_BACKOFF_MS;
use coursestand_routing::cold::{ColdLimits, OwnerViews};
use coursestand_routing::picker::{Balance, PickerConfig};
use coursestand_routing::{
    Backend, BackendReport, Backends, LimitAccess, LoadReport, PickRequest, Picker,
    RateLimitSignal, Refusal,
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

fn update(number: usize, born: Millis, sequence: u64, phase: InstancePhase) -> InstanceUpdate {
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
        backends.merge(0, update(number, 1, 1, InstancePhase::Ready));
    }
    backends
}

fn lookup(backends: &Backends, number: usize) -> &Backend {
    backends.get(&id(number)).expect("known")
}

fn picker() -> Picker {
    Picker::new(PickerConfig {
        daemon: "edge-1".to_owned(),
        region: RegionId::from("r"),
        zones: BTreeMap::from([(ZoneId::from("z"), RegionId::from("r"))]),
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

/// Records a refusal that reports an idle back end and requests a back-off.
fn refuse(backends: &mut Backends, now: Millis, number: usize, backoff_ms: Millis) {
    let report = BackendReport {
        load: Some(IDLE),
        backoff_ms: Some(backoff_ms),
        is_draining: false,
        rate: RateLimitSignal::NotReported,
    };
    backends.note_backoff(now, &id(number), backoff_ms);
    backends.note_shed(now, &id(number), &report);
}

#[gtest]
fn a_later_answer_does_not_shorten_a_backoff() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 3_000);
    refuse(&mut backends, 100, 0, 500);
    backends.note_answer(200, &id(0), Some(IDLE));
    expect_that!(lookup(&backends, 0).is_backing_off(2_999), eq(true));
    expect_that!(lookup(&backends, 0).is_backing_off(3_000), eq(false));
    refuse(&mut backends, 2_000, 0, 3_000);
    expect_that!(lookup(&backends, 0).is_backing_off(4_999), eq(true));
}

#[gtest]
fn the_duration_of_a_backoff_is_limited() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, Millis::MAX);
    let last = MAX_BACKOFF_MS - 1;
    expect_that!(lookup(&backends, 0).is_backing_off(last), eq(true));
    expect_that!(lookup(&backends, 0).is_backing_off(last + 1), eq(false));
    refuse(&mut backends, Millis::MAX - 1, 0, Millis::MAX);
    expect_that!(
        lookup(&backends, 0).is_backing_off(Millis::MAX - 1),
        eq(true)
    );
}

#[gtest]
fn a_backoff_applies_only_to_the_incarnation_that_requested_it() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 3_000);
    backends.note_draining(0, &id(0));
    // Updates of the same incarnation don't end its back-off or its draining.
    backends.merge(100, update(0, 1, 9, InstancePhase::Ready));
    expect_that!(lookup(&backends, 0).is_backing_off(100), eq(true));
    expect_that!(lookup(&backends, 0).is_ready(), eq(false));
    backends.merge(200, update(0, 2, 1, InstancePhase::Ready));
    expect_that!(lookup(&backends, 0).is_backing_off(200), eq(false));
    expect_that!(lookup(&backends, 0).is_ready(), eq(true));
    // A late update of the previous incarnation has no effect.
    backends.merge(300, update(0, 1, 10, InstancePhase::Draining));
    expect_that!(lookup(&backends, 0).is_ready(), eq(true));
}

#[gtest]
fn backoffs_do_not_eject_a_back_end() {
    let mut backends = fleet(1);
    for round in 0..10 {
        refuse(&mut backends, round * 100, 0, 100);
    }
    let backend = lookup(&backends, 0);
    expect_that!(backend.is_ejected(1_000), eq(false));
    expect_that!(backend.is_backing_off(1_000), eq(false));
    expect_that!(backend.has_capacity(1_000), eq(true));
}

#[gtest]
fn a_refusal_reports_the_earliest_end_of_all_backoffs() {
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
fn after_a_backoff_the_concurrency_limit_doubles_with_each_answer() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 1_000);
    let mut admitted = Vec::new();
    for now in 1_000..1_005 {
        let mut count = 0;
        while lookup(&backends, 0).has_capacity(now) && count < 3 * SLOTS {
            backends.start(&id(0));
            count += 1;
        }
        admitted.push(count);
        backends.note_answer(now, &id(0), Some(IDLE));
        for _ in 0..count {
            backends.finish(&id(0));
        }
    }
    expect_that!(
        admitted,
        elements_are![eq(&1), eq(&2), eq(&4), eq(&12), eq(&12)]
    );
}

#[gtest]
fn a_refusal_during_the_slow_start_restarts_it() {
    let mut backends = fleet(1);
    refuse(&mut backends, 0, 0, 1_000);
    backends.note_answer(1_000, &id(0), Some(IDLE));
    backends.start(&id(0));
    expect_that!(lookup(&backends, 0).has_capacity(1_001), eq(true));
    let report = BackendReport {
        load: Some(IDLE),
        ..BackendReport::default()
    };
    backends.note_shed(1_002, &id(0), &report);
    expect_that!(lookup(&backends, 0).has_capacity(1_002), eq(false));
}

/// Events at a daemon, in any order.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A back end refuses a request and requests a back-off of this duration.
    Refuse(usize, Millis),
    /// A back end answers an earlier request.
    Answer(usize),
    /// Discovery announces it with this sequence number.
    Announce(usize, u64),
    /// It restarts.
    Restart(usize),
    /// It reports with an answer that it is draining.
    Drain(usize),
    /// A request with this key arrives after this time.
    Request(Millis, u64),
}

const BACKENDS: usize = 4;

fn event() -> impl Strategy<Value = Event> {
    let backend = 0..BACKENDS;
    prop_oneof![
        (backend.clone(), 0..4_000_u64)
            .prop_map(|(number, backoff_ms)| Event::Refuse(number, backoff_ms)),
        backend.clone().prop_map(Event::Answer),
        (backend.clone(), 1..50_u64)
            .prop_map(|(number, sequence)| Event::Announce(number, sequence)),
        backend.clone().prop_map(Event::Restart),
        backend.prop_map(Event::Drain),
        (0..900_u64, any::<u64>()).prop_map(|(elapsed_ms, key)| Event::Request(elapsed_ms, key)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(33), ..ProptestConfig::with_cases(2_000) })]

    /// With any order of events, no request is sent to a back end whose incarnation is
    /// backing off or draining, and no request is refused because of back-offs while one
    /// is available.
    #[gtest]
    fn no_request_is_sent_to_a_back_end_that_is_backing_off_or_draining(
        events in proptest::collection::vec(event(), 1..60)
    ) {
        let mut backends = fleet(BACKENDS);
        let mut ends: HashMap<usize, Millis> = HashMap::new();
        let mut is_draining = [false; BACKENDS];
        let mut born = [1; BACKENDS];
        let mut now = 0;
        for event in events {
            match event {
                Event::Refuse(number, backoff_ms) => {
                    refuse(&mut backends, now, number, backoff_ms);
                    let end = ends.entry(number).or_default();
                    *end = (*end).max(now + backoff_ms);
                }
                Event::Answer(number) => backends.note_answer(now, &id(number), Some(IDLE)),
                Event::Announce(number, sequence) => {
                    backends.merge(now, update(number, born[number], sequence, InstancePhase::Ready));
                }
                Event::Restart(number) => {
                    born[number] += 1;
                    backends.merge(now, update(number, born[number], 1, InstancePhase::Ready));
                    ends.remove(&number);
                    is_draining[number] = false;
                }
                Event::Drain(number) => {
                    backends.note_draining(now, &id(number));
                    is_draining[number] = true;
                }
                Event::Request(elapsed_ms, key) => {
                    now += elapsed_ms;
                    let is_available = |number: &usize| {
                        !is_draining[*number] && ends.get(number).is_none_or(|end| *end <= now)
                    };
                    match pick(&backends, key, now) {
                        Ok(picked) => {
                            let picked = (0..BACKENDS).find(|number| id(*number) == picked);
                            prop_assert!(picked.is_some_and(|number| is_available(&number)));
                        }
                        Err(Refusal::Busy { .. }) => {}
                        Err(_) => prop_assert!(!(0..BACKENDS).any(|number| is_available(&number))),
                    }
                }
            }
        }
    }
}
