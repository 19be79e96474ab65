//! Figures that back ends may send and that no counter holds.
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

fn news(cold_ms: Millis) -> InstanceUpdate {
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

fn known(backends: &Backends) -> &Backend {
    backends.get(&BackendId::from("i")).expect("known")
}

#[gtest]
fn a_load_past_all_bounds_is_borne() {
    let id = BackendId::from("i");
    let mut backends = Backends::default();
    backends.merge(0, news(0));
    let report = LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
    };
    backends.note_answer(10, &id, Some(report));
    expect_that!(known(&backends).load(10, TRUST), gt(8e9));
}

#[gtest]
fn a_cold_time_without_end_is_borne() {
    let mut backends = Backends::default();
    backends.merge(10, news(Millis::MAX));
    expect_that!(known(&backends).is_cold(1_000), eq(true));
    backends.merge(
        20,
        InstanceUpdate {
            instance: Instance {
                sequence: 2,
                ..news(0).instance
            },
            cold_ms: 0,
        },
    );
    expect_that!(known(&backends).is_cold(1_000), eq(false));
}
