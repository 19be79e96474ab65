//! Daemons that send requests to back ends which stand still for a while, and read all of
//! what was sent to them once they go on.

use std::time::{Duration, Instant};

use coursestand_lab::repeats::{Arrival, RepeatBound, WorstWindow, worst_window};
use coursestand_model::Millis;
use coursestand_routing::{RetryAllowance, RetryBudget, RetryLimits, SentCopy};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::settled;

const STEP_MS: Millis = 100;
const RUN_MS: Millis = 120_000;
/// A copy of which nothing comes back is given up after this.
const PATIENCE_MS: Millis = 2_000;
/// Daemons hear of each other as often as this.
const RELIST_MS: Millis = 2_000;
const BACKENDS: usize = 8;
/// Instants of the judge begin this long before the run.
const EARLIER: Duration = Duration::from_secs(60);

/// How a run is made.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub limits: RetryLimits,
    pub daemons: usize,
    /// Steps between two requests of a daemon.
    pub steps_between: usize,
    /// Longest stand-still in seconds.
    pub longest_s: Millis,
    /// Answers of a hundred that are lost.
    pub lost: u32,
}

struct Backend {
    /// It stands still until then.
    stopped_until: Millis,
    /// Requests that it has not read.
    unread: Vec<String>,
}

struct Daemon {
    budget: RetryBudget,
    allowance: RetryAllowance,
    /// Copies that are waited for, and until when.
    waiting: Vec<(Millis, SentCopy)>,
}

pub struct Stopping {
    scenario: Scenario,
    /// Whether copies that may still arrive hold retries back.
    holds_back: bool,
    random: StdRng,
    backends: Vec<Backend>,
    names: Vec<String>,
    daemons: Vec<Daemon>,
    began: Instant,
    arrivals: Vec<Arrival>,
    asked: Vec<Instant>,
}

impl Stopping {
    pub fn new(scenario: Scenario, holds_back: bool, random: StdRng) -> Stopping {
        let names: Vec<String> = (0..scenario.daemons)
            .map(|number| format!("daemon-{number}"))
            .collect();
        let daemons = names.iter().map(|name| Daemon {
            budget: RetryBudget::default(),
            allowance: settled(name, &names).0,
            waiting: Vec::new(),
        });
        let daemons: Vec<Daemon> = daemons.collect();
        Stopping {
            scenario,
            holds_back,
            random,
            backends: (0..BACKENDS)
                .map(|_| Backend {
                    stopped_until: 0,
                    unread: Vec::new(),
                })
                .collect(),
            daemons,
            names,
            began: Instant::now() + EARLIER,
            arrivals: Vec::new(),
            asked: Vec::new(),
        }
    }

    /// Plays the scenario and judges the worst window.
    pub fn play(mut self) -> WorstWindow {
        // From when parts of the allowance are held.
        let first = settled("a", &[]).1;
        for step in 0..(RUN_MS / STEP_MS) {
            let now = first + step * STEP_MS;
            self.stop_and_go(now);
            for number in 0..self.daemons.len() {
                self.renew(now, number);
                self.give_up(now, number);
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
        worst_window(bound, &self.arrivals, &self.asked)
    }

    /// All daemons stay connected, and know each other.
    fn renew(&mut self, now: Millis, number: usize) {
        let allowance = &mut self.daemons[number].allowance;
        allowance.renew(now);
        if now.is_multiple_of(RELIST_MS) {
            allowance.note_listed(now, self.names.iter().map(String::as_str));
        }
    }

    /// Half of the back ends are stopped together, now and then.
    fn stop_and_go(&mut self, now: Millis) {
        if self.random.random_range(0..100) == 0 {
            let longest = self.scenario.longest_s * 1_000;
            let until = now + self.random.random_range(0..longest);
            for backend in &mut self.backends[..BACKENDS / 2] {
                backend.stopped_until = backend.stopped_until.max(until);
            }
        }
        for number in 0..BACKENDS {
            if now < self.backends[number].stopped_until {
                continue;
            }
            for id in std::mem::take(&mut self.backends[number].unread) {
                self.arrive(now, id);
            }
        }
    }

    fn arrive(&mut self, now: Millis, id: String) {
        let at = self.began + Duration::from_millis(now);
        self.arrivals.push(Arrival { id, at });
    }

    fn give_up(&mut self, now: Millis, number: usize) {
        let daemon = &mut self.daemons[number];
        let unsettled = daemon.budget.unsettled();
        daemon.waiting.retain(|(until, copy)| {
            let is_over = *until <= now;
            if is_over {
                unsettled.give_up(*copy);
            }
            !is_over
        });
    }

    /// Sends a copy to some back end. Returns it, and whether it was answered.
    fn send(&mut self, now: Millis, number: usize, id: &str) -> (SentCopy, bool) {
        let backend = self.random.random_range(0..BACKENDS);
        let copy = SentCopy {
            backend: backend as u64,
            sent_at: now,
        };
        if now < self.backends[backend].stopped_until {
            self.backends[backend].unread.push(id.to_owned());
            return (copy, false);
        }
        self.arrive(now, id.to_owned());
        let limits = self.scenario.limits;
        let unsettled = self.daemons[number].budget.unsettled();
        unsettled.settle_until(now, limits, copy);
        (copy, true)
    }

    fn request(&mut self, now: Millis, number: usize) {
        let id = self.asked.len().to_string();
        let limits = self.scenario.limits;
        self.asked.push(self.began + Duration::from_millis(now));
        self.daemons[number].budget.earn(now, limits);
        let (first, is_answered) = self.send(now, number, &id);
        let is_lost = self.random.random_range(0..100) < self.scenario.lost;
        if is_answered && !is_lost {
            return;
        }
        let daemon = &mut self.daemons[number];
        if !daemon.budget.spend(now, limits, &daemon.allowance) {
            return;
        }
        if !is_answered && self.holds_back {
            daemon.budget.unsettled().give_up(first);
        }
        let (second, is_answered) = self.send(now, number, &id);
        if !is_answered && self.holds_back {
            let daemon = &mut self.daemons[number];
            daemon.budget.unsettled().send(second);
            daemon.waiting.push((now + PATIENCE_MS, second));
        }
    }
}
