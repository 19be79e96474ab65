//! Operators evacuate zones and take that back while control processes are suspended, killed,
//! stopped and lose their disks, and entry daemons restart. Back ends tell which requests reached
//! an evacuated zone.

mod faults;
mod judge;
mod judge_tests;
mod operators;
pub mod record;
mod traffic;

use std::time::{Duration, Instant};

use coursestand_catalog::{Patch, RouteKind};
use coursestand_lab::items;
use coursestand_model::fleet::FleetSettings;
use coursestand_model::{RegionId, ZoneId};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;

use crate::deployment::{Deployment, key_of};
use crate::processes::Processes;
use crate::seeds_or;
use faults::Faults;
use judge::Judge;
use operators::Operators;
use record::Record;
use traffic::Traffic;

pub const CONTROLS: [u8; 5] = [1, 2, 3, 4, 5];
/// Control processes whose addresses all processes are told.
pub const SEEDS: [u8; 3] = [1, 2, 3];
/// Number of control processes that may be lost at the same time.
pub const LOST_DISKS: usize = 2;
pub const FIRST_EDGE: u8 = 11;
const DEFAULT_EDGES: u8 = 3;
/// The first zone is never evacuated.
pub const ZONES: [&str; 6] = ["z-1", "z-2", "z-3", "z-4", "z-5", "z-6"];
pub const REGION: &str = "z";
pub const SERVICE: &str = "zoned";
/// Route of changes that are refused.
pub const REFUSED_ROUTE: &str = "refused";
const DEFAULT_DURATION_SECONDS: u64 = 40;
/// Seeds of the short run. Both fail with a version that carries out orders whose callers have left.
const DEFAULT_SEEDS: [u64; 2] = [209, 215];
/// Time within which all processes agree on the evacuated zones after the last order and fault.
const MAX_TIME_TO_AGREE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for all daemons to serve at the start.
const MAX_TIME_TO_SERVE: Duration = Duration::from_secs(40);

/// The processes under test.
pub struct System {
    /// Dropped before `deployment`, which releases the network.
    pub processes: Processes,
    pub deployment: Deployment,
    pub record: Record,
    /// Hosts of the entry daemons.
    pub edges: Vec<u8>,
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
        settings.bounds.lost_disks = LOST_DISKS;
        settings
    }

    /// Starts the process of a host; with `bootstrap` at its first start.
    pub fn start(&mut self, host: u8, bootstrap: bool) {
        let settings = self.settings(host, bootstrap);
        self.processes.start(host, &settings);
        self.record.note_process(host, true);
    }

    /// Returns a part of the state dump of a process, or `None` if it does not answer.
    pub async fn dump(&self, host: u8, part: &str) -> Option<Value> {
        let address = self.settings(host, false).admin_listen;
        let answer = self.deployment.http.get(format!("http://{address}/state"));
        let text = answer.send().await.ok()?.text().await.ok()?;
        let dump: Value = serde_json::from_str(&text).ok()?;
        dump.pointer(part).cloned()
    }

    /// Returns the control process that leads, if one says so.
    pub async fn leader(&self, candidates: &[u8]) -> Option<u8> {
        for host in candidates {
            let term = self.dump(*host, "/hub/leading_term").await;
            if term.is_some_and(|term| !term.is_null()) {
                return Some(*host);
            }
        }
        None
    }
}

pub fn initial_items() -> Patch {
    let route = items::route(SERVICE, SERVICE, RouteKind::Repeatable, 2_000);
    Patch {
        upserts: vec![
            items::service(SERVICE),
            items::limits(),
            items::route_item(SERVICE, 1, route),
        ],
        removals: Vec::new(),
    }
}

pub fn number_from_environment(variable: &str) -> Option<u64> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a number"))
}

fn duration() -> Duration {
    let seconds = number_from_environment("COURSESTAND_EVACUATION_SECONDS");
    Duration::from_secs(seconds.unwrap_or(DEFAULT_DURATION_SECONDS))
}

fn edges() -> Vec<u8> {
    let count = number_from_environment("COURSESTAND_EVACUATION_DAEMONS");
    let count = count.map_or(DEFAULT_EDGES, |count| {
        count.try_into().expect("few daemons")
    });
    (FIRST_EDGE..FIRST_EDGE + count).collect()
}

