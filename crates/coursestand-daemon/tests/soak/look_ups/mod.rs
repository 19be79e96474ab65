//! Clients look up entry daemons at every control process while entry daemons end silently, by
//! kill and as planned, and control processes are suspended, killed and restarted. All connections
//! to control processes pass through relays that delay, cut and reset them.

mod clients;
mod judge;
mod judge_tests;
mod links;
mod rounds;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coursestand_model::fleet::FleetSettings;
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::deployment::Deployment;
use crate::evacuations::record::Record;
use crate::evacuations::{
    CONTROLS, FIRST_EDGE, LOST_DISKS, REGION, SEEDS, ZONES, initial_items, number_from_environment,
};
use crate::processes::{Processes, Signal};
use crate::seeds_or;
use clients::Clients;
use judge::{Judge, TOLERATED_ANSWERS};
use links::Links;
use rounds::Round;

const DEFAULT_EDGES: u8 = 12;
const DEFAULT_ROUNDS: u64 = 2;
/// Seeds of the short run.
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
/// Plays of the day in the short run.
const DEFAULT_DAYS: [u64; 2] = [1, 2];
/// Plays of late reports in the short run.
const DEFAULT_LATE_REPORTS: [u64; 1] = [1];
/// Plays of abandoned connections in the short run. Both failed with a version that did not remove
/// connections which fail while they are greeted.
const DEFAULT_ABANDONED: [u64; 2] = [16, 20];
/// Time within which look-ups at each control process name all live daemons and no other one,
/// after the last fault.
const MAX_TIME_TO_AGREE: Duration = Duration::from_secs(10);
/// Time for all daemons to be in look-ups at the start.
const MAX_TIME_TO_START: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of daemons in the answer to a look-up. Of more daemons, each client gets a
/// subset.
const MAX_ANSWER: usize = 64;

/// How an entry daemon ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It stops sending, and its connections stay open, as after a loss of power.
    Silent,
    Killed,
    /// SIGTERM.
    Planned,
}

/// The processes under test.
pub struct System {
    /// Dropped before `deployment`, which releases the network.
    pub processes: Processes,
    pub deployment: Deployment,
    pub record: Record,
    /// Relays before the control processes, unless the program under test does not support them.
    pub links: Option<Links>,
    /// Hosts of the entry daemons.
    pub edges: Vec<u8>,
    /// Entry daemons that were told to stop and have not exited.
    stopping: BTreeSet<u8>,
}

impl System {
    fn settings(&self, host: u8, bootstrap: bool) -> FleetSettings {
        let mut settings = match CONTROLS.contains(&host) {
            true => self.deployment.control_settings(host, bootstrap),
            false => self.deployment.edge_settings(host),
        };
        settings.zones = ZONES
            .map(|zone| (ZoneId::from(zone), RegionId::from(REGION)))
            .into();
        settings.zone = ZoneId::from(ZONES[usize::from(host) % ZONES.len()]);
        settings.bounds.lost_disks = LOST_DISKS;
        if let Some(links) = &self.links
            && CONTROLS.contains(&host)
        {
            settings.listen_ip = Some(links.listen_ip(host));
        }
        settings
    }

    /// Starts the process of a host; with `bootstrap` at its first start.
    pub fn start(&mut self, host: u8, bootstrap: bool) {
        let settings = self.settings(host, bootstrap);
        self.processes.start(host, &settings);
        self.record.note(format!("process {host} starts"));
        self.record.note_process(host, true);
    }

    /// Ends an entry daemon. A planned end takes effect when the process exits.
    pub fn end_edge(&mut self, host: u8, end: End) {
        self.record.note(format!("daemon {host} ends: {end:?}"));
        match end {
            End::Silent => self.processes.signal(host, Signal::Stop),
            End::Planned if self.processes.handles_signals(host) => {
                self.processes.signal(host, Signal::Terminate);
                self.stopping.insert(host);
                return;
            }
            End::Killed | End::Planned => self.processes.kill(host),
        }
        self.record.note_process(host, false);
    }

