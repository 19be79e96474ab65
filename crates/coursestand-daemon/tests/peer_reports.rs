//! Reports about entry daemons between processes of this and of older versions. Guards against a
//! version that closes its connection to the other one because it can't decode a message.
#![allow(missing_docs)]

use coursestand_daemon::fleet::wire::{PeerReply, ToControl, TrailingDigest};
use coursestand_discovery::{ConnectionDigest, EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// [`ToControl`] of a version without digests, up to the ping.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderToControl {
    PeerHello(SocketAddr),
    EdgeHello,
    Peer,
    Edge,
    Ping,
}

fn digest() -> ConnectionDigest {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    ConnectionDigest::of([&EdgeRecord {
        name: "edge".to_owned(),
        incarnation: u64::MAX,
        address,
        admin_address: address,
        zone: ZoneId::from("z-1"),
        region: RegionId::from("z"),
        phase: EdgePhase::Ready,
    }])
}

#[gtest]
fn a_ping_of_an_older_process_has_no_digest() {
    let bytes = postcard::to_stdvec(&OlderToControl::Ping).expect("encoded");
    let read = postcard::from_bytes::<ToControl>(&bytes).expect("decoded");
    expect_that!(
        read,
        matches_pattern!(ToControl::Ping(eq(&TrailingDigest(None))))
    );
}

#[gtest]
fn an_older_process_ignores_the_digest() {
    let ping = ToControl::Ping(TrailingDigest(Some(digest())));
    let bytes = postcard::to_stdvec(&ping).expect("encoded");
    let read = postcard::from_bytes::<OlderToControl>(&bytes).expect("decoded");
    expect_that!(read, eq(&OlderToControl::Ping));
    let read = postcard::from_bytes::<ToControl>(&bytes).expect("decoded");
    expect_that!(
        read,
        matches_pattern!(ToControl::Ping(eq(&TrailingDigest(Some(digest())))))
    );
}

/// The variants that older versions know keep their numbers.
#[gtest]
fn the_request_for_a_report_follows_the_replies_of_older_versions() {
    let number_of = |reply: PeerReply| postcard::to_stdvec(&reply).expect("encoded")[0];
    expect_that!(number_of(PeerReply::Pong), eq(0));
    expect_that!(number_of(PeerReply::Received(1)), eq(1));
    expect_that!(number_of(PeerReply::ReportEdges), eq(3));
}
