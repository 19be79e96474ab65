//! Guards against a leader that resends entries which are still in flight. If it sends
//! them again with each heartbeat and each delayed rejection, 1.2 MB of missing entries
//! cause 12 MB/s for eight seconds and 96 MB of queued messages, of 256 MB that the
//! process may use. This occurs after a power loss of all machines.
#![allow(missing_docs)]

use coursestand_consensus::message::{AppendAnswer, Body};
use coursestand_consensus::{
    Config, Entry, HardState, Membership, Message, Payload, Replica, Restored, Snapshot,
};
use googletest::prelude::*;

const FOLLOWER: u64 = 2;
const TERM: u64 = 4;
const ENTRY_BYTES: usize = 400_000;
const ENTRIES: u64 = 3;
const ELECTED_AT_MS: u64 = 10_000;
/// Interval between two ticks of the replica.
const TICK_MS: u64 = 10;

/// Returns replica 1 of 3, elected, with entries that the others may lack.
fn leader() -> Replica {
    let voters = (1..=3).map(|replica| (replica, String::new()));
    let entry = |index| Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![0; ENTRY_BYTES].into()),
    };
    let restored = Restored {
        hard_state: HardState {
            term: TERM - 1,
            voted_for: None,
        },
        snapshot: Snapshot {
            membership: Membership::of_voters(voters),
            ..Snapshot::default()
        },
        entries: (1..=ENTRIES).map(entry).collect(),
    };
    let mut replica = Replica::new(Config::new(1, 7), restored, 0);
    replica.tick(ELECTED_AT_MS);
    let granted = Body::PreVoteAnswer { granted: true };
    replica.step(ELECTED_AT_MS, 3, message(granted));
    replica.step(
        ELECTED_AT_MS,
        3,
        message(Body::VoteAnswer { granted: true }),
    );
    assert!(replica.is_leader());
    let ready = replica.ready();
    replica.persisted(ELECTED_AT_MS, &ready);
    replica
}

fn message(body: Body) -> Message {
    Message { term: TERM, body }
}

fn rejection(sent_at: u64) -> Message {
    message(Body::AppendAnswer(AppendAnswer {
        index: 0,
        matched: false,
        sent_at,
    }))
}

fn accepted(index: u64, sent_at: u64) -> Message {
    message(Body::AppendAnswer(AppendAnswer {
        index,
        matched: true,
        sent_at,
    }))
}

/// Returns the bytes of entries in the outgoing messages to the follower.
fn bytes_to_follower(replica: &mut Replica) -> usize {
    let ready = replica.ready();
    let all = ready.messages.iter().chain(&ready.messages_after_sync);
    let appends = all.filter_map(|(to, message)| match &message.body {
        Body::Append(append) if *to == FOLLOWER => Some(append),
        _ => None,
    });
    appends
        .flat_map(|append| &append.entries)
        .map(|entry| match &entry.payload {
            Payload::Command(bytes) => bytes.len(),
            _ => 0,
        })
        .sum()
}

/// Advances the clock and returns the bytes of entries sent to the follower.
fn advance(replica: &mut Replica, from: u64, to: u64) -> usize {
    (from..to)
        .step_by(TICK_MS as usize)
        .map(|now| {
            replica.tick(now);
            // Answers of another voter satisfy check-quorum.
            replica.step(now, 3, accepted(ENTRIES + 1, now));
            bytes_to_follower(replica)
        })
        .sum()
}

#[gtest]
fn entries_in_flight_are_not_sent_again_with_each_heartbeat() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    replica.step(ELECTED_AT_MS + 20, FOLLOWER, rejection(ELECTED_AT_MS));
    let sent = bytes_to_follower(&mut replica)
        + advance(&mut replica, ELECTED_AT_MS + 30, ELECTED_AT_MS + 3_000);
    let all = ENTRY_BYTES * ENTRIES as usize;
    expect_that!(sent, ge(all));
    expect_that!(sent, le(6 * all));
}

#[gtest]
fn delayed_rejections_do_not_cause_a_resend() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    advance(&mut replica, ELECTED_AT_MS + 10, ELECTED_AT_MS + 400);
    // Answers to four heartbeats that were all sent before the entries.
    let heartbeats = [0, 100, 200, 300].map(|after| ELECTED_AT_MS + after);
    for sent_at in heartbeats {
        replica.step(ELECTED_AT_MS + 410, FOLLOWER, rejection(sent_at));
    }
    let sent = bytes_to_follower(&mut replica);
    expect_that!(sent, eq(ENTRY_BYTES * ENTRIES as usize));
}

/// A rejection of a message that was sent after the entries proves that they were lost.
#[gtest]
fn lost_entries_are_sent_again_at_once() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    replica.step(ELECTED_AT_MS + 20, FOLLOWER, rejection(ELECTED_AT_MS));
    let all = ENTRY_BYTES * ENTRIES as usize;
    expect_that!(bytes_to_follower(&mut replica), eq(all));
    replica.step(
        ELECTED_AT_MS + 150,
        FOLLOWER,
        rejection(ELECTED_AT_MS + 120),
    );
    expect_that!(bytes_to_follower(&mut replica), eq(all));
}

/// A follower whose connection was lost receives the missing entries after `resend_after`.
#[gtest]
fn entries_are_sent_again_after_a_time_without_an_answer() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    replica.step(ELECTED_AT_MS + 20, FOLLOWER, rejection(ELECTED_AT_MS));
    bytes_to_follower(&mut replica);
    let sent = advance(&mut replica, ELECTED_AT_MS + 30, ELECTED_AT_MS + 1_000);
    expect_that!(sent, ge(ENTRY_BYTES * ENTRIES as usize));
}
