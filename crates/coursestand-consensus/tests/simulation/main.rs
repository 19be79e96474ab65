//! A group under seeded faults, checked against a reference model: a plain list of
//! the committed entries.
//!
//! Messages go to an address: the one that the receiver's messages came from, or else the one
//! that the sender's log names. A replacement has the address of the replica that lost its disk,
//! under a new identity, and becomes a voter by the rules of the daemon.
//!
//! Faults: lost, delayed, duplicated and reordered messages; partitions, also in one
//! direction; paused replicas; crashes before and after a sync, also of all replicas at once;
//! the loss of as many disks at once as the group is made for, as often as all replacements
//! vote; replicas that are silent until they are removed; syncs of up to 2 s during which
//! messages are processed; clocks that differ in offset and rate.
//!
//! Invariants, checked after every step: one leader per term, equal committed logs, no loss of
//! acknowledged commands, and a replica that holds the lease has all committed entries. After the
//! last fault, the group accepts commands, every process votes, and all apply the same entries.
#![allow(missing_docs)]

mod directed;
mod faults;
mod formation;
mod group;
mod judge;
mod network;
mod node;

use coursestand_consensus::config::Mechanisms;
use proptest::prelude::*;
use proptest::test_runner::{
    Config as ProptestConfig, RngAlgorithm, TestCaseError, TestRng, TestRunner,
};

use crate::faults::{Fault, fault, one_way_partition, repeated_losses};
use crate::group::Group;
use crate::node::Rules;

const SEEDED_RUNS: u32 = 4_000;
/// Attempts to simplify a run that failed.
const MAX_SHRINK_ITERS: u32 = 2_000;
/// Threads on which the runs are made.
const SHARDS: u8 = 3;

fn run(seed: u64, faults: &[Fault], rules: Rules) -> Result<(), TestCaseError> {
    let mut group = Group::new(seed, rules);
    for fault in faults {
        group.apply(fault)?;
    }
    group.recover()
}

/// Returns a runner whose runs follow from `shard`.
fn runner(cases: u32, shard: u8, max_shrink_iters: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters,
        ..ProptestConfig::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[shard; 32]);
    TestRunner::new_with_rng(config, random)
}

fn runs() -> impl Strategy<Value = (u64, Vec<Fault>)> {
    let faults = prop_oneof![
        8 => prop::collection::vec(fault(), 5..60),
        2 => one_way_partition(),
        1 => repeated_losses(),
    ];
    (any::<u64>(), faults)
}

#[test]
fn group_matches_the_reference_model_under_faults() {
    let cases = std::env::var("COURSESTAND_RUNS")
        .ok()
        .and_then(|runs| runs.parse().ok())
        .unwrap_or(SEEDED_RUNS);
    std::thread::scope(|scope| {
        for shard in 0..SHARDS {
            scope.spawn(move || run_shard(cases.div_ceil(u32::from(SHARDS)), shard));
        }
    });
}

fn run_shard(cases: u32, shard: u8) {
    let result = runner(cases, shard, MAX_SHRINK_ITERS).run(&runs(), |(seed, faults)| {
        run(seed, &faults, Rules::default())
    });
    if let Err(error) = result {
        panic!("shard {shard}: {error}");
    }
}

/// Asserts that under rules that lack a mechanism a check fails with one of `expected_errors`.
fn expect_failure_with(rules: Rules, expected_errors: &[&str]) {
    let mut runner = runner(4 * SEEDED_RUNS, 0, 0);
    let result = runner.run(&runs(), |(seed, faults)| run(seed, &faults, rules));
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

fn without(disable: impl FnOnce(&mut Mechanisms)) -> Rules {
    let mut rules = Rules::default();
    disable(&mut rules.mechanisms);
    rules
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
    let rules = without(|mechanisms| mechanisms.respect_leader_lease = false);
    expect_failure_with(rules, &[STALE_LEASE]);
}

#[test]
fn checks_fail_without_comparing_logs() {
    let rules = without(|mechanisms| mechanisms.compare_logs = false);
    expect_failure_with(rules, &[OTHER_LOG, STALE_LEASE, TRUNCATED]);
}

#[test]
fn checks_fail_without_one_vote_per_term() {
    let rules = without(|mechanisms| mechanisms.one_vote_per_term = false);
    expect_failure_with(rules, &[TWO_LEADERS]);
}

#[test]
fn checks_fail_if_unsynced_entries_are_acknowledged() {
    let rules = without(|mechanisms| mechanisms.acknowledge_synced_only = false);
    expect_failure_with(rules, &[OTHER_LOG, STALE_LEASE, TRUNCATED, NOT_RECOVERED]);
}

/// Before, a replica was answered only at the address that the answering replica's log names.
#[test]
fn checks_fail_without_learning_addresses() {
    let rules = Rules {
        learns_addresses: false,
        ..Rules::default()
    };
    expect_failure_with(rules, &[NOT_RECOVERED]);
}