/// Runs one seed. Returns the number of requests that reached back ends, or an error that names
/// the violated guarantee and the folder of the logs.
async fn run_seed(seed: u64) -> std::result::Result<usize, String> {
    let deployment = Deployment::new(&SEEDS);
    let logs = deployment.data_folder(0);
    let mut system = System {
        processes: Processes::new(&logs),
        deployment,
        record: Record::default(),
        edges: edges(),
    };
    let outcome = run(&mut system, seed).await;
    let record = system.record.describe();
    std::fs::write(logs.join("record.txt"), record).expect("written");
    if std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() {
        system.deployment.folder.disable_cleanup(true);
        println!("seed {seed}: logs in {}", logs.display());
    }
    outcome.map_err(|reason| {
        let folder = &mut system.deployment.folder;
        folder.disable_cleanup(true);
        format!("{reason}; logs in {}", folder.path().display())
    })
}

async fn run(system: &mut System, seed: u64) -> std::result::Result<usize, String> {
    for host in CONTROLS.into_iter().chain(system.edges.clone()) {
        system.start(host, true);
    }
    let status = system.deployment.patch(&SEEDS, &initial_items()).await;
    assert_eq!(status, 200, "the initial items are rejected");
    let traffic = Traffic::start(&system.deployment, &system.edges).await;
    wait_for_service(system, &traffic).await?;
    let mut random = StdRng::seed_from_u64(seed);
    let operators = Operators::start(&system.deployment, &system.record, &mut random);
    let mut faults = Faults::new(random);
    let end = Instant::now() + duration();
    while Instant::now() < end {
        faults.next(system).await?;
    }
    faults.recover_all(system).await?;
    operators.finish().await;
    let agreed = wait_for_agreement(system).await;
    let arrivals = traffic.finish().await;
    if let Some(host) = system.processes.exited_unexpectedly().first() {
        return Err(format!("process {host} exited unexpectedly"));
    }
    Judge::new(&system.record).check(&arrivals)?;
    agreed?;
    check_refused_changes(system).await?;
    Ok(arrivals.len())
}

/// Waits until each entry daemon has sent requests to each zone.
async fn wait_for_service(system: &System, traffic: &Traffic) -> std::result::Result<(), String> {
    let started = Instant::now();
    while !traffic.has_reached_each_zone_through_each_daemon() {
        if started.elapsed() > MAX_TIME_TO_SERVE {
            return Err("not every daemon serves in each zone at the start".to_owned());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    system.record.note("all daemons serve");
    Ok(())
}

/// Waits until all processes hold the same catalog: its version, and the evacuations with the index
/// of the log at which each was set.
async fn wait_for_agreement(system: &System) -> std::result::Result<(), String> {
    let started = Instant::now();
    loop {
        let mut catalogs = Vec::new();
        for host in CONTROLS {
            let version = system.dump(host, "/hub/catalog_version").await;
            let evacuations = system.dump(host, "/hub/evacuations").await;
            catalogs.push((host, version, evacuations));
        }
        for host in &system.edges {
            let version = system.dump(*host, "/edge/catalog_version").await;
            let evacuations = system.dump(*host, "/edge/follower/evacuations").await;
            catalogs.push((*host, version, evacuations));
        }
        let (_, version, evacuations) = &catalogs[0];
        if catalogs
            .iter()
            .all(|(_, other, others)| other == version && others == evacuations)
        {
            return Ok(());
        }
        if started.elapsed() > MAX_TIME_TO_AGREE {
            return Err(format!(
                "the processes hold different catalogs: {catalogs:?}"
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks that no part of a refused change came into force.
async fn check_refused_changes(system: &System) -> std::result::Result<(), String> {
    let items = system.deployment.read(CONTROLS[0]).await;
    match items.contains_key(&key_of(REFUSED_ROUTE)) {
        true => Err("a part of a refused change is in force".to_owned()),
        false => Ok(()),
    }
}

/// Guards against requests that reach an evacuated zone, and against an evacuation that continues
/// after it was taken back, whatever happens to control processes and entry daemons meanwhile.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn evacuated_zones_get_no_requests_under_faults() {
    let mut violations = Vec::new();
    for seed in seeds_or(&DEFAULT_SEEDS) {
        match run_seed(seed).await {
            Ok(arrivals) => println!("seed {seed}: {arrivals} requests reached back ends"),
            Err(reason) => violations.push(format!("seed {seed}: {reason}")),
        }
    }
    expect_that!(violations, is_empty());
}