    /// Starts an entry daemon that has ended.
    pub fn restart_edge(&mut self, host: u8) {
        self.stopping.remove(&host);
        self.record.note_process(host, false);
        // A silent daemon is a suspended process; its next run replaces it.
        self.processes.kill(host);
        self.start(host, false);
    }

    /// Notes the planned ends that are over.
    pub fn note_exits(&mut self) {
        let processes = &mut self.processes;
        let record = &self.record;
        self.stopping.retain(|host| {
            let has_exited = processes.has_exited(*host);
            if has_exited {
                record.note_process(*host, false);
            }
            !has_exited
        });
    }

    /// Returns the hosts of the entry daemons that run and were not told to stop.
    pub fn live_edges(&self) -> BTreeSet<u8> {
        let disturbed = self.record.disturbed();
        let edges = self.edges.iter().copied();
        edges
            .filter(|host| !disturbed.contains(host) && !self.stopping.contains(host))
            .collect()
    }
}

fn edges() -> Vec<u8> {
    let count = number_from_environment("COURSESTAND_LOOK_UP_DAEMONS");
    let count = count.map_or(DEFAULT_EDGES, |count| {
        count.try_into().expect("fewer daemons")
    });
    (FIRST_EDGE..=FIRST_EDGE + (count - 1)).collect()
}

/// Returns the relays, unless `COURSESTAND_LOOK_UP_RELAYS=0` asks for none.
async fn links(deployment: &Deployment) -> Option<Links> {
    match number_from_environment("COURSESTAND_LOOK_UP_RELAYS") {
        Some(0) => None,
        _ => Some(Links::start(deployment).await),
    }
}

/// Plays rounds, and judges the answers to look-ups. Returns the number of answers, or an error
/// that names the violated guarantee and the folder of the logs.
async fn play(
    seed: u64,
    rounds: impl FnOnce(&mut StdRng, &System) -> Vec<Round>,
) -> std::result::Result<usize, String> {
    let deployment = Deployment::new(&SEEDS);
    let logs = deployment.data_folder(0);
    let mut system = System {
        processes: Processes::new(&logs),
        links: links(&deployment).await,
        deployment,
        record: Record::default(),
        edges: edges(),
        stopping: BTreeSet::new(),
    };
    let mut random = StdRng::seed_from_u64(seed);
    let rounds = rounds(&mut random, &system);
    // Also keeps the logs of a run that panics.
    system.deployment.folder.disable_cleanup(true);
    println!("seed {seed}: logs in {}", logs.display());
    let outcome = run(&mut system, &rounds).await;
    let record = system.record.describe();
    std::fs::write(logs.join("record.txt"), record).expect("written");
    let keeps_logs = std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() || outcome.is_err();
    system.deployment.folder.disable_cleanup(keeps_logs);
    outcome.map_err(|reason| format!("{reason}; logs in {}", logs.display()))
}

async fn run(system: &mut System, rounds: &[Round]) -> std::result::Result<usize, String> {
    for host in CONTROLS.into_iter().chain(system.edges.clone()) {
        system.start(host, true);
    }
    let status = system.deployment.patch(&SEEDS, &initial_items()).await;
    assert_eq!(status, 200, "the initial items are rejected");
    let clients = Clients::start(&system.deployment, &system.edges);
    let mut outcome = wait_for_agreement(system, &clients, MAX_TIME_TO_START).await;
    for round in rounds {
        if outcome.is_err() {
            break;
        }
        system.record.note("a round begins");
        round.play(system).await;
        outcome = wait_for_agreement(system, &clients, MAX_TIME_TO_AGREE).await;
    }
    let answers = clients.finish().await;
    let violations = Judge::new(&system.record).violations(&answers);
    for violation in violations.iter().take(TOLERATED_ANSWERS + 1) {
        system.record.note(violation);
    }
    if violations.len() > TOLERATED_ANSWERS {
        return Err(format!(
            "{} answers named daemons that had ended, first: {}",
            violations.len(),
            violations[0]
        ));
    }
    outcome?;
    match system.processes.exited_unexpectedly().first() {
        Some(host) => Err(format!("process {host} exited unexpectedly")),
        None => Ok(answers.len()),
    }
}

