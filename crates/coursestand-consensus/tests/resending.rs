//! After all machines had lost power, a leader sent 12 MB a second to its followers for
//! eight seconds, and held 96 MB of messages that waited to be sent, of 256 it may use.
//! Its followers lacked 1.2 MB of entries, and with each heartbeat, and each refusal that
//! was still on its way, it sent them all again before the first copy had arrived.
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
const ELECTED: u64 = 10_000;
/// Time between two looks at the clock.
const TICK: u64 = 10;

/// Replica 1 of 3, elected, with entries that the others may lack.
fn leader() -> Replica {
    let voters = (1..=3).map(|replica| (replica, String::new()));
    let entry = |index| Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![0; ENTRY_BYTES]),
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
    replica.tick(ELECTED);
    let granted = Body::PreVoteAnswer { granted: true };
    replica.step(ELECTED, 3, message(granted));
    replica.step(ELECTED, 3, message(Body::VoteAnswer { granted: true }));
    assert!(replica.is_leader());
    let ready = replica.ready();
    replica.persisted(ELECTED, &ready);
    replica
}

fn message(body: Body) -> Message {
    Message { term: TERM, body }
}

fn refusal(sent_at: u64) -> Message {
    message(Body::AppendAnswer(AppendAnswer {
        index: 0,
        matched: false,
        sent_at,
    }))
}

fn taken(index: u64, sent_at: u64) -> Message {
    message(Body::AppendAnswer(AppendAnswer {
        index,
        matched: true,
        sent_at,
    }))
}

/// Bytes of entries among the messages to the follower that wait to be sent.
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

/// Lets a time pass, and returns what was sent to the follower.
fn pass(replica: &mut Replica, from: u64, to: u64) -> usize {
    (from..to)
        .step_by(TICK as usize)
        .map(|now| {
            replica.tick(now);
            // Another voter keeps it leading.
            replica.step(now, 3, taken(ENTRIES + 1, now));
            bytes_to_follower(replica)
        })
        .sum()
}

#[gtest]
fn entries_on_their_way_are_not_sent_again_with_each_heartbeat() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    replica.step(ELECTED + 20, FOLLOWER, refusal(ELECTED));
    let sent = bytes_to_follower(&mut replica) + pass(&mut replica, ELECTED + 30, ELECTED + 3_000);
    let all = ENTRY_BYTES * ENTRIES as usize;
    expect_that!(sent, ge(all));
    expect_that!(sent, le(6 * all));
}

#[gtest]
fn refusals_that_were_on_their_way_send_nothing_again() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    pass(&mut replica, ELECTED + 10, ELECTED + 400);
    // Answers to four heartbeats, all sent before the entries were.
    let heartbeats = [0, 100, 200, 300].map(|after| ELECTED + after);
    for sent_at in heartbeats {
        replica.step(ELECTED + 410, FOLLOWER, refusal(sent_at));
    }
    let sent = bytes_to_follower(&mut replica);
    expect_that!(sent, eq(ENTRY_BYTES * ENTRIES as usize));
}

/// Refusing what was sent after them, the follower shows that they were lost.
#[gtest]
fn entries_that_were_lost_are_sent_again_at_once() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    replica.step(ELECTED + 20, FOLLOWER, refusal(ELECTED));
    let all = ENTRY_BYTES * ENTRIES as usize;
    expect_that!(bytes_to_follower(&mut replica), eq(all));
    replica.step(ELECTED + 150, FOLLOWER, refusal(ELECTED + 120));
    expect_that!(bytes_to_follower(&mut replica), eq(all));
}

/// A follower that lost its connection takes the rest in once it is back.
#[gtest]
fn entries_are_sent_again_after_a_while_without_an_answer() {
    let mut replica = leader();
    bytes_to_follower(&mut replica);
    replica.step(ELECTED + 20, FOLLOWER, refusal(ELECTED));
    bytes_to_follower(&mut replica);
    let sent = pass(&mut replica, ELECTED + 30, ELECTED + 1_000);
    expect_that!(sent, ge(ENTRY_BYTES * ENTRIES as usize));
}
