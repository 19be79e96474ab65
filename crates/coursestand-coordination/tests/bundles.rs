//! Racing and retransmitted submissions, sign-offs, and rollbacks.
#![allow(missing_docs)]

mod common;

use common::{Machine, bundle, key, policy, signed};
use coursestand_coordination::bundles::{Order, OrderAction, SignedOrder, SubmitAnswer};
use coursestand_coordination::signing::{SignoffPolicy, sign};
use coursestand_coordination::{Command, CommandAnswer, ControlState};
use coursestand_model::{Bundle, SignedBundle};
use googletest::prelude::*;

fn submit(
    machine: &mut Machine,
    bundle: SignedBundle,
    expected: u64,
    submission: &str,
) -> SubmitAnswer {
    let answer = machine.apply(Command::SubmitBundle {
        bundle,
        expected_revision: expected,
        submission: submission.to_owned(),
    });
    match answer {
        CommandAnswer::Submit(answer) => answer,
        other => panic!("unexpected answer: {other:?}"),
    }
}

fn bundle_with_cap(version: u64, share_bp: u32) -> Bundle {
    let mut bundle = bundle(version);
    bundle.services[0].shift_cap.share_bp = share_bp;
    bundle
}

#[gtest]
fn of_two_racing_submissions_one_is_accepted_and_one_conflicts() {
    let mut machine = Machine::started(2, 1);
    let first = submit(&mut machine, signed(&bundle_with_cap(2, 100)), 1, "a");
    expect_that!(first, eq(&SubmitAnswer::Accepted { revision: 2 }));
    let same_version = submit(&mut machine, signed(&bundle_with_cap(2, 200)), 1, "b");
    expect_that!(
        same_version,
        matches_pattern!(SubmitAnswer::Conflict {
            current: eq(&2),
            ..
        })
    );
    let other_version = submit(&mut machine, signed(&bundle_with_cap(3, 200)), 1, "c");
    expect_that!(
        other_version,
        matches_pattern!(SubmitAnswer::Conflict {
            current: eq(&2),
            ..
        })
    );
    expect_that!(machine.state.history().current(), eq(2));
}

#[gtest]
fn a_retransmitted_submission_gets_the_original_answer() {
    let mut machine = Machine::started(2, 1);
    let bundle = signed(&bundle_with_cap(2, 100));
    let first = submit(&mut machine, bundle.clone(), 1, "a");
    submit(&mut machine, signed(&bundle_with_cap(3, 100)), 2, "b");
    expect_that!(submit(&mut machine, bundle.clone(), 1, "a"), eq(&first));
    // So does the same content under a different submission name.
    expect_that!(submit(&mut machine, bundle, 3, "z"), eq(&first));
    expect_that!(machine.state.history().current(), eq(3));
}

#[gtest]
fn a_rollback_is_a_new_revision_with_the_old_content() {
    let mut machine = Machine::started(2, 1);
    submit(&mut machine, signed(&bundle_with_cap(2, 100)), 1, "a");
    let order = Order {
        expected_revision: 2,
        action: OrderAction::Roll { revision: 1 },
    };
    let content = serde_json::to_string(&order).expect("JSON");
    let signatures = vec![sign("ada", &key(), content.as_bytes())];
    let order = SignedOrder {
        content,
        signatures,
    };
    let answer = machine.apply(Command::SubmitOrder {
        order: order.clone(),
        submission: "roll".to_owned(),
    });
    let accepted = CommandAnswer::Submit(SubmitAnswer::Accepted { revision: 3 });
    expect_that!(answer, eq(&accepted));
    let in_force = machine.state.tables().bundle_in_force().expect("in force");
    expect_that!(in_force.revision, eq(3));
    expect_that!(&in_force.content, eq(&signed(&bundle(1)).content));
    // The order can't be replayed under another name: its expected revision is outdated.
    let replayed = machine.apply(Command::SubmitOrder {
        order,
        submission: "replayed".to_owned(),
    });
    expect_that!(
        replayed,
        matches_pattern!(CommandAnswer::Submit(matches_pattern!(
            SubmitAnswer::Conflict { .. }
        )))
    );
}

#[gtest]
fn unsigned_altered_and_unauthorized_bundles_are_refused() {
    let mut machine = Machine::started(2, 1);
    let mut unsigned = signed(&bundle_with_cap(2, 100));
    unsigned.signatures.clear();
    let mut altered = signed(&bundle_with_cap(2, 100));
    altered.content = altered
        .content
        .replace("\"share_bp\":100", "\"share_bp\":9000");
    let mut unauthorized = signed(&bundle_with_cap(2, 100));
    unauthorized.signatures[0].operator = "eve".to_owned();
    for (bundle, reason) in [
        (unsigned, "0 operators signed, 1 are required"),
        (altered, "does not match the content"),
        (unauthorized, "eve is not allowed"),
    ] {
        let answer = submit(&mut machine, bundle, 1, "x");
        let SubmitAnswer::Refused { reason: actual } = answer else {
            panic!("unexpected answer: {answer:?}");
        };
        expect_that!(actual, contains_substring(reason));
    }
    expect_that!(machine.state.history().current(), eq(1));
}

#[gtest]
fn two_signatures_of_one_operator_count_once() {
    let content = "text";
    let signature = sign("ada", &key(), content.as_bytes());
    let policy = SignoffPolicy {
        required: 2,
        ..policy()
    };
    let twice = [signature.clone(), signature];
    expect_that!(policy.check(content.as_bytes(), &twice).is_err(), eq(true));
}

#[gtest]
fn the_sign_off_policy_can_be_set_only_once() {
    let mut machine = Machine::started(1, 1);
    let other = SignoffPolicy::default();
    let answer = machine.apply(Command::Initialize(other));
    expect_that!(answer, matches_pattern!(CommandAnswer::Refused(_)));
}

#[gtest]
fn a_bad_bundle_is_refused_with_its_field() {
    let mut machine = Machine::started(1, 1);
    let answer = submit(&mut machine, signed(&bundle_with_cap(2, 0)), 1, "x");
    let SubmitAnswer::Refused { reason } = answer else {
        panic!("unexpected answer: {answer:?}");
    };
    expect_that!(reason, contains_substring("services[0].shift_cap.share_bp"));
}

#[gtest]
fn a_shorter_deadline_does_not_lower_the_longest_deadline() {
    let mut machine = Machine::started(2, 1);
    let before = machine.state.longest_deadline_ms();
    let mut shorter = bundle(2);
    shorter.services[0].deadline_ms = 100;
    submit(&mut machine, signed(&shorter), 1, "a");
    expect_that!(machine.state.longest_deadline_ms(), eq(before));
    expect_that!(before, gt(100));
}

#[gtest]
fn a_decoded_snapshot_equals_the_encoded_state() {
    let machine = Machine::started(3, 2);
    let bytes = postcard::to_stdvec(&machine.state).expect("encoded");
    let mut restored: ControlState = postcard::from_bytes(&bytes).expect("decoded");
    restored.restore_derived();
    expect_that!(restored == machine.state, eq(true));
    expect_that!(restored.bundle(), eq(machine.state.bundle()));
}
