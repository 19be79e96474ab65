//! The schedule of losses of power: of all machines, also while disks are lost, of some control
//! processes, and again while they start.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};

use super::disks::{Disks, PowerLoss};
use super::ledger::Ledger;
use super::{CONTROLS, LOST_DISKS, System, describe_exit};
use crate::processes::Signal;

/// Wait for an event after which power is lost.
const MAX_WAIT: Duration = Duration::from_secs(4);
const MAX_DELAY_AFTER_SENDING_MS: u64 = 400;
/// Most changes are acknowledged within this time after they were sent.
const MAX_SHORT_DELAY_MS: u64 = 10;
const MAX_PAUSE_MS: u64 = 1_200;
const MAX_DOWNTIME_MS: u64 = 600;
/// Time between two starts after a loss of power.
const MAX_START_DELAY_MS: u64 = 60;
const MAX_TIME_BETWEEN_LOSSES_MS: f64 = 300.0;
const MAX_REPEATED_LOSSES: usize = 3;
const MAX_TIME_SINCE_STOP_MS: u64 = 60;
/// Time between the loss of disks and that of power elsewhere.
const MAX_TIME_SINCE_LOST_DISKS_MS: u64 = 1_500;
/// Time within which a start that is watched replaces its segment.
const MAX_TIME_TO_REPLACE: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_micros(200);

/// Which machines lose power.
#[derive(Clone, Debug)]
struct Scope {
    hosts: Vec<u8>,
    lost_disks: Vec<u8>,
}

/// Draws losses of power and starts the processes again.
pub struct Losses {
    random: StdRng,
    disks: Disks,
    ledger: Arc<Ledger>,
    /// Disks lost since all control processes had caught up.
    lost_disks: BTreeSet<u8>,
    /// Newest segment of each control process at its last start.
    segments_at_start: BTreeMap<u8, PathBuf>,
    down: BTreeSet<u8>,
    /// Processes that were told to stop, which therefore may exit.
    stopping: BTreeSet<u8>,
}

impl Losses {
    pub fn new(random: StdRng, disks: Disks, ledger: Arc<Ledger>) -> Losses {
        Losses {
            random,
            disks,
            ledger,
            lost_disks: BTreeSet::new(),
            segments_at_start: BTreeMap::new(),
            down: BTreeSet::new(),
            stopping: BTreeSet::new(),
        }
    }

    /// Whether a disk was lost since all control processes had caught up.
    pub fn has_lost_disks(&self) -> bool {
        !self.lost_disks.is_empty()
    }

    /// Notes that all control processes have caught up.
    pub fn note_caught_up(&mut self) {
        self.lost_disks.clear();
    }

    /// Waits for a moment, plays one series of losses and leaves all processes started.
    pub async fn next(&mut self, system: &mut System) -> Result<(), String> {
        let scope = self.draw_scope(system);
        if self.random.random_bool(0.25) {
            self.lose_disks_before(system, &scope).await?;
        }
        self.wait_for_moment().await;
        if self.random.random_bool(0.25) {
            self.stop_some(system, &scope).await;
        }
        self.lose_power(system, &scope).await?;
        self.sleep_ms(MAX_DOWNTIME_MS).await;
        if self.random.random_bool(0.6) {
            for _ in 0..self.random.random_range(1..=MAX_REPEATED_LOSSES) {
                self.disturb_starts(system).await?;
            }
        }
        self.start_all(system).await;
        Ok(())
    }

    fn draw_scope(&mut self, system: &System) -> Scope {
        let all = || CONTROLS.into_iter().chain(system.edges.clone()).collect();
        match self.random.random_range(0..10) {
            0..4 if !self.has_lost_disks() => {
                let count = self.random.random_range(1..=LOST_DISKS);
                let lost_disks = CONTROLS.into_iter().sample(&mut self.random, count);
                Scope {
                    hosts: all(),
                    lost_disks,
                }
            }
            0..7 => Scope {
                hosts: all(),
                lost_disks: Vec::new(),
            },
            kind => {
                let count = match kind {
                    7 => 1,
                    _ => self.random.random_range(2..=CONTROLS.len()),
                };
                let mut hosts = CONTROLS.into_iter().sample(&mut self.random, count);
                let edges = self.random.random_range(0..=system.edges.len());
                hosts.extend(system.edges.iter().sample(&mut self.random, edges));
                Scope {
                    hosts,
                    lost_disks: Vec::new(),
                }
            }
        }
    }

