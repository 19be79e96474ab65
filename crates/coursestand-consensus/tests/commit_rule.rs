//! The commit rule: entries of earlier terms are not committed by counting replicas,
//! only together with an entry of the leader's current term (figure 8 of the Raft paper).
#![allow(missing_docs)]

use coursestand_consensus::config::Mechanisms;
use coursestand_consensus::message::{AppendAnswer, Body};
use coursestand_consensus::{
    Config, Entry, HardState, Membership, Message, Payload, Replica, Restored, Snapshot,
};
use googletest::prelude::*;

const ELECTED_AT_MS: u64 = 10_000;

/// Returns replica 1 of 3, elected in term 4, with an entry of term 2 at index 2.
fn leader_with_entry_of_earlier_term(mechanisms: Mechanisms) -> Replica {
    let voters = (1..=3).map(|replica| (replica, String::new()));
    let entry = |term, index| Entry {
        term,
        index,
        payload: Payload::Empty,
    };
    let restored = Restored {
        hard_state: HardState {
            term: 3,
            voted_for: None,
        },
        snapshot: Snapshot {
            membership: Membership::of_voters(voters),
            ..Snapshot::default()
        },
        entries: vec![entry(1, 1), entry(2, 2)],
    };
    let config = Config {
        mechanisms,
        ..Config::new(1, 7)
    };
    let mut replica = Replica::new(config, restored, 0);
    replica.tick(ELECTED_AT_MS);
    let granted = Body::PreVoteAnswer { granted: true };
    replica.step(ELECTED_AT_MS, 2, message(granted));
    replica.step(
        ELECTED_AT_MS,
        2,
        message(Body::VoteAnswer { granted: true }),
    );
    assert!(replica.is_leader());
    let ready = replica.ready();
    replica.persisted(ELECTED_AT_MS, &ready);
    replica
}

fn message(body: Body) -> Message {
    Message { term: 4, body }
}

fn matched(index: u64) -> Message {
    message(Body::AppendAnswer(AppendAnswer {
        index,
        matched: true,
        sent_at: ELECTED_AT_MS,
    }))
}

#[gtest]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let mut replica = leader_with_entry_of_earlier_term(Mechanisms::default());
    replica.step(ELECTED_AT_MS, 2, matched(2));
    expect_that!(replica.commit_index(), eq(0));
    replica.step(ELECTED_AT_MS, 2, matched(3));
    expect_that!(replica.commit_index(), eq(3));
}

#[gtest]
fn without_the_rule_an_entry_of_an_earlier_term_is_committed() {
    let mut replica = leader_with_entry_of_earlier_term(Mechanisms {
        commit_current_term_only: false,
        ..Mechanisms::default()
    });
    replica.step(ELECTED_AT_MS, 2, matched(2));
    expect_that!(replica.commit_index(), eq(2));
}
