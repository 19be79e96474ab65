//! Processes that know when incarnations of back ends started work side by side with
//! processes that don't: each reads what the other sends.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_daemon::fleet::wire::{StartTimes, ToEdge};
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_transport::frame::{decode, encode};
use googletest::prelude::*;
use serde::{Deserialize, Serialize};

/// The message as processes without starts have it, at its place among the others.
#[derive(Debug, Serialize, Deserialize)]
enum Before {
    Pong,
    Catalog,
    CatalogIsAt,
    CatalogPart,
    Instances(Vec<InstanceUpdate>),
}

fn news(born: Option<Millis>) -> InstanceUpdate {
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
fn starts_arrive_with_their_news() {
    let told = vec![news(Some(1_796_259_000_123)), news(None)];
    let message = ToEdge::Instances(told.clone(), StartTimes::of(&told));
    let frame = encode(&message).expect("encoded");
    let ToEdge::Instances(read, starts) = decode(&frame).expect("read") else {
        panic!("another message");
    };
    expect_that!(starts.join(read), eq(&told));
}

#[gtest]
fn a_process_of_before_reads_news_without_their_starts() {
    let told = vec![news(Some(1_796_259_000_123))];
    let frame = encode(&ToEdge::Instances(told.clone(), StartTimes::of(&told))).expect("encoded");
    let Before::Instances(read) = decode(&frame).expect("read") else {
        panic!("another message");
    };
    expect_that!(read, eq(&vec![news(None)]));
}

#[gtest]
fn news_of_a_process_of_before_tell_no_starts() {
    let frame = encode(&Before::Instances(vec![news(None)])).expect("encoded");
    let ToEdge::Instances(read, starts) = decode(&frame).expect("read") else {
        panic!("another message");
    };
    expect_that!(starts.join(read), eq(&vec![news(None)]));
}