    async fn sleep_ms(&mut self, max_ms: u64) {
        let time = Duration::from_millis(self.random.random_range(0..max_ms));
        tokio::time::sleep(time).await;
    }

    /// Loses the disks of a scope some time before the power of the rest.
    async fn lose_disks_before(
        &mut self,
        system: &mut System,
        scope: &Scope,
    ) -> Result<(), String> {
        if scope.lost_disks.is_empty() {
            return Ok(());
        }
        let early = Scope {
            hosts: scope.lost_disks.clone(),
            lost_disks: Vec::new(),
        };
        self.lose_power(system, &early).await?;
        self.sleep_ms(MAX_TIME_SINCE_LOST_DISKS_MS).await;
        Ok(())
    }

    /// Waits for the moment of a loss: right after an acknowledgement, soon after a change was
    /// sent, while control processes write, or any other.
    async fn wait_for_moment(&mut self) {
        self.sleep_ms(MAX_PAUSE_MS).await;
        let mut counts = self.ledger.counts();
        let before = *counts.borrow_and_update();
        let kind = self.random.random_range(0..10);
        let event = async {
            match kind {
                0..2 => {
                    let is_new = counts.wait_for(|now| now.acknowledged > before.acknowledged);
                    let _ = is_new.await;
                }
                2..9 => {
                    let _ = counts.wait_for(|now| now.sent > before.sent).await;
                }
                _ => {}
            }
        };
        // Without a majority, nothing is acknowledged.
        let _ = tokio::time::timeout(MAX_WAIT, event).await;
        match kind {
            2..6 => self.wait_for_writes().await,
            6 => self.sleep_ms(MAX_DELAY_AFTER_SENDING_MS).await,
            7..9 => self.sleep_ms(MAX_SHORT_DELAY_MS).await,
            _ => {}
        }
    }

