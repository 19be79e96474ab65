//! Daemons and control processes with lives, and the faults of a schedule.

use std::collections::BTreeMap;

use coursestand_model::Millis;
use coursestand_routing::{
    FatalRequests, Finding, Fingerprint, Held, SharedCase, SharedFinding, TrialVerdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule::{End, Outcome, Schedule, SendKind, SentRequest, Sharing};

const TICK_MS: Millis = 10;
const PLAYED_MS: Millis = 90_000;
pub const DEADLY: Fingerprint = Fingerprint(1);
const INNOCENTS: u64 = 20;
/// From a request's sending to the end of its back end, or to its answer.
const RUN_MS: Millis = 150;
/// From an end to the moment at which the daemon has looked.
pub const LOOK_MS: Millis = 10;
/// Longest way of a message.
pub const WAY_MS: u64 = 70;
/// Time in which a daemon notices that it is cut off, or connects anew.
const NOTICES_MS: Millis = 1_000;
/// A leader grants nothing before.
const SETTLING_MS: Millis = 3_000;
/// Trials of an innocent request that may be wasted one after the other, by daemons that end
/// or are cut off before they can tell of its answer.
const MOST_WASTED_TRIALS: u32 = 2;

struct Daemon {
    life: u64,
    fatal: FatalRequests,
    down_until: Millis,
    /// It stands still until then; what arrives waits.
    stopped_until: Millis,
    cut_until: Millis,
    /// Connected with control since.
    connected_at: Millis,
    /// Both sides have handed over since then.
    has_handed_over: bool,
    is_informed: bool,
}

struct Control {
    fatal: FatalRequests,
    down_until: Millis,
    leads_since: Option<Millis>,
}

/// To whom a message goes.
#[derive(Clone, Copy)]
enum To {
    Daemon(usize, u64),
    Control(usize),
}

#[derive(Clone)]
enum Message {
    Finding(SharedFinding, usize),
    Cases(Vec<SharedCase>),
    Ask(SharedCase, usize),
    Verdict(TrialVerdict),
}

struct Run {
    request: Fingerprint,
    daemon: usize,
    life: u64,
    began_at: Millis,
    sent: SentRequest,
}

pub struct World {
    schedule: Schedule,
    sharing: Sharing,
    now: Millis,
    daemons: Vec<Daemon>,
    controls: Vec<Control>,
    on_way: BTreeMap<(Millis, u64), (To, Message)>,
    runs: BTreeMap<(Millis, u64), Run>,
    count: u64,
    outcome: Outcome,
    random: StdRng,
}

impl World {
    pub fn new(schedule: Schedule, sharing: Sharing, seed: u64) -> World {
        let daemons = (0..schedule.daemons).map(|number| Daemon {
            life: 0,
            fatal: FatalRequests::new(number as u64),
            down_until: 0,
            stopped_until: 0,
            cut_until: 0,
            connected_at: 0,
            has_handed_over: true,
            is_informed: true,
        });
        let controls = (0..schedule.controls).map(|number| Control {
            fatal: FatalRequests::new(1_000 + number as u64),
            down_until: 0,
            leads_since: None,
        });
        World {
            schedule,
            sharing,
            now: 0,
            daemons: daemons.collect(),
            controls: controls.collect(),
            on_way: BTreeMap::new(),
            runs: BTreeMap::new(),
            count: 0,
            outcome: Outcome::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn key(&mut self, at: Millis) -> (Millis, u64) {
        self.count += 1;
        (at, self.count)
    }

    fn send(&mut self, to: To, message: Message) {
        let way = self.random.random_range(1..=WAY_MS);
        let key = self.key(self.now + way);
        self.on_way.insert(key, (to, message));
    }

    fn is_connected(&self, daemon: usize) -> bool {
        let one = &self.daemons[daemon];
        let running = self
            .controls
            .iter()
            .filter(|one| one.down_until <= self.now);
        self.now >= one.cut_until
            && self.now >= one.connected_at
            && running.count() > self.controls.len() / 2
    }

    /// The daemon is connected anew: both sides hand over what they know.
    fn connect(&mut self, daemon: usize) {
        if self.sharing == Sharing::Findings {
            return;
        }
        for control in 0..self.controls.len() {
            if self.controls[control].down_until > self.now {
                continue;
            }
            let told = self.controls[control].fatal.told(self.now);
            for case in &told {
                // It comes before the catalog, and so before the first request.
                self.daemons[daemon].fatal.merge(self.now, case);
            }
            let told = self.daemons[daemon].fatal.told(self.now);
            self.send(To::Control(control), Message::Cases(told));
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
        self.daemons[daemon].fatal.take(self.now, &shared);
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
        while let Some(entry) = self.on_way.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, message) = entry.remove();
            match to {
                To::Daemon(daemon, life) => {
                    let one = &self.daemons[daemon];
                    if one.life != life || one.cut_until > self.now {
                        continue;
                    }
                    if one.stopped_until > self.now {
                        let key = self.key(one.stopped_until);
                        self.on_way.insert(key, (to, message));
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
                fatal.take(now, &finding);
            }
            Message::Cases(cases) => {
                for case in &cases {
                    fatal.merge(now, case);
                }
            }
            Message::Verdict(TrialVerdict::Granted(case)) => {
                fatal.merge(now, &case);
                fatal.permit(now, case.request);
                let request = case.request;
                for control in 0..self.controls.len() {
                    self.send(To::Control(control), Message::Cases(vec![case.clone()]));
                }
                self.try_to_run(daemon, request);
            }
            Message::Verdict(TrialVerdict::Refused(case)) => {
                fatal.merge(now, &case);
            }
            Message::Verdict(TrialVerdict::Cleared(request)) => {
                fatal.clear(now, request);
            }
            Message::Ask(..) => {}
        }
    }

    fn deliver_to_control(&mut self, control: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Finding(finding, from) => {
                self.controls[control].fatal.take(now, &finding);
                self.pass_on(from, Message::Finding(finding, from));
            }
            Message::Cases(cases) => {
                let fatal = &mut self.controls[control].fatal;
                let is_news = |case: &&SharedCase| !fatal.merge(now, case).is_empty();
                let news: Vec<SharedCase> = cases.iter().filter(is_news).cloned().collect();
                if !news.is_empty() {
                    self.pass_on(usize::MAX, Message::Cases(news));
                }
            }
            Message::Ask(case, daemon) => {
                let one = &mut self.controls[control];
                one.fatal.merge(now, &case);
                let is_settled = one
                    .leads_since
                    .is_some_and(|since| now >= since + SETTLING_MS);
                if !is_settled {
                    return;
                }
                let verdict = one.fatal.grant_trial(now, case.request);
                if let TrialVerdict::Granted(case) = &verdict {
                    self.pass_on(daemon, Message::Cases(vec![case.clone()]));
                }
                let life = self.daemons[daemon].life;
                self.send(To::Daemon(daemon, life), Message::Verdict(verdict));
            }
            Message::Verdict(_) => {}
        }
    }

    fn pass_on(&mut self, from: usize, message: Message) {
        for daemon in 0..self.daemons.len() {
            let is_lost = self.random.random_bool(self.schedule.loss);
            if daemon != from && !is_lost && self.is_connected(daemon) {
                let life = self.daemons[daemon].life;
                self.send(To::Daemon(daemon, life), message.clone());
            }
        }
    }

    fn ask(&mut self, request: Fingerprint) {
        let daemon = self.random.random_range(0..self.daemons.len());
        let one = &self.daemons[daemon];
        if one.down_until > self.now || one.stopped_until > self.now {
            return;
        }
        self.try_to_run(daemon, request);
    }

    fn try_to_run(&mut self, daemon: usize, request: Fingerprint) {
        let now = self.now;
        let is_connected = self.is_connected(daemon);
        let is_owner = !is_connected || request.0 as usize % self.daemons.len() == daemon;
        let one = &mut self.daemons[daemon];
        match one.fatal.may_run(now, request, is_owner) {
            Ok(()) => {
                let kind = match one.fatal.use_permit(now, request) {
                    true => SendKind::Trial,
                    false => SendKind::First,
                };
                self.run(daemon, request, kind);
            }
            Err(Held::NeedsTrial { .. }) if self.sharing == Sharing::Findings => {
                // Each owner by itself.
                if is_owner {
                    self.run(daemon, request, SendKind::First);
                }
            }
            Err(Held::NeedsTrial { .. }) if is_connected => {
                let case = one.fatal.shared(now, request).expect("a case");
                for control in 0..self.controls.len() {
                    let ask = Message::Ask(case.clone(), daemon);
                    self.send(To::Control(control), ask);
                }
            }
            Err(_) => {}
        }
    }

    fn run(&mut self, daemon: usize, request: Fingerprint, kind: SendKind) {
        let now = self.now;
        let is_connected = self.is_connected(daemon);
        let one = &mut self.daemons[daemon];
        let view = one.fatal.view(now, request);
        let sent = SentRequest {
            at: now,
            kind,
            is_connected,
            known_ends: view.map_or(0, |view| view.ends),
            known_convictions: view.map_or(0, |view| view.convictions),
        };
        one.fatal.start(request);
        let life = one.life;
        if request == DEADLY && is_connected {
            self.outcome.sends.push(now);
        }
        let run = Run {
            request,
            daemon,
            life,
            began_at: now,
            sent,
        };
        let key = self.key(now + RUN_MS);
        self.runs.insert(key, run);
    }

    fn work(&mut self) {
        while let Some(entry) = self.runs.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (_, backend) = *entry.key();
            let run = entry.remove();
            if run.request == DEADLY {
                let is_reported =
                    self.daemons[run.daemon].life == run.life && self.is_connected(run.daemon);
                self.outcome.ends.push(End {
                    at: self.now,
                    sent: run.sent,
                    is_reported,
                });
            }
            let one = &mut self.daemons[run.daemon];
            if one.life != run.life {
                continue;
            }
            one.fatal.finish(run.request);
            if run.request != DEADLY {
                let now = self.now;
                if one.fatal.note_answer(now, run.request, run.began_at) {
                    self.report(run.daemon, Finding::Answered(run.request));
                }
                continue;
            }
            // An innocent request was under way there as well.
            let innocent = Fingerprint(2 + self.random.random_range(0..INNOCENTS));
            let may_repeat = (one.is_informed || self.sharing == Sharing::Findings)
                && run.sent.kind != SendKind::Repeat
                && one.fatal.may_repeat(self.now, DEADLY, &[backend]).is_ok();
            let in_flight_requests = vec![DEADLY, innocent];
            if self.is_connected(run.daemon) {
                self.outcome.reported.push(self.now);
            }
            self.now += LOOK_MS;
            self.report(
                run.daemon,
                Finding::Ended {
                    backend,
                    in_flight_requests,
                },
            );
            self.now -= LOOK_MS;
            if may_repeat {
                self.run(run.daemon, DEADLY, SendKind::Repeat);
            }
        }
    }

    /// Whether something with this mean time between two happens in this tick.
    fn happens(&mut self, mean_ms: f64) -> bool {
        mean_ms > 0.0 && self.random.random_bool(TICK_MS as f64 / mean_ms)
    }

    fn fail(&mut self) {
        let now = self.now;
        let schedule = self.schedule;
        let drawn = self.random.random_range(0..self.daemons.len());
        let lasts = self.random.random_range(500..4_000);
        if self.happens(schedule.kills_ms) && self.daemons[drawn].down_until <= now {
            let one = &mut self.daemons[drawn];
            one.life += 1;
            one.fatal = FatalRequests::new(drawn as u64);
            one.down_until = now + NOTICES_MS;
            one.connected_at = now + NOTICES_MS;
            one.has_handed_over = false;
            one.is_informed = false;
        }
        if self.happens(schedule.cuts_ms) {
            let one = &mut self.daemons[drawn];
            one.cut_until = now + lasts;
            one.connected_at = now + lasts + NOTICES_MS;
            one.has_handed_over = false;
        }
        if self.happens(schedule.stops_ms) {
            self.daemons[drawn].stopped_until = now + lasts;
        }
        let drawn = self.random.random_range(0..self.controls.len());
        if self.happens(schedule.control_kills_ms) {
            let one = &mut self.controls[drawn];
            one.fatal = FatalRequests::new(1_000 + drawn as u64);
            one.down_until = now + NOTICES_MS;
            one.leads_since = None;
            for daemon in 0..self.daemons.len() {
                // They connect anew once it is back.
                let key = self.key(now + NOTICES_MS);
                let told = self.daemons[daemon].fatal.told(now);
                if self.sharing == Sharing::Cases {
                    let message = (To::Control(drawn), Message::Cases(told));
                    self.on_way.insert(key, message);
                }
            }
        }
        for daemon in 0..self.daemons.len() {
            let one = &mut self.daemons[daemon];
            if !one.has_handed_over && now >= one.connected_at {
                one.has_handed_over = true;
                one.is_informed = true;
                self.connect(daemon);
            }
        }
        self.elect();
    }

    /// The first process that runs leads, a second after the one before it has gone.
    fn elect(&mut self) {
        let now = self.now;
        let is_up = |one: &Control| one.down_until <= now;
        let leader = self.controls.iter().position(is_up);
        for (number, one) in self.controls.iter_mut().enumerate() {
            if Some(number) != leader {
                one.leads_since = None;
            } else if one.leads_since.is_none() {
                one.leads_since = Some(if now == 0 { 0 } else { now + NOTICES_MS });
            }
        }
    }

    pub fn play(mut self) -> Outcome {
        while self.now < PLAYED_MS {
            self.fail();
            self.deliver();
            self.work();
            if self
                .random
                .random_bool(self.schedule.rate * TICK_MS as f64 / 1_000.0)
            {
                self.ask(DEADLY);
            }
            let innocent = Fingerprint(2 + self.random.random_range(0..INNOCENTS));
            if self.random.random_bool(0.2) {
                self.ask(innocent);
            }
            self.now += TICK_MS;
        }
        for daemon in &self.daemons {
            let views = daemon.fatal.views(self.now).into_iter();
            let innocent = views.clone().filter(|case| case.request != DEADLY);
            let most_convictions = innocent.map(|case| case.convictions).max().unwrap_or(0);
            self.outcome.innocent_convictions =
                self.outcome.innocent_convictions.max(most_convictions);
            let convicted = views
                .filter(|case| case.request != DEADLY && case.convictions > MOST_WASTED_TRIALS);
            self.outcome.innocent += convicted.count();
        }
        self.outcome
    }
}
