//! Two incarnations at one address, as an entry daemon sees them: a late word of one
//! never ends the other, and the one that another instance answers for is not asked
//! again.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, ServiceId, ZoneId};
use coursestand_routing::Backends;
use googletest::prelude::*;

fn news(id: &str, sequence: u64, phase: InstancePhase) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from(id),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            zone: ZoneId::from("z"),
            capacity: 6,
            software: "v1".to_owned(),
            sequence,
            phase,
        },
        cold_ms: 0,
    }
}

fn is_known(backends: &Backends, id: &str) -> bool {
    backends.get(&BackendId::from(id)).is_some()
}

#[gtest]
fn a_late_word_of_one_does_not_end_the_other() {
    let mut backends = Backends::default();
    backends.merge(0, news("new", 1, InstancePhase::Ready));
    backends.merge(1, news("old", 9, InstancePhase::Ready));
    expect_that!(is_known(&backends, "new"), eq(true));
    backends.merge(2, news("old", 9, InstancePhase::Gone));
    expect_that!(is_known(&backends, "old"), eq(false));
    expect_that!(is_known(&backends, "new"), eq(true));
}

#[gtest]
fn one_whose_address_another_has_is_not_asked_again() {
    let mut backends = Backends::default();
    backends.merge(0, news("new", 1, InstancePhase::Ready));
    backends.merge(1, news("old", 9, InstancePhase::Ready));
    backends.note_misdirected(2, &BackendId::from("old"));
    expect_that!(is_known(&backends, "old"), eq(false));
    // Nor when another control process still says that it is ready.
    backends.merge(2, news("old", 10, InstancePhase::Ready));
    expect_that!(is_known(&backends, "old"), eq(false));
    expect_that!(is_known(&backends, "new"), eq(true));
    let service = ServiceId::from("s");
    expect_that!(backends.of_service(&service).count(), eq(1));
}

/// Four back ends that misbehaved said once that they were another instance, and a daemon
/// had none left for good.
#[gtest]
fn one_that_has_its_address_alone_comes_back() {
    let mut backends = Backends::default();
    backends.merge(0, news("only", 1, InstancePhase::Ready));
    backends.note_misdirected(1, &BackendId::from("only"));
    expect_that!(is_known(&backends, "only"), eq(true));
    let only = BackendId::from("only");
    let is_ejected = |backends: &Backends, now| {
        let backend = backends.get(&only).expect("known");
        backend.is_ejected(now)
    };
    expect_that!(is_ejected(&backends, 2), eq(true));
    expect_that!(is_ejected(&backends, 60_000), eq(false));
}
