//! Requests sent to a second back end, counted where they arrive while real processes
//! are killed, stopped and started.
//!
//! `COURSESTAND_PLAYS=NAME,...` plays those of `play.rs` (`all` plays each of them), and
//! `COURSESTAND_PROGRAM` names another version of the daemon to play them with.
#![allow(missing_docs)]

#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../soak/processes.rs"]
#[allow(dead_code)]
mod processes;

mod play;

use googletest::prelude::*;
use play::{Outcome, plays};

/// Plays of the short run.
const SHORT: [&str; 1] = ["quiet"];

fn chosen() -> Vec<String> {
    match std::env::var("COURSESTAND_PLAYS").as_deref() {
        Ok("all") => plays().into_keys().collect(),
        Ok(names) => names.split(',').map(str::to_owned).collect(),
        Err(_) => SHORT.map(str::to_owned).to_vec(),
    }
}

async fn run(name: &str) -> Outcome {
    let plays = plays();
    let play = plays.get(name).expect("a play of this name");
    let outcome = play.run().await;
    let worst = outcome.worst;
    println!(
        "{name}: asked {}, served {}, repeats {}; worst window {} repeats of {:.1} allowed",
        outcome.asked, outcome.served, outcome.repeats, worst.repeats, worst.allowed
    );
    outcome
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeats_stay_within_their_bound() {
    for name in chosen() {
        let outcome = run(&name).await;
        expect_that!(outcome.worst.is_over(), eq(false), "{name}: {outcome:?}");
    }
}
