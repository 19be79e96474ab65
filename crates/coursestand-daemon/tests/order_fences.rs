//! Messages with fences between processes of this and of older versions. Guards against a version
//! that closes its connection to the other one because it can't decode a proposal.
#![allow(missing_docs)]

use coursestand_coordination::{Command, CommandAnswer, OrderFence};
use coursestand_daemon::fleet::wire::{Answer, PeerReply, Question, TrailingIndex};
use coursestand_model::ZoneId;
use googletest::prelude::*;
use serde::{Deserialize, Serialize};

/// [`Question`] of a version without fences.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderQuestion {
    Propose(Command),
}

/// [`Answer`] of a version that does not tell the index of an entry.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderAnswer {
    Command(CommandAnswer),
}

/// [`PeerReply`] of such a version.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderReply {
    Pong,
    Received(u64),
    Answer { number: u64, answer: OlderAnswer },
}

fn command() -> Command {
    Command::Evacuate {
        zone: ZoneId::from("z"),
        is_active: true,
    }
}

#[gtest]
fn a_proposal_of_an_older_process_has_no_fence() {
    let bytes = postcard::to_stdvec(&OlderQuestion::Propose(command())).expect("encoded");
    let question = postcard::from_bytes::<Question>(&bytes).expect("decoded");
    let Question::Propose(read, fence) = question else {
        panic!("another question: {question:?}");
    };
    expect_that!(read, eq(&command()));
    expect_that!(fence.fence(), none());
}

#[gtest]
fn an_older_process_ignores_the_fence() {
    let question = Question::Propose(command(), TrailingIndex::from(OrderFence(7)));
    let bytes = postcard::to_stdvec(&question).expect("encoded");
    let read = postcard::from_bytes::<OlderQuestion>(&bytes).expect("decoded");
    expect_that!(read, eq(&OlderQuestion::Propose(command())));
    let read = postcard::from_bytes::<Question>(&bytes).expect("decoded");
    let Question::Propose(_, fence) = read else {
        panic!("another question: {read:?}");
    };
    expect_that!(fence.fence(), some(eq(OrderFence(7))));
}

#[gtest]
fn the_index_of_an_answer_may_be_missing_or_unread() {
    let older = OlderReply::Answer {
        number: 3,
        answer: OlderAnswer::Command(CommandAnswer::Done),
    };
    let bytes = postcard::to_stdvec(&older).expect("encoded");
    let reply = postcard::from_bytes::<PeerReply>(&bytes).expect("decoded");
    let PeerReply::Answer {
        answer: Answer::Command(CommandAnswer::Done, index),
        ..
    } = reply
    else {
        panic!("another reply: {reply:?}");
    };
    expect_that!(index.index(), none());
    let reply = PeerReply::Answer {
        number: 3,
        answer: Answer::Command(CommandAnswer::Done, TrailingIndex::from(Some(7))),
    };
    let bytes = postcard::to_stdvec(&reply).expect("encoded");
    let read = postcard::from_bytes::<OlderReply>(&bytes).expect("decoded");
    expect_that!(read, eq(&older));
}
