//! A replica that is ahead of its leader's term makes that leader notice.
#![allow(missing_docs)]

use coursestand_consensus::message::{Body, LogPosition, SnapshotChunk};
use coursestand_consensus::{
    Config, Entry, HardState, Membership, Message, Replica, Restored, Snapshot,
};
use googletest::prelude::*;

const LEADER: u64 = 2;

/// A replica of three that took part in an election which nobody won.
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

/// The leader has shortened its log, so it sends nothing but a snapshot.
#[gtest]
fn a_leader_of_an_old_term_that_sends_a_snapshot_hears_of_the_new_term() {
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
    let told = ready
        .messages_after_sync
        .iter()
        .any(|(to, message)| *to == LEADER && message.term == 4);
    expect_that!(told, eq(true));
}
