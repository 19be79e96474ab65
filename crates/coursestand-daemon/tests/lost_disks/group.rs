//! Five control processes whose disks are lost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coursestand_catalog::{Patch, RouteKind};
use coursestand_lab::items;
use googletest::prelude::*;
use serde_json::Value;

use crate::deployment::{Deployment, TEST_TIMEOUT, first_items, key_of, one_route};
use crate::links::DistantLink;
use crate::processes::{Processes, Signal, folder_in_memory};

pub const CONTROLS: [u8; 5] = [1, 2, 3, 4, 5];
/// Control processes whose addresses all processes are told.
const SEEDS: [u8; 3] = [1, 2, 3];
/// Number of control processes that may be lost at the same time.
const LOST_DISKS: usize = 2;
/// Time for which a control process counts as lost after it is back.
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// Time after which a read is answered once all processes are back.
pub const RECOVERY: Duration = Duration::from_secs(15);
/// A refusal within this time needs no wait for a leader.
pub const AT_ONCE: Duration = Duration::from_millis(500);
/// Time between the end of a process and its next start.
const DOWNTIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keys and versions of items.
pub type Versions = BTreeMap<String, u64>;

/// Five control processes.
pub struct Group {
    /// Dropped before `deployment`, which releases the network.
    processes: Processes,
    deployment: Deployment,
    /// Relays before the processes, if these are far from each other.
    links: BTreeMap<u8, DistantLink>,
    /// Changes so far.
    changes: u64,
}

impl Group {
    /// Starts the processes and waits until all of them vote.
    pub async fn start() -> Group {
        let mut group = Group::new();
        group.start_group().await;
        group
    }

    /// Like [`Self::start`], with processes that are in regions far from each other.
    pub async fn start_distant() -> Group {
        let mut group = Group::new();
        for host in CONTROLS {
            let address = group.deployment.internal(host);
            let mut target = address;
            target.set_ip(group.deployment.hidden_ip(host));
            let link = DistantLink::start(address, target).await;
            group.links.insert(host, link);
        }
        group.start_group().await;
        group
    }

    fn new() -> Group {
        let mut deployment = Deployment::in_folder(&SEEDS, folder_in_memory());
        let logs = deployment.folder.path().join("processes");
        if std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() {
            deployment.folder.disable_cleanup(true);
            println!("logs in {}", logs.display());
        }
        Group {
            processes: Processes::new(&logs),
            deployment,
            links: BTreeMap::new(),
            changes: 0,
        }
    }

    async fn start_group(&mut self) {
        for host in CONTROLS {
            self.start_process(host, true);
        }
        assert_eq!(self.deployment.patch(&SEEDS, &first_items()).await, 200);
        self.wait_for_members(TEST_TIMEOUT).await;
    }

    fn start_process(&mut self, host: u8, bootstrap: bool) {
        let mut settings = self.deployment.control_settings(host, bootstrap);
        settings.bounds.lost_disks = LOST_DISKS;
        settings.listen_ip = self.links.get(&host).map(DistantLink::target_ip);
        self.processes.start(host, &settings);
    }

    pub fn start_processes(&mut self, hosts: &[u8]) {
        for host in hosts {
            self.start_process(*host, false);
        }
    }

    pub fn kill(&mut self, hosts: &[u8]) {
        self.processes.kill_at_once(hosts);
    }

    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Starts entry daemons.
    pub fn start_edges(&mut self, hosts: &[u8]) {
        for host in hosts {
            let settings = self.deployment.edge_settings(*host);
            self.processes.start(*host, &settings);
        }
    }

    /// Starts a process at the address of `host` with the disk of another one.
    pub fn start_with_disk_of(&mut self, host: u8, other: u8) {
        let mut settings = self.deployment.control_settings(host, false);
        settings.bounds.lost_disks = LOST_DISKS;
        let control = settings.control.as_mut().expect("a control process");
        control.data_folder = self.deployment.data_folder(other);
        self.processes.start(host, &settings);
    }

    /// Returns whether a process has logged `text` since its latest start.
    pub fn has_logged(&self, host: u8, text: &str) -> bool {
        self.processes.log_end(host, usize::MAX).contains(text)
    }

