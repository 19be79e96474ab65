//! Simulates entry daemons that start, terminate, freeze and are disconnected from control
//! processes, and that spend every retry they have. Daemons are notified of each other as by
//! control processes: each announces the daemons connected to it, with a delay.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use coursestand_lab::repeats::{Arrival, RepeatBound, WorstWindow, worst_window};
use coursestand_model::Millis;
use coursestand_routing::RetryLimits;
use rand::RngExt;
use rand::rngs::StdRng;

pub const CONTROLS: usize = 3;
const STEP_MS: Millis = 250;
/// A control process counts as connected for this long after it answered.
const CONNECTED_MS: Millis = 2_500;
/// Time in which an update about a daemon arrives at another.
const UPDATE_DELAY_MS: Millis = 1_000;
/// Time after which a disconnected daemon has detected it and all others are notified.
pub const HAND_OVER_MS: Millis = CONNECTED_MS + UPDATE_DELAY_MS;
/// Maximum time from sending a request to reading it, and from granting a retry to its
/// arrival.
const MAX_TRANSIT_MS: Millis = 2_500;
/// Offset of the start of the run, since the evaluated instants may precede it.
const START_OFFSET: Duration = Duration::from_secs(60);

/// The retry limit of one incarnation of a daemon.
pub trait Retries {
    fn start(name: &str, limits: RetryLimits) -> Self;
    fn note_listed(&mut self, now: Millis, names: &BTreeSet<String>);
    fn renew(&mut self, now: Millis);
    fn earn(&mut self, now: Millis);
    fn spend(&mut self, now: Millis) -> bool;
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub daemons: usize,
    pub limits: RetryLimits,
    pub steps: usize,
    /// Maximum number of requests that a daemon reads in a step.
    pub requests: usize,
    /// Faults per thousand steps of a daemon.
    pub fault_rate: u32,
}

struct Daemon<R> {
    name: String,
    incarnation: Option<R>,
    is_frozen: bool,
    is_disconnected: [bool; CONTROLS],
    /// Time of the last answer of each control process.
    answered_at: [Option<Millis>; CONTROLS],
}

impl<R: Retries> Daemon<R> {
    fn start(&mut self, limits: RetryLimits) {
        self.incarnation = Some(R::start(&self.name, limits));
        self.answered_at = [None; CONTROLS];
        self.is_frozen = false;
    }

    fn is_connected(&self, now: Millis, control: usize) -> bool {
        self.answered_at[control].is_some_and(|at| now < at + CONNECTED_MS)
    }
}

#[derive(Default)]
struct Control {
    connected: BTreeSet<String>,
    /// What it announced at each step.
    announced: VecDeque<(Millis, BTreeSet<String>)>,
}

impl Control {
    fn announce(&mut self, now: Millis) {
        self.announced.push_back((now, self.connected.clone()));
        while self.announced.len() as Millis > UPDATE_DELAY_MS / STEP_MS + 1 {
            self.announced.pop_front();
        }
    }

    /// Returns the latest announcement that has arrived at daemons.
    fn arrived(&self, now: Millis) -> BTreeSet<String> {
        let announced = self.announced.iter().rev();
        let mut arrived = announced.filter(|(at, _)| at + UPDATE_DELAY_MS <= now);
        arrived
            .next()
            .map(|(_, names)| names.clone())
            .unwrap_or_default()
    }
}

pub struct Fleet<R> {
    scenario: Scenario,
    random: StdRng,
    daemons: Vec<Daemon<R>>,
    controls: [Control; CONTROLS],
    started_at: Instant,
    arrivals: Vec<Arrival>,
    requested_at: Vec<Instant>,
}

impl<R: Retries> Fleet<R> {
    pub fn new(scenario: Scenario, random: StdRng) -> Fleet<R> {
        let daemons = (0..scenario.daemons).map(|number| Daemon {
            name: format!("daemon-{number}"),
            incarnation: None,
            is_frozen: false,
            is_disconnected: [false; CONTROLS],
            answered_at: [None; CONTROLS],
        });
        Fleet {
            scenario,
            random,
            daemons: daemons.collect(),
            controls: Default::default(),
            started_at: Instant::now() + START_OFFSET,
            arrivals: Vec::new(),
            requested_at: Vec::new(),
        }
    }

    /// Runs the scenario and returns the window with the largest excess of retries.
    pub fn run(mut self) -> WorstWindow {
        for number in 0..self.scenario.steps {
            let now = number as Millis * STEP_MS;
            self.inject_faults();
            self.connect(now);
            self.serve(now);
        }
        let limits = self.scenario.limits;
        let bound = RepeatBound {
            ratio: limits.ratio,
            extra: limits.extra,
            window: Duration::from_millis(limits.window_ms),
        };
        worst_window(bound, &self.arrivals, &self.requested_at)
    }

