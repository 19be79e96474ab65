//! Repeats, requests that reach a back end a second time, are counted at the back ends while
//! real processes are killed, stopped and started.
//!
//! `COURSESTAND_PLAYS=NAME,...` selects the scenarios of `scenarios.rs` to run (`all` selects
//! all), and `COURSESTAND_PROGRAM` names another version of the daemon to run them with.
#![allow(missing_docs)]

#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../soak/processes.rs"]
#[allow(dead_code)]
mod processes;

mod rate_limits;
mod scenario;
mod scenarios;

use googletest::prelude::*;
use scenario::Outcome;
use scenarios::scenarios;

/// Scenarios that run without a selection.
const DEFAULT_SCENARIOS: [&str; 1] = ["quiet"];

fn selected() -> Vec<String> {
    match std::env::var("COURSESTAND_PLAYS").as_deref() {
        Ok("all") => scenarios().into_keys().collect(),
        Ok(names) => names.split(',').map(str::to_owned).collect(),
        Err(_) => DEFAULT_SCENARIOS.map(str::to_owned).to_vec(),
    }
}

async fn run(name: &str) -> Outcome {
    let scenarios = scenarios();
    let scenario = scenarios.get(name).expect("a scenario of this name");
    let outcome = scenario.run().await;
    let worst = outcome.worst;
    println!(
        "{name}: sent {}, served {}, repeats {}; worst window {} repeats of {:.1} allowed; \
         {} back ends crashed",
        outcome.sent,
        outcome.served,
        outcome.repeats,
        worst.repeats,
        worst.allowed,
        outcome.crashed
    );
    outcome
}

/// Runs the scenarios concurrently and expects that none exceeds the bound on repeats.
async fn expect_within_bound(names: &[String]) {
    let outcomes = names.iter().map(|name| run(name));
    let outcomes = futures::future::join_all(outcomes).await;
    for (name, outcome) in names.iter().zip(outcomes) {
        expect_that!(
            outcome.worst.exceeds_bound(),
            eq(false),
            "{name}: {outcome:?}"
        );
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeats_stay_within_their_bound() {
    for name in selected() {
        expect_within_bound(&[name]).await;
    }
}

/// Guards against daemons that start with their full share of the fixed retry allowance: if
/// they are killed and restarted, each incarnation spends that share again, and the share is
/// too large while the daemon's list of daemons is incomplete. A daemon starts without a share
/// and leases one once no earlier incarnation can spend from it. The rate of requests is low,
/// since at ten times the rate the retries that requests earn hide the fault.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarts_of_daemons_add_no_repeats() {
    let names = [
        "daemons-killed",
        "few-daemons-killed",
        "daemons-killed-while-control-starts",
    ];
    expect_within_bound(&names.map(str::to_owned)).await;
}

/// Guards against retries that arrive late in one burst, when back ends that were suspended
/// for 35 s resume. A suspended back end reads nothing, but its kernel buffers what was sent
/// to it, also on connections that have been closed since. If retries counted only when they were
/// granted, those of four windows of ten seconds could arrive in one. An abandoned copy
/// therefore withholds a retry until it has arrived or can't arrive.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_back_ends_get_no_more_repeats_than_in_any_other_window() {
    let names = ["back-ends-stopped", "answering-back-ends-stopped"];
    expect_within_bound(&names.map(str::to_owned)).await;
}

/// Back ends that one request may crash: three crashes quarantine it, and two more copies may
/// be in flight by then.
const MAX_CRASHES: usize = 5;

/// A fatal request arrives three times a second while daemons are killed in turn and control is
/// killed once. Guards against daemons that restart without the crash records of the others
/// (see `tests/fleet/fatal_requests.rs`).
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fatal_request_crashes_few_back_ends_while_processes_are_killed() {
    for name in ["deadly-daemons-killed-in-turn", "deadly-both-killed"] {
        let outcome = run(name).await;
        expect_that!(outcome.crashed, le(MAX_CRASHES), "{name}: {outcome:?}");
        expect_that!(
            outcome.worst.exceeds_bound(),
            eq(false),
            "{name}: {outcome:?}"
        );
    }
}