    /// Adds the routes that callers use.
    pub async fn change_routes_of_callers(&mut self) {
        let route = |name: &str, kind| {
            let route = items::route(name, "s", kind, 2_000);
            items::route_item(name, 1, route)
        };
        let change = Patch {
            upserts: vec![
                route("safe", RouteKind::Repeatable),
                route("once", RouteKind::Once),
            ],
            removals: Vec::new(),
        };
        assert_eq!(self.deployment.patch(&CONTROLS, &change).await, 200);
    }

    /// Returns the time until a request at an entry daemon is refused.
    pub async fn time_of_refused_request(&self, host: u8) -> Duration {
        let url = format!("http://{}/safe/0", self.deployment.front(host));
        let call = self.deployment.http.get(url).header("host", "h.example");
        time_of_refusal(call).await
    }

    /// Makes changes one after another and returns what was acknowledged.
    pub async fn change(&mut self, count: u64) -> Versions {
        let mut acknowledged = Versions::new();
        for _ in 0..count {
            self.changes += 1;
            let name = format!("r-{}", self.changes);
            let change = one_route(&name, 1);
            assert_eq!(self.deployment.patch(&CONTROLS, &change).await, 200);
            acknowledged.insert(key_of(&name), 1);
        }
        acknowledged
    }

    fn empty_disks(&self, hosts: &[u8]) {
        for host in hosts {
            std::fs::remove_dir_all(self.deployment.data_folder(*host)).expect("removed");
        }
    }

    /// Kills processes, empties their disks and starts them again.
    pub async fn lose_disks(&mut self, hosts: &[u8]) {
        self.kill(hosts);
        self.empty_disks(hosts);
        tokio::time::sleep(DOWNTIME).await;
        self.start_processes(hosts);
    }

    /// Kills all processes, empties some of their disks and starts all again.
    pub async fn lose_power_and_disks(&mut self, lost_disks: &[u8]) {
        self.kill(&CONTROLS);
        self.empty_disks(lost_disks);
        tokio::time::sleep(DOWNTIME).await;
        self.start_processes(&CONTROLS);
    }