    fn draw(&mut self, of_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < of_thousand
    }

    fn inject_faults(&mut self) {
        let fault_rate = self.scenario.fault_rate;
        if self.draw(fault_rate) {
            // Restarts all daemons at once, as a cluster manager may do.
            let limits = self.scenario.limits;
            self.daemons
                .iter_mut()
                .for_each(|daemon| daemon.start(limits));
        }
        if self.draw(fault_rate) {
            let control = self.random.random_range(0..CONTROLS);
            self.restart_control(control);
        }
        if self.draw(fault_rate / 2) {
            (0..CONTROLS).for_each(|control| self.restart_control(control));
        }
        for number in 0..self.daemons.len() {
            if self.draw(fault_rate) {
                self.inject_daemon_fault(number);
            }
        }
    }

    fn restart_control(&mut self, control: usize) {
        self.controls[control] = Control::default();
        for daemon in &mut self.daemons {
            daemon.answered_at[control] = None;
        }
    }

    fn inject_daemon_fault(&mut self, number: usize) {
        let drawn = self.random.random_range(0..5);
        let control = self.random.random_range(0..CONTROLS);
        let daemon = &mut self.daemons[number];
        match drawn {
            0 => daemon.start(self.scenario.limits),
            1 => daemon.incarnation = None,
            2 => daemon.is_frozen = !daemon.is_frozen,
            3 => daemon.is_disconnected[control] = !daemon.is_disconnected[control],
            _ => daemon.is_disconnected = [!daemon.is_disconnected[0]; CONTROLS],
        }
        if self.daemons[number].incarnation.is_none() && self.draw(500) {
            self.daemons[number].start(self.scenario.limits);
        }
    }

    /// Exchanges heartbeats and announcements. A control process drops disconnected and
    /// terminated daemons at once, so that others take over at the earliest possible time.
    fn connect(&mut self, now: Millis) {
        for daemon in &mut self.daemons {
            for (number, control) in self.controls.iter_mut().enumerate() {
                let is_reachable = daemon.incarnation.is_some() && !daemon.is_disconnected[number];
                if !is_reachable {
                    control.connected.remove(&daemon.name);
                } else if !daemon.is_frozen {
                    control.connected.insert(daemon.name.clone());
                    daemon.answered_at[number] = Some(now);
                }
            }
        }
        for control in &mut self.controls {
            control.announce(now);
        }
    }

    fn serve(&mut self, now: Millis) {
        for number in 0..self.daemons.len() {
            let was_frozen = self.daemons[number].is_frozen;
            // A frozen daemon may act once more before it receives any update.
            let may_act = !was_frozen || self.draw(100);
            if self.daemons[number].incarnation.is_none() || !may_act {
                continue;
            }
            if !was_frozen {
                self.receive_updates(now, number);
            }
            let requests = self.random.random_range(0..=self.scenario.requests);
            for _ in 0..requests {
                self.read_request(now, number);
            }
            self.spend_all(now, number);
        }
    }

    fn receive_updates(&mut self, now: Millis, number: usize) {
        let daemon = &mut self.daemons[number];
        let connected: Vec<usize> = (0..CONTROLS)
            .filter(|control| daemon.is_connected(now, *control))
            .collect();
        let listed = connected
            .iter()
            .flat_map(|control| self.controls[*control].arrived(now))
            .collect();
        let Some(incarnation) = &mut daemon.incarnation else {
            return;
        };
        if !connected.is_empty() {
            incarnation.note_listed(now, &listed);
        }
        if connected.len() > CONTROLS / 2 {
            incarnation.renew(now);
        }
    }

    fn at(&self, now: Millis) -> Instant {
        self.started_at + Duration::from_millis(now)
    }

    fn read_request(&mut self, now: Millis, number: usize) {
        let waited_ms = self.random.random_range(0..=MAX_TRANSIT_MS);
        let requested_at = self.at(now) - Duration::from_millis(waited_ms);
        self.requested_at.push(requested_at);
        if let Some(incarnation) = &mut self.daemons[number].incarnation {
            incarnation.earn(now);
        }
    }

    fn spend_all(&mut self, now: Millis, number: usize) {
        while self.daemons[number]
            .incarnation
            .as_mut()
            .is_some_and(|incarnation| incarnation.spend(now))
        {
            let transit_ms = self.random.random_range(0..=MAX_TRANSIT_MS);
            let id = self.arrivals.len().to_string();
            for at in [now, now + transit_ms] {
                let at = self.at(at);
                self.arrivals.push(Arrival { id: id.clone(), at });
            }
        }
    }
}
