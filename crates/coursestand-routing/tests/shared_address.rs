//! Two instances at one address in an entry daemon: a late update of one never removes the
//! other, and a back end whose address is used by another instance gets no more requests.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, ServiceId, ZoneId};
use coursestand_routing::Backends;
use googletest::prelude::*;

fn update(id: &str, sequence: u64, phase: InstancePhase) -> InstanceUpdate {
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
fn a_late_update_of_one_instance_does_not_remove_the_other() {
    let mut backends = Backends::default();
    backends.merge(0, update("new", 1, InstancePhase::Ready));
    backends.merge(1, update("old", 9, InstancePhase::Ready));
    expect_that!(is_known(&backends, "new"), eq(true));
    backends.merge(2, update("old", 9, InstancePhase::Gone));
    expect_that!(is_known(&backends, "old"), eq(false));
    expect_that!(is_known(&backends, "new"), eq(true));
}

#[gtest]
fn a_misdirected_back_end_is_removed_if_another_has_its_address() {
    let mut backends = Backends::default();
    backends.merge(0, update("new", 1, InstancePhase::Ready));
    backends.merge(1, update("old", 9, InstancePhase::Ready));
    backends.note_misdirected(2, &BackendId::from("old"));
    expect_that!(is_known(&backends, "old"), eq(false));
    // It is not added again when another control process still announces it as ready.
    backends.merge(2, update("old", 10, InstancePhase::Ready));
    expect_that!(is_known(&backends, "old"), eq(false));
    expect_that!(is_known(&backends, "new"), eq(true));
    let service = ServiceId::from("s");
    expect_that!(backends.of_service(&service).count(), eq(1));
}

/// Guards against removing a faulty back end for good when it reports the identity of another
/// instance: four such back ends left a daemon without any.
#[gtest]
fn a_misdirected_back_end_with_an_address_of_its_own_is_only_ejected() {
    let mut backends = Backends::default();
    backends.merge(0, update("only", 1, InstancePhase::Ready));
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
