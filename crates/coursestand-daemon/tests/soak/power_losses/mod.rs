//! Losses of power whose disks tear the write in progress, beside changes of operators. Files are
//! changed only between the kill and the start of their process.

pub mod disks;
mod judge_tests;
pub mod ledger;
mod losses;
pub mod operators;
pub mod service;
pub mod traffic;

use std::sync::Arc;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::Deployment;
use crate::evacuations::record::Record;
use crate::evacuations::{
    CONTROLS, FIRST_EDGE, LOST_DISKS, SEEDS, System, number_from_environment,
};
use crate::processes::{Exit, Processes};
use crate::{initial_items, seeds_or};
use disks::Disks;
use ledger::Ledger;
use losses::Losses;
use operators::Operators;
use service::{CATCH_UP, RECOVERY, check_read_at, is_group_complete};
use traffic::Traffic;

const EDGES: u8 = 3;
const DEFAULT_ROUNDS: u64 = 3;
/// Seeds of the short run.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
/// Time for control processes to catch up before the next disks are lost.
const MAX_TIME_TO_CATCH_UP: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LOG_LINES: usize = 6;

/// Describes an exit for whoever reads the failure.
pub fn describe_exit(exit: &Exit, disks: &Disks) -> String {
    let log = std::fs::read_to_string(&exit.log).unwrap_or_default();
    let lines: Vec<&str> = log.lines().collect();
    let last = lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
    let mut text = format!(
        "process {} ended by itself: {}; its last lines:\n{last}",
        exit.host, exit.status
    );
    if CONTROLS.contains(&exit.host) {
        text += &format!("\nits disk:\n{}", disks.describe(exit.host));
    }
    text
}

/// A run of one seed.
struct Run {
    system: System,
    ledger: Arc<Ledger>,
    losses: Losses,
}

impl Run {
    fn new(seed: u64) -> Run {
        let deployment = Deployment::new(&SEEDS);
        let folders = CONTROLS.map(|host| (host, deployment.data_folder(host)));
        let disks = Disks::new(folders.into());
        let ledger = Ledger::new(disks.clone());
        let random = StdRng::seed_from_u64(seed);
        Run {
            losses: Losses::new(random, disks, Arc::clone(&ledger)),
            ledger,
            system: System {
                processes: Processes::new(&deployment.data_folder(0)),
                deployment,
                record: Record::default(),
                edges: (FIRST_EDGE..FIRST_EDGE + EDGES).collect(),
            },
        }
    }

    /// Plays all rounds. Returns the number of served requests.
    async fn play(&mut self, seed: u64) -> std::result::Result<usize, String> {
        for host in CONTROLS.into_iter().chain(self.system.edges.clone()) {
            self.system.start(host, true);
        }
        let initial = initial_items();
        self.ledger.send(&initial);
        let status = self.system.deployment.patch(&SEEDS, &initial).await;
        assert_eq!(status, 200, "the initial items are rejected");
        self.ledger.acknowledge(&initial);
        let traffic = Traffic::start(&self.system).await;
        self.wait_for_service("at the start").await?;
        self.wait_for_catch_up().await?;
        let mut random = StdRng::seed_from_u64(!seed);
        let operators = Operators::start(&self.system.deployment, &self.ledger, &mut random);
        let rounds = number_from_environment("COURSESTAND_POWER_LOSS_ROUNDS");
        for _ in 0..rounds.unwrap_or(DEFAULT_ROUNDS) {
            self.losses.next(&mut self.system).await?;
            self.recover().await?;
        }
        operators.finish().await;
        for host in CONTROLS {
            check_read_at(&self.system, &self.ledger, host).await?;
        }
        self.losses.check_exits(&mut self.system)?;
        Ok(traffic.finish().await)
    }

    async fn wait_for_service(&mut self, when: &str) -> std::result::Result<(), String> {
        let losses = &self.losses;
        let check_exits = |system: &mut System| losses.check_exits(system);
        service::wait_for_service(&mut self.system, check_exits, when).await
    }

    /// Waits until the configuration is read and requests are served after a loss of power, and for
    /// control processes to catch up if disks were lost.
    async fn recover(&mut self) -> std::result::Result<(), String> {
        let back_at = Instant::now();
        loop {
            self.losses.check_exits(&mut self.system)?;
            let mut is_answered = false;
            for host in CONTROLS {
                is_answered |= check_read_at(&self.system, &self.ledger, host).await?;
            }
            if is_answered {
                break;
            }
            if back_at.elapsed() > RECOVERY {
                return Err(format!("no read was answered within {RECOVERY:?}"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let seconds = back_at.elapsed().as_secs_f64();
        self.system
            .record
            .note(format!("read after {seconds:.3} s"));
        self.wait_for_service("after a loss of power").await?;
        if self.losses.has_lost_disks() {
            self.wait_for_catch_up().await?;
        }
        Ok(())
    }

    /// Waits until all control processes have run for [`CATCH_UP`] and hold the same log.
    async fn wait_for_catch_up(&mut self) -> std::result::Result<(), String> {
        let began_at = Instant::now();
        while began_at.elapsed() < MAX_TIME_TO_CATCH_UP {
            self.losses.check_exits(&mut self.system)?;
            if began_at.elapsed() > CATCH_UP && is_group_complete(&self.system, &self.ledger).await
            {
                self.system.record.note("all have caught up");
                self.losses.note_caught_up();
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.system.record.note("some have not caught up");
        Ok(())
    }
}

/// Runs one seed. Returns the number of served requests, or an error that names the violated
/// guarantee and the folder of the logs.
async fn run_seed(seed: u64) -> std::result::Result<usize, String> {
    let mut run = Run::new(seed);
    let outcome = run.play(seed).await;
    let folder = &mut run.system.deployment.folder;
    let logs = folder.path().join("0");
    std::fs::write(logs.join("record.txt"), run.system.record.describe()).expect("written");
    if outcome.is_err() || std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() {
        folder.disable_cleanup(true);
        println!("seed {seed}: logs in {}", logs.display());
    }
    outcome.map_err(|reason| format!("{reason}\nlogs in {}", logs.display()))
}

/// Guards against control processes that end at each start, and against acknowledged changes that
/// are lost, after losses of power that tear the record being written.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn acknowledged_changes_survive_torn_writes() {
    let mut violations = Vec::new();
    for seed in seeds_or(&DEFAULT_SEEDS) {
        match run_seed(seed).await {
            Ok(served) => println!("seed {seed}: {served} requests served"),
            Err(reason) => {
                println!("seed {seed}: {reason}");
                violations.push(format!("seed {seed}: {reason}"));
            }
        }
    }
    expect_that!(violations, is_empty());
}
