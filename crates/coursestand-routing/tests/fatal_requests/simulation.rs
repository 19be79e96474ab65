//! Simulation of twelve daemons, twenty back ends and callers, for different policies that
//! decide which requests are sent.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::Millis;
use coursestand_routing::fatal_requests::CrashRecordUpdate;
use coursestand_routing::{
    FatalRequests, Finding, Fingerprint, SharedCrashRecord, SharedFinding, TrialVerdict,
    WithholdReason,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DAEMONS: usize = 12;
const BACKENDS: usize = 20;
const SLOTS_PER_BACKEND: usize = 6;
const TICK_MS: Millis = 10;
/// Duration of a run of a request.
const RUN_MS: Millis = 150;
/// Latency of a message from a daemon through control to the others.
const MESSAGE_LATENCY_MS: Millis = 30;
/// Time from a crash until the daemon has probed the back end and reports the crash.
const CRASH_REPORT_MS: Millis = 10;
const RESTART_MS: Millis = 5_000;
const SIMULATED_MS: Millis = 30_000;
const FATAL: u64 = 1_000;
/// Time of the first fatal requests. By then daemons have counted the frequent answers.
const FATAL_FROM_MS: Millis = 3_000;
const RARE_REQUESTS: u64 = 400;

pub enum Decision {
    Runs,
    /// The request runs as a trial, and the other daemons are notified.
    Trial(SharedCrashRecord),
    Withheld,
}

impl From<bool> for Decision {
    fn from(runs: bool) -> Decision {
        if runs {
            Decision::Runs
        } else {
            Decision::Withheld
        }
    }
}

/// Policy by which one daemon decides which requests are sent.
pub trait RequestPolicy {
    fn new(own_hash: u64) -> Self;
    /// `control` grants trials.
    fn may_run(
        &mut self,
        now: Millis,
        request: Fingerprint,
        is_owner: bool,
        control: &mut Self,
    ) -> Decision;
    /// Applies the notice of control that it granted a trial to another daemon.
    fn merge(&mut self, now: Millis, record: &SharedCrashRecord);
    /// Returns whether the request may be sent again after its connection to `broken_backend`
    /// broke.
    fn may_repeat(&self, now: Millis, request: Fingerprint, broken_backend: u64) -> bool;
    fn start(&mut self, request: Fingerprint);
    fn finish(&mut self, request: Fingerprint);
    fn note_answer(&mut self, now: Millis, request: Fingerprint, began_at: Millis) -> bool;
    /// Applies a report. Returns the requests that it quarantines.
    fn apply_finding(&mut self, now: Millis, report: &SharedFinding) -> Vec<Fingerprint>;
    /// Returns whether reports are sent to the other daemons.
    fn shares_reports() -> bool;
}

impl RequestPolicy for FatalRequests {
    fn new(own_hash: u64) -> Self {
        FatalRequests::new(own_hash)
    }
    fn may_run(
        &mut self,
        now: Millis,
        request: Fingerprint,
        is_owner: bool,
        control: &mut Self,
    ) -> Decision {
        match FatalRequests::may_run(self, now, request, is_owner) {
            Err(WithholdReason::NeedsTrial { .. }) => {
                let record = self.shared(now, request).expect("a crash record");
                control.merge(now, &record);
                match control.grant_trial(now, request) {
                    TrialVerdict::Granted(record) => {
                        FatalRequests::merge(self, now, &record);
                        Decision::Trial(record)
                    }
                    TrialVerdict::Refused(record) => {
                        FatalRequests::merge(self, now, &record);
                        Decision::Withheld
                    }
                    TrialVerdict::Cleared(request) => {
                        self.clear(now, request);
                        Decision::Withheld
                    }
                }
            }
            verdict => verdict.is_ok().into(),
        }
    }
    fn merge(&mut self, now: Millis, record: &SharedCrashRecord) {
        FatalRequests::merge(self, now, record);
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
    fn apply_finding(&mut self, now: Millis, report: &SharedFinding) -> Vec<Fingerprint> {
        let updates = FatalRequests::apply_finding(self, now, report).into_iter();
        updates
            .filter_map(|update| match update {
                CrashRecordUpdate::Quarantined { request, .. } => Some(request),
                CrashRecordUpdate::Cleared { .. } | CrashRecordUpdate::Crash(_) => None,
            })
            .collect()
    }
    fn shares_reports() -> bool {
        true
    }
}

/// Naive policy: three crashes observed by the daemon itself quarantine a request for good.
#[derive(Default)]
pub struct LocalCrashCounter(BTreeMap<Fingerprint, u32>);

impl RequestPolicy for LocalCrashCounter {
    fn new(_: u64) -> Self {
        LocalCrashCounter::default()
    }
    fn may_run(&mut self, _: Millis, request: Fingerprint, _: bool, _: &mut Self) -> Decision {
        self.0
            .get(&request)
            .is_none_or(|crashes| *crashes < 3)
            .into()
    }
    fn merge(&mut self, _: Millis, _: &SharedCrashRecord) {}
    fn may_repeat(&self, _: Millis, request: Fingerprint, _: u64) -> bool {
        self.0.get(&request).is_none_or(|crashes| *crashes < 3)
    }
    fn start(&mut self, _: Fingerprint) {}
    fn finish(&mut self, _: Fingerprint) {}
    fn note_answer(&mut self, _: Millis, _: Fingerprint, _: Millis) -> bool {
        false
    }
    fn apply_finding(&mut self, _: Millis, report: &SharedFinding) -> Vec<Fingerprint> {
        let Finding::Ended {
            in_flight_requests, ..
        } = &report.finding
        else {
            return Vec::new();
        };
        let mut quarantined = Vec::new();
        for request in in_flight_requests.iter().collect::<BTreeSet<_>>() {
            let crashes = self.0.entry(*request).or_default();
            *crashes += 1;
            quarantined.extend((*crashes == 3).then_some(*request));
        }
        quarantined
    }
    fn shares_reports() -> bool {
        false
    }
}

#[derive(Clone)]
struct Run {
    request: Fingerprint,
    daemon: usize,
    finishes_at: Millis,
    began_at: Millis,
    is_repeat: bool,
}

#[derive(Clone, Default)]
struct SimulatedBackend {
    incarnation: u64,
    down_until: Millis,
    runs: Vec<Run>,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Crashes of back ends caused by a fatal request.
    pub crashes: usize,
    /// Harmless requests that at least one daemon quarantined.
    pub quarantined_harmless: BTreeSet<Fingerprint>,
    pub served: usize,
    pub requested: usize,
}

pub struct Scenario {
    pub fatal_requests: u64,
    /// Requests per second: for the fatal objects together, one hot object, and rare ones.
    pub rates: [f64; 3],
    /// Times at which this many back ends crash together for another reason.
    pub crashes: Vec<(Millis, usize)>,
}

/// Message to a daemon.
enum Message {
    Finding(SharedFinding),
    Trial(SharedCrashRecord),
}

struct Simulation<D> {
    daemons: Vec<D>,
    control: D,
    backends: Vec<SimulatedBackend>,
    /// Messages in transit by time of arrival, with the receiver.
    in_transit: BTreeMap<(Millis, u64), (usize, Message)>,
    message_count: u64,
    outcome: Outcome,
    random: StdRng,
}

impl<D: RequestPolicy> Simulation<D> {
    fn report(&mut self, now: Millis, daemon: usize, finding: Finding) {
        let number = self.message_count;
        let report = SharedFinding {
            number,
            reporter: daemon as u64,
            finding,
        };
        if D::shares_reports() {
            // Control forwards reports, and so receives them before the daemons do.
            self.control.apply_finding(now, &report);
        }
        for other in 0..DAEMONS {
            if other != daemon && !D::shares_reports() {
                continue;
            }
            // Several control processes forward a copy each.
            for copy in 0..if other == daemon { 1 } else { 2 } {
                let latency_ms = if other == daemon {
                    0
                } else {
                    MESSAGE_LATENCY_MS * (1 + copy)
                };
                self.message_count += 1;
                let key = (now + latency_ms, self.message_count);
                let message = Message::Finding(report.clone());
                self.in_transit.insert(key, (other, message));
            }
        }
        self.message_count += 1;
    }

    fn deliver(&mut self, now: Millis, scenario: &Scenario) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (daemon, message) = entry.remove();
            let report = match message {
                Message::Finding(report) => report,
                Message::Trial(record) => {
                    self.daemons[daemon].merge(now, &record);
                    continue;
                }
            };
            for request in self.daemons[daemon].apply_finding(now, &report) {
                if !is_fatal(request, scenario) {
                    self.outcome.quarantined_harmless.insert(request);
                }
            }
        }
    }

    fn receive(&mut self, now: Millis, request: Fingerprint) {
        let daemon = self.random.random_range(0..DAEMONS);
        self.outcome.requested += 1;
        let is_owner = request.0 as usize % DAEMONS == daemon;
        match self.daemons[daemon].may_run(now, request, is_owner, &mut self.control) {
            Decision::Runs => self.send(now, daemon, request, false),
            Decision::Trial(record) => {
                for other in (0..DAEMONS).filter(|other| *other != daemon) {
                    self.message_count += 1;
                    let key = (now + MESSAGE_LATENCY_MS, self.message_count);
                    let message = Message::Trial(record.clone());
                    self.in_transit.insert(key, (other, message));
                }
                self.send(now, daemon, request, false);
            }
            Decision::Withheld => {}
        }
    }

    fn send(&mut self, now: Millis, daemon: usize, request: Fingerprint, is_repeat: bool) {
        // The back end of the key, or the next one that is up and has a free slot.
        let first = request.0 as usize * 7;
        let candidates = (first..first + BACKENDS).map(|number| number % BACKENDS);
        let is_free = |number: &usize| {
            let backend = &self.backends[*number];
            now >= backend.down_until && backend.runs.len() < SLOTS_PER_BACKEND
        };
        let Some(number) = candidates.filter(is_free).nth(0) else {
            return;
        };
        self.daemons[daemon].start(request);
        self.backends[number].runs.push(Run {
            request,
            daemon,
            began_at: now,
            finishes_at: now + RUN_MS,
            is_repeat,
        });
    }

    /// Crashes a back end. Each daemon with requests there reports them and may repeat them.
    fn crash(&mut self, now: Millis, number: usize) {
        let backend = &mut self.backends[number];
        let runs = std::mem::take(&mut backend.runs);
        let incarnation = backend.incarnation;
        backend.incarnation += BACKENDS as u64;
        backend.down_until = now + RESTART_MS;
        let mut by_daemon: BTreeMap<usize, Vec<Fingerprint>> = BTreeMap::new();
        for run in &runs {
            by_daemon.entry(run.daemon).or_default().push(run.request);
            self.daemons[run.daemon].finish(run.request);
        }
        for (daemon, in_flight_requests) in by_daemon {
            let backend = incarnation;
            self.report(
                now + CRASH_REPORT_MS,
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

    fn complete_runs(&mut self, now: Millis, scenario: &Scenario) {
        for number in 0..BACKENDS {
            let done: Vec<Run> = {
                let runs = &mut self.backends[number].runs;
                let done = runs.iter().filter(|run| run.finishes_at <= now).cloned();
                done.collect()
            };
            if done.iter().any(|run| is_fatal(run.request, scenario)) {
                self.outcome.crashes += 1;
                self.crash(now, number);
                continue;
            }
            self.backends[number]
                .runs
                .retain(|run| run.finishes_at > now);
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

fn is_fatal(request: Fingerprint, scenario: &Scenario) -> bool {
    (FATAL..FATAL + scenario.fatal_requests).contains(&request.0)
}

pub fn run_scenario<D: RequestPolicy>(scenario: &Scenario, seed: u64) -> Outcome {
    let backends = (0..BACKENDS).map(|number| SimulatedBackend {
        incarnation: number as u64,
        ..SimulatedBackend::default()
    });
    let mut simulation = Simulation::<D> {
        daemons: (0..DAEMONS)
            .map(|own_hash| D::new(own_hash as u64))
            .collect(),
        control: D::new(u64::MAX),
        backends: backends.collect(),
        in_transit: BTreeMap::new(),
        message_count: 0,
        outcome: Outcome::default(),
        random: StdRng::seed_from_u64(seed),
    };
    for now in (0..SIMULATED_MS).step_by(TICK_MS as usize) {
        simulation.deliver(now, scenario);
        simulation.complete_runs(now, scenario);
        for (at, count) in &scenario.crashes {
            if *at == now {
                for number in 0..*count {
                    simulation.crash(now, (number * 3) % BACKENDS);
                }
            }
        }
        for (kind, rate) in scenario.rates.iter().enumerate() {
            if simulation
                .random
                .random_bool(rate * TICK_MS as f64 / 1_000.0)
            {
                let request = match kind {
                    0 if scenario.fatal_requests == 0 || now < FATAL_FROM_MS => continue,
                    0 => FATAL + simulation.random.random_range(0..scenario.fatal_requests),
                    1 => 0,
                    _ => 1 + simulation.random.random_range(0..RARE_REQUESTS),
                };
                simulation.receive(now, Fingerprint(request));
            }
        }
    }
    simulation.outcome
}
