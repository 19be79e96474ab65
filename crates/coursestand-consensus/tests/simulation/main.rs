//! The group under seeded faults, against one naive copy: a plain list of the
//! commands that were acknowledged.
//!
//! Faults: messages lost, late, twice and out of order; cuts, also in one
//! direction; frozen replicas; crashes before and after a sync; lost disks with
//! replacement under a new identity; syncs that take up to 2 s while messages go on;
//! clocks that differ. After every step:
//! one leader a term, equal committed logs, nothing acknowledged lost, and a
//! replica that holds the lease knows everything that is committed.
#![allow(missing_docs)]

mod group;

use coursestand_consensus::config::Mechanisms;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, TestCaseError, TestRunner};

use crate::group::{Fault, Group, fault};

const SEEDED_RUNS: u32 = 4_000;

fn run(seed: u64, faults: &[Fault], mechanisms: Mechanisms) -> Result<(), TestCaseError> {
    let mut group = Group::new(seed, mechanisms);
    for fault in faults {
        group.apply(fault)?;
    }
    group.recover()
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    )
}

fn runs() -> impl Strategy<Value = (u64, Vec<Fault>)> {
    let faults = prop_oneof![
        4 => prop::collection::vec(fault(), 5..60),
        1 => one_way_loss(),
    ];
    (any::<u64>(), faults)
}

/// One replica no longer hears another, campaigns, and then that other one is
/// cut off: the moment in which an old and a new leader could both serve.
fn one_way_loss() -> impl Strategy<Value = Vec<Fault>> {
    (0..3_u8, 0..3_u8, 50..150_u8).prop_map(|(from, to, steps)| {
        vec![
            Fault::Pass { steps: 250 },
            Fault::Cut { from, to },
            Fault::Pass { steps },
            Fault::Isolate { node: from },
            Fault::Pass { steps: 60 },
        ]
    })
}

#[test]
fn group_equals_the_naive_copy_under_faults() {
    let cases = std::env::var("COURSESTAND_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(SEEDED_RUNS);
    let result = runner(cases).run(&runs(), |(seed, faults)| {
        run(seed, &faults, Mechanisms::default())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// The checks find a fault, told by one of `signs`, once the mechanism is off.
fn fails_without(mechanisms: Mechanisms, signs: &[&str]) {
    let mut runner = runner(4 * SEEDED_RUNS);
    let result = runner.run(&runs(), |(seed, faults)| run(seed, &faults, mechanisms));
    let Err(error) = result else {
        panic!("no check failed without the mechanism");
    };
    let text = error.to_string();
    assert!(
        signs.iter().any(|sign| text.contains(sign)),
        "another failure: {text}"
    );
}

const OTHER_LOG: &str = "applied another log";
const TWO_LEADERS: &str = "two leaders in term";
const STALE_LEASE: &str = "misses committed entries";
/// A leader waits for ever on an entry that a replica had and lost.
const NOT_RECOVERED: &str = "the group did not recover";
/// The core's own assertion, which stops it before a check sees the damage.
const TRUNCATED: &str = "committed entries stay";

#[test]
fn checks_fail_without_loyalty_to_the_leader() {
    let mechanisms = Mechanisms {
        loyal_to_leader: false,
        ..Mechanisms::default()
    };
    fails_without(mechanisms, &[STALE_LEASE]);
}

#[test]
fn checks_fail_without_comparing_logs() {
    let mechanisms = Mechanisms {
        compare_logs: false,
        ..Mechanisms::default()
    };
    fails_without(mechanisms, &[OTHER_LOG, STALE_LEASE, TRUNCATED]);
}

#[test]
fn checks_fail_without_one_vote_a_term() {
    let mechanisms = Mechanisms {
        one_vote_a_term: false,
        ..Mechanisms::default()
    };
    fails_without(mechanisms, &[TWO_LEADERS]);
}

#[test]
fn checks_fail_without_answering_for_what_is_synced_only() {
    let mechanisms = Mechanisms {
        answer_for_synced_only: false,
        ..Mechanisms::default()
    };
    fails_without(
        mechanisms,
        &[OTHER_LOG, STALE_LEASE, TRUNCATED, NOT_RECOVERED],
    );
}
