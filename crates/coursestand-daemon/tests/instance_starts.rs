//! Compatibility of `ToEdge::Instances` between processes that send the start times of back
//! ends and earlier versions that don't: each decodes the other's messages.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_daemon::fleet::wire::{StartTimes, ToEdge};
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_transport::frame::{decode, encode};
use googletest::prelude::*;
use serde::{Deserialize, Serialize};

/// `ToEdge` in versions without start times. `Instances` has the same position.
#[derive(Debug, Serialize, Deserialize)]
enum EarlierToEdge {
    Pong,
    Catalog,
    CatalogIsAt,
    CatalogPart,
    Instances(Vec<InstanceUpdate>),
}

fn update(born: Option<Millis>) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from("i"),
            born,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            zone: ZoneId::from("z"),
            capacity: 4,
            software: "v1".to_owned(),
            sequence: 1,
            phase: InstancePhase::Ready,
        },
        cold_ms: 0,
    }
}

#[gtest]
fn start_times_are_decoded_with_their_updates() {
    let updates = vec![update(Some(1_796_259_000_123)), update(None)];
    let message = ToEdge::Instances(updates.clone(), StartTimes::of(&updates));
    let frame = encode(&message).expect("encoded");
    let ToEdge::Instances(read, starts) = decode(&frame).expect("read") else {
        panic!("another message");
    };
    expect_that!(starts.join(read), eq(&updates));
}

#[gtest]
fn earlier_versions_decode_updates_without_start_times() {
    let updates = vec![update(Some(1_796_259_000_123))];
    let frame = encode(&ToEdge::Instances(
        updates.clone(),
        StartTimes::of(&updates),
    ))
    .expect("encoded");
    let EarlierToEdge::Instances(read) = decode(&frame).expect("read") else {
        panic!("another message");
    };
    expect_that!(read, eq(&vec![update(None)]));
}

#[gtest]
fn updates_of_earlier_versions_have_no_start_times() {
    let frame = encode(&EarlierToEdge::Instances(vec![update(None)])).expect("encoded");
    let ToEdge::Instances(read, starts) = decode(&frame).expect("read") else {
        panic!("another message");
    };
    expect_that!(starts.join(read), eq(&vec![update(None)]));
}
