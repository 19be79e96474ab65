//! Twelve daemons, twenty back ends and what callers ask for, against ways to decide.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::Millis;
use coursestand_routing::fatal_requests::CaseNews;
use coursestand_routing::{
    FatalRequests, Finding, Fingerprint, Held, SharedCase, SharedFinding, TrialVerdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DAEMONS: usize = 12;
const BACKENDS: usize = 20;
const SLOTS: usize = 6;
const TICK_MS: Millis = 10;
/// What a request takes.
const RUN_MS: Millis = 150;
/// From a daemon by control to the others.
const WAY_MS: Millis = 30;
/// From an end to the moment at which the daemon has looked.
const LOOK_MS: Millis = 10;
const RESTART_MS: Millis = 5_000;
const PLAYED_MS: Millis = 30_000;
const DEADLY: u64 = 1_000;
/// When the deadly requests begin: daemons have seen which requests are asked for often.
const DEADLY_FROM_MS: Millis = 3_000;
const RARE: u64 = 400;

pub enum Decision {
    Runs,
    /// It runs as a trial, and the others are told.
    IsTried(SharedCase),
    Held,
}

impl From<bool> for Decision {
    fn from(runs: bool) -> Decision {
        if runs { Decision::Runs } else { Decision::Held }
    }
}

/// Decisions of one daemon.
pub trait Decides {
    fn new(own: u64) -> Self;
    /// `control` grants trials.
    fn may_run(
        &mut self,
        now: Millis,
        request: Fingerprint,
        is_owner: bool,
        control: &mut Self,
    ) -> Decision;
    /// Control tells of a trial that it granted to another daemon.
    fn merge(&mut self, now: Millis, case: &SharedCase);
    /// Whether the request may be sent again after its connection to `broken_backend` broke.
    fn may_repeat(&self, now: Millis, request: Fingerprint, broken_backend: u64) -> bool;
    fn start(&mut self, request: Fingerprint);
    fn finish(&mut self, request: Fingerprint);
    fn note_answer(&mut self, now: Millis, request: Fingerprint, began_at: Millis) -> bool;
    /// Returns requests that are convicted by it.
    fn take(&mut self, now: Millis, report: &SharedFinding) -> Vec<Fingerprint>;
    /// Whether reports reach the others.
    fn shares() -> bool;
}

impl Decides for FatalRequests {
    fn new(own: u64) -> Self {
        FatalRequests::new(own)
    }
    fn may_run(
        &mut self,
        now: Millis,
        request: Fingerprint,
        is_owner: bool,
        control: &mut Self,
    ) -> Decision {
        match FatalRequests::may_run(self, now, request, is_owner) {
            Err(Held::NeedsTrial { .. }) => {
                let case = self.shared(now, request).expect("a case");
                control.merge(now, &case);
                match control.grant_trial(now, request) {
                    TrialVerdict::Granted(case) => {
                        FatalRequests::merge(self, now, &case);
                        Decision::IsTried(case)
                    }
                    TrialVerdict::Refused(case) => {
                        FatalRequests::merge(self, now, &case);
                        Decision::Held
                    }
                    TrialVerdict::Cleared(request) => {
                        self.clear(now, request);
                        Decision::Held
                    }
                }
            }
            verdict => verdict.is_ok().into(),
        }
    }
    fn merge(&mut self, now: Millis, case: &SharedCase) {
        FatalRequests::merge(self, now, case);
    }
    fn may_repeat(&self, now: Millis, request: Fingerprint, broken_backend: u64) -> bool {
        FatalRequests::may_repeat(self, now, request, &[broken_backend]).is_ok()
    }
    fn start(&mut self, request: Fingerprint) {
        FatalRequests::start(self, request);
    }
    fn finish(&mut self, request: Fingerprint) {
        FatalRequests::finish(self, request);
    }
    fn note_answer(&mut self, now: Millis, request: Fingerprint, began_at: Millis) -> bool {
        FatalRequests::note_answer(self, now, request, began_at)
    }
    fn take(&mut self, now: Millis, report: &SharedFinding) -> Vec<Fingerprint> {
        let news = FatalRequests::take(self, now, report).into_iter();
        news.filter_map(|news| match news {
            CaseNews::Convicted { request, .. } => Some(request),
            CaseNews::Cleared { .. } | CaseNews::Witness(_) => None,
        })
        .collect()
    }
    fn shares() -> bool {
        true
    }
}

/// Three ends that it saw itself convict for good.
#[derive(Default)]
pub struct CountOfThree(BTreeMap<Fingerprint, u32>);

impl Decides for CountOfThree {
    fn new(_: u64) -> Self {
        CountOfThree::default()
    }
    fn may_run(&mut self, _: Millis, request: Fingerprint, _: bool, _: &mut Self) -> Decision {
        self.0.get(&request).is_none_or(|ends| *ends < 3).into()
    }
    fn merge(&mut self, _: Millis, _: &SharedCase) {}
    fn may_repeat(&self, _: Millis, request: Fingerprint, _: u64) -> bool {
        self.0.get(&request).is_none_or(|ends| *ends < 3)
    }
    fn start(&mut self, _: Fingerprint) {}
    fn finish(&mut self, _: Fingerprint) {}
    fn note_answer(&mut self, _: Millis, _: Fingerprint, _: Millis) -> bool {
        false
    }
    fn take(&mut self, _: Millis, report: &SharedFinding) -> Vec<Fingerprint> {
        let Finding::Ended {
            in_flight_requests, ..
        } = &report.finding
        else {
            return Vec::new();
        };
        let mut convicted = Vec::new();
        for request in in_flight_requests.iter().collect::<BTreeSet<_>>() {
            let ends = self.0.entry(*request).or_default();
            *ends += 1;
            convicted.extend((*ends == 3).then_some(*request));
        }
        convicted
    }
    fn shares() -> bool {
        false
    }
}

#[derive(Clone)]
struct Run {
    request: Fingerprint,
    daemon: usize,
    ends_at: Millis,
    began_at: Millis,
    is_repeat: bool,
}

#[derive(Clone, Default)]
struct Server {
    incarnation: u64,
    down_until: Millis,
    runs: Vec<Run>,
}

/// What a play brings.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Ends of back ends under a deadly request.
    pub ends: usize,
    /// Innocent requests that some daemon convicted.
    pub innocent: BTreeSet<Fingerprint>,
    pub served: usize,
    pub asked: usize,
}

