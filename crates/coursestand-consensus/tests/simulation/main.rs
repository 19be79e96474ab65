//! A group under seeded faults, checked against a reference model: a plain list of
//! the committed entries.
//!
//! Faults: lost, delayed, duplicated and reordered messages; partitions, also in one
//! direction; paused replicas; crashes before and after a sync; lost disks with
//! replacement under a new identity; syncs of up to 2 s during which messages are
//! processed; clocks that differ in offset and rate. Invariants, checked after every
//! step: one leader per term, equal committed logs, no loss of acknowledged commands,
//! and a replica that holds the lease has all committed entries.
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
        1 => one_way_partition(),
    ];
    (any::<u64>(), faults)
}

/// One replica stops receiving another's messages and campaigns; then the other one is
/// isolated. An old and a new leader could both serve at that moment.
fn one_way_partition() -> impl Strategy<Value = Vec<Fault>> {
    (0..3_u8, 0..3_u8, 50..150_u8).prop_map(|(from, to, steps)| {
        vec![
            Fault::Wait { steps: 250 },
            Fault::Cut { from, to },
            Fault::Wait { steps },
            Fault::Isolate { node: from },
            Fault::Wait { steps: 60 },
        ]
    })
}

#[test]
fn group_matches_the_reference_model_under_faults() {
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

/// Asserts that without the mechanism a check fails with one of `expected_errors`.
fn expect_failure_without(mechanisms: Mechanisms, expected_errors: &[&str]) {
    let mut runner = runner(4 * SEEDED_RUNS);
    let result = runner.run(&runs(), |(seed, faults)| run(seed, &faults, mechanisms));
    let Err(error) = result else {
        panic!("no check failed without the mechanism");
    };
    let text = error.to_string();
    assert!(
        expected_errors
            .iter()
            .any(|expected| text.contains(expected)),
        "another failure: {text}"
    );
}

const OTHER_LOG: &str = "applied another log";
const TWO_LEADERS: &str = "two leaders in term";
const STALE_LEASE: &str = "misses committed entries";
/// A leader waits forever for an entry that a replica acknowledged and lost.
const NOT_RECOVERED: &str = "the group did not recover";
/// The replica's own assertion, which fails before a check of the simulation does.
const TRUNCATED: &str = "committed entries must not be truncated";

#[test]
fn checks_fail_without_the_leader_lease() {
    let mechanisms = Mechanisms {
        respect_leader_lease: false,
        ..Mechanisms::default()
    };
    expect_failure_without(mechanisms, &[STALE_LEASE]);
}

#[test]
fn checks_fail_without_comparing_logs() {
    let mechanisms = Mechanisms {
        compare_logs: false,
        ..Mechanisms::default()
    };
    expect_failure_without(mechanisms, &[OTHER_LOG, STALE_LEASE, TRUNCATED]);
}

#[test]
fn checks_fail_without_one_vote_per_term() {
    let mechanisms = Mechanisms {
        one_vote_per_term: false,
        ..Mechanisms::default()
    };
    expect_failure_without(mechanisms, &[TWO_LEADERS]);
}

#[test]
fn checks_fail_if_unsynced_entries_are_acknowledged() {
    let mechanisms = Mechanisms {
        acknowledge_synced_only: false,
        ..Mechanisms::default()
    };
    expect_failure_without(
        mechanisms,
        &[OTHER_LOG, STALE_LEASE, TRUNCATED, NOT_RECOVERED],
    );
}
