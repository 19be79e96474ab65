//! Picks among back ends of which some are rate-limited, combined with the other conditions that
//! exclude a back end.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coursestand_catalog::Catalog;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::{ColdLimits, OwnerViews};
use coursestand_routing::picker::{Balance, PickerConfig};
use coursestand_routing::rate_limit::{AccessMode, Reading};
use coursestand_routing::{
    Backends, LimitAccess, PickRequest, Picker, Rate, RateLimitSignal, Refusal, SendToken,
};
use googletest::prelude::*;

const NOW: Millis = 1_000;
const DAEMONS: usize = 12;
const NO_TOKEN: LimitAccess = LimitAccess {
    daemons: DAEMONS,
    mode: AccessMode::Send {
        token: None,
        fallback_share: None,
    },
};

fn with_token(backend: Option<u64>, valid_until: Millis) -> LimitAccess {
    let token = backend.map(|backend| SendToken {
        backend,
        valid_until,
    });
    let mode = AccessMode::Send {
        token,
        fallback_share: None,
    };
    LimitAccess { mode, ..NO_TOKEN }
}

fn id(number: usize) -> BackendId {
    BackendId(format!("b-{number}"))
}

/// Back ends in zones `near` and `far` of regions of the same names.
fn fleet(near: usize, far: usize) -> Backends {
    let mut backends = Backends::default();
    for number in 0..near + far {
        let zone = if number < near { "near" } else { "far" };
        let instance = Instance {
            id: id(number),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 8_000 + number as u16)),
            zone: ZoneId::from(zone),
            capacity: 4,
            software: "v1".to_owned(),
            sequence: 1,
            phase: InstancePhase::Ready,
        };
        let cold_ms = 0;
        backends.merge(0, InstanceUpdate { instance, cold_ms });
    }
    backends
}

fn set_limit(backends: &mut Backends, number: usize) {
    let reading = Reading {
        signal: RateLimitSignal::Limited(Rate::per_second(5.0)),
        sent_at: 0,
        is_whole: true,
    };
    backends.note_rate(NOW, &id(number), reading);
}

fn config() -> PickerConfig {
    let zones = ["near", "far"].map(|name| (ZoneId::from(name), RegionId::from(name)));
    PickerConfig {
        daemon: "edge-1".to_owned(),
        region: RegionId::from("near"),
        zones: BTreeMap::from(zones),
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

fn pick(
    backends: &Backends,
    key: u64,
    limits: LimitAccess,
) -> std::result::Result<BackendId, Refusal> {
    let service = ServiceId::from("s");
    let request = PickRequest {
        service: &service,
        key,
        has_object: true,
        objective_ms: 300,
        allowed_regions: &[],
        excluded: &[],
        limits,
        now: NOW,
    };
    let owners = OwnerViews::new(0);
    let mut picker = Picker::new(config());
    let picked = picker.pick(backends, &Catalog::default(), &owners, &request);
    picked.map(|pick| pick.id)
}

/// Guards against keys that stay in a region where all back ends are at their limit.
#[gtest]
fn another_region_serves_if_all_back_ends_of_a_region_are_rate_limited() {
    let mut backends = fleet(5, 2);
    (0..5).for_each(|number| set_limit(&mut backends, number));
    for key in 0..50 {
        let picked = pick(&backends, key, NO_TOKEN);
        expect_that!(picked, ok(any![eq(&id(5)), eq(&id(6))]), "key {key}");
    }
}

/// Guards against bypassing the rate limit in the last resort, which bypasses other checks.
#[gtest]
fn a_rate_limited_back_end_is_no_last_resort() {
    let mut backends = fleet(2, 0);
    set_limit(&mut backends, 0);
    backends.note_unreachable(NOW, &id(0));
    backends.note_unreachable(NOW, &id(1));
    for key in 0..20 {
        expect_that!(pick(&backends, key, NO_TOKEN), ok(eq(&id(1))));
    }
    set_limit(&mut backends, 1);
    let refusal = pick(&backends, 0, NO_TOKEN);
    expect_that!(refusal, err(matches_pattern!(Refusal::RateLimited { .. })));
}

/// Guards against using a token for a back end other than its own.
#[gtest]
fn a_token_admits_only_to_its_back_end_and_until_it_expires() {
    let mut backends = fleet(2, 0);
    (0..2).for_each(|number| set_limit(&mut backends, number));
    let incarnation_hash = backends.get(&id(1)).map(|backend| backend.incarnation_hash);
    let access = |valid_until| with_token(incarnation_hash, valid_until);
    for key in 0..20 {
        expect_that!(pick(&backends, key, access(NOW)), ok(eq(&id(1))));
        expect_that!(pick(&backends, key, access(NOW - 1)).is_err(), eq(true));
    }
}

/// Guards against a token that admits to a back end which another condition excludes.
#[gtest]
fn a_token_overrides_neither_a_backoff_nor_draining() {
    let mut backends = fleet(1, 0);
    set_limit(&mut backends, 0);
    let incarnation_hash = backends.get(&id(0)).map(|backend| backend.incarnation_hash);
    let access = with_token(incarnation_hash, NOW);
    expect_that!(pick(&backends, 0, access).is_ok(), eq(true));
    backends.note_backoff(NOW, &id(0), 500);
    expect_that!(
        pick(&backends, 0, access),
        err(eq(&Refusal::BackingOff { ends_in_ms: 500 }))
    );
    let mut backends = fleet(1, 0);
    set_limit(&mut backends, 0);
    backends.note_draining(NOW, &id(0));
    expect_that!(pick(&backends, 0, access), err(eq(&Refusal::NoBackend)));
}

/// Guards against a retry delay that ends before any token is available.
#[gtest]
fn a_refusal_states_when_the_first_back_end_is_available_again() {
    let mut backends = fleet(3, 0);
    for (number, again_in_ms) in [(0, 400), (1, 250)] {
        set_limit(&mut backends, number);
        let incarnation_hash = backends
            .get(&id(number))
            .map(|backend| backend.incarnation_hash);
        backends.note_denied(NOW, incarnation_hash.unwrap_or_default(), again_in_ms, 0);
    }
    backends.note_backoff(NOW, &id(2), 900);
    let refused = Refusal::RateLimited { again_in_ms: 250 };
    expect_that!(pick(&backends, 0, NO_TOKEN), err(eq(&refused)));
    backends.note_backoff(NOW, &id(2), 100);
    expect_that!(pick(&backends, 0, NO_TOKEN), err(eq(&refused)));
}

/// Guards against a burst when a limit is lifted, as all daemons resume sending at the same time.
#[gtest]
fn a_back_end_whose_limit_was_lifted_gets_one_request_at_a_time_at_first() {
    let mut backends = fleet(1, 0);
    set_limit(&mut backends, 0);
    let reading = Reading {
        signal: RateLimitSignal::Unlimited,
        sent_at: NOW + 1,
        is_whole: true,
    };
    backends.note_rate(NOW + 2, &id(0), reading);
    let has_capacity = |backends: &Backends| {
        backends
            .get(&id(0))
            .is_some_and(|backend| backend.has_capacity(NOW))
    };
    expect_that!(has_capacity(&backends), eq(true));
    backends.start(&id(0));
    expect_that!(has_capacity(&backends), eq(false));
}
