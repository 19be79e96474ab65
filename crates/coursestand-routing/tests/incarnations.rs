//! A back end that restarts under its identity counts as a new one in an entry daemon: the
//! state learned of the previous incarnation, and its requests in flight, do not count.
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

fn update(born: Millis, cold_ms: Millis) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from("i"),
            born: Some(born),
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
fn a_new_incarnation_inherits_no_failures_and_no_load() {
    let id = BackendId::from("i");
    let mut backends = Backends::default();
    backends.merge(0, update(1, 0));
    let report = LoadReport {
        running: 6,
        waiting: 9,
    };
    backends.note_answer(10, &id, Some(report));
    backends.start(&id);
    backends.note_unreachable(20, &id);
    expect_that!(lookup(&backends).is_ejected(30), eq(true));
    backends.merge(30, update(2, 5_000));
    expect_that!(lookup(&backends).is_ejected(30), eq(false));
    expect_that!(lookup(&backends).load(30, REPORT_DECAY), near(0.0, 1e-9));
    expect_that!(lookup(&backends).is_cold(30), eq(true));
    expect_that!(backends.of_service(&ServiceId::from("s")).count(), eq(1));
}

#[gtest]
fn a_new_incarnation_is_warm_for_no_object_of_the_previous_one() {
    let mut backends = Backends::default();
    backends.merge(0, update(1, 0));
    let previous = lookup(&backends).incarnation_hash;
    backends.merge(10, update(2, 0));
    expect_that!(lookup(&backends).incarnation_hash, not(eq(previous)));
    // Its rank for each object does not change, in any daemon.
    let hash = coursestand_routing::hash::hash_of("i");
    expect_that!(lookup(&backends).hash, eq(hash));
}
