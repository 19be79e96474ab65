//! Extreme values that back ends may report must not overflow any arithmetic.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::{Backend, Backends, LoadReport};
use googletest::prelude::*;

const REPORT_DECAY: ReportDecay = ReportDecay {
    hold_ms: 1_000,
    half_life_ms: 1_000,
};

fn update(cold_ms: Millis) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from("i"),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            zone: ZoneId::from("z"),
            capacity: 6,
            software: "v1".to_owned(),
            sequence: 1,
            phase: InstancePhase::Ready,
        },
        cold_ms,
    }
}

fn lookup(backends: &Backends) -> &Backend {
    backends.get(&BackendId::from("i")).expect("known")
}

#[gtest]
fn a_reported_load_of_the_maximum_value_does_not_overflow() {
    let id = BackendId::from("i");
    let mut backends = Backends::default();
    backends.merge(0, update(0));
    let report = LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
    };
    backends.note_answer(10, &id, Some(report));
    expect_that!(lookup(&backends).load(10, REPORT_DECAY), gt(8e9));
}

#[gtest]
fn a_cold_time_of_the_maximum_value_does_not_overflow() {
    let mut backends = Backends::default();
    backends.merge(10, update(Millis::MAX));
    expect_that!(lookup(&backends).is_cold(1_000), eq(true));
    backends.merge(
        20,
        InstanceUpdate {
            instance: Instance {
                sequence: 2,
                ..update(0).instance
            },
            cold_ms: 0,
        },
    );
    expect_that!(lookup(&backends).is_cold(1_000), eq(false));
}
