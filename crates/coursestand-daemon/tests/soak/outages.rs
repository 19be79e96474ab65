//! Processes that are down or suspended, and how that ends.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::evacuations::{CONTROLS, System};
use crate::processes::{Exit, Signal};

/// Time for which a control process counts as lost after it is back.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Maximum time of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);
const MAX_EDGE_FAULT_MS: u64 = 5_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How an outage of a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    Continue,
    Start,
    StartWithoutDisk,
    StartOnceExited,
    StartWithoutDiskOnceExited,
}

impl Recovery {
    fn awaits_exit(self) -> bool {
        matches!(
            self,
            Recovery::StartOnceExited | Recovery::StartWithoutDiskOnceExited
        )
    }

    pub fn loses_disk(self) -> bool {
        matches!(
            self,
            Recovery::StartWithoutDisk | Recovery::StartWithoutDiskOnceExited
        )
    }
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    began_at: Instant,
    ends_at: Instant,
    recovery: Recovery,
}

/// The outages under way.
#[derive(Debug, Default)]
pub struct Outages {
    outages: BTreeMap<u8, Outage>,
    /// When each control process that is back stops to count as lost.
    caught_up_at: BTreeMap<u8, Instant>,
    /// When control processes started without their disks.
    blank_starts: Vec<(u8, Instant)>,
}

impl Outages {
    pub fn contains(&self, host: u8) -> bool {
        self.outages.contains_key(&host)
    }

    /// Returns the starts of control processes without their disks.
    pub fn blank_starts(&self) -> &[(u8, Instant)] {
        &self.blank_starts
    }

    /// Returns the control processes that do not count as lost.
    pub fn sound_controls(&self) -> Vec<u8> {
        let now = Instant::now();
        let is_behind = |host| self.caught_up_at.get(&host).is_some_and(|at| *at > now);
        let controls = CONTROLS.into_iter();
        controls
            .filter(|host| !self.contains(*host) && !is_behind(*host))
            .collect()
    }

    /// Notes that a process was signalled or killed.
    pub fn begin(
        &mut self,
        system: &System,
        host: u8,
        what: &str,
        time_ms: u64,
        recovery: Recovery,
    ) {
        let began_at = Instant::now();
        let ends_at = began_at + Duration::from_millis(time_ms);
        system.record.note_process(host, false);
        system
            .record
            .note(format!("process {host} is {what} for {time_ms} ms"));
        let outage = Outage {
            began_at,
            ends_at,
            recovery,
        };
        self.outages.insert(host, outage);
    }

    /// Ends all outages.
    pub async fn recover_all(&mut self, system: &mut System) -> Result<(), String> {
        while let Some(last) = self.outages.values().map(|outage| outage.ends_at).max() {
            self.recover_due(system, last)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Ends the outages that are due.
    pub fn recover_due(&mut self, system: &mut System, now: Instant) -> Result<(), String> {
        let due: Vec<(u8, Outage)> = self
            .outages
            .iter()
            .filter(|(_, outage)| outage.ends_at <= now)
            .map(|(host, outage)| (*host, *outage))
            .collect();
        for (host, outage) in due {
            let recovery = outage.recovery;
            if recovery.awaits_exit() && !system.processes.has_exited(host) {
                if outage.began_at.elapsed() > STOP_LIMIT {
                    return Err(format!("process {host} does not exit after SIGTERM"));
                }
                continue;
            }
            self.end(system, host, recovery);
        }
        Ok(())
    }

    fn end(&mut self, system: &mut System, host: u8, recovery: Recovery) {
        if recovery.loses_disk() {
            let folder = system.deployment.data_folder(host);
            std::fs::remove_dir_all(folder).expect("removed");
            self.blank_starts.push((host, Instant::now()));
        }
        match recovery {
            Recovery::Continue => {
                system.processes.signal(host, Signal::Continue);
                system.record.note_process(host, true);
            }
            _ => system.start(host, false),
        }
        self.outages.remove(&host);
        system.record.note(format!("process {host} runs again"));
        if CONTROLS.contains(&host) {
            let caught_up_at = Instant::now() + CATCH_UP_TIME;
            self.caught_up_at.insert(host, caught_up_at);
        }
    }

    /// Returns the processes that exited although they were neither killed nor told to stop.
    pub fn unexpected_exits(&self, system: &mut System) -> Vec<Exit> {
        let exits = system.processes.exits().into_iter();
        exits.filter(|exit| !self.may_exit(exit.host)).collect()
    }

    /// Whether a process was told to stop.
    pub fn may_exit(&self, host: u8) -> bool {
        let outage = self.outages.get(&host);
        outage.is_some_and(|outage| outage.recovery.awaits_exit())
    }

    /// Kills all control processes at the same moment. Those in `lost_disks` lose their disks, as do
    /// those that were about to. Returns the processes that had exited by themselves.
    pub fn kill_controls(
        &mut self,
        system: &mut System,
        time_ms: u64,
        lost_disks: &[u8],
    ) -> Vec<Exit> {
        let exits = system.processes.kill_at_once(&CONTROLS).into_iter();
        let unexpected = exits.filter(|exit| !self.may_exit(exit.host)).collect();
        for host in CONTROLS {
            let outage = self.outages.get(&host);
            let loses_disk = outage.is_some_and(|outage| outage.recovery.loses_disk());
            let (what, recovery) = match loses_disk || lost_disks.contains(&host) {
                true => (
                    "killed with all without its disk",
                    Recovery::StartWithoutDisk,
                ),
                false => ("killed with all", Recovery::Start),
            };
            self.begin(system, host, what, time_ms, recovery);
        }
        unexpected
    }

    /// Returns the control processes whose disks were lost and that still count as lost.
    pub fn lost_disks(&self) -> BTreeSet<u8> {
        let sound = self.sound_controls();
        let blank = self.blank_starts.iter().map(|(host, _)| *host);
        let about_to_be = self.outages.iter();
        let about_to_be = about_to_be.filter(|(_, outage)| outage.recovery.loses_disk());
        blank
            .filter(|host| !sound.contains(host))
            .chain(about_to_be.map(|(host, _)| *host))
            .collect()
    }

    /// Suspends, stops or kills an entry daemon.
    pub fn inject_edge_fault(&mut self, random: &mut StdRng, system: &mut System) {
        let host = *system.edges.choose(random).expect("a daemon");
        let time_ms = random.random_range(20..MAX_EDGE_FAULT_MS);
        let kind = random.random_range(0..3);
        if self.contains(host) {
            return;
        }
        match kind {
            0 => {
                system.processes.signal(host, Signal::Stop);
                self.begin(system, host, "suspended", time_ms, Recovery::Continue);
            }
            1 if system.processes.handles_signals(host) => {
                system.processes.signal(host, Signal::Terminate);
                self.begin(system, host, "stopped", time_ms, Recovery::StartOnceExited);
            }
            _ => {
                system.processes.kill(host);
                self.begin(system, host, "killed", time_ms, Recovery::Start);
            }
        }
    }
}
