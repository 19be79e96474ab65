//! The schedule of histories, changes of the leader and losses.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};

use crate::deployment::{Deployment, one_route};
use crate::evacuations::{CONTROLS, LOST_DISKS, System};
use crate::outages::{Outages, Recovery};
use crate::power_losses::describe_exit;
use crate::power_losses::disks::Disks;
use crate::power_losses::ledger::Ledger;
use crate::power_losses::operators::{catalog_urls, change, client};
use crate::power_losses::service::RECOVERY;
use crate::processes::Signal;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// One entry daemon is disturbed in this many polls on average.
const POLLS_BETWEEN_EDGE_FAULTS: u32 = 150;
const MIN_DOWNTIME_MS: u64 = 200;
const MAX_DOWNTIME_MS: u64 = 2_000;
/// Longer than an election usually takes.
const LEADER_DOWNTIME_MS: u64 = 1_500;
const MAX_SUSPENSION_MS: u64 = 6_000;
const MAX_TIME_BETWEEN_LOSSES_MS: u64 = 3_000;
const MAX_TIME_BESIDE_CHANGE_OF_LEADER_MS: u64 = 1_500;
const MAX_TIME_TO_SUSPENSION_MS: u64 = 1_500;
/// Changes of the leader until one that lost its disk leads.
const MAX_CHANGES_OF_LEADER: usize = 5;
/// Changes that are sent at the same time.
const LANES: u64 = 8;
const LANES_OF_LONG_HISTORIES: u64 = 32;
const LONG_HISTORY: u64 = 2_000;
/// Wait for an acknowledgement, right after which all are killed.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All have been back for the time to catch up.
    CaughtUp,
    AllKilled,
}

/// Draws and plays rounds.
pub struct Rounds {
    random: StdRng,
    /// Drawn from at each poll, whose number depends on the time that things take.
    random_of_edges: StdRng,
    outages: Outages,
    disks: Disks,
    ledger: Arc<Ledger>,
    urls: Vec<String>,
    /// Processes that have ever lost their disks.
    replaced: BTreeSet<u8>,
    /// Version of the next changes.
    version: u64,
    disturbs_edges: bool,
}

impl Rounds {
    pub fn new(mut random: StdRng, deployment: &Deployment, ledger: &Arc<Ledger>) -> Rounds {
        let folders = CONTROLS.map(|host| (host, deployment.data_folder(host)));
        Rounds {
            random_of_edges: StdRng::seed_from_u64(random.random()),
            random,
            outages: Outages::default(),
            disks: Disks::new(folders.into()),
            ledger: Arc::clone(ledger),
            urls: catalog_urls(deployment),
            replaced: BTreeSet::new(),
            version: 0,
            disturbs_edges: true,
        }
    }

    /// Returns the starts of processes without their disks.
    pub fn blank_starts(&self) -> &[(u8, Instant)] {
        self.outages.blank_starts()
    }

    /// Returns the control processes that are neither down nor suspended.
    pub fn running_controls(&self) -> Vec<u8> {
        let controls = CONTROLS.into_iter();
        controls
            .filter(|host| !self.outages.contains(*host))
            .collect()
    }

    pub fn resume_edge_faults(&mut self) {
        self.disturbs_edges = true;
    }

    /// Returns an error if a process exited that was not told to.
    pub fn check_exits(&self, system: &mut System) -> Result<(), String> {
        let exits = self.outages.unexpected_exits(system);
        let first = exits.first();
        first.map_or(Ok(()), |exit| Err(describe_exit(exit, &self.disks)))
    }

    /// Ends what is due, and at times disturbs an entry daemon.
    pub fn tick(&mut self, system: &mut System) -> Result<(), String> {
        self.check_exits(system)?;
        self.outages.recover_due(system, Instant::now())?;
        let random = &mut self.random_of_edges;
        if self.disturbs_edges && random.random_ratio(1, POLLS_BETWEEN_EDGE_FAULTS) {
            match random.random_bool(0.5) {
                true => self.reload_edge(system),
                false => self.outages.inject_edge_fault(random, system),
            }
        }
        Ok(())
    }