    /// Waits until some segments have changed.
    async fn wait_for_writes(&mut self) {
        let before = self.disks.lengths();
        let count = self.random.random_range(1..=3);
        let began_at = Instant::now();
        while began_at.elapsed() < Duration::from_millis(MAX_DELAY_AFTER_SENDING_MS) {
            let now = self.disks.lengths();
            let changed = now
                .iter()
                .filter(|(path, length)| before.get(*path) != Some(*length));
            if changed.count() >= count {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Tells one or two control processes of a scope to stop.
    async fn stop_some(&mut self, system: &System, scope: &Scope) {
        let count = self.random.random_range(1..=2);
        let running = scope.hosts.iter().copied().filter(|host| {
            let runs = CONTROLS.contains(host) && !self.down.contains(host);
            runs && system.processes.handles_signals(*host)
        });
        for host in running.sample(&mut self.random, count) {
            self.stopping.insert(host);
            system.processes.signal(host, Signal::Terminate);
            system
                .record
                .note(format!("process {host} is told to stop"));
        }
        self.sleep_ms(MAX_TIME_SINCE_STOP_MS).await;
    }

    /// Kills the processes of a scope at once, plays their disks and empties those that are lost.
    async fn lose_power(&mut self, system: &mut System, scope: &Scope) -> Result<(), String> {
        let exits = system.processes.kill_at_once(&scope.hosts);
        let at = SystemTime::now();
        for host in &scope.hosts {
            system.record.note_process(*host, false);
            self.down.insert(*host);
        }
        let hosts = &scope.hosts;
        system.record.note(format!("power lost at {hosts:?}"));
        let unexpected = exits
            .iter()
            .find(|exit| !self.stopping.contains(&exit.host));
        if let Some(exit) = unexpected {
            return Err(describe_exit(exit, &self.disks));
        }
        self.tear_writes(system, scope, at).await;
        for host in &scope.lost_disks {
            self.disks.lose(*host);
            self.lost_disks.insert(*host);
            system.record.note(format!("disk lost at {host}"));
        }
        Ok(())
    }

    async fn tear_writes(&mut self, system: &System, scope: &Scope, at: SystemTime) {
        let is_total = CONTROLS.iter().all(|host| self.down.contains(host));
        // Answers that were sent before the loss may still be on their way.
        let ledger = Arc::clone(&self.ledger);
        let calls = match is_total {
            true => Some(ledger.suspend_calls().await),
            false => None,
        };
        let loss = PowerLoss {
            at,
            acknowledged: self.ledger.acknowledged_lengths(),
            is_total,
        };
        for host in CONTROLS {
            if !scope.hosts.contains(&host) || self.random.random_bool(0.3) {
                continue;
            }
            let segment = self.segments_at_start.get(&host);
            let torn = self.disks.tear(host, segment, &loss, &mut self.random);
            if let Some(text) = torn {
                system.record.note(format!("disk of {host}: {text}"));
                // The disk stays as it is until the process has replaced the segment.
                self.note_segment(host);
            }
        }
        drop(calls);
    }

    fn note_segment(&mut self, host: u8) {
        match self.disks.newest_segment(host) {
            Some(segment) => self.segments_at_start.insert(host, segment),
            None => self.segments_at_start.remove(&host),
        };
    }

    fn start(&mut self, system: &mut System, host: u8) {
        if CONTROLS.contains(&host) {
            self.note_segment(host);
        }
        system.start(host, false);
        system.record.note(format!("process {host} starts"));
        self.down.remove(&host);
        self.stopping.remove(&host);
    }

    /// Starts all processes that are down or were told to stop.
    async fn start_all(&mut self, system: &mut System) {
        for host in self.stopping.clone() {
            let _ = system.processes.kill_at_once(&[host]);
            self.down.insert(host);
        }
        let mut hosts: Vec<u8> = self.down.iter().copied().collect();
        hosts.shuffle(&mut self.random);
        let delays = self.random.random_bool(0.5);
        for host in hosts {
            self.start(system, host);
            if delays {
                self.sleep_ms(MAX_START_DELAY_MS).await;
            }
        }
    }

    /// Starts processes and kills them while they start.
    async fn disturb_starts(&mut self, system: &mut System) -> Result<(), String> {
        if self.random.random_bool(0.5) {
            let controls = self.down.iter().copied().filter(|it| CONTROLS.contains(it));
            let count = self.random.random_range(1..=CONTROLS.len());
            for host in controls.sample(&mut self.random, count) {
                self.interrupt_start(system, host).await?;
            }
            return Ok(());
        }
        self.start_all(system).await;
        let time_ms = MAX_TIME_BETWEEN_LOSSES_MS.powf(self.random.random_range(0.0..1.0));
        tokio::time::sleep(Duration::from_secs_f64(time_ms / 1_000.0)).await;
        let mut scope = self.draw_scope(system);
        scope.lost_disks.clear();
        self.lose_power(system, &scope).await?;
        self.sleep_ms(MAX_DOWNTIME_MS).await;
        Ok(())
    }

    /// Starts a control process and kills it as soon as it has a new segment.
    async fn interrupt_start(&mut self, system: &mut System, host: u8) -> Result<(), String> {
        let before = self.disks.newest_segment(host);
        self.start(system, host);
        let started_at = Instant::now();
        while self.disks.newest_segment(host) == before
            && started_at.elapsed() < MAX_TIME_TO_REPLACE
        {
            self.check_exits(system)?;
        }
        let scope = Scope {
            hosts: vec![host],
            lost_disks: Vec::new(),
        };
        self.lose_power(system, &scope).await
    }

    /// Returns an error if a process exited that was not told to.
    pub fn check_exits(&self, system: &mut System) -> Result<(), String> {
        let exits = system.processes.exits();
        let unexpected = exits
            .iter()
            .find(|exit| !self.stopping.contains(&exit.host));
        unexpected.map_or(Ok(()), |exit| Err(describe_exit(exit, &self.disks)))
    }
}