    /// Kills the process that leads until `wanted` does.
    pub async fn make_leader(&mut self, wanted: u8) {
        let began_at = Instant::now();
        loop {
            assert!(began_at.elapsed() < TEST_TIMEOUT, "{wanted} does not lead");
            let Some(leader) = self.leader().await else {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            };
            if leader == wanted {
                return;
            }
            self.kill(&[leader]);
            tokio::time::sleep(DOWNTIME).await;
            while self.leader().await.is_none() && began_at.elapsed() < TEST_TIMEOUT {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            self.start_processes(&[leader]);
        }
    }

    /// Returns a part of the state dump of a process, or `None` if it does not answer.
    async fn dump(&self, host: u8, part: &str) -> Option<Value> {
        let address = self.deployment.control_settings(host, false).admin_listen;
        let answer = self.deployment.http.get(format!("http://{address}/state"));
        let text = answer.send().await.ok()?.text().await.ok()?;
        let dump: Value = serde_json::from_str(&text).ok()?;
        dump.pointer(part).cloned()
    }

    /// Returns the host that leads, if one does.
    pub async fn leader(&self) -> Option<u8> {
        for host in CONTROLS {
            let term = self.dump(host, "/hub/leading_term").await;
            if term.is_some_and(|term| !term.is_null()) {
                return Some(host);
            }
        }
        None
    }

    /// Returns the hosts that vote by their own logs and know no other voters than these five.
    async fn complete_members(&self) -> Vec<u8> {
        let mut complete = Vec::new();
        for host in CONTROLS {
            let Some(replica) = self.dump(host, "/hub/replica").await else {
                continue;
            };
            let members = replica["members"].as_array().cloned().unwrap_or_default();
            let own = &replica["identity"]["replica"];
            let is_voter = |member: &&Value| member["voter"] == true;
            let votes = members
                .iter()
                .filter(is_voter)
                .any(|it| it["replica"] == *own);
            let voters = members.iter().filter(is_voter).count();
            if votes && voters == CONTROLS.len() && members.len() == CONTROLS.len() {
                complete.push(host);
            }
        }
        complete
    }

    /// Expects that all five processes become voters within `limit`.
    pub async fn wait_for_members(&self, limit: Duration) {
        let began_at = Instant::now();
        let mut complete = self.complete_members().await;
        while complete.len() < CONTROLS.len() && began_at.elapsed() < limit {
            tokio::time::sleep(POLL_INTERVAL).await;
            complete = self.complete_members().await;
        }
        println!("members after {:?}: {complete:?}", began_at.elapsed());
        expect_that!(complete, eq(&CONTROLS.to_vec()), "voters after {limit:?}");
    }

    /// Expects that a process with a new identity becomes a voter within `limit`.
    pub async fn wait_for_vote(&self, host: u8, limit: Duration) {
        let began_at = Instant::now();
        while !self.votes(host).await && began_at.elapsed() < limit {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        println!("vote of {host} after {:?}", began_at.elapsed());
        expect_that!(began_at.elapsed(), lt(limit), "no vote of {host}");
    }

    async fn votes(&self, host: u8) -> bool {
        let Some(replica) = self.dump(host, "/hub/replica").await else {
            return false;
        };
        let members = replica["members"].as_array().cloned().unwrap_or_default();
        let own = &replica["identity"]["replica"];
        let mut voters = members.iter().filter(|member| member["voter"] == true);
        voters.any(|voter| voter["replica"] == *own)
    }

    /// Suspends a process, whose connections stay open.
    pub fn suspend(&self, host: u8) {
        self.processes.signal(host, Signal::Stop);
    }

    /// Expects that each host answers a read within `limit`, with everything acknowledged.
    pub async fn expect_read(&self, hosts: &[u8], acknowledged: &Versions, limit: Duration) {
        let began_at = Instant::now();
        let mut waiting = hosts.to_vec();
        while !waiting.is_empty() && began_at.elapsed() < limit {
            for host in waiting.clone() {
                let Some(found) = self.read(host).await else {
                    continue;
                };
                waiting.retain(|it| *it != host);
                let after = began_at.elapsed();
                println!("read at {host} after {after:?}");
                let missing = acknowledged
                    .iter()
                    .filter(|(key, version)| found.get(*key).is_none_or(|found| found < version));
                expect_that!(missing.count(), eq(0), "items missing at {host}");
            }
        }
        expect_that!(waiting, is_empty(), "no read answered within {limit:?}");
    }

    async fn read(&self, host: u8) -> Option<Versions> {
        let url = format!("{}/v1/catalog", self.deployment.control_url(host));
        let answer = self.deployment.http.get(url).send().await.ok()?;
        if answer.status() != 200 {
            return None;
        }
        let value: Value = serde_json::from_str(&answer.text().await.ok()?).ok()?;
        let items = value["items"].as_array()?;
        let versions = items.iter().map(|item| {
            let version = item["version"].as_u64().unwrap_or_default();
            (item["key"].to_string(), version)
        });
        Some(versions.collect())
    }

    /// Returns the time until a read at a host is refused.
    pub async fn time_of_refused_read(&self, host: u8) -> Duration {
        let url = format!("{}/v1/catalog", self.deployment.control_url(host));
        time_of_refusal(self.deployment.http.get(url)).await
    }

    /// Returns the time until an order at a host is refused.
    pub async fn time_of_refused_order(&self, host: u8) -> Duration {
        let url = format!("{}/v1/catalog", self.deployment.control_url(host));
        let change = serde_json::to_string(&one_route("late", 1)).expect("JSON");
        time_of_refusal(self.deployment.http.post(url).body(change)).await
    }
}

/// Expects that a call is refused with the time after which it may be repeated, and returns how
/// long that took.
async fn time_of_refusal(call: reqwest::RequestBuilder) -> Duration {
    let began_at = Instant::now();
    let answer = call.send().await;
    let took = began_at.elapsed();
    let answer = answer.expect("an answer");
    expect_that!(answer.status().as_u16(), eq(503));
    expect_that!(answer.headers().get("retry-after"), some(anything()));
    took
}
