//! A back end that starts again under its identity is another one to an entry daemon:
//! what was learned of its life before, and what is under way there, counts no more.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_routing::backends::ReportTrust;
use coursestand_routing::{Backend, Backends, LoadReport};
use googletest::prelude::*;

const TRUST: ReportTrust = ReportTrust {
    hold_ms: 1_000,
    half_life_ms: 1_000,
};

fn news(born: Millis, cold_ms: Millis) -> InstanceUpdate {
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

fn known(backends: &Backends) -> &Backend {
    backends.get(&BackendId::from("i")).expect("known")
}

#[gtest]
fn an_incarnation_bears_no_failures_and_no_load_of_the_one_before() {
    let id = BackendId::from("i");
    let mut backends = Backends::default();
    backends.merge(0, news(1, 0));
    let report = LoadReport {
        running: 6,
        waiting: 9,
    };
    backends.note_answer(10, &id, Some(report));
    backends.start(&id);
    backends.note_unreachable(20, &id);
    expect_that!(known(&backends).is_ejected(30), eq(true));
    backends.merge(30, news(2, 5_000));
    expect_that!(known(&backends).is_ejected(30), eq(false));
    expect_that!(known(&backends).load(30, TRUST), near(0.0, 1e-9));
    expect_that!(known(&backends).is_cold(30), eq(true));
    expect_that!(backends.of_service(&ServiceId::from("s")).count(), eq(1));
}

#[gtest]
fn an_incarnation_knows_none_of_the_objects_of_the_one_before() {
    let mut backends = Backends::default();
    backends.merge(0, news(1, 0));
    let before = known(&backends).memory;
    backends.merge(10, news(2, 0));
    expect_that!(known(&backends).memory, not(eq(before)));
    // Its place in the order for an object stays, as in every daemon.
    let hash = coursestand_routing::hash::hash_of("i");
    expect_that!(known(&backends).hash, eq(hash));
}
