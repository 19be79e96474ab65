//! Entry daemons that come, go, freeze and are cut off from control processes, and spend
//! every retry that they have. What they hear of each other is told as control processes
//! tell it: from each the daemons that are connected with it, with a delay.

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
/// Time in which news of a daemon arrive at another.
const NEWS_LAG_MS: Millis = 1_000;
/// After this a daemon that was cut off knows it, and news of it is everywhere.
pub const HAND_OVER_MS: Millis = CONNECTED_MS + NEWS_LAG_MS;
/// Longest time from sending a request to its reading, and from granting a retry to its
/// arrival.
const ON_THE_WAY_MS: Millis = 2_500;
/// Instants of the judge begin this long before the run.
const EARLIER: Duration = Duration::from_secs(60);

/// The retries of one life of a daemon.
pub trait Retries {
    fn start(name: &str, limits: RetryLimits) -> Self;
    fn note_listed(&mut self, now: Millis, names: &BTreeSet<String>);
    fn renew(&mut self, now: Millis);
    fn earn(&mut self, now: Millis);
    fn spend(&mut self, now: Millis) -> bool;
}

/// How a run is made.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub daemons: usize,
    pub limits: RetryLimits,
    pub steps: usize,
    /// Requests that a daemon reads in a step, at most.
    pub requests: usize,
    /// Of a thousand steps of a daemon, those in which it is harmed.
    pub harm: u32,
}

struct Daemon<R> {
    name: String,
    life: Option<R>,
    is_frozen: bool,
    is_cut: [bool; CONTROLS],
    /// When each control process answered last.
    answered: [Option<Millis>; CONTROLS],
}

impl<R: Retries> Daemon<R> {
    fn start(&mut self, limits: RetryLimits) {
        self.life = Some(R::start(&self.name, limits));
        self.answered = [None; CONTROLS];
        self.is_frozen = false;
    }

    fn is_connected(&self, now: Millis, control: usize) -> bool {
        self.answered[control].is_some_and(|at| now < at + CONNECTED_MS)
    }
}

#[derive(Default)]
struct Control {
    connected: BTreeSet<String>,
    /// What it told at each step.
    told: VecDeque<(Millis, BTreeSet<String>)>,
}

impl Control {
    fn tell(&mut self, now: Millis) {
        self.told.push_back((now, self.connected.clone()));
        while self.told.len() as Millis > NEWS_LAG_MS / STEP_MS + 1 {
            self.told.pop_front();
        }
    }

    /// What has arrived of it.
    fn heard(&self, now: Millis) -> BTreeSet<String> {
        let told = self.told.iter().rev();
        let mut arrived = told.filter(|(at, _)| at + NEWS_LAG_MS <= now);
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
    began: Instant,
    arrivals: Vec<Arrival>,
    asked: Vec<Instant>,
}

impl<R: Retries> Fleet<R> {
    pub fn new(scenario: Scenario, random: StdRng) -> Fleet<R> {
        let daemons = (0..scenario.daemons).map(|number| Daemon {
            name: format!("daemon-{number}"),
            life: None,
            is_frozen: false,
            is_cut: [false; CONTROLS],
            answered: [None; CONTROLS],
        });
        Fleet {
            scenario,
            random,
            daemons: daemons.collect(),
            controls: Default::default(),
            began: Instant::now() + EARLIER,
            arrivals: Vec::new(),
            asked: Vec::new(),
        }
    }

    /// Plays the scenario and judges the worst window.
    pub fn play(mut self) -> WorstWindow {
        for number in 0..self.scenario.steps {
            let now = number as Millis * STEP_MS;
            self.harm();
            self.connect(now);
            self.serve(now);
        }
        let limits = self.scenario.limits;
        let bound = RepeatBound {
            ratio: limits.ratio,
            extra: limits.extra,
            window: Duration::from_millis(limits.window_ms),
        };
        worst_window(bound, &self.arrivals, &self.asked)
    }

    fn is_drawn(&mut self, of_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < of_thousand
    }

