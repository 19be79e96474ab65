//! Guards against a log that is compacted by its number of entries only: a few hundred large
//! entries then fill the memory of a replica at each start.
#![allow(missing_docs)]

use coursestand_consensus::message::{AppendAnswer, Body};
use coursestand_consensus::{
    Config, Membership, Message, Payload, Replica, ReplicaId, Restored, Snapshot,
};
use googletest::prelude::*;

const LEADER: ReplicaId = 1;
const PROMPT_FOLLOWER: ReplicaId = 2;
const SLOW_FOLLOWER: ReplicaId = 3;
const MAX_BYTES: usize = 1_000;
const ENTRY_BYTES: usize = 100;
const ELECTED_AT_MS: u64 = 10_000;
/// When a follower that has not answered since the election counts as silent.
const SILENT_AT_MS: u64 = ELECTED_AT_MS + 600;
const TERM: u64 = 1;

fn elected_leader() -> Replica {
    let voters = (1..=3).map(|replica| (replica, String::new()));
    let restored = Restored {
        snapshot: Snapshot {
            membership: Membership::of_voters(voters),
            ..Snapshot::default()
        },
        ..Restored::default()
    };
    let mut config = Config::new(LEADER, 7);
    config.min_compaction_bytes = MAX_BYTES;
    let mut replica = Replica::new(config, restored, 0);
    replica.tick(ELECTED_AT_MS);
    for granted in [
        Body::PreVoteAnswer { granted: true },
        Body::VoteAnswer { granted: true },
    ] {
        replica.step(ELECTED_AT_MS, PROMPT_FOLLOWER, message(granted));
    }
    assert!(replica.is_leader());
    replica
}

fn message(body: Body) -> Message {
    Message { term: TERM, body }
}

fn acknowledge(replica: &mut Replica, follower: ReplicaId, index: u64, now: u64) {
    let answer = AppendAnswer {
        index,
        matched: true,
        sent_at: now,
    };
    replica.step(now, follower, message(Body::AppendAnswer(answer)));
}

/// Appends an entry, which the prompt follower acknowledges, and applies it.
fn commit_entry(replica: &mut Replica, now: u64) {
    let payload = Payload::Command(vec![0; ENTRY_BYTES].into());
    let index = replica.propose(now, payload).expect("the leader proposes");
    let ready = replica.ready();
    replica.persisted(now, &ready);
    acknowledge(replica, PROMPT_FOLLOWER, index, now);
    replica.ready();
    assert_eq!(replica.applied_index(), index);
}

fn commit_bytes(replica: &mut Replica, bytes: usize, now: u64) {
    while replica.log().bytes() < bytes {
        commit_entry(replica, now);
    }
}

#[gtest]
fn a_log_is_compacted_when_its_entries_are_large() {
    let mut replica = elected_leader();
    let now = SILENT_AT_MS;
    commit_bytes(&mut replica, MAX_BYTES - ENTRY_BYTES, now);
    expect_that!(replica.compaction_due(now), none());
    commit_bytes(&mut replica, MAX_BYTES, now);
    let applied = replica.applied_index();
    expect_that!(replica.compaction_due(now), some(eq(applied)));
    replica.compact(applied, vec![0; 10]).expect("compacted");
    expect_that!(replica.log().bytes(), eq(0));
    expect_that!(replica.compaction_due(now), none());
}

/// A state that is larger than the bound would otherwise be written again with each change.
#[gtest]
fn the_bound_follows_the_size_of_the_state() {
    let mut replica = elected_leader();
    let now = SILENT_AT_MS;
    commit_bytes(&mut replica, MAX_BYTES, now);
    let state = vec![0; 3 * MAX_BYTES];
    replica
        .compact(replica.applied_index(), state)
        .expect("compacted");
    commit_bytes(&mut replica, 6 * MAX_BYTES - ENTRY_BYTES, now);
    expect_that!(replica.compaction_due(now), none());
    commit_bytes(&mut replica, 6 * MAX_BYTES, now);
    expect_that!(replica.compaction_due(now), some(anything()));
}

/// A connected follower that lacks removed entries would have to receive a whole snapshot, and
/// with frequent compactions one after the other.
#[gtest]
fn a_leader_waits_for_a_follower_that_is_behind() {
    let mut replica = elected_leader();
    let now = ELECTED_AT_MS + 10;
    acknowledge(&mut replica, SLOW_FOLLOWER, 1, now);
    commit_bytes(&mut replica, MAX_BYTES, now);
    expect_that!(replica.compaction_due(now), none());
    let applied = replica.applied_index();
    acknowledge(&mut replica, SLOW_FOLLOWER, applied, now);
    expect_that!(replica.compaction_due(now), some(eq(applied)));
}

#[gtest]
fn a_leader_does_not_wait_for_a_silent_follower() {
    let mut replica = elected_leader();
    let now = ELECTED_AT_MS + 10;
    acknowledge(&mut replica, SLOW_FOLLOWER, 1, now);
    commit_bytes(&mut replica, MAX_BYTES, now);
    let later = now + Config::new(LEADER, 7).election_timeout;
    let applied = replica.applied_index();
    acknowledge(&mut replica, PROMPT_FOLLOWER, applied, later);
    expect_that!(replica.compaction_due(later), some(anything()));
}

#[gtest]
fn the_wait_for_a_follower_is_bounded_in_bytes() {
    let mut replica = elected_leader();
    let now = ELECTED_AT_MS + 10;
    acknowledge(&mut replica, SLOW_FOLLOWER, 1, now);
    commit_bytes(&mut replica, 3 * MAX_BYTES - ENTRY_BYTES, now);
    expect_that!(replica.compaction_due(now), none());
    commit_bytes(&mut replica, 3 * MAX_BYTES, now);
    expect_that!(replica.compaction_due(now), some(anything()));
}
