//! Simulates daemons that send requests to back ends which are suspended for a while and read
//! all requests that were sent to them once they resume.

use std::time::{Duration, Instant};

use coursestand_lab::repeats::{Arrival, RepeatBound, WorstWindow, worst_window};
use coursestand_model::Millis;
use coursestand_routing::{RetryAllowance, RetryBudget, RetryLimits, SentCopy};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::settled_allowance;

const STEP_MS: Millis = 100;
const RUN_MS: Millis = 120_000;
/// Time after which an unanswered copy is abandoned.
const ATTEMPT_TIMEOUT_MS: Millis = 2_000;
/// Interval at which daemons are notified of each other.
const LIST_INTERVAL_MS: Millis = 2_000;
const BACKENDS: usize = 8;
/// Offset of the start of the run, since the evaluated instants may precede it.
const START_OFFSET: Duration = Duration::from_secs(60);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub limits: RetryLimits,
    pub daemons: usize,
    /// Steps between two requests of a daemon.
    pub steps_between: usize,
    /// Maximum duration of a suspension in seconds.
    pub max_suspension_s: Millis,
    /// Percentage of answers that are lost.
    pub lost_percent: u32,
}

struct Backend {
    /// Time until which it is suspended.
    suspended_until: Millis,
    /// Requests that were sent to it and that it has not read.
    unread: Vec<String>,
}

struct Daemon {
    budget: RetryBudget,
    allowance: RetryAllowance,
    /// Copies without an answer, each with the time at which it is abandoned.
    waiting: Vec<(Millis, SentCopy)>,
}

pub struct Simulation {
    scenario: Scenario,
    /// Whether copies that may still arrive withhold retries.
    withholds_retries: bool,
    random: StdRng,
    backends: Vec<Backend>,
    names: Vec<String>,
    daemons: Vec<Daemon>,
    started_at: Instant,
    arrivals: Vec<Arrival>,
    requested_at: Vec<Instant>,
}

impl Simulation {
    pub fn new(scenario: Scenario, withholds_retries: bool, random: StdRng) -> Simulation {
        let names: Vec<String> = (0..scenario.daemons)
            .map(|number| format!("daemon-{number}"))
            .collect();
        let daemons = names.iter().map(|name| Daemon {
            budget: RetryBudget::default(),
            allowance: settled_allowance(name, &names).0,
            waiting: Vec::new(),
        });
        let daemons: Vec<Daemon> = daemons.collect();
        Simulation {
            scenario,
            withholds_retries,
            random,
            backends: (0..BACKENDS)
                .map(|_| Backend {
                    suspended_until: 0,
                    unread: Vec::new(),
                })
                .collect(),
            daemons,
            names,
            started_at: Instant::now() + START_OFFSET,
            arrivals: Vec::new(),
            requested_at: Vec::new(),
        }
    }

    /// Runs the scenario and returns the window with the largest excess of retries.
    pub fn run(mut self) -> WorstWindow {
        // Time from which on daemons have shares of the allowance.
        let start = settled_allowance("a", &[]).1;
        for step in 0..(RUN_MS / STEP_MS) {
            let now = start + step * STEP_MS;
            self.suspend_and_resume(now);
            for number in 0..self.daemons.len() {
                self.renew(now, number);
                self.abandon(now, number);
                if (step as usize + number).is_multiple_of(self.scenario.steps_between) {
                    self.request(now, number);
                }
            }
        }
        let limits = self.scenario.limits;
        let bound = RepeatBound {
            ratio: limits.ratio,
            extra: limits.extra,
            window: Duration::from_millis(limits.window_ms),
        };
        worst_window(bound, &self.arrivals, &self.requested_at)
    }

    /// Renews the lease of a daemon: all daemons stay connected, and list each other.
    fn renew(&mut self, now: Millis, number: usize) {
        let allowance = &mut self.daemons[number].allowance;
        allowance.renew(now);
        if now.is_multiple_of(LIST_INTERVAL_MS) {
            allowance.note_listed(now, self.names.iter().map(String::as_str));
        }
    }

    /// Suspends half of the back ends together at random times, and lets resumed ones read.
    fn suspend_and_resume(&mut self, now: Millis) {
        if self.random.random_range(0..100) == 0 {
            let max_ms = self.scenario.max_suspension_s * 1_000;
            let until = now + self.random.random_range(0..max_ms);
            for backend in &mut self.backends[..BACKENDS / 2] {
                backend.suspended_until = backend.suspended_until.max(until);
            }
        }
        for number in 0..BACKENDS {
            if now < self.backends[number].suspended_until {
                continue;
            }
            for id in std::mem::take(&mut self.backends[number].unread) {
                self.arrive(now, id);
            }
        }
    }

    fn arrive(&mut self, now: Millis, id: String) {
        let at = self.started_at + Duration::from_millis(now);
        self.arrivals.push(Arrival { id, at });
    }

    fn abandon(&mut self, now: Millis, number: usize) {
        let daemon = &mut self.daemons[number];
        let unresolved = daemon.budget.unresolved();
        daemon.waiting.retain(|(until, copy)| {
            let is_over = *until <= now;
            if is_over {
                unresolved.abandon(*copy);
            }
            !is_over
        });
    }

    /// Sends a copy to a random back end. Returns it, and whether it was answered.
    fn send(&mut self, now: Millis, number: usize, id: &str) -> (SentCopy, bool) {
        let backend = self.random.random_range(0..BACKENDS);
        let copy = SentCopy {
            backend: backend as u64,
            sent_at: now,
        };
        if now < self.backends[backend].suspended_until {
            self.backends[backend].unread.push(id.to_owned());
            return (copy, false);
        }
        self.arrive(now, id.to_owned());
        let limits = self.scenario.limits;
        let unresolved = self.daemons[number].budget.unresolved();
        unresolved.resolve_up_to(now, limits, copy);
        (copy, true)
    }

    fn request(&mut self, now: Millis, number: usize) {
        let id = self.requested_at.len().to_string();
        let limits = self.scenario.limits;
        self.requested_at
            .push(self.started_at + Duration::from_millis(now));
        self.daemons[number].budget.earn(now, limits);
        let (first, is_answered) = self.send(now, number, &id);
        let is_lost = self.random.random_range(0..100) < self.scenario.lost_percent;
        if is_answered && !is_lost {
            return;
        }
        let daemon = &mut self.daemons[number];
        if !daemon.budget.spend(now, limits, &daemon.allowance) {
            return;
        }
        if !is_answered && self.withholds_retries {
            daemon.budget.unresolved().abandon(first);
        }
        let (second, is_answered) = self.send(now, number, &id);
        if !is_answered && self.withholds_retries {
            let daemon = &mut self.daemons[number];
            daemon.budget.unresolved().send(second);
            daemon.waiting.push((now + ATTEMPT_TIMEOUT_MS, second));
        }
    }
}
