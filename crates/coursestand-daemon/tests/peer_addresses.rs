//! Where a replica sends its answers.
#![allow(missing_docs)]

use std::net::SocketAddr;

use coursestand_consensus::message::{Body, Message};
use coursestand_consensus::{Membership, PeerAddresses, ReplicaId};
use coursestand_daemon::control::peers::{Envelope, OutgoingMessage, envelopes, reachable_address};
use googletest::prelude::*;

const CLUSTER: u64 = 1;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7540))
}

fn membership(replicas: &[ReplicaId]) -> Membership {
    let voters = replicas.iter().map(|replica| {
        let host = u8::try_from(*replica).expect("small");
        (*replica, address(host).to_string())
    });
    Membership::of_voters(voters)
}

fn message() -> Message {
    Message {
        term: 3,
        body: Body::TimeoutNow,
    }
}

/// Guards against a learner whose answers are dropped, since the leader joined after the part of
/// the log that the learner has.
#[gtest]
fn a_replica_that_the_log_does_not_name_is_answered_where_it_sent_from() {
    let members = membership(&[1, 2, 3]);
    let mut addresses = PeerAddresses::default();
    expect_that!(addresses.find(&members, 9), none());
    addresses.note(9, address(9));
    expect_that!(addresses.find(&members, 9), some(eq(address(9))));
}

#[gtest]
fn a_replica_that_was_not_heard_from_is_reached_as_the_log_says() {
    let addresses = PeerAddresses::default();
    expect_that!(
        addresses.find(&membership(&[1, 2, 3]), 2),
        some(eq(address(2)))
    );
}

/// A replica may start with its disk at another address than the one with which it joined.
#[gtest]
fn the_address_of_the_latest_message_takes_precedence_over_the_log() {
    let mut addresses = PeerAddresses::default();
    addresses.note(2, address(22));
    addresses.note(2, address(23));
    expect_that!(
        addresses.find(&membership(&[1, 2, 3]), 2),
        some(eq(address(23)))
    );
}

#[gtest]
fn a_long_series_of_replaced_replicas_does_not_displace_the_newest_one() {
    let mut addresses = PeerAddresses::default();
    for replica in 100..100_000 {
        addresses.note(replica, address(4));
    }
    let empty = Membership::default();
    expect_that!(addresses.find(&empty, 99_999), some(eq(address(4))));
    expect_that!(addresses.find(&empty, 100), none());
}

#[gtest]
fn an_envelope_tells_where_its_sender_is_reached() {
    let outgoing = OutgoingMessage {
        to: 2,
        address: Some(address(2)),
        message: message(),
    };
    let sent = envelopes(CLUSTER, 1, Some(address(1)), vec![outgoing]);
    expect_that!(sent.len(), eq(1));
    let envelope: Envelope = postcard::from_bytes(&sent[0].1).expect("decoded");
    expect_that!(envelope.reply_to, some(eq(address(1))));
    expect_that!(envelope.message, eq(&message()));
}

/// Processes of two versions run side by side while one replaces the other.
#[gtest]
fn an_envelope_of_an_older_process_has_no_address() {
    let older = (CLUSTER, 1_u64, 2_u64, message());
    let bytes = postcard::to_stdvec(&older).expect("encoded");
    let envelope: Envelope = postcard::from_bytes(&bytes).expect("decoded");
    expect_that!(envelope.from, eq(1));
    expect_that!(envelope.reply_to, none());
}

/// Guards against answers that a replica sends to itself, since the other one tells 0.0.0.0.
#[gtest]
fn a_replica_that_listens_on_all_addresses_tells_none() {
    let all = SocketAddr::from(([0, 0, 0, 0], 7540));
    expect_that!(reachable_address(all), none());
    expect_that!(reachable_address(address(1)), some(eq(address(1))));
}
