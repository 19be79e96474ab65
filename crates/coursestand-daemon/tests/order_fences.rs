//! Messages with fences between processes of this and of older versions. Guards against a version
//! that closes its connection to the other one because it can't decode a proposal.
#![allow(missing_docs)]

use coursestand_coordination::{Command, OrderFence};
use coursestand_daemon::fleet::wire::{Question, TrailingFence};
use coursestand_model::ZoneId;
use googletest::prelude::*;
use serde::{Deserialize, Serialize};

/// [`Question`] of a version without fences.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderQuestion {
    Propose(Command),
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
    let question = Question::Propose(command(), TrailingFence::from(OrderFence(7)));
    let bytes = postcard::to_stdvec(&question).expect("encoded");
    let read = postcard::from_bytes::<OlderQuestion>(&bytes).expect("decoded");
    expect_that!(read, eq(&OlderQuestion::Propose(command())));
    let read = postcard::from_bytes::<Question>(&bytes).expect("decoded");
    let Question::Propose(_, fence) = read else {
        panic!("another question: {read:?}");
    };
    expect_that!(fence.fence(), some(eq(OrderFence(7))));
}
