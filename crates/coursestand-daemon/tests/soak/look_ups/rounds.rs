//! Rounds of a run: daemons end while control processes and links fail, often several at the same
//! time, then nothing happens for long enough that all answers are judged.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{End, System};
use crate::evacuations::CONTROLS;
use crate::processes::Signal;
use crate::relay::LinkFault;

/// Time within which the faults of a round begin.
const FAULTS_MS: u64 = 6_000;
/// Time for which a daemon stays down at least: until it is judged.
const MIN_DOWNTIME_MS: u64 = 9_000;
const MAX_DOWNTIME_MS: u64 = 14_000;
/// Time after the last event for which answers are observed.
const CALM: Duration = Duration::from_millis(7_500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number, moments and durations of the day's faults.
const DAY_DAEMONS: usize = 3;
const DAY_KILL_AFTER_MS: u64 = 600;
const DAY_DOWNTIME_MS: u64 = 14_000;

/// Time within which daemons end after a control process was suspended, and duration of that.
const LATE_END_MS: u64 = 2_000;
const LATE_CONTINUE_MS: u64 = 10_000;

/// Duration of a suspension in which daemons abandon connections, and time for the control process
/// to serve them before daemons end.
const ABANDONING_MS: std::ops::Range<u64> = 2_500..9_000;
const SERVED_MS: u64 = 3_000;
/// Daemons that run on, so that answers are judged.
const LEFT_DAEMONS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Action {
    EndEdge(u8, End),
    StartEdge(u8),
    KillControl(u8),
    StopControl(u8),
    /// Starts a control process that was killed or has been told to stop.
    StartControl(u8),
    SuspendControl(u8),
    ContinueControl(u8),
    SetLink(u8, LinkFault),
}

/// A round: actions with their times from its start.
pub struct Round(Vec<(Duration, Action)>);

/// A fault of a control process or of the connections to it.
#[derive(Clone, Copy, Debug)]
enum ControlFault {
    Restart,
    Down,
    Suspension,
    PlannedRestart,
    Delay,
    Reset,
    Cut,
}

const CONTROL_FAULTS: [ControlFault; 14] = [
    ControlFault::Restart,
    ControlFault::Restart,
    ControlFault::Restart,
    ControlFault::Restart,
    ControlFault::Down,
    ControlFault::Suspension,
    ControlFault::Suspension,
    ControlFault::Suspension,
    ControlFault::PlannedRestart,
    ControlFault::Delay,
    ControlFault::Delay,
    ControlFault::Reset,
    ControlFault::Reset,
    ControlFault::Cut,
];

impl Round {
    /// Daemons lose power, and one control process is killed and starts again at once.
    pub fn power_loss(random: &mut StdRng, system: &System) -> Round {
        let mut schedule = Schedule::default();
        for host in system.edges.sample(random, DAY_DAEMONS) {
            schedule.at(0, Action::EndEdge(*host, End::Silent));
            schedule.at(DAY_DOWNTIME_MS, Action::StartEdge(*host));
        }
        let control = *CONTROLS.choose(random).expect("a process");
        schedule.at(DAY_KILL_AFTER_MS, Action::KillControl(control));
        schedule.at(DAY_KILL_AFTER_MS, Action::StartControl(control));
        schedule.into_round()
    }

    /// Daemons end while one control process is suspended: some that it is connected with, and one
    /// whose connection waits in its backlog. It continues long after.
    pub fn late_reports(random: &mut StdRng, system: &System) -> Round {
        let mut schedule = Schedule::default();
        let control = *CONTROLS.choose(random).expect("a process");
        schedule.at(0, Action::SuspendControl(control));
        schedule.at(LATE_CONTINUE_MS, Action::ContinueControl(control));
        let mut ending = system.edges.sample(random, DAY_DAEMONS + 1);
        let reconnecting = *ending.next().expect("a daemon");
        for host in ending {
            let end = *[End::Silent, End::Killed].choose(random).expect("an end");
            let time_ms = random.random_range(0..LATE_END_MS);
            schedule.at(time_ms, Action::EndEdge(*host, end));
        }
        schedule.at(0, Action::EndEdge(reconnecting, End::Killed));
        schedule.at(LATE_END_MS, Action::StartEdge(reconnecting));
        let ended_ms = LATE_END_MS + random.random_range(300..1_000);
        let end = *[End::Silent, End::Killed].choose(random).expect("an end");
        schedule.at(ended_ms, Action::EndEdge(reconnecting, end));
        schedule.into_round()
    }

    /// Daemons end some time after one control process was suspended. Meanwhile they opened and
    /// abandoned connections with it, which it serves when it continues.
    pub fn abandoned_connections(random: &mut StdRng, system: &System) -> Round {
        let mut schedule = Schedule::default();
        let control = *CONTROLS.choose(random).expect("a process");
        let continued_ms = random.random_range(ABANDONING_MS);
        schedule.at(0, Action::SuspendControl(control));
        schedule.at(continued_ms, Action::ContinueControl(control));
        for host in system
            .edges
            .sample(random, system.edges.len() - LEFT_DAEMONS)
        {
            let end = *[End::Silent, End::Killed].choose(random).expect("an end");
            schedule.at(continued_ms + SERVED_MS, Action::EndEdge(*host, end));
        }
        schedule.into_round()
    }

    /// Returns a random round.
    pub fn random(random: &mut StdRng, system: &System) -> Round {
        let mut schedule = Schedule::default();
        let mut edges = system.edges.clone();
        edges.shuffle(random);
        let count = random.random_range(1..=(edges.len() / 3).max(1));
        let (ending, others) = edges.split_at(count);
        for host in ending {
            schedule.end_for_a_while(random, *host);
        }
        for host in others.iter().take(random.random_range(0..=2)) {
            schedule.start_and_end_repeatedly(random, *host);
        }
        match random.random_ratio(1, 8) {
            true => schedule.restart_all_controls(random),
            false => schedule.fail_controls(random, system.links.is_some()),
        }
        schedule.into_round()
    }

    /// Plays the round, then lets all processes run for [`CALM`].
    pub async fn play(&self, system: &mut System) {
        let started = Instant::now();
        for (due, action) in &self.0 {
            wait_until(system, started + *due).await;
            perform(system, *action).await;
        }
        wait_until(system, Instant::now() + CALM).await;
        for host in system.edges.clone() {
            if !system.live_edges().contains(&host) {
                system.restart_edge(host);
            }
        }
    }
}

async fn wait_until(system: &mut System, end: Instant) {
    while Instant::now() < end {
        system.note_exits();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn perform(system: &mut System, action: Action) {
    match action {
        Action::EndEdge(host, end) => system.end_edge(host, end),
        Action::StartEdge(host) => system.restart_edge(host),
        Action::KillControl(host) => {
            system.note_control(host, "is killed", false);
            system.processes.kill(host);
        }
        Action::StopControl(host) => {
            // A process that does not handle signals yet would end at once.
            if system.processes.handles_signals(host) {
                system.note_control(host, "is told to stop", false);
                system.processes.signal(host, Signal::Terminate);
            }
        }
        Action::StartControl(host) => {
            system.note_control(host, "is replaced by its next run", false);
            system.processes.kill(host);
            system.start(host, false);
        }
        Action::SuspendControl(host) => {
            system.note_control(host, "is suspended", false);
            system.processes.signal(host, Signal::Stop);
        }
        Action::ContinueControl(host) => {
            system.processes.signal(host, Signal::Continue);
            system.note_control(host, "continues", true);
        }
        Action::SetLink(host, fault) => {
            if let Some(links) = &system.links {
                links.set(host, fault);
                let is_disturbed = fault != LinkFault::None;
                system.record.note_link(host, is_disturbed);
                let note = format!("connections to control {host}: {fault:?}");
                system.record.note(note);
            }
        }
    }
}

impl System {
    fn note_control(&self, host: u8, what: &str, runs: bool) {
        self.record.note(format!("control {host} {what}"));
        self.record.note_process(host, runs);
    }
}

#[derive(Default)]
struct Schedule {
    actions: Vec<(u64, Action)>,
    /// Time until which each control process has a fault.
    controls_busy_until: BTreeMap<u8, u64>,
}

impl Schedule {
    fn at(&mut self, time_ms: u64, action: Action) {
        self.actions.push((time_ms, action));
    }

    fn into_round(mut self) -> Round {
        self.actions.sort_by_key(|(time_ms, _)| *time_ms);
        let actions = self.actions.into_iter();
        Round(
            actions
                .map(|(time_ms, action)| (Duration::from_millis(time_ms), action))
                .collect(),
        )
    }

    /// Ends a daemon, which starts again later, or only after the round.
    fn end_for_a_while(&mut self, random: &mut StdRng, host: u8) {
        let end = *[End::Silent, End::Silent, End::Killed, End::Planned]
            .choose(random)
            .expect("an end");
        let began_ms = random.random_range(0..FAULTS_MS / 2);
        self.at(began_ms, Action::EndEdge(host, end));
        if random.random_bool(0.5) {
            let downtime_ms = random.random_range(MIN_DOWNTIME_MS..MAX_DOWNTIME_MS);
            self.at(began_ms + downtime_ms, Action::StartEdge(host));
        }
    }

    /// Starts a daemon again and again; each run ends while it connects with control or soon
    /// after. The last one stays down until the round is over.
    fn start_and_end_repeatedly(&mut self, random: &mut StdRng, host: u8) {
        let mut time_ms = random.random_range(0..1_000);
        self.at(time_ms, Action::EndEdge(host, End::Killed));
        while time_ms < FAULTS_MS {
            time_ms += random.random_range(50..800);
            self.at(time_ms, Action::StartEdge(host));
            time_ms += random.random_range(20..400);
            let end = *[End::Silent, End::Killed].choose(random).expect("an end");
            self.at(time_ms, Action::EndEdge(host, end));
        }
    }

    fn restart_all_controls(&mut self, random: &mut StdRng) {
        let began_ms = random.random_range(0..FAULTS_MS);
        for host in CONTROLS {
            self.at(began_ms, Action::KillControl(host));
            let downtime_ms = random.random_range(0..1_000);
            self.at(began_ms + downtime_ms, Action::StartControl(host));
        }
    }

    fn fail_controls(&mut self, random: &mut StdRng, has_links: bool) {
        for _ in 0..random.random_range(1..=5) {
            let host = *CONTROLS.choose(random).expect("a process");
            let fault = *CONTROL_FAULTS.choose(random).expect("a fault");
            let is_of_link = matches!(
                fault,
                ControlFault::Delay | ControlFault::Reset | ControlFault::Cut
            );
            let earliest_ms = self.controls_busy_until.get(&host).copied().unwrap_or(0);
            let began_ms = earliest_ms + random.random_range(0..FAULTS_MS);
            if is_of_link && !has_links {
                continue;
            }
            let ended_ms = self.fail_control(random, host, fault, began_ms);
            self.controls_busy_until.insert(host, ended_ms);
        }
    }

    /// Adds a fault and returns when it ends.
    fn fail_control(
        &mut self,
        random: &mut StdRng,
        host: u8,
        fault: ControlFault,
        began_ms: u64,
    ) -> u64 {
        let (first, duration_ms, last) = match fault {
            ControlFault::Restart => (
                Action::KillControl(host),
                random.random_range(0..300),
                Action::StartControl(host),
            ),
            ControlFault::Down => (
                Action::KillControl(host),
                random.random_range(300..6_000),
                Action::StartControl(host),
            ),
            ControlFault::Suspension => (
                Action::SuspendControl(host),
                random.random_range(300..9_000),
                Action::ContinueControl(host),
            ),
            ControlFault::PlannedRestart => (
                Action::StopControl(host),
                random.random_range(2_000..6_000),
                Action::StartControl(host),
            ),
            ControlFault::Delay => (
                Action::SetLink(host, delay(random)),
                random.random_range(500..3_000),
                Action::SetLink(host, LinkFault::None),
            ),
            ControlFault::Reset => (
                Action::SetLink(host, LinkFault::Reset),
                random.random_range(10..500),
                Action::SetLink(host, LinkFault::None),
            ),
            ControlFault::Cut => (
                Action::SetLink(host, LinkFault::Silent),
                random.random_range(500..4_000),
                Action::SetLink(host, LinkFault::None),
            ),
        };
        self.at(began_ms, first);
        self.at(began_ms + duration_ms, last);
        began_ms + duration_ms
    }
}

fn delay(random: &mut StdRng) -> LinkFault {
    LinkFault::Delay(Duration::from_millis(random.random_range(5..300)))
}