pub struct Play {
    pub deadly: u64,
    /// Requests a second: for deadly objects together, one hot object, and rare ones.
    pub rates: [f64; 3],
    /// Moments at which this many back ends crash together, of another cause.
    pub crashes: Vec<(Millis, usize)>,
}

/// What a daemon is told.
enum Told {
    Finding(SharedFinding),
    Trial(SharedCase),
}

struct World<D> {
    daemons: Vec<D>,
    control: D,
    servers: Vec<Server>,
    /// Reports on their way: when, to whom.
    on_way: BTreeMap<(Millis, u64), (usize, Told)>,
    sent: u64,
    outcome: Outcome,
    random: StdRng,
}

impl<D: Decides> World<D> {
    fn report(&mut self, now: Millis, daemon: usize, finding: Finding) {
        let number = self.sent;
        let report = SharedFinding {
            number,
            reporter: daemon as u64,
            finding,
        };
        if D::shares() {
            // It passes them on, and learns of them half a way before the daemons do.
            self.control.take(now, &report);
        }
        for other in 0..DAEMONS {
            if other != daemon && !D::shares() {
                continue;
            }
            // Copies come by several control processes.
            for copy in 0..if other == daemon { 1 } else { 2 } {
                let way = if other == daemon {
                    0
                } else {
                    WAY_MS * (1 + copy)
                };
                self.sent += 1;
                let key = (now + way, self.sent);
                let told = Told::Finding(report.clone());
                self.on_way.insert(key, (other, told));
            }
        }
        self.sent += 1;
    }

