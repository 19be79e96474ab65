//! Disks of control processes are lost, two at a time at most and again and again, after histories
//! of any length and whichever process leads. A control process counts as lost while it is down or
//! suspended, and for the time to catch up after it is back; only then may the next one be lost. At times all
//! are killed at once, also while disks are lost, and the next loss waits until the group is whole.

mod judge;
mod judge_tests;
mod questions;
mod rounds;
mod watch;

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::deployment::{Deployment, TEST_TIMEOUT};
use crate::evacuations::record::Record;
use crate::evacuations::{CONTROLS, FIRST_EDGE, SEEDS, System, number_from_environment};
use crate::power_losses::disks::Disks;
use crate::power_losses::ledger::Ledger;
use crate::power_losses::operators::Operators;
use crate::power_losses::service::{
    RECOVERY, check_read_at, is_group_complete, votes, wait_for_service,
};
use crate::power_losses::traffic::Traffic;
use crate::process_history::ProcessHistory;
use crate::processes::{Processes, folder_in_memory};
use crate::{initial_items, seeds_or};
use judge::{describe_votes, judge_questions, judge_votes};
use questions::Questioners;
use rounds::{Ending, Rounds};
use watch::Watch;

const EDGES: std::ops::RangeInclusive<u8> = 2..=3;
const DEFAULT_ROUNDS: u64 = 2;
/// Seeds of the short run. Both fail with a version whose replicas can't answer a leader that their
/// log does not name.
const DEFAULT_SEEDS: [u64; 2] = [4, 8];
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A run of one seed.
struct Run {
    system: System,
    ledger: Arc<Ledger>,
    rounds: Rounds,
    random: StdRng,
}

impl Run {
    fn new(seed: u64) -> Run {
        let deployment = Deployment::in_folder(&SEEDS, folder_in_memory());
        let folders = CONTROLS.map(|host| (host, deployment.data_folder(host)));
        let ledger = Ledger::new(Disks::new(folders.into()));
        let mut random = StdRng::seed_from_u64(!seed);
        let edges = random.random_range(EDGES);
        Run {
            rounds: Rounds::new(StdRng::seed_from_u64(seed), &deployment, &ledger),
            ledger,
            system: System {
                processes: Processes::new(&deployment.data_folder(0)),
                deployment,
                record: Record::default(),
                edges: (FIRST_EDGE..FIRST_EDGE + edges).collect(),
            },
            random,
        }
    }

    /// Plays all rounds and judges them. Returns what was measured, or what was violated.
    async fn play(&mut self) -> std::result::Result<String, String> {
        self.start().await?;
        let traffic = Traffic::start(&self.system).await;
        wait_for_service(&mut self.system, |_| Ok(()), "at the start").await?;
        self.wait_for_group(TEST_TIMEOUT).await?;
        let watch = Watch::start(&self.system);
        let questioners = Questioners::start(&self.system.deployment, &self.ledger);
        let has_operators = self.random.random_bool(0.5);
        let operators = has_operators
            .then(|| Operators::start(&self.system.deployment, &self.ledger, &mut self.random));
        let outcome = self.play_rounds().await;
        if let Some(operators) = operators {
            operators.finish().await;
        }
        let (questions, mut violations) = questioners.finish().await;
        let samples = watch.finish().await;
        let served = traffic.finish().await;
        let history = ProcessHistory::new(self.system.record.processes());
        let votes = judge_votes(self.rounds.blank_starts(), &samples, &history);
        let measured = format!(
            "{served} requests served, {} questions, votes after {}",
            questions.len(),
            describe_votes(&votes)
        );
        self.system.record.note(&measured);
        let seconds = |at| self.system.record.seconds(at);
        violations.extend(judge_questions(&questions, &history, seconds));
        let late = votes.iter().filter(|vote| vote.is_late);
        violations.extend(late.map(|vote| vote.describe_late(seconds)));
        violations.extend(outcome.err());
        match violations.is_empty() {
            true => Ok(measured),
            false => Err(format!("{}\n{measured}", violations.join("\n"))),
        }
    }

    async fn start(&mut self) -> std::result::Result<(), String> {
        for host in CONTROLS.into_iter().chain(self.system.edges.clone()) {
            self.system.start(host, true);
        }
        let initial = initial_items();
        self.ledger.send(&initial);
        let status = self.system.deployment.patch(&SEEDS, &initial).await;
        if status != 200 {
            return Err(format!("the initial items are rejected with {status}"));
        }
        self.ledger.acknowledge(&initial);
        Ok(())
    }

