//! Guards against a leader that sends each part of a snapshot again with each heartbeat while its
//! answer is under way: a learner 35 ms away whose connection carries 3.4 MB/s then gets 4 MB of
//! state later than the group is given for it.
#![allow(missing_docs)]

use std::collections::VecDeque;

use coursestand_consensus::message::{AppendAnswer, Body};
use coursestand_consensus::{
    Config, HardState, Member, Membership, Message, Replica, Restored, Snapshot,
};
use googletest::prelude::*;

const LEARNER: u64 = 2;
const TERM: u64 = 4;
const SNAPSHOT_INDEX: u64 = 1_000;
const STATE_BYTES: usize = 4 * 1024 * 1024;
const DELAY_MS: u64 = 35;
/// A window of 236 KB in a round trip of 70 ms.
const BYTES_PER_MS: u64 = 3_370;
const ELECTED_AT_MS: u64 = 10_000;
const TICK_MS: u64 = 10;
const LIMIT_MS: u64 = 20_000;
/// Of the state alone: the line would take 1.25 s, and each part a round trip.
const MAX_TRANSFER_MS: u64 = 3_000;

/// Returns replica 1, the only voter, elected, with a snapshot that the learner lacks.
fn leader() -> Replica {
    let member = |is_voter| Member {
        address: String::new(),
        is_voter,
    };
    let members = [(1, member(true)), (LEARNER, member(false))];
    let restored = Restored {
        hard_state: HardState {
            term: TERM - 1,
            voted_for: None,
        },
        snapshot: Snapshot {
            index: SNAPSHOT_INDEX,
            term: TERM - 1,
            membership: Membership {
                members: members.into_iter().collect(),
            },
            data: vec![0; STATE_BYTES].into(),
        },
        entries: Vec::new(),
    };
    let mut replica = Replica::new(Config::new(1, 7), restored, 0);
    replica.tick(ELECTED_AT_MS);
    assert!(replica.is_leader());
    let ready = replica.ready();
    replica.persisted(ELECTED_AT_MS, &ready);
    // The learner's log is empty.
    let body = Body::AppendAnswer(AppendAnswer {
        index: 0,
        matched: false,
        sent_at: ELECTED_AT_MS,
    });
    replica.step(ELECTED_AT_MS, LEARNER, Message { term: TERM, body });
    replica
}

/// The connection to the learner, and the learner's end of it.
#[derive(Default)]
struct Line {
    /// When the messages that were sent have left.
    free_at: u64,
    /// Arriving parts: time, offset, length and time of sending.
    parts: VecDeque<(u64, u64, u64, u64)>,
    /// Answers: time of arrival, bytes received and time of sending.
    answers: VecDeque<(u64, u64, u64)>,
    received: u64,
    sent_bytes: u64,
}

impl Line {
    fn send(&mut self, now: u64, message: &Message) {
        let Body::Snapshot(chunk) = &message.body else {
            return;
        };
        let length = chunk.data.len() as u64;
        self.sent_bytes += length;
        self.free_at = self.free_at.max(now) + length / BYTES_PER_MS;
        let arrives_at = self.free_at + DELAY_MS;
        self.parts
            .push_back((arrives_at, chunk.offset, length, chunk.sent_at));
    }

    fn receive(&mut self, now: u64) {
        while self.parts.front().is_some_and(|part| part.0 <= now) {
            let (at, offset, length, sent_at) = self.parts.pop_front().expect("a part");
            if offset == self.received {
                self.received += length;
            }
            self.answers
                .push_back((at + DELAY_MS, self.received, sent_at));
        }
    }

    fn next_answer(&mut self, now: u64) -> Option<Message> {
        self.answers.front().filter(|answer| answer.0 <= now)?;
        let (_, received, sent_at) = self.answers.pop_front()?;
        let body = Body::SnapshotAnswer {
            index: SNAPSHOT_INDEX,
            received,
            sent_at,
        };
        Some(Message { term: TERM, body })
    }
}

#[gtest]
fn a_distant_learner_gets_a_large_state_in_time() {
    let mut replica = leader();
    let mut line = Line::default();
    let mut now = ELECTED_AT_MS;
    while line.received < STATE_BYTES as u64 && now < ELECTED_AT_MS + LIMIT_MS {
        replica.tick(now);
        line.receive(now);
        while let Some(answer) = line.next_answer(now) {
            replica.step(now, LEARNER, answer);
        }
        let ready = replica.ready();
        for (to, message) in ready.messages.iter().chain(&ready.messages_after_sync) {
            if *to == LEARNER {
                line.send(now, message);
            }
        }
        replica.persisted(now, &ready);
        now += TICK_MS;
    }
    println!(
        "{} of {STATE_BYTES} bytes received after {} ms, {} sent",
        line.received,
        now - ELECTED_AT_MS,
        line.sent_bytes
    );
    expect_that!(now - ELECTED_AT_MS, lt(MAX_TRANSFER_MS));
    expect_that!(line.sent_bytes, le(2 * STATE_BYTES as u64));
}