    fn deliver(&mut self, now: Millis, play: &Play) {
        while let Some(entry) = self.on_way.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (daemon, told) = entry.remove();
            let report = match told {
                Told::Finding(report) => report,
                Told::Trial(case) => {
                    self.daemons[daemon].merge(now, &case);
                    continue;
                }
            };
            for request in self.daemons[daemon].take(now, &report) {
                if !is_deadly(request, play) {
                    self.outcome.innocent.insert(request);
                }
            }
        }
    }

    fn ask(&mut self, now: Millis, request: Fingerprint) {
        let daemon = self.random.random_range(0..DAEMONS);
        self.outcome.asked += 1;
        let is_owner = request.0 as usize % DAEMONS == daemon;
        match self.daemons[daemon].may_run(now, request, is_owner, &mut self.control) {
            Decision::Runs => self.send(now, daemon, request, false),
            Decision::IsTried(case) => {
                for other in (0..DAEMONS).filter(|other| *other != daemon) {
                    self.sent += 1;
                    let key = (now + WAY_MS, self.sent);
                    let told = Told::Trial(case.clone());
                    self.on_way.insert(key, (other, told));
                }
                self.send(now, daemon, request, false);
            }
            Decision::Held => {}
        }
    }

    fn send(&mut self, now: Millis, daemon: usize, request: Fingerprint, is_repeat: bool) {
        // A key's back end, and the next ones where that is down or full.
        let first = request.0 as usize * 7;
        let candidates = (first..first + BACKENDS).map(|number| number % BACKENDS);
        let is_free = |number: &usize| {
            let server = &self.servers[*number];
            now >= server.down_until && server.runs.len() < SLOTS
        };
        let Some(chosen) = candidates.filter(is_free).nth(0) else {
            return;
        };
        self.daemons[daemon].start(request);
        self.servers[chosen].runs.push(Run {
            request,
            daemon,
            began_at: now,
            ends_at: now + RUN_MS,
            is_repeat,
        });
    }

    /// A back end ends: each daemon that had requests there reports them, and repeats.
    fn end(&mut self, now: Millis, number: usize) {
        let server = &mut self.servers[number];
        let runs = std::mem::take(&mut server.runs);
        let incarnation = server.incarnation;
        server.incarnation += BACKENDS as u64;
        server.down_until = now + RESTART_MS;
        let mut by_daemon: BTreeMap<usize, Vec<Fingerprint>> = BTreeMap::new();
        for run in &runs {
            by_daemon.entry(run.daemon).or_default().push(run.request);
            self.daemons[run.daemon].finish(run.request);
        }
        for (daemon, in_flight_requests) in by_daemon {
            let backend = incarnation;
            self.report(
                now + LOOK_MS,
                daemon,
                Finding::Ended {
                    backend,
                    in_flight_requests,
                },
            );
        }
        for run in runs.iter().filter(|run| !run.is_repeat) {
            if self.daemons[run.daemon].may_repeat(now, run.request, incarnation) {
                self.send(now, run.daemon, run.request, true);
            }
        }
    }

    fn work(&mut self, now: Millis, play: &Play) {
        for number in 0..BACKENDS {
            let done: Vec<Run> = {
                let runs = &mut self.servers[number].runs;
                let done = runs.iter().filter(|run| run.ends_at <= now).cloned();
                done.collect()
            };
            if done.iter().any(|run| is_deadly(run.request, play)) {
                self.outcome.ends += 1;
                self.end(now, number);
                continue;
            }
            self.servers[number].runs.retain(|run| run.ends_at > now);
            for run in done {
                self.outcome.served += 1;
                self.daemons[run.daemon].finish(run.request);
                let daemon = &mut self.daemons[run.daemon];
                if daemon.note_answer(now, run.request, run.began_at) {
                    self.report(now, run.daemon, Finding::Answered(run.request));
                }
            }
        }
    }
}

fn is_deadly(request: Fingerprint, play: &Play) -> bool {
    (DEADLY..DEADLY + play.deadly).contains(&request.0)
}

pub fn play<D: Decides>(play: &Play, seed: u64) -> Outcome {
    let servers = (0..BACKENDS).map(|number| Server {
        incarnation: number as u64,
        ..Server::default()
    });
    let mut world = World::<D> {
        daemons: (0..DAEMONS).map(|own| D::new(own as u64)).collect(),
        control: D::new(u64::MAX),
        servers: servers.collect(),
        on_way: BTreeMap::new(),
        sent: 0,
        outcome: Outcome::default(),
        random: StdRng::seed_from_u64(seed),
    };
    for now in (0..PLAYED_MS).step_by(TICK_MS as usize) {
        world.deliver(now, play);
        world.work(now, play);
        for (at, count) in &play.crashes {
            if *at == now {
                for number in 0..*count {
                    world.end(now, (number * 3) % BACKENDS);
                }
            }
        }
        for (which, rate) in play.rates.iter().enumerate() {
            if world.random.random_bool(rate * TICK_MS as f64 / 1_000.0) {
                let request = match which {
                    0 if play.deadly == 0 || now < DEADLY_FROM_MS => continue,
                    0 => DEADLY + world.random.random_range(0..play.deadly),
                    1 => 0,
                    _ => 1 + world.random.random_range(0..RARE),
                };
                world.ask(now, Fingerprint(request));
            }
        }
    }
    world.outcome
}