/// Waits until the look-ups at each control process name all live daemons and no other ones.
async fn wait_for_agreement(
    system: &mut System,
    clients: &Clients,
    limit: Duration,
) -> std::result::Result<(), String> {
    let started = Instant::now();
    loop {
        system.note_exits();
        let live = system.live_edges();
        let answers = clients.latest();
        let disagreeing = CONTROLS.into_iter().find(|control| {
            let answer = answers.get(control).filter(|answer| answer.at > started);
            answer.is_none_or(|answer| !agrees(&answer.named, &live))
        });
        let Some(control) = disagreeing else {
            system
                .record
                .note("all control processes name the live daemons");
            return Ok(());
        };
        if started.elapsed() > limit {
            let named = answers.get(&control).map(|answer| &answer.named);
            return Err(format!(
                "look-ups at {control} name {named:?}, the live daemons are {live:?}"
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn agrees(named: &BTreeSet<u8>, live: &BTreeSet<u8>) -> bool {
    match live.len() <= MAX_ANSWER {
        true => named == live,
        false => named.len() == MAX_ANSWER && named.is_subset(live),
    }
}

async fn violations(
    seeds: Vec<u64>,
    rounds: impl Fn(&mut StdRng, &System) -> Vec<Round>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for seed in seeds {
        match play(seed, &rounds).await {
            Ok(answers) => println!("seed {seed}: {answers} answers"),
            Err(reason) => {
                println!("seed {seed}: {reason}");
                violations.push(format!("seed {seed}: {reason}"));
            }
        }
    }
    violations
}

/// Guards against look-ups that name entry daemons which have ended, or leave out live ones,
/// whatever happens to daemons, control processes and the links between them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn look_ups_name_live_daemons_under_faults() {
    let rounds = |random: &mut StdRng, system: &System| {
        let count = number_from_environment("COURSESTAND_LOOK_UP_ROUNDS");
        let count = count.unwrap_or(DEFAULT_ROUNDS);
        (0..count).map(|_| Round::random(random, system)).collect()
    };
    expect_that!(
        violations(seeds_or(&DEFAULT_SEEDS), rounds).await,
        is_empty()
    );
}

/// Guards against look-ups that name entry daemons without power after a control process that was
/// connected with them is killed and starts again at once.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_without_power_leave_the_look_ups_after_a_control_process_restarted() {
    let rounds = |random: &mut StdRng, system: &System| vec![Round::power_loss(random, system)];
    expect_that!(
        violations(seeds_or(&DEFAULT_DAYS), rounds).await,
        is_empty()
    );
}

/// Guards against look-ups that name daemons on the word of a control process which continues after
/// a suspension and reads what had been sent before the daemons ended.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_that_end_during_a_suspension_leave_the_look_ups_after_it() {
    let rounds = |random: &mut StdRng, system: &System| vec![Round::late_reports(random, system)];
    expect_that!(
        violations(seeds_or(&DEFAULT_LATE_REPORTS), rounds).await,
        is_empty()
    );
}

/// Guards against look-ups that name daemons for good because a control process, after a suspension,
/// greeted connections that the daemons had given up: the reset arrived during the greeting.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_that_gave_up_connections_to_a_suspended_process_leave_the_look_ups() {
    let rounds =
        |random: &mut StdRng, system: &System| vec![Round::abandoned_connections(random, system)];
    expect_that!(
        violations(seeds_or(&DEFAULT_ABANDONED), rounds).await,
        is_empty()
    );
}
