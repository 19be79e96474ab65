//! A replica in a newer term than its leader informs that leader of the term.
#![allow(missing_docs)]

use coursestand_consensus::message::{Body, LogPosition, SnapshotChunk};
use coursestand_consensus::{
    Config, Entry, HardState, Membership, Message, Replica, Restored, Snapshot,
};
use googletest::prelude::*;

const LEADER: u64 = 2;

/// Returns replica 1 of 3 in a term whose election had no winner.
fn replica_in_term(term: u64) -> Replica {
    let voters = (1..=3_u64).map(|id| (id, format!("replica-{id}")));
    let restored = Restored {
        hard_state: HardState {
            term,
            voted_for: None,
        },
        snapshot: Snapshot {
            membership: Membership::of_voters(voters.collect::<Vec<_>>()),
            ..Snapshot::default()
        },
        entries: Vec::<Entry>::new(),
    };
    Replica::new(Config::new(1, 1), restored, 0)
}

/// The leader has compacted its log, so it sends only snapshot chunks. Without an answer
/// to these it would never learn of the newer term.
#[gtest]
fn a_stale_leader_that_sends_a_snapshot_learns_of_the_new_term() {
    let mut replica = replica_in_term(4);
    let chunk = SnapshotChunk {
        last: LogPosition {
            term: 3,
            index: 100,
        },
        membership: Membership::default(),
        offset: 0,
        total: 1,
        data: vec![0],
        sent_at: 7,
    };
    let message = Message {
        term: 3,
        body: Body::Snapshot(chunk),
    };
    replica.step(10, LEADER, message);
    let ready = replica.ready();
    let has_newer_term = ready
        .messages_after_sync
        .iter()
        .any(|(to, message)| *to == LEADER && message.term == 4);
    expect_that!(has_newer_term, eq(true));
}
