//! The schedule of faults: control processes are suspended for up to 20 s, killed, stopped, and
//! lose their disks, two at a time at most and also in series; at times all of them are killed
//! at once. Entry daemons restart and are suspended meanwhile.

use std::time::{Duration, Instant};

use coursestand_catalog::RouteKind;
use coursestand_lab::items;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::{CONTROLS, LOST_DISKS, REFUSED_ROUTE, SERVICE, System};
use crate::outages::{Outages, Recovery};
use crate::processes::Signal;

const MIN_PAUSE_MS: u64 = 50;
const MAX_PAUSE_MS: u64 = 3_000;
/// Pause after which the group counts as stable and a late change would have shown.
const CALM_PAUSE_MS: u64 = 8_000;
const MAX_SHORT_SUSPENSION_MS: u64 = 3_000;
const MAX_LONG_SUSPENSION_MS: u64 = 20_000;
const MIN_DOWNTIME_MS: u64 = 200;
const MAX_DOWNTIME_MS: u64 = 4_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Generates random faults, and ends them when they are due.
pub struct Faults {
    random: StdRng,
    outages: Outages,
    version: u64,
}

impl Faults {
    pub fn new(random: StdRng) -> Faults {
        Faults {
            random,
            outages: Outages::default(),
            version: 1,
        }
    }

    /// Waits for a random time, ends the faults that are due and injects the next one.
    pub async fn next(&mut self, system: &mut System) -> Result<(), String> {
        let pause_ms = match self.random.random_ratio(1, 5) {
            true => CALM_PAUSE_MS,
            false => self.random.random_range(MIN_PAUSE_MS..MAX_PAUSE_MS),
        };
        let end = Instant::now() + Duration::from_millis(pause_ms);
        while Instant::now() < end {
            self.outages.recover_due(system, Instant::now())?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        match self.random.random_range(0..30) {
            0..18 => self.suspend_control(system).await,
            18..20 => self.kill_control(system, false).await,
            20..22 => self.kill_control(system, true).await,
            22 => self.stop_control(system).await,
            23 => self.kill_all_controls(system),
            24..27 => self.outages.inject_edge_fault(&mut self.random, system),
            _ => self.send_refused_change(system).await,
        }
        Ok(())
    }

    /// Ends all faults.
    pub async fn recover_all(&mut self, system: &mut System) -> Result<(), String> {
        self.outages.recover_all(system).await
    }

    fn downtime_ms(&mut self) -> u64 {
        self.random.random_range(MIN_DOWNTIME_MS..MAX_DOWNTIME_MS)
    }

    /// Returns a control process that may fail now, often the leader.
    async fn choose_control(&mut self, system: &System) -> Option<u8> {
        let sound = self.outages.sound_controls();
        if CONTROLS.len() - sound.len() >= LOST_DISKS {
            return None;
        }
        if self.random.random_bool(0.4)
            && let Some(leader) = system.leader(&sound).await
        {
            return Some(leader);
        }
        sound.choose(&mut self.random).copied()
    }

    async fn suspend_control(&mut self, system: &System) {
        let max_ms = match self.random.random_bool(0.6) {
            true => MAX_LONG_SUSPENSION_MS,
            false => MAX_SHORT_SUSPENSION_MS,
        };
        let time_ms = self.random.random_range(200..max_ms);
        if let Some(host) = self.choose_control(system).await {
            system.processes.signal(host, Signal::Stop);
            self.outages
                .begin(system, host, "suspended", time_ms, Recovery::Continue);
        }
    }

    async fn kill_control(&mut self, system: &mut System, loses_disk: bool) {
        let time_ms = self.downtime_ms();
        let Some(host) = self.choose_control(system).await else {
            return;
        };
        system.processes.kill(host);
        let (what, recovery) = match loses_disk {
            true => ("killed without its disk", Recovery::StartWithoutDisk),
            false => ("killed", Recovery::Start),
        };
        self.outages.begin(system, host, what, time_ms, recovery);
    }

    async fn stop_control(&mut self, system: &System) {
        let time_ms = self.downtime_ms();
        if let Some(host) = self.choose_control(system).await
            && system.processes.handles_signals(host)
        {
            system.processes.signal(host, Signal::Terminate);
            self.outages
                .begin(system, host, "stopped", time_ms, Recovery::StartOnceExited);
        }
    }

    /// Kills all control processes that run, at the same time. Their disks stay.
    fn kill_all_controls(&mut self, system: &mut System) {
        let time_ms = self.random.random_range(MIN_DOWNTIME_MS..1_000);
        for host in CONTROLS {
            if !self.outages.contains(host) {
                system.processes.kill(host);
                self.outages
                    .begin(system, host, "killed with all", time_ms, Recovery::Start);
            }
        }
    }

    /// Sends a change that is refused as a whole: it has other content for the service's route at
    /// the version that the route already has.
    async fn send_refused_change(&mut self, system: &System) {
        self.version += 1;
        let host = *CONTROLS.choose(&mut self.random).expect("a process");
        if self.outages.contains(host) {
            return;
        }
        let refused = items::route(REFUSED_ROUTE, SERVICE, RouteKind::Repeatable, 1_000);
        let conflicting = items::route(SERVICE, SERVICE, RouteKind::Repeatable, 1_000);
        let patch = coursestand_catalog::Patch {
            upserts: vec![
                items::route_item(REFUSED_ROUTE, self.version, refused),
                items::route_item(SERVICE, 1, conflicting),
            ],
            removals: Vec::new(),
        };
        let body = serde_json::to_string(&patch).expect("JSON");
        let status = system.deployment.try_patch(host, &body).await;
        system
            .record
            .note(format!("a conflicting change at {host}: {status}"));
    }
}
