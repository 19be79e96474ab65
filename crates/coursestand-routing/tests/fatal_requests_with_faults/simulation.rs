//! Simulation of daemons and control processes with the faults of a schedule.

use std::collections::BTreeMap;

use coursestand_model::Millis;
use coursestand_routing::{
    FatalRequests, Finding, Fingerprint, SharedCrashRecord, SharedFinding, TrialVerdict,
    WithholdReason,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule::{Crash, Outcome, Schedule, SendKind, SentRequest, Sharing};

const TICK_MS: Millis = 10;
const SIMULATED_MS: Millis = 90_000;
pub const FATAL: Fingerprint = Fingerprint(1);
const HARMLESS_REQUESTS: u64 = 20;
/// Time from the send of a request to its answer or to the crash of its back end.
const RUN_MS: Millis = 150;
/// Time from a crash until the daemon has probed the back end and reports the crash.
pub const CRASH_REPORT_MS: Millis = 10;
/// Time from the recall of a run until the daemon probes its back end.
const RECALL_PROBE_MS: Millis = 250;
/// Maximum latency of a message.
pub const MAX_LATENCY_MS: u64 = 70;
/// Time in which a process restarts or reconnects, or a new leader takes over.
const RECONNECT_MS: Millis = 1_000;
/// Time during which a new leader grants no trials.
const LEADER_GRACE_MS: Millis = 3_000;
/// Consecutive trials of a harmless request that may be wasted by daemons that stop or are
/// disconnected before they report its answer.
const MAX_WASTED_TRIALS: u32 = 2;

struct Daemon {
    incarnation: u64,
    fatal: FatalRequests,
    down_until: Millis,
    /// Time until which it is frozen; messages to it are delayed until then.
    frozen_until: Millis,
    disconnected_until: Millis,
    /// Time from which it is connected to control.
    connected_at: Millis,
    /// Whether it and control have exchanged their crash records since it connected.
    has_synchronized: bool,
    has_records: bool,
}

struct Control {
    fatal: FatalRequests,
    down_until: Millis,
    leads_since: Option<Millis>,
}

/// Receiver of a message: a daemon with its incarnation, or a control process.
#[derive(Clone, Copy)]
enum To {
    Daemon(usize, u64),
    Control(usize),
}

#[derive(Clone)]
enum Message {
    Finding(SharedFinding, usize),
    CrashRecords(Vec<SharedCrashRecord>),
    TrialRequest(SharedCrashRecord, usize),
    Verdict(TrialVerdict),
}

struct Run {
    request: Fingerprint,
    daemon: usize,
    incarnation: u64,
    began_at: Millis,
    sent: SentRequest,
    /// Revision of the request's crash record when it was sent.
    known_revision: u64,
    /// When the daemon closed its connection, if the back end notices that too late.
    closed_at: Option<Millis>,
}

/// A daemon's probe of a back end to which it closed the connection of a recalled run.
struct LateProbe {
    daemon: usize,
    incarnation: u64,
    backend: u64,
}

pub struct Simulation {
    schedule: Schedule,
    sharing: Sharing,
    now: Millis,
    daemons: Vec<Daemon>,
    controls: Vec<Control>,
    in_transit: BTreeMap<(Millis, u64), (To, Message)>,
    runs: BTreeMap<(Millis, u64), Run>,
    late_probes: BTreeMap<(Millis, u64), LateProbe>,
    count: u64,
    outcome: Outcome,
    random: StdRng,
    /// Draws the time until a back end notices a closed connection, apart from all other draws.
    closing_random: StdRng,
}

impl Simulation {
    pub fn new(schedule: Schedule, sharing: Sharing, seed: u64) -> Simulation {
        let daemons = (0..schedule.daemons).map(|number| Daemon {
            incarnation: 0,
            fatal: FatalRequests::new(number as u64),
            down_until: 0,
            frozen_until: 0,
            disconnected_until: 0,
            connected_at: 0,
            has_synchronized: true,
            has_records: true,
        });
        let controls = (0..schedule.controls).map(|number| Control {
            fatal: FatalRequests::new(1_000 + number as u64),
            down_until: 0,
            leads_since: None,
        });
        Simulation {
            schedule,
            sharing,
            now: 0,
            daemons: daemons.collect(),
            controls: controls.collect(),
            in_transit: BTreeMap::new(),
            runs: BTreeMap::new(),
            late_probes: BTreeMap::new(),
            count: 0,
            outcome: Outcome::default(),
            random: StdRng::seed_from_u64(seed),
            closing_random: StdRng::seed_from_u64(!seed),
        }
    }

    fn key(&mut self, at: Millis) -> (Millis, u64) {
        self.count += 1;
        (at, self.count)
    }

    fn send(&mut self, to: To, message: Message) {
        let latency_ms = self.random.random_range(1..=MAX_LATENCY_MS);
        let key = self.key(self.now + latency_ms);
        self.in_transit.insert(key, (to, message));
    }

    fn is_connected(&self, daemon: usize) -> bool {
        let state = &self.daemons[daemon];
        let running = self
            .controls
            .iter()
            .filter(|control| control.down_until <= self.now);
        self.now >= state.disconnected_until
            && self.now >= state.connected_at
            && running.count() > self.controls.len() / 2
    }

    /// Reconnects the daemon: both sides send their crash records.
    fn synchronize(&mut self, daemon: usize) {
        if self.sharing == Sharing::Findings {
            return;
        }
        for control in 0..self.controls.len() {
            if self.controls[control].down_until > self.now {
                continue;
            }
            let records = self.controls[control].fatal.snapshot(self.now);
            for record in &records {
                // Records are received before the catalog, and so before the first request.
                self.daemons[daemon].fatal.merge(self.now, record);
            }
            let records = self.daemons[daemon].fatal.snapshot(self.now);
            self.send(To::Control(control), Message::CrashRecords(records));
        }
    }

    fn report(&mut self, daemon: usize, finding: Finding) {
        let number = self.random.random();
        let reporter = daemon as u64;
        let shared = SharedFinding {
            number,
            reporter,
            finding,
        };
        self.daemons[daemon].fatal.apply_finding(self.now, &shared);
        if !self.is_connected(daemon) {
            return;
        }
        for control in 0..self.controls.len() {
            if !self.random.random_bool(self.schedule.loss) {
                let message = Message::Finding(shared.clone(), daemon);
                self.send(To::Control(control), message);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, message) = entry.remove();
            match to {
                To::Daemon(daemon, incarnation) => {
                    let state = &self.daemons[daemon];
                    if state.incarnation != incarnation || state.disconnected_until > self.now {
                        continue;
                    }
                    if state.frozen_until > self.now {
                        let key = self.key(state.frozen_until);
                        self.in_transit.insert(key, (to, message));
                        continue;
                    }
                    self.deliver_to_daemon(daemon, message);
                }
                To::Control(control) if self.controls[control].down_until <= self.now => {
                    self.deliver_to_control(control, message);
                }
                To::Control(_) => {}
            }
        }
    }

    fn deliver_to_daemon(&mut self, daemon: usize, message: Message) {
        let now = self.now;
        let fatal = &mut self.daemons[daemon].fatal;
        match message {
            Message::Finding(finding, _) => {
                fatal.apply_finding(now, &finding);
            }
            Message::CrashRecords(records) => {
                for record in &records {
                    fatal.merge(now, record);
                }
            }
            Message::Verdict(TrialVerdict::Granted(record)) => {
                fatal.merge(now, &record);
                fatal.grant_permit(now, record.request);
                let request = record.request;
                for control in 0..self.controls.len() {
                    self.send(
                        To::Control(control),
                        Message::CrashRecords(vec![record.clone()]),
                    );
                }
                self.try_to_run(daemon, request);
            }
            Message::Verdict(TrialVerdict::Refused(record)) => {
                fatal.merge(now, &record);
            }
            Message::Verdict(TrialVerdict::Cleared(request)) => {
                fatal.clear(now, request);
            }
            Message::TrialRequest(..) => {}
        }
    }

    fn deliver_to_control(&mut self, control: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Finding(finding, from) => {
                self.controls[control].fatal.apply_finding(now, &finding);
                self.forward(from, Message::Finding(finding, from));
            }
            Message::CrashRecords(records) => {
                let fatal = &mut self.controls[control].fatal;
                let is_new = |record: &&SharedCrashRecord| !fatal.merge(now, record).is_empty();
                let changed: Vec<SharedCrashRecord> =
                    records.iter().filter(is_new).cloned().collect();
                if !changed.is_empty() {
                    self.forward(usize::MAX, Message::CrashRecords(changed));
                }
            }
            Message::TrialRequest(record, daemon) => {
                let control = &mut self.controls[control];
                control.fatal.merge(now, &record);
                let may_grant = control
                    .leads_since
                    .is_some_and(|since| now >= since + LEADER_GRACE_MS);
                if !may_grant {
                    return;
                }
                let verdict = control.fatal.grant_trial(now, record.request);
                if let TrialVerdict::Granted(record) = &verdict {
                    self.forward(daemon, Message::CrashRecords(vec![record.clone()]));
                }
                let incarnation = self.daemons[daemon].incarnation;
                self.send(To::Daemon(daemon, incarnation), Message::Verdict(verdict));
            }
            Message::Verdict(_) => {}
        }
    }

    fn forward(&mut self, from: usize, message: Message) {
        for daemon in 0..self.daemons.len() {
            let is_lost = self.random.random_bool(self.schedule.loss);
            if daemon != from && !is_lost && self.is_connected(daemon) {
                let incarnation = self.daemons[daemon].incarnation;
                self.send(To::Daemon(daemon, incarnation), message.clone());
            }
        }
    }

    fn receive(&mut self, request: Fingerprint) {
        let daemon = self.random.random_range(0..self.daemons.len());
        let state = &self.daemons[daemon];
        // A daemon receives the catalog after the crash records, and serves nothing before.
        let has_catalog = state.has_records || self.sharing == Sharing::Findings;
        if state.down_until > self.now || state.frozen_until > self.now || !has_catalog {
            return;
        }
        self.try_to_run(daemon, request);
    }

    fn try_to_run(&mut self, daemon: usize, request: Fingerprint) {
        let now = self.now;
        let is_connected = self.is_connected(daemon);
        let is_owner = !is_connected || request.0 as usize % self.daemons.len() == daemon;
        let state = &mut self.daemons[daemon];
        state.fatal.set_connected(is_connected);
        match state.fatal.may_run(now, request, is_owner) {
            Ok(()) => {
                let kind = match state.fatal.take_permit(now, request) {
                    true => SendKind::Trial,
                    false => SendKind::First,
                };
                self.start_run(daemon, request, kind);
            }
            Err(WithholdReason::NeedsTrial { .. }) if self.sharing == Sharing::Findings => {
                // The owner runs the trial without a grant.
                if is_owner {
                    self.start_run(daemon, request, SendKind::First);
                }
            }
            Err(WithholdReason::NeedsTrial { .. }) if is_connected => {
                let record = state.fatal.shared(now, request).expect("a crash record");
                for control in 0..self.controls.len() {
                    let message = Message::TrialRequest(record.clone(), daemon);
                    self.send(To::Control(control), message);
                }
            }
            Err(_) => {}
        }
    }

    fn start_run(&mut self, daemon: usize, request: Fingerprint, kind: SendKind) {
        let now = self.now;
        let is_connected = self.is_connected(daemon);
        let state = &mut self.daemons[daemon];
        let view = state.fatal.view(now, request);
        let sent = SentRequest {
            at: now,
            kind,
            is_connected,
            known_crashes: view.map_or(0, |view| view.ends),
            known_quarantines: view.map_or(0, |view| view.convictions),
        };
        state.fatal.start(request);
        let incarnation = state.incarnation;
        if request == FATAL && is_connected {
            self.outcome.sends.push(now);
        }
        let run = Run {
            request,
            daemon,
            incarnation,
            began_at: now,
            sent,
            known_revision: state.fatal.revision(request),
            closed_at: None,
        };
        let key = self.key(now + RUN_MS);
        self.runs.insert(key, run);
    }

    fn complete_runs(&mut self) {
        while let Some(entry) = self.runs.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (_, backend) = *entry.key();
            let run = entry.remove();
            if run.request == FATAL {
                let is_reported = self.daemons[run.daemon].incarnation == run.incarnation
                    && self.is_connected(run.daemon);
                self.outcome.crashes.push(Crash {
                    at: self.now,
                    sent: run.sent,
                    is_reported,
                });
            }
            let is_connected = self.is_connected(run.daemon);
            let state = &mut self.daemons[run.daemon];
            if state.incarnation != run.incarnation {
                continue;
            }
            state.fatal.set_connected(is_connected);
            if let Some(closed_at) = run.closed_at {
                let probe = LateProbe {
                    daemon: run.daemon,
                    incarnation: run.incarnation,
                    backend,
                };
                let key = self.key(closed_at + RECALL_PROBE_MS);
                self.late_probes.insert(key, probe);
                continue;
            }
            state.fatal.finish(run.request);
            if run.request != FATAL {
                let now = self.now;
                if state.fatal.note_answer(now, run.request, run.began_at) {
                    self.report(run.daemon, Finding::Answered(run.request));
                }
                continue;
            }
            // A harmless request was in flight there as well.
            let harmless = Fingerprint(2 + self.random.random_range(0..HARMLESS_REQUESTS));
            let may_repeat = (state.has_records || self.sharing == Sharing::Findings)
                && run.sent.kind != SendKind::Repeat
                && state.fatal.may_repeat(self.now, FATAL, &[backend]).is_ok();
            let in_flight_requests = vec![FATAL, harmless];
            if self.is_connected(run.daemon) {
                self.outcome.reported_crashes.push(self.now);
            }
            self.now += CRASH_REPORT_MS;
            self.report(
                run.daemon,
                Finding::Ended {
                    backend,
                    in_flight_requests,
                },
            );
            self.now -= CRASH_REPORT_MS;
            if may_repeat {
                self.start_run(run.daemon, FATAL, SendKind::Repeat);
            }
        }
    }

    /// Closes the runs whose request turns out to crash back ends. A back end that notices it
    /// before the end of the run survives; otherwise a later probe finds the crash.
    fn recall_runs(&mut self) {
        if self.sharing == Sharing::Findings {
            return;
        }
        let runs = self.runs.iter();
        let recalled = runs.filter(|(_, run)| self.is_recalled(run));
        let recalled: Vec<(Millis, u64)> = recalled.map(|(key, _)| *key).collect();
        for key in recalled {
            let noticed_ms = self.closing_random.random_range(1..=MAX_LATENCY_MS);
            let Some(mut run) = self.runs.remove(&key) else {
                continue;
            };
            self.daemons[run.daemon].fatal.finish(run.request);
            self.outcome.recalled_harmless += usize::from(run.request != FATAL);
            if self.now + noticed_ms >= key.0 {
                run.closed_at = Some(self.now);
                self.runs.insert(key, run);
            }
        }
    }

    /// Reports the crashes that probes find after recalled runs.
    fn probe_recalled(&mut self) {
        while let Some(entry) = self.late_probes.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let probe = entry.remove();
            let state = &self.daemons[probe.daemon];
            if state.incarnation != probe.incarnation {
                continue;
            }
            if state.frozen_until > self.now {
                let key = self.key(state.frozen_until);
                self.late_probes.insert(key, probe);
                continue;
            }
            let finding = Finding::Ended {
                backend: probe.backend,
                in_flight_requests: vec![FATAL],
            };
            self.report(probe.daemon, finding);
        }
    }

    fn is_recalled(&self, run: &Run) -> bool {
        let state = &self.daemons[run.daemon];
        let is_running = state.incarnation == run.incarnation && state.frozen_until <= self.now;
        let may_repeat = run.sent.kind == SendKind::First;
        is_running
            && run.closed_at.is_none()
            && run.sent.kind != SendKind::Trial
            && state
                .fatal
                .is_recalled(run.request, run.known_revision, may_repeat)
    }

    /// Draws whether an event with this mean time between occurrences happens in this tick.
    fn happens(&mut self, mean_ms: f64) -> bool {
        mean_ms > 0.0 && self.random.random_bool(TICK_MS as f64 / mean_ms)
    }

    fn inject_faults(&mut self) {
        let now = self.now;
        let schedule = self.schedule;
        let index = self.random.random_range(0..self.daemons.len());
        let duration_ms = self.random.random_range(500..4_000);
        if self.happens(schedule.kills_ms) && self.daemons[index].down_until <= now {
            let state = &mut self.daemons[index];
            state.incarnation += 1;
            state.fatal = FatalRequests::new(index as u64);
            state.down_until = now + RECONNECT_MS;
            state.connected_at = now + RECONNECT_MS;
            state.has_synchronized = false;
            state.has_records = false;
        }
        if self.happens(schedule.disconnects_ms) {
            let state = &mut self.daemons[index];
            state.disconnected_until = now + duration_ms;
            state.connected_at = now + duration_ms + RECONNECT_MS;
            state.has_synchronized = false;
        }
        if self.happens(schedule.freezes_ms) {
            self.daemons[index].frozen_until = now + duration_ms;
        }
        let index = self.random.random_range(0..self.controls.len());
        if self.happens(schedule.control_kills_ms) {
            let control = &mut self.controls[index];
            control.fatal = FatalRequests::new(1_000 + index as u64);
            control.down_until = now + RECONNECT_MS;
            control.leads_since = None;
            for daemon in 0..self.daemons.len() {
                // The daemons reconnect once it has restarted.
                let key = self.key(now + RECONNECT_MS);
                let records = self.daemons[daemon].fatal.snapshot(now);
                if self.sharing == Sharing::CrashRecords {
                    let message = (To::Control(index), Message::CrashRecords(records));
                    self.in_transit.insert(key, message);
                }
            }
        }
        for daemon in 0..self.daemons.len() {
            let state = &mut self.daemons[daemon];
            if !state.has_synchronized && now >= state.connected_at {
                state.has_synchronized = true;
                state.has_records = true;
                self.synchronize(daemon);
            }
        }
        self.elect_leader();
    }

    /// Elects the first running process, which leads a second after its predecessor stopped.
    fn elect_leader(&mut self) {
        let now = self.now;
        let is_up = |control: &Control| control.down_until <= now;
        let leader = self.controls.iter().position(is_up);
        for (number, control) in self.controls.iter_mut().enumerate() {
            if Some(number) != leader {
                control.leads_since = None;
            } else if control.leads_since.is_none() {
                control.leads_since = Some(if now == 0 { 0 } else { now + RECONNECT_MS });
            }
        }
    }

    pub fn run(mut self) -> Outcome {
        while self.now < SIMULATED_MS {
            self.inject_faults();
            self.deliver();
            self.recall_runs();
            self.complete_runs();
            self.probe_recalled();
            if self
                .random
                .random_bool(self.schedule.rate * TICK_MS as f64 / 1_000.0)
            {
                self.receive(FATAL);
            }
            let harmless = Fingerprint(2 + self.random.random_range(0..HARMLESS_REQUESTS));
            if self.random.random_bool(0.2) {
                self.receive(harmless);
            }
            self.now += TICK_MS;
        }
        for daemon in &self.daemons {
            let views = daemon.fatal.views(self.now).into_iter();
            let harmless = views.clone().filter(|record| record.request != FATAL);
            let max_quarantines = harmless.map(|record| record.convictions).max().unwrap_or(0);
            self.outcome.max_harmless_quarantines =
                self.outcome.max_harmless_quarantines.max(max_quarantines);
            let quarantined = views
                .filter(|record| record.request != FATAL && record.convictions > MAX_WASTED_TRIALS);
            self.outcome.quarantined_harmless += quarantined.count();
        }
        self.outcome
    }
}