    fn reload_edge(&mut self, system: &System) {
        let random = &mut self.random_of_edges;
        let host = *system.edges.choose(random).expect("a daemon");
        if !self.outages.contains(host) && system.processes.handles_signals(host) {
            system.processes.signal(host, Signal::Hangup);
        }
    }

    async fn wait(&mut self, system: &mut System, time: Duration) -> Result<(), String> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.tick(system)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn wait_up_to(&mut self, system: &mut System, max_ms: u64) -> Result<(), String> {
        let time = Duration::from_millis(self.random.random_range(0..max_ms));
        self.wait(system, time).await
    }

    /// Waits until none counts as lost.
    async fn wait_until_all_are_sound(&mut self, system: &mut System) -> Result<(), String> {
        while self.outages.sound_controls().len() < CONTROLS.len() {
            self.tick(system)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Plays a history and losses.
    pub async fn next(&mut self, system: &mut System) -> Result<Ending, String> {
        self.make_history(system).await?;
        if self.random.random_bool(0.7) {
            self.let_one_that_lost_its_disk_lead(system).await?;
        }
        self.wait_until_all_are_sound(system).await?;
        match self.random.random_range(0..10) {
            0..5 => self.lose_two_disks(system).await?,
            5..7 => self.lose_disks_one_after_another(system).await?,
            7..9 => self.lose_disk_beside_change_of_leader(system).await?,
            _ => self.lose_disk_beside_suspension(system).await?,
        }
        if self.random.random_ratio(1, 4) {
            self.suspend_one_that_catches_up(system).await?;
        }
        if self.random.random_ratio(1, 6) {
            self.wait_up_to(system, MAX_TIME_BETWEEN_LOSSES_MS).await?;
            self.kill_all(system).await?;
            return Ok(Ending::AllKilled);
        }
        self.wait_until_all_are_sound(system).await?;
        if self.random.random_ratio(1, 6) {
            self.kill_all(system).await?;
            return Ok(Ending::AllKilled);
        }
        Ok(Ending::CaughtUp)
    }

    /// Kills all control processes, also entry daemons at times, while two disks are lost.
    pub async fn play_final_fault(&mut self, system: &mut System) -> Result<(), String> {
        self.make_history(system).await?;
        self.wait_until_all_are_sound(system).await?;
        let lost_disks = CONTROLS.into_iter().sample(&mut self.random, LOST_DISKS);
        self.disturbs_edges = self.random.random_bool(0.5);
        if !self.disturbs_edges {
            self.kill_edges(system);
        }
        self.kill_controls(system, &lost_disks).await
    }

    fn kill_edges(&mut self, system: &mut System) {
        let time_ms = self.downtime_ms();
        for host in system.edges.clone() {
            if !self.outages.contains(host) {
                system.processes.kill(host);
                let recovery = Recovery::Start;
                self.outages
                    .begin(system, host, "killed with all", time_ms, recovery);
            }
        }
    }

    /// Ends all outages, those of control processes when they are due.
    pub async fn start_all(&mut self, system: &mut System) -> Result<(), String> {
        self.disturbs_edges = false;
        while self.running_controls().len() < CONTROLS.len() {
            self.tick(system)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.outages.recover_all(system).await
    }

    /// Makes changes, several at a time.
    async fn make_history(&mut self, system: &mut System) -> Result<(), String> {
        let length = match self.random.random_range(0..10) {
            0..2 => 0,
            2 => self.random.random_range(1..200),
            3..9 => self.random.random_range(260..600),
            _ => self.random.random_range(LONG_HISTORY..3 * LONG_HISTORY),
        };
        let lanes = match length < LONG_HISTORY {
            true => LANES,
            false => LANES_OF_LONG_HISTORIES,
        };
        let began_at = Instant::now();
        let acknowledged = self.ledger.counts().borrow().acknowledged;
        let first = self.version + 1;
        self.version += length / lanes;
        let tasks: Vec<_> = (0..lanes)
            .map(|lane| {
                let seed = self.random.random();
                tokio::spawn(make_changes(
                    Arc::clone(&self.ledger),
                    self.urls.clone(),
                    StdRng::seed_from_u64(seed),
                    format!("history-{lane}"),
                    first..=self.version,
                ))
            })
            .collect();
        while tasks.iter().any(|task| !task.is_finished()) {
            self.tick(system)?;
            let now = self.ledger.counts().borrow().acknowledged;
            if now == acknowledged && began_at.elapsed() > RECOVERY {
                tasks.iter().for_each(tokio::task::JoinHandle::abort);
                return Err(format!("no change was acknowledged within {RECOVERY:?}"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let seconds = began_at.elapsed().as_secs_f64();
        let last = self.last_entry(system).await;
        system
            .record
            .note(format!("{length} changes in {seconds:.3} s, last {last:?}"));
        Ok(())
    }

    async fn last_entry(&self, system: &System) -> Option<serde_json::Value> {
        let leader = system.leader(&self.running_controls()).await?;
        system.dump(leader, "/hub/replica/last").await
    }

    /// Kills leaders until one leads that lost its disk before.
    async fn let_one_that_lost_its_disk_lead(&mut self, system: &mut System) -> Result<(), String> {
        if self.replaced.is_empty() {
            return Ok(());
        }
        for _ in 0..MAX_CHANGES_OF_LEADER {
            let Some(leader) = self.wait_for_leader(system).await? else {
                return Ok(());
            };
            if self.replaced.contains(&leader) {
                let note = format!("{leader} leads, which lost its disk before");
                system.record.note(note);
                return Ok(());
            }
            while self.outages.sound_controls().len() + LOST_DISKS <= CONTROLS.len() {
                self.tick(system)?;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            self.kill(system, leader, LEADER_DOWNTIME_MS);
        }
        Ok(())
    }

    async fn wait_for_leader(&mut self, system: &mut System) -> Result<Option<u8>, String> {
        let began_at = Instant::now();
        while began_at.elapsed() < RECOVERY {
            if let Some(leader) = system.leader(&self.running_controls()).await {
                return Ok(Some(leader));
            }
            self.tick(system)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(None)
    }

    fn kill(&mut self, system: &mut System, host: u8, time_ms: u64) {
        system.processes.kill(host);
        let recovery = Recovery::Start;
        self.outages
            .begin(system, host, "killed", time_ms, recovery);
    }

    fn downtime_ms(&mut self) -> u64 {
        self.random.random_range(MIN_DOWNTIME_MS..MAX_DOWNTIME_MS)
    }

    /// Kills or stops a process that comes back without its disk.
    fn lose_disk(&mut self, system: &mut System, host: u8) {
        let time_ms = self.downtime_ms();
        let is_stopped = self.random.random_ratio(1, 4) && system.processes.handles_signals(host);
        let (what, recovery) = match is_stopped {
            true => {
                system.processes.signal(host, Signal::Terminate);
                (
                    "stopped, and loses its disk,",
                    Recovery::StartWithoutDiskOnceExited,
                )
            }
            false => {
                system.processes.kill(host);
                ("killed without its disk", Recovery::StartWithoutDisk)
            }
        };
        self.outages.begin(system, host, what, time_ms, recovery);
        self.replaced.insert(host);
    }

    /// Draws two sound processes, seldom the one that leads.
    async fn draw_two(&mut self, system: &System) -> [u8; 2] {
        let sound = self.outages.sound_controls();
        let leader = system.leader(&sound).await;
        let spares_leader = self.random.random_bool(0.7);
        let candidates = sound.into_iter();
        let candidates = candidates.filter(|host| !(spares_leader && Some(*host) == leader));
        let drawn = candidates.sample(&mut self.random, 2);
        drawn.try_into().expect("all are sound")
    }

    async fn lose_two_disks(&mut self, system: &mut System) -> Result<(), String> {
        for host in self.draw_two(system).await {
            self.lose_disk(system, host);
        }
        Ok(())
    }

    async fn lose_disks_one_after_another(&mut self, system: &mut System) -> Result<(), String> {
        let [first, second] = self.draw_two(system).await;
        self.lose_disk(system, first);
        self.wait_up_to(system, MAX_TIME_BETWEEN_LOSSES_MS).await?;
        self.lose_disk(system, second);
        Ok(())
    }

    /// The leader is killed before, beside or after the loss of another one's disk.
    async fn lose_disk_beside_change_of_leader(
        &mut self,
        system: &mut System,
    ) -> Result<(), String> {
        let [mut host, other] = self.draw_two(system).await;
        let leader = system.leader(&self.running_controls()).await;
        let leader = leader.unwrap_or(other);
        if host == leader {
            host = other;
        }
        let time_ms = self.downtime_ms();
        match self.random.random_range(0..3) {
            0 => {
                self.kill(system, leader, time_ms);
                self.wait_up_to(system, MAX_TIME_BESIDE_CHANGE_OF_LEADER_MS)
                    .await?;
                self.lose_disk(system, host);
            }
            1 => {
                self.kill(system, leader, time_ms);
                self.lose_disk(system, host);
            }
            _ => {
                self.lose_disk(system, host);
                self.wait_up_to(system, MAX_TIME_BESIDE_CHANGE_OF_LEADER_MS)
                    .await?;
                self.kill(system, leader, time_ms);
            }
        }
        Ok(())
    }

    async fn lose_disk_beside_suspension(&mut self, system: &mut System) -> Result<(), String> {
        let [host, other] = self.draw_two(system).await;
        self.suspend(system, other);
        self.wait_up_to(system, MAX_TIME_BETWEEN_LOSSES_MS).await?;
        self.lose_disk(system, host);
        Ok(())
    }

    fn suspend(&mut self, system: &System, host: u8) {
        let time_ms = self.random.random_range(MIN_DOWNTIME_MS..MAX_SUSPENSION_MS);
        system.processes.signal(host, Signal::Stop);
        let recovery = Recovery::Continue;
        self.outages
            .begin(system, host, "suspended", time_ms, recovery);
    }

    /// Suspends a process that came back without its disk.
    async fn suspend_one_that_catches_up(&mut self, system: &mut System) -> Result<(), String> {
        let is_started = |it: &Rounds, host: &u8| !it.outages.contains(*host);
        let lost = self.outages.lost_disks();
        while !lost.iter().any(|host| is_started(self, host)) {
            self.tick(system)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.wait_up_to(system, MAX_TIME_TO_SUSPENSION_MS).await?;
        let lost = self.outages.lost_disks().into_iter();
        let started: Vec<u8> = lost.filter(|host| is_started(self, host)).collect();
        if let Some(host) = started.choose(&mut self.random) {
            self.suspend(system, *host);
        }
        Ok(())
    }

    /// Kills all control processes, which lose as many more disks as may be lost.
    async fn kill_all(&mut self, system: &mut System) -> Result<(), String> {
        let mut lost_disks: Vec<u8> = self.outages.lost_disks().into_iter().collect();
        let others = CONTROLS
            .into_iter()
            .filter(|host| !lost_disks.contains(host));
        let spare = LOST_DISKS.saturating_sub(lost_disks.len());
        let count = self.random.random_range(0..=spare);
        let others = others.sample(&mut self.random, count);
        lost_disks.retain(|_| self.random.random_bool(0.3));
        lost_disks.extend(others);
        self.kill_controls(system, &lost_disks).await
    }

    async fn kill_controls(
        &mut self,
        system: &mut System,
        lost_disks: &[u8],
    ) -> Result<(), String> {
        let mut counts = self.ledger.counts();
        let before = counts.borrow_and_update().acknowledged;
        // Without a majority, nothing is acknowledged.
        let acknowledged = counts.wait_for(|now| now.acknowledged > before);
        let _ = tokio::time::timeout(MAX_WAIT, acknowledged).await;
        let time_ms = self.downtime_ms();
        let exits = self.outages.kill_controls(system, time_ms, lost_disks);
        self.replaced.extend(lost_disks);
        let first = exits.first();
        first.map_or(Ok(()), |exit| Err(describe_exit(exit, &self.disks)))
    }
}

/// Makes one change after another of the same route.
async fn make_changes(
    ledger: Arc<Ledger>,
    urls: Vec<String>,
    mut random: StdRng,
    name: String,
    versions: std::ops::RangeInclusive<u64>,
) {
    let client = client();
    for version in versions {
        let patch = one_route(&name, version);
        change(&client, &urls, &ledger, &mut random, &patch).await;
    }
}
