//! Losses of power whose disks tear the write in progress, beside changes of operators. Files are
//! changed only between the kill and the start of their process.

mod disks;
mod judge_tests;
mod ledger;
mod losses;
mod operators;

use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;

use crate::callers::{RequestLog, call};
use crate::deployment::{Deployment, heartbeat_of};
use crate::evacuations::record::Record;
use crate::evacuations::{
    CONTROLS, FIRST_EDGE, LOST_DISKS, SEEDS, System, number_from_environment,
};
use crate::operators::versions_in;
use crate::processes::{Exit, Processes};
use crate::{HEARTBEAT, heartbeats, initial_items, seeds_or};
use disks::Disks;
use ledger::{Ledger, Versions, check_read};
use losses::Losses;
use operators::Operators;

const EDGES: u8 = 3;
const BACKENDS: usize = 2;
const CALLERS: usize = 3;
const CALLER_PAUSE: Duration = Duration::from_millis(20);
const DEFAULT_ROUNDS: u64 = 3;
/// Seeds of the short run.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
/// Time after which a read is answered and requests are served once all processes are back.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for which a control process counts as lost after it is back.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time for control processes to catch up before the next disks are lost.
const MAX_TIME_TO_CATCH_UP: Duration = Duration::from_secs(20);
/// Requests to each daemon after the recovery, of which a quarter must be served.
const REQUESTS_AFTER_RECOVERY: usize = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LOG_LINES: usize = 6;

/// Describes an exit for whoever reads the failure.
fn describe_exit(exit: &Exit, disks: &Disks) -> String {
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

/// Back ends, callers and heartbeats.
struct Traffic {
    log: Arc<RequestLog>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    _backends: Vec<ScriptedBackend>,
}

impl Traffic {
    async fn start(system: &System) -> Traffic {
        let log = Arc::new(RequestLog::default());
        let mut backends = Vec::new();
        let mut tasks = Vec::new();
        let urls = CONTROLS.map(|host| system.deployment.control_url(host));
        for number in 0..BACKENDS {
            let started = ScriptedBackend::start(Vec::new(), Behaviour::Answer(200)).await;
            let backend = started.expect("a back end");
            let beating = send_heartbeats(
                Arc::clone(&log),
                urls.to_vec(),
                format!("backend-{number}"),
                backend.address(),
            );
            tasks.push(tokio::spawn(beating));
            backends.push(backend);
        }
        let fronts = system
            .edges
            .iter()
            .map(|host| system.deployment.front(*host));
        let fronts: Vec<_> = fronts.collect();
        for caller in 0..CALLERS {
            let calling = call(Arc::clone(&log), fronts.clone(), caller, CALLER_PAUSE);
            tasks.push(tokio::spawn(calling));
        }
        Traffic {
            log,
            tasks,
            _backends: backends,
        }
    }

    /// Ends the traffic and returns the number of served requests.
    async fn finish(self) -> usize {
        self.log.close();
        for task in self.tasks {
            task.await.expect("no panic in the traffic");
        }
        let requests = self.log.requests();
        let served = requests.iter().filter(|request| request.status == 200);
        served.count()
    }
}

async fn send_heartbeats(
    log: Arc<RequestLog>,
    urls: Vec<String>,
    id: String,
    address: std::net::SocketAddr,
) {
    let http = operators::client();
    let mut update = heartbeat_of(&id, address, 0, InstancePhase::Ready);
    while !log.is_closed() {
        update.instance.sequence += 1;
        heartbeats::deliver(&http, &urls, &update).await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Reads the configuration once from one control process, if it answers.
async fn read(system: &System, host: u8) -> std::result::Result<Option<Versions>, String> {
    let url = format!("{}/v1/catalog", system.deployment.control_url(host));
    let Ok(answer) = system.deployment.http.get(url).send().await else {
        return Ok(None);
    };
    if answer.status() != 200 {
        return Ok(None);
    }
    match answer.text().await {
        Ok(text) => versions_in(&text).map(Some),
        Err(_) => Ok(None),
    }
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
            self.check_read(host).await?;
        }
        self.losses.check_exits(&mut self.system)?;
        Ok(traffic.finish().await)
    }

    /// Checks a read at one control process; returns whether it answered.
    async fn check_read(&mut self, host: u8) -> std::result::Result<bool, String> {
        let acknowledged = self.ledger.acknowledged();
        let found = read(&self.system, host).await?;
        let sent = self.ledger.sent();
        let Some(found) = found else {
            return Ok(false);
        };
        check_read(&acknowledged, &sent, &found)
            .map_err(|reason| format!("read at {host}: {reason}"))?;
        Ok(true)
    }

    /// Waits until the configuration is read and requests are served after a loss of power, and for
    /// control processes to catch up if disks were lost.
    async fn recover(&mut self) -> std::result::Result<(), String> {
        let back_at = Instant::now();
        loop {
            self.losses.check_exits(&mut self.system)?;
            let mut is_answered = false;
            for host in CONTROLS {
                is_answered |= self.check_read(host).await?;
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

    /// Waits until each daemon serves. After the time to recover, a quarter of the requests is
    /// enough.
    async fn wait_for_service(&mut self, when: &str) -> std::result::Result<(), String> {
        let began_at = Instant::now();
        let mut waiting = self.system.edges.clone();
        while began_at.elapsed() < RECOVERY {
            self.losses.check_exits(&mut self.system)?;
            let mut left = Vec::new();
            for edge in waiting {
                if !self.serves(edge).await {
                    left.push(edge);
                }
            }
            waiting = left;
            if waiting.is_empty() {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let mut served = 0;
        for edge in self.system.edges.repeat(REQUESTS_AFTER_RECOVERY) {
            served += usize::from(self.serves(edge).await);
        }
        let sent = self.system.edges.len() * REQUESTS_AFTER_RECOVERY;
        match served * 4 < sent {
            true => Err(format!("{served} of {sent} requests are served {when}")),
            false => Ok(()),
        }
    }

    async fn serves(&self, edge: u8) -> bool {
        let status = self.system.deployment.request(edge, "/safe/probe", "probe");
        status.await == 200
    }

    /// Waits until all control processes have run for [`CATCH_UP`] and hold the same log.
    async fn wait_for_catch_up(&mut self) -> std::result::Result<(), String> {
        let began_at = Instant::now();
        while began_at.elapsed() < MAX_TIME_TO_CATCH_UP {
            self.losses.check_exits(&mut self.system)?;
            if began_at.elapsed() > CATCH_UP && self.is_group_complete().await {
                self.system.record.note("all have caught up");
                self.losses.note_caught_up();
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.system.record.note("some have not caught up");
        Ok(())
    }

    /// Returns whether each control process is a voter that holds what was acknowledged.
    async fn is_group_complete(&self) -> bool {
        let acknowledged = self.ledger.acknowledged();
        for host in CONTROLS {
            let Some(replica) = self.system.dump(host, "/hub/replica").await else {
                return false;
            };
            let members = replica["members"].as_array().cloned().unwrap_or_default();
            let is_voter = |member: &Value| member["voter"] == true;
            let is_itself = |member: &Value| member["replica"] == replica["identity"]["replica"];
            let is_member = members.iter().any(|it| is_voter(it) && is_itself(it));
            let voters = members.iter().filter(|member| is_voter(member)).count();
            if replica["leader"].is_null() || !is_member || voters != CONTROLS.len() {
                return false;
            }
            let found = read(&self.system, host).await;
            let holds_all = found.is_ok_and(|found| {
                found.is_some_and(|found| check_read(&acknowledged, &found, &found).is_ok())
            });
            if !holds_all {
                return false;
            }
        }
        true
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
