//! A snapshot that a follower's log already contains must not remove the entries after it.
#![allow(missing_docs)]

use coursestand_consensus::message::{Body, LogPosition, SnapshotChunk};
use coursestand_consensus::{
    Config, Entry, HardState, Membership, Message, Payload, Replica, Restored, Snapshot,
};
use googletest::prelude::*;

const LEADER: u64 = 1;
const FOLLOWER: u64 = 2;
/// Term in which the entries were written and committed.
const OLD_TERM: u64 = 3;
const TERM: u64 = 4;
const LAST: u64 = 30;
const ELECTED_AT_MS: u64 = 10_000;

fn restored(base: u64, last: u64) -> Restored {
    let voters = (1..=5).map(|replica| (replica, String::new()));
    Restored {
        hard_state: HardState {
            term: OLD_TERM,
            voted_for: None,
        },
        snapshot: Snapshot {
            index: base,
            term: OLD_TERM,
            membership: Membership::of_voters(voters),
            data: vec![1].into(),
        },
        entries: (base + 1..=last)
            .map(|index| Entry {
                term: OLD_TERM,
                index,
                payload: Payload::Command(vec![0].into()),
            })
            .collect(),
    }
}

/// Returns the messages of `replica` to `to`, after a sync.
fn messages(replica: &mut Replica, now: u64, to: u64) -> Vec<Message> {
    let ready = replica.ready();
    replica.persisted(now, &ready);
    let all = ready.messages.into_iter().chain(ready.messages_after_sync);
    all.filter(|(receiver, _)| *receiver == to)
        .map(|(_, message)| message)
        .collect()
}

/// Guards against the loss of synced entries that an earlier leader has counted: the follower
/// acknowledged them and must keep its copy.
#[gtest]
fn a_snapshot_within_the_log_keeps_the_entries_after_it() {
    let mut follower = Replica::new(Config::new(FOLLOWER, 7), restored(10, LAST), 0);
    let chunk = SnapshotChunk {
        last: LogPosition {
            term: OLD_TERM,
            index: 20,
        },
        membership: restored(0, 0).snapshot.membership,
        offset: 0,
        total: 1,
        data: vec![1],
        sent_at: 1_000,
    };
    let message = Message {
        term: TERM,
        body: Body::Snapshot(chunk),
    };
    follower.step(1_000, LEADER, message);
    expect_that!(follower.log().last_index(), eq(LAST));
}

/// Guards against the same loss, caused by a connection that fails for half a second after a
/// restart of all replicas.
#[gtest]
fn a_follower_keeps_its_entries_when_appends_are_lost_after_a_restart() {
    let mut follower = Replica::new(Config::new(FOLLOWER, 7), restored(10, LAST), 0);
    let mut leader = Replica::new(Config::new(LEADER, 7), restored(20, LAST + 5), 0);
    let mut now = ELECTED_AT_MS;
    leader.tick(now);
    for body in [
        Body::PreVoteAnswer { granted: true },
        Body::VoteAnswer { granted: true },
    ] {
        for voter in [3, 4] {
            let message = Message {
                term: TERM,
                body: body.clone(),
            };
            leader.step(now, voter, message);
        }
    }
    assert!(leader.is_leader());
    // The first probe arrives and is rejected: the follower lacks the last entries.
    for message in messages(&mut leader, now, FOLLOWER) {
        follower.step(now, LEADER, message);
    }
    for message in messages(&mut follower, now, LEADER) {
        leader.step(now, FOLLOWER, message);
    }
    // The link fails; the leader stays in contact with the others.
    for _ in 0..70 {
        now += 10;
        for voter in [3, 4] {
            for message in messages(&mut leader, now, voter) {
                if let Body::Append(append) = message.body {
                    let answer = coursestand_consensus::message::AppendAnswer {
                        index: append.previous.index + append.entries.len() as u64,
                        matched: true,
                        sent_at: append.sent_at,
                    };
                    let message = Message {
                        term: TERM,
                        body: Body::AppendAnswer(answer),
                    };
                    leader.step(now, voter, message);
                }
            }
        }
        leader.tick(now);
    }
    // The link is back.
    now += 100;
    let _ = messages(&mut leader, now, FOLLOWER);
    leader.tick(now);
    for message in messages(&mut leader, now, FOLLOWER) {
        follower.step(now, LEADER, message);
        expect_that!(follower.log().last_index(), ge(LAST));
    }
    assert!(leader.is_leader());
}