    fn harm(&mut self) {
        let harm = self.scenario.harm;
        if self.is_drawn(harm) {
            // All at once, as where a cluster manager restarts them.
            let limits = self.scenario.limits;
            self.daemons
                .iter_mut()
                .for_each(|daemon| daemon.start(limits));
        }
        if self.is_drawn(harm) {
            let control = self.random.random_range(0..CONTROLS);
            self.restart_control(control);
        }
        if self.is_drawn(harm / 2) {
            (0..CONTROLS).for_each(|control| self.restart_control(control));
        }
        for number in 0..self.daemons.len() {
            if self.is_drawn(harm) {
                self.harm_daemon(number);
            }
        }
    }

    fn restart_control(&mut self, control: usize) {
        self.controls[control] = Control::default();
        for daemon in &mut self.daemons {
            daemon.answered[control] = None;
        }
    }

    fn harm_daemon(&mut self, number: usize) {
        let drawn = self.random.random_range(0..5);
        let control = self.random.random_range(0..CONTROLS);
        let daemon = &mut self.daemons[number];
        match drawn {
            0 => daemon.start(self.scenario.limits),
            1 => daemon.life = None,
            2 => daemon.is_frozen = !daemon.is_frozen,
            3 => daemon.is_cut[control] = !daemon.is_cut[control],
            _ => daemon.is_cut = [!daemon.is_cut[0]; CONTROLS],
        }
        if self.daemons[number].life.is_none() && self.is_drawn(500) {
            self.daemons[number].start(self.scenario.limits);
        }
    }

    /// Signs of life, and what control processes tell. A control process forgets who is
    /// cut off or gone at once: others take over the earliest then.
    fn connect(&mut self, now: Millis) {
        for daemon in &mut self.daemons {
            for (number, control) in self.controls.iter_mut().enumerate() {
                let is_there = daemon.life.is_some() && !daemon.is_cut[number];
                if !is_there {
                    control.connected.remove(&daemon.name);
                } else if !daemon.is_frozen {
                    control.connected.insert(daemon.name.clone());
                    daemon.answered[number] = Some(now);
                }
            }
        }
        for control in &mut self.controls {
            control.tell(now);
        }
    }

    fn serve(&mut self, now: Millis) {
        for number in 0..self.daemons.len() {
            let was_frozen = self.daemons[number].is_frozen;
            // A frozen one acts once more before it hears anything.
            let acts = !was_frozen || self.is_drawn(100);
            if self.daemons[number].life.is_none() || !acts {
                continue;
            }
            if !was_frozen {
                self.hear(now, number);
            }
            let requests = self.random.random_range(0..=self.scenario.requests);
            for _ in 0..requests {
                self.read_request(now, number);
            }
            self.spend_all(now, number);
        }
    }

    fn hear(&mut self, now: Millis, number: usize) {
        let daemon = &mut self.daemons[number];
        let connected: Vec<usize> = (0..CONTROLS)
            .filter(|control| daemon.is_connected(now, *control))
            .collect();
        let heard = connected
            .iter()
            .flat_map(|control| self.controls[*control].heard(now))
            .collect();
        let Some(life) = &mut daemon.life else {
            return;
        };
        if !connected.is_empty() {
            life.note_listed(now, &heard);
        }
        if connected.len() > CONTROLS / 2 {
            life.renew(now);
        }
    }

    fn at(&self, now: Millis) -> Instant {
        self.began + Duration::from_millis(now)
    }

    fn read_request(&mut self, now: Millis, number: usize) {
        let waited = self.random.random_range(0..=ON_THE_WAY_MS);
        let asked_at = self.at(now) - Duration::from_millis(waited);
        self.asked.push(asked_at);
        if let Some(life) = &mut self.daemons[number].life {
            life.earn(now);
        }
    }

    fn spend_all(&mut self, now: Millis, number: usize) {
        while self.daemons[number]
            .life
            .as_mut()
            .is_some_and(|life| life.spend(now))
        {
            let takes = self.random.random_range(0..=ON_THE_WAY_MS);
            let id = self.arrivals.len().to_string();
            for at in [now, now + takes] {
                let at = self.at(at);
                self.arrivals.push(Arrival { id: id.clone(), at });
            }
        }
    }
}