    async fn play_rounds(&mut self) -> std::result::Result<(), String> {
        let rounds = number_from_environment("COURSESTAND_LOST_DISK_ROUNDS");
        for _ in 0..rounds.unwrap_or(DEFAULT_ROUNDS) {
            match self.rounds.next(&mut self.system).await? {
                Ending::CaughtUp => self.wait_for_read().await?,
                Ending::AllKilled => self.recover().await?,
            }
        }
        self.rounds.play_final_fault(&mut self.system).await?;
        self.recover().await
    }

    /// Waits until one process answers a read.
    async fn wait_for_read(&mut self) -> std::result::Result<(), String> {
        let back_at = Instant::now();
        loop {
            self.rounds.tick(&mut self.system)?;
            for host in self.rounds.running_controls() {
                if check_read_at(&self.system, &self.ledger, host).await? {
                    let seconds = back_at.elapsed().as_secs_f64();
                    let note = format!("read at {host} after {seconds:.3} s");
                    self.system.record.note(note);
                    return Ok(());
                }
            }
            if back_at.elapsed() > RECOVERY {
                return Err(format!("no read was answered within {RECOVERY:?}"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until each control process votes and answers a read.
    async fn wait_for_group(&mut self, limit: Duration) -> std::result::Result<(), String> {
        let back_at = Instant::now();
        while !is_group_complete(&self.system, &self.ledger).await {
            self.rounds.tick(&mut self.system)?;
            if back_at.elapsed() > limit {
                let group = describe_group(&self.system).await;
                return Err(format!("the group is not whole in time: {group}"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let seconds = back_at.elapsed().as_secs_f64();
        let note = format!("the group is whole after {seconds:.3} s");
        self.system.record.note(note);
        Ok(())
    }

    /// Starts all processes, and waits for reads, the whole group and answers to requests, each for
    /// the time to recover at most.
    async fn recover(&mut self) -> std::result::Result<(), String> {
        self.rounds.start_all(&mut self.system).await?;
        let back_at = Instant::now();
        self.wait_for_read().await?;
        let left = RECOVERY.saturating_sub(back_at.elapsed());
        self.wait_for_group(left).await?;
        let rounds = &mut self.rounds;
        let check = |system: &mut System| rounds.check_exits(system);
        wait_for_service(&mut self.system, check, "after all were killed").await?;
        self.rounds.resume_edge_faults();
        Ok(())
    }
}

/// Describes the replicas for whoever reads the failure.
async fn describe_group(system: &System) -> String {
    let mut replicas = Vec::new();
    for host in CONTROLS {
        let Some(replica) = system.dump(host, "/hub/replica").await else {
            replicas.push(format!("{host} is silent"));
            continue;
        };
        let members = replica["members"].as_array().map_or(0, Vec::len);
        replicas.push(format!(
            "{host} is {} of {members} in term {}, last {}, votes {}",
            replica["role"],
            replica["term"],
            replica["last"],
            votes(&replica)
        ));
    }
    replicas.join("; ")
}

/// Runs one seed. Returns what was measured, or an error that names the violated guarantees and the
/// folder of the logs.
async fn run_seed(seed: u64) -> std::result::Result<String, String> {
    let mut run = Run::new(seed);
    let outcome = run.play().await;
    let folder = &mut run.system.deployment.folder;
    let logs = folder.path().join("0");
    std::fs::write(logs.join("record.txt"), run.system.record.describe()).expect("written");
    if outcome.is_err() || std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() {
        folder.disable_cleanup(true);
        println!("seed {seed}: logs in {}", logs.display());
    }
    outcome.map_err(|reason| format!("{reason}\nlogs in {}", logs.display()))
}

/// Guards against a group without a leader, or without what was acknowledged, after disks are lost
/// again and again: replicas that had lost their disks could not answer a leader that the first
/// part of the log does not name, and never voted again.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_disks_may_be_lost_again_and_again() {
    let mut violations = Vec::new();
    for seed in seeds_or(&DEFAULT_SEEDS) {
        match run_seed(seed).await {
            Ok(measured) => println!("seed {seed}: {measured}"),
            Err(reason) => {
                println!("seed {seed}: {reason}");
                violations.push(format!("seed {seed}: {reason}"));
            }
        }
    }
    expect_that!(violations, is_empty());
}
