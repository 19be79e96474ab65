//! A replica that does not vote and hears no more from its leader.
#![allow(missing_docs)]

use coursestand_consensus::message::{Append, Body, LogPosition, Message};
use coursestand_consensus::{Config, Membership, Replica, ReplicaId, Restored, Snapshot};
use googletest::prelude::*;

const LEADER: ReplicaId = 1;
const LEARNER: ReplicaId = 9;
const TERM: u64 = 3;

fn heartbeat(sent_at: u64) -> Message {
    Message {
        term: TERM,
        body: Body::Append(Append {
            previous: LogPosition::default(),
            entries: Vec::new(),
            commit: 0,
            sent_at,
        }),
    }
}

fn learner() -> Replica {
    let voters = [LEADER, 2, 3].map(|voter| (voter, String::new()));
    let restored = Restored {
        snapshot: Snapshot {
            membership: Membership::of_voters(voters),
            ..Snapshot::default()
        },
        ..Restored::default()
    };
    Replica::new(Config::new(LEARNER, 7), restored, 0)
}

/// Guards against a replica that was removed from the group and goes on to believe in the leader
/// that it had, so that it never asks to join again.
#[gtest]
fn a_learner_that_hears_no_more_from_its_leader_knows_none() {
    let mut learner = learner();
    let timeout = Config::new(LEARNER, 7).election_timeout;
    learner.step(10, LEADER, heartbeat(10));
    expect_that!(learner.leader(), some(eq(LEADER)));
    learner.tick(10 + timeout / 2);
    expect_that!(learner.leader(), some(eq(LEADER)));
    learner.tick(10 + 2 * timeout);
    expect_that!(learner.leader(), none());
}

#[gtest]
fn a_learner_without_a_leader_does_not_campaign() {
    let mut learner = learner();
    let timeout = Config::new(LEARNER, 7).election_timeout;
    for now in (0..10 * timeout).step_by(10) {
        learner.tick(now);
    }
    let ready = learner.ready();
    expect_that!(
        ready.messages.len() + ready.messages_after_sync.len(),
        eq(0)
    );
    expect_that!(learner.term(), eq(0));
}

#[gtest]
fn a_learner_follows_the_next_leader() {
    let mut learner = learner();
    let timeout = Config::new(LEARNER, 7).election_timeout;
    learner.step(10, LEADER, heartbeat(10));
    learner.tick(10 + 2 * timeout);
    learner.step(20 + 2 * timeout, LEADER, heartbeat(20 + 2 * timeout));
    expect_that!(learner.leader(), some(eq(LEADER)));
}
