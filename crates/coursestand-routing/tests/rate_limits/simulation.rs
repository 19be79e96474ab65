//! Simulation of entry daemons, the leading control process and one back end that reports rate
//! limits. Messages are delayed and lost, and daemons and leaders are replaced.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coursestand_model::Millis;
use coursestand_routing::findings::BackendReporters;
use coursestand_routing::hash::hash_of;
use coursestand_routing::rate_limit::{
    AccessMode, FallbackShare, KnownLimit, LimitAccess, LimitChange, OutstandingTokenRequests,
    Rate, RateLimitSignal, Reading, SendToken, TOKEN_LIFETIME_MS, TokenIssuer, TokenRequest,
    TokenRequestMode, TokenVerdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::events::{BACKEND, Event, Verdict};
use crate::schedule::{Arrival, Fault, Outcome, Schedule, Scheme};

/// Maximum latency between a daemon and control, and between a daemon and the back end.
const MAX_CONTROL_LATENCY_MS: Millis = 40;
const MAX_BACKEND_LATENCY_MS: Millis = 5;
const MAX_WORK_MS: Millis = 400;
/// Daemons that must report a limit before others apply it.
const REQUIRED_REPORTERS: usize = 2;

struct Daemon {
    incarnation: u32,
    /// Offset of its clock ahead of the simulation's.
    clock_ahead: Millis,
    limit: Option<KnownLimit>,
    reports: BackendReporters,
    outstanding_requests: OutstandingTokenRequests,
    limit_received_at: Option<Millis>,
    down_until: Millis,
    frozen_until: Millis,
    disconnected_until: Millis,
    /// Bucket of the naive schemes.
    tokens: f64,
    refilled_at: Millis,
}

pub struct Simulation {
    schedule: Schedule,
    scheme: Scheme,
    random: StdRng,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    count: u64,
    daemons: Vec<Daemon>,
    issuer: Option<TokenIssuer>,
    /// Reports of the limit that control keeps: reporter, limit and time.
    reporters: Vec<(usize, Rate, Millis)>,
    arrivals: Vec<Arrival>,
    known_at: Option<Millis>,
    requested: Vec<Millis>,
}

impl Simulation {
    pub fn run(schedule: &Schedule, scheme: Scheme, seed: u64) -> Outcome {
        let mut random = StdRng::seed_from_u64(seed);
        let daemons = (0..schedule.daemons).map(|_| Daemon {
            incarnation: 0,
            clock_ahead: random.random_range(0..100_000),
            limit: None,
            reports: BackendReporters::default(),
            outstanding_requests: OutstandingTokenRequests::default(),
            limit_received_at: None,
            down_until: 0,
            frozen_until: 0,
            disconnected_until: 0,
            tokens: 1.0,
            refilled_at: 0,
        });
        let mut simulation = Simulation {
            daemons: daemons.collect(),
            schedule: schedule.clone(),
            scheme,
            random,
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            issuer: Some(TokenIssuer::default()),
            reporters: Vec::new(),
            arrivals: Vec::new(),
            known_at: None,
            requested: Vec::new(),
        };
        simulation.process_events();
        Outcome {
            arrivals: simulation.arrivals,
            known_at: simulation.known_at.unwrap_or(schedule.duration_ms),
            requested: simulation.requested,
        }
    }

    fn process_events(&mut self) {
        for daemon in 0..self.schedule.daemons {
            self.next_request(daemon);
        }
        for number in 0..self.schedule.faults.len() {
            let at = self.schedule.faults[number].0;
            self.schedule_at(at, Event::Fault(number));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.schedule.duration_ms {
                return;
            }
            self.now = at;
            self.handle(event);
            if self.known_at.is_none() && self.daemons.iter().all(|daemon| daemon.limit.is_some()) {
                self.known_at = Some(at);
            }
        }
    }

    fn schedule_at(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn schedule_within(&mut self, max_latency_ms: Millis, event: Event) {
        let latency_ms = self.random.random_range(1..=max_latency_ms);
        self.schedule_at(self.now + latency_ms, event);
    }

    fn next_request(&mut self, daemon: usize) {
        let rate = self.schedule.demand / self.schedule.daemons as f64;
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let pause = (-uniform.ln() / rate * 1_000.0).ceil() as Millis;
        self.schedule_at(self.now + pause, Event::Request { daemon });
    }

    fn limit_at(&self, at: Millis) -> Option<Rate> {
        let reported = self.schedule.limits.iter().rev();
        let newest = reported.clone().find(|(from, _)| *from <= at);
        newest.and_then(|(_, rate)| rate.map(Rate::per_second))
    }

    /// Returns whether the event can be delivered to its daemon. Postpones it if the daemon is
    /// frozen.
    fn can_deliver(&mut self, daemon: usize, incarnation: u32, event: &Event) -> bool {
        let state = &self.daemons[daemon];
        if state.incarnation != incarnation || self.now < state.down_until {
            return false;
        }
        if self.now < state.frozen_until {
            let until = state.frozen_until;
            self.schedule_at(until, event.clone());
            return false;
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { daemon } => {
                self.requested.push(self.now);
                self.next_request(daemon);
                self.request(daemon);
            }
            Event::TokenRequestArrives {
                daemon,
                incarnation,
                number,
                request,
            } => {
                self.token_request_arrives(daemon, incarnation, number, &request.into());
            }
            Event::VerdictArrives {
                daemon,
                incarnation,
                number,
                verdict,
            } => {
                if self.can_deliver(daemon, incarnation, &event) {
                    self.verdict_arrives(daemon, number, verdict);
                }
            }
            Event::RequestArrives {
                daemon,
                incarnation,
                sent_at,
            } => {
                self.request_arrives(daemon, incarnation, sent_at);
            }
            Event::AnswerArrives {
                daemon,
                incarnation,
                sent_at,
                reported,
                is_truncated,
            } => {
                if self.can_deliver(daemon, incarnation, &event) {
                    self.answer_arrives(daemon, sent_at, reported, is_truncated);
                }
            }
            Event::UpdateArrives { daemon, rate, at } => self.update_arrives(daemon, rate, at),
            Event::ForwardedUpdateArrives {
                daemon,
                reporter,
                rate,
                at,
            } => {
                let incarnation = self.daemons[daemon].incarnation;
                if self.can_deliver(daemon, incarnation, &event) {
                    self.forwarded_update_arrives(daemon, reporter, rate, at);
                }
            }
            Event::Fault(number) => self.inject_fault(self.schedule.faults[number].1),
            Event::LeaderElected => {
                let reports = self.reporters.clone();
                let mut issuer = TokenIssuer::default();
                for (_, rate, at) in reports {
                    issuer.apply_update(self.now, BACKEND, Some(rate), at);
                }
                issuer.empty_buckets(self.now);
                self.issuer = Some(issuer);
            }
        }
    }

    fn clock(&self, daemon: usize) -> Millis {
        self.now + self.daemons[daemon].clock_ahead
    }

    fn is_connected(&self, daemon: usize) -> bool {
        self.now >= self.daemons[daemon].disconnected_until
    }

    fn request(&mut self, daemon: usize) {
        let state = &self.daemons[daemon];
        if self.now < state.down_until || self.now < state.frozen_until {
            return;
        }
        let Some(limit) = &state.limit else {
            return self.send(daemon);
        };
        let daemons = self.schedule.daemons;
        if self.scheme == Scheme::Tokens && limit.is_divided(daemons) {
            return self.request_by_divided_share(daemon, daemons);
        }
        match self.scheme {
            Scheme::Tokens => self.request_by_token(daemon),
            Scheme::WholeLimitEach => self.request_by_bucket(daemon, 1.0),
            Scheme::ShareEach => {
                let share = 1.0 / self.schedule.daemons as f64;
                self.request_by_bucket(daemon, share);
            }
            Scheme::Nothing => {}
        }
    }

    fn request_by_bucket(&mut self, daemon: usize, share: f64) {
        let now = self.now;
        let state = &mut self.daemons[daemon];
        let Some(limit) = &state.limit else { return };
        let refilled =
            limit.rate().as_per_second() * share * (now - state.refilled_at) as f64 / 1_000.0;
        state.tokens = (state.tokens + refilled).min(1.0);
        state.refilled_at = now;
        if state.tokens >= 1.0 {
            state.tokens -= 1.0;
            self.send(daemon);
        }
    }

    fn request_by_token(&mut self, daemon: usize) {
        let clock = self.clock(daemon);
        let is_connected = self.is_connected(daemon);
        let state = &mut self.daemons[daemon];
        let Some(limit) = &state.limit else { return };
        let request = TokenRequest {
            backend: BACKEND,
            rate: limit.rate(),
            age_ms: clock - limit.reported_at(),
            priority: 0,
        };
        let mut mode = TokenRequestMode::Skip;
        if is_connected && limit.may_ask(clock, 0) {
            mode = state.outstanding_requests.ask(clock, request.clone());
        }
        let is_lost = self.random.random_range(0..100) < self.schedule.lost_token_requests_percent;
        if let TokenRequestMode::Await(number) | TokenRequestMode::Probe(number) = mode
            && !is_lost
        {
            let incarnation = self.daemons[daemon].incarnation;
            let event = Event::TokenRequestArrives {
                daemon,
                incarnation,
                number,
                request: request.into(),
            };
            self.schedule_within(MAX_CONTROL_LATENCY_MS, event);
        }
        let is_silent = self.daemons[daemon].outstanding_requests.is_silent(clock);
        if !is_connected || is_silent {
            self.request_by_fallback_share(daemon, clock);
        }
    }

    fn request_by_divided_share(&mut self, daemon: usize, daemons: usize) {
        let clock = self.clock(daemon);
        let limit = &mut self.daemons[daemon].limit;
        let Some(limit) = limit else { return };
        if limit.has_divided_share(clock, daemons) {
            limit.note_divided_share_used(clock, daemons);
            self.send(daemon);
        }
    }

    fn request_by_fallback_share(&mut self, daemon: usize, clock: Millis) {
        let fallback_share = Some(FallbackShare {
            daemon: hash_of(&daemon.to_string()),
            daemons: self.schedule.daemons,
        });
        let mode = AccessMode::Send {
            token: None,
            fallback_share,
        };
        let access = LimitAccess {
            daemons: self.schedule.daemons,
            mode,
        };
        let limit = &mut self.daemons[daemon].limit;
        let Some(limit) = limit else { return };
        if access.admits(clock, BACKEND, limit) {
            limit.note_fallback_turn(clock);
            self.send(daemon);
        }
    }

    fn token_request_arrives(
        &mut self,
        daemon: usize,
        incarnation: u32,
        number: u64,
        request: &TokenRequest,
    ) {
        if !self.is_connected(daemon) {
            return;
        }
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        let verdict = match issuer.ask(self.now, request) {
            TokenVerdict::Issued => Verdict::Issued,
            TokenVerdict::Denied { again_in_ms, .. } => Verdict::Denied(again_in_ms),
            TokenVerdict::Lifted { age_ms } => Verdict::Lifted(age_ms),
        };
        let event = Event::VerdictArrives {
            daemon,
            incarnation,
            number,
            verdict,
        };
        self.schedule_within(MAX_CONTROL_LATENCY_MS, event);
    }

    fn verdict_arrives(&mut self, daemon: usize, number: u64, verdict: Verdict) {
        if !self.is_connected(daemon) {
            return;
        }
        let clock = self.clock(daemon);
        let state = &mut self.daemons[daemon];
        let Some(sent) = state.outstanding_requests.answered(number) else {
            return;
        };
        match verdict {
            Verdict::Issued => {
                let token = SendToken {
                    backend: BACKEND,
                    valid_until: sent.sent_at + TOKEN_LIFETIME_MS,
                };
                if token.is_valid(clock, BACKEND) {
                    self.send(daemon);
                }
            }
            Verdict::Denied(again_in_ms) => {
                if let Some(limit) = &mut state.limit {
                    limit.note_denied(sent.sent_at, again_in_ms, 0);
                }
            }
            Verdict::Lifted(age_ms) => {
                state.reports.forget(BACKEND);
                let lifted_at = sent.sent_at.saturating_sub(age_ms);
                KnownLimit::apply_reported_lift(&mut state.limit, lifted_at);
            }
        }
    }

    fn send(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation;
        let sent_at = self.clock(daemon);
        let event = Event::RequestArrives {
            daemon,
            incarnation,
            sent_at,
        };
        self.schedule_within(MAX_BACKEND_LATENCY_MS, event);
    }

    fn request_arrives(&mut self, daemon: usize, incarnation: u32, sent_at: Millis) {
        let state = &self.daemons[daemon];
        let limit_received_at = state
            .limit_received_at
            .filter(|_| state.incarnation == incarnation);
        self.arrivals.push(Arrival {
            at: self.now,
            limit_received_ms_ago: limit_received_at.map(|at| self.now - at),
        });
        let work = self.random.random_range(1..=MAX_WORK_MS);
        let answered_at = self.now + work;
        let is_truncated =
            self.random.random_range(0..100) < self.schedule.truncated_answers_percent;
        let event = Event::AnswerArrives {
            daemon,
            incarnation,
            sent_at,
            reported: self.limit_at(answered_at),
            is_truncated,
        };
        let latency_ms = self.random.random_range(1..=MAX_BACKEND_LATENCY_MS);
        self.schedule_at(answered_at + latency_ms, event);
    }

    fn answer_arrives(
        &mut self,
        daemon: usize,
        sent_at: Millis,
        reported: Option<Rate>,
        is_truncated: bool,
    ) {
        let clock = self.clock(daemon);
        let now = self.now;
        let state = &mut self.daemons[daemon];
        let signal = reported.map_or(RateLimitSignal::Unlimited, RateLimitSignal::Limited);
        if reported.is_some() {
            state.limit_received_at.get_or_insert(now);
        }
        let mut changes = Vec::new();
        for is_whole in [false, true] {
            if is_whole && is_truncated {
                continue;
            }
            let reading = Reading {
                signal,
                sent_at,
                is_whole,
            };
            changes.extend(KnownLimit::apply_reading(&mut state.limit, clock, reading));
        }
        let Some(change) = changes.pop() else { return };
        let rate = match change {
            LimitChange::Limited(rate) => Some(rate),
            LimitChange::Lifted => {
                state.reports.forget(BACKEND);
                None
            }
        };
        if self.is_connected(daemon) {
            self.schedule_within(
                MAX_CONTROL_LATENCY_MS,
                Event::UpdateArrives {
                    daemon,
                    rate,
                    at: now,
                },
            );
        }
    }

    fn update_arrives(&mut self, daemon: usize, rate: Option<Rate>, at: Millis) {
        if let Some(issuer) = &mut self.issuer {
            issuer.apply_update(self.now, BACKEND, rate, at);
        }
        let Some(rate) = rate else {
            self.reporters
                .retain(|(_, _, reported_at)| *reported_at > at);
            return;
        };
        let is_lower = self.reporters.iter().all(|(_, known, _)| rate < *known);
        let is_new = self.reporters.iter().all(|(known, _, _)| *known != daemon);
        let is_needed = is_lower || (is_new && self.reporters.len() < REQUIRED_REPORTERS);
        self.reporters.retain(|(known, _, _)| *known != daemon);
        self.reporters.push((daemon, rate, at));
        if self.reporters.len() > REQUIRED_REPORTERS {
            self.reporters.remove(0);
        }
        if is_needed {
            for other in (0..self.schedule.daemons).filter(|other| *other != daemon) {
                self.forward(other, daemon, rate, at);
            }
        }
    }

    fn forward(&mut self, daemon: usize, reporter: usize, rate: Rate, at: Millis) {
        if self.is_connected(daemon) {
            let event = Event::ForwardedUpdateArrives {
                daemon,
                reporter,
                rate,
                at,
            };
            self.schedule_within(MAX_CONTROL_LATENCY_MS, event);
        }
    }

    fn forwarded_update_arrives(&mut self, daemon: usize, reporter: usize, rate: Rate, at: Millis) {
        let reported_at = at + self.daemons[daemon].clock_ahead;
        let state = &mut self.daemons[daemon];
        if state.reports.record(BACKEND, reporter as u64) {
            KnownLimit::apply_reported(&mut state.limit, reported_at, rate);
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill {
                daemon,
                duration_ms,
            } => {
                let state = &mut self.daemons[daemon];
                state.incarnation += 1;
                state.limit = None;
                state.reports = BackendReporters::default();
                state.outstanding_requests = OutstandingTokenRequests::default();
                state.limit_received_at = None;
                state.tokens = 1.0;
                state.down_until = now + duration_ms;
                state.frozen_until = 0;
                // The restarted daemon receives the limits that control keeps before it serves.
                for (reporter, rate, at) in self.reporters.clone() {
                    let restarted_at = now + duration_ms;
                    let event = Event::ForwardedUpdateArrives {
                        daemon,
                        reporter,
                        rate,
                        at,
                    };
                    self.schedule_at(restarted_at, event);
                }
            }
            Fault::Freeze {
                daemon,
                duration_ms,
            } => {
                let state = &mut self.daemons[daemon];
                state.frozen_until = state.frozen_until.max(now + duration_ms);
            }
            Fault::Disconnect {
                daemon,
                duration_ms,
            } => {
                let state = &mut self.daemons[daemon];
                state.disconnected_until = state.disconnected_until.max(now + duration_ms);
            }
            Fault::LoseLeader { duration_ms } => {
                self.issuer = None;
                self.schedule_at(now + duration_ms, Event::LeaderElected);
            }
        }
    }
}
