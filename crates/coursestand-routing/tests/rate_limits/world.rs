//! Entry daemons, the control process that leads, and one back end that names rate limits.
//! Messages take time and are lost, and daemons and leaders come and go.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coursestand_model::Millis;
use coursestand_routing::findings::BackendReporters;
use coursestand_routing::hash::hash_of;
use coursestand_routing::rate_limit::{
    AccessBy, Asking, KnownLimit, LimitAccess, LimitChange, OwnPart, Rate, RateWord, Reading,
    SendToken, TOKEN_LIFETIME_MS, TokenAsks, TokenIssuer, TokenRequest, TokenVerdict,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::events::{BACKEND, Event, Verdict};
use crate::schedule::{Arrived, Harm, Played, Schedule, Scheme};

/// Longest way between a daemon and control, and between a daemon and the back end.
const CONTROL_WAY_MS: Millis = 40;
const BACKEND_WAY_MS: Millis = 5;
const LONGEST_WORK_MS: Millis = 400;
/// Daemons that tell a limit before others believe it.
const REPORTERS: usize = 2;

struct Daemon {
    life: u32,
    /// Its clock began this long before the world's.
    clock_ahead: Millis,
    limit: Option<KnownLimit>,
    reports: BackendReporters,
    asks: TokenAsks,
    told_at: Option<Millis>,
    down_until: Millis,
    frozen_until: Millis,
    cut_until: Millis,
    /// Of the naive schemes.
    tokens: f64,
    filled_at: Millis,
}

pub struct World {
    schedule: Schedule,
    scheme: Scheme,
    random: StdRng,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    count: u64,
    daemons: Vec<Daemon>,
    issuer: Option<TokenIssuer>,
    /// Reporters of the limit that control knows.
    reporters: Vec<(usize, Rate, Millis)>,
    arrived: Vec<Arrived>,
    known_at: Option<Millis>,
    asked: Vec<Millis>,
}

impl World {
    pub fn play(schedule: &Schedule, scheme: Scheme, seed: u64) -> Played {
        let mut random = StdRng::seed_from_u64(seed);
        let daemons = (0..schedule.daemons).map(|_| Daemon {
            life: 0,
            clock_ahead: random.random_range(0..100_000),
            limit: None,
            reports: BackendReporters::default(),
            asks: TokenAsks::default(),
            told_at: None,
            down_until: 0,
            frozen_until: 0,
            cut_until: 0,
            tokens: 1.0,
            filled_at: 0,
        });
        let mut world = World {
            daemons: daemons.collect(),
            schedule: schedule.clone(),
            scheme,
            random,
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            issuer: Some(TokenIssuer::default()),
            reporters: Vec::new(),
            arrived: Vec::new(),
            known_at: None,
            asked: Vec::new(),
        };
        world.run();
        Played {
            arrived: world.arrived,
            known_at: world.known_at.unwrap_or(schedule.lasts),
            asked: world.asked,
        }
    }

    fn run(&mut self) {
        for daemon in 0..self.schedule.daemons {
            self.next_request(daemon);
        }
        for number in 0..self.schedule.harms.len() {
            let at = self.schedule.harms[number].0;
            self.at(at, Event::Harmed(number));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.schedule.lasts {
                return;
            }
            self.now = at;
            self.take(event);
            if self.known_at.is_none() && self.daemons.iter().all(|one| one.limit.is_some()) {
                self.known_at = Some(at);
            }
        }
    }

    fn at(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn after(&mut self, longest: Millis, event: Event) {
        let way = self.random.random_range(1..=longest);
        self.at(self.now + way, event);
    }

    fn next_request(&mut self, daemon: usize) {
        let rate = self.schedule.demand / self.schedule.daemons as f64;
        let drawn: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let pause = (-drawn.ln() / rate * 1_000.0).ceil() as Millis;
        self.at(self.now + pause, Event::Request { daemon });
    }

    fn limit_at(&self, at: Millis) -> Option<Rate> {
        let named = self.schedule.limits.iter().rev();
        let newest = named.clone().find(|(from, _)| *from <= at);
        newest.and_then(|(_, rate)| rate.map(Rate::per_second))
    }

    /// Whether the event finds its daemon; one that stands still takes it when it goes on.
    fn finds(&mut self, daemon: usize, life: u32, event: &Event) -> bool {
        let one = &self.daemons[daemon];
        if one.life != life || self.now < one.down_until {
            return false;
        }
        if self.now < one.frozen_until {
            let until = one.frozen_until;
            self.at(until, event.clone());
            return false;
        }
        true
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Request { daemon } => {
                self.asked.push(self.now);
                self.next_request(daemon);
                self.request(daemon);
            }
            Event::AskArrives {
                daemon,
                life,
                number,
                request,
            } => {
                self.ask_arrives(daemon, life, number, &request.into());
            }
            Event::VerdictArrives {
                daemon,
                life,
                number,
                verdict,
            } => {
                if self.finds(daemon, life, &event) {
                    self.verdict_arrives(daemon, number, verdict);
                }
            }
            Event::RequestArrives {
                daemon,
                life,
                sent_at,
            } => {
                self.request_arrives(daemon, life, sent_at);
            }
            Event::AnswerArrives {
                daemon,
                life,
                sent_at,
                named,
                is_cut,
            } => {
                if self.finds(daemon, life, &event) {
                    self.answer_arrives(daemon, sent_at, named, is_cut);
                }
            }
            Event::NewsArrives { daemon, rate, at } => self.news_arrives(daemon, rate, at),
            Event::HeardArrives {
                daemon,
                reporter,
                rate,
                at,
            } => {
                let life = self.daemons[daemon].life;
                if self.finds(daemon, life, &event) {
                    self.heard_arrives(daemon, reporter, rate, at);
                }
            }
            Event::Harmed(number) => self.harm(self.schedule.harms[number].1),
            Event::LeaderComes => {
                let known = self.reporters.clone();
                let mut issuer = TokenIssuer::default();
                for (_, rate, at) in known {
                    issuer.take_news(self.now, BACKEND, Some(rate), at);
                }
                issuer.begin(self.now);
                self.issuer = Some(issuer);
            }
        }
    }

    fn clock(&self, daemon: usize) -> Millis {
        self.now + self.daemons[daemon].clock_ahead
    }

    fn is_connected(&self, daemon: usize) -> bool {
        self.now >= self.daemons[daemon].cut_until
    }

    fn request(&mut self, daemon: usize) {
        let one = &self.daemons[daemon];
        if self.now < one.down_until || self.now < one.frozen_until {
            return;
        }
        let Some(limit) = &one.limit else {
            return self.send(daemon);
        };
        let daemons = self.schedule.daemons;
        if self.scheme == Scheme::Tokens && limit.is_divided(daemons) {
            return self.request_by_part(daemon, daemons);
        }
        match self.scheme {
            Scheme::Tokens => self.request_by_token(daemon),
            Scheme::WholeLimitEach => self.request_by_bucket(daemon, 1.0),
            Scheme::PartEach => {
                let part = 1.0 / self.schedule.daemons as f64;
                self.request_by_bucket(daemon, part);
            }
            Scheme::Nothing => {}
        }
    }

    fn request_by_bucket(&mut self, daemon: usize, part: f64) {
        let now = self.now;
        let one = &mut self.daemons[daemon];
        let Some(limit) = &one.limit else { return };
        let filled = limit.rate().as_per_second() * part * (now - one.filled_at) as f64 / 1_000.0;
        one.tokens = (one.tokens + filled).min(1.0);
        one.filled_at = now;
        if one.tokens >= 1.0 {
            one.tokens -= 1.0;
            self.send(daemon);
        }
    }

    fn request_by_token(&mut self, daemon: usize) {
        let clock = self.clock(daemon);
        let is_connected = self.is_connected(daemon);
        let one = &mut self.daemons[daemon];
        let Some(limit) = &one.limit else { return };
        let request = TokenRequest {
            backend: BACKEND,
            rate: limit.rate(),
            age_ms: clock - limit.named_at(),
            priority: 0,
        };
        let mut asking = Asking::No;
        if is_connected && limit.may_ask(clock, 0) {
            asking = one.asks.ask(clock, request.clone());
        }
        let is_lost = self.random.random_range(0..100) < self.schedule.lost_asks;
        if let Asking::Wait(number) | Asking::Probe(number) = asking
            && !is_lost
        {
            let life = self.daemons[daemon].life;
            let arrives = Event::AskArrives {
                daemon,
                life,
                number,
                request: request.into(),
            };
            self.after(CONTROL_WAY_MS, arrives);
        }
        let is_silent = self.daemons[daemon].asks.is_silent(clock);
        if !is_connected || is_silent {
            self.request_by_own_part(daemon, clock);
        }
    }

    fn request_by_part(&mut self, daemon: usize, daemons: usize) {
        let clock = self.clock(daemon);
        let limit = &mut self.daemons[daemon].limit;
        let Some(limit) = limit else { return };
        if limit.has_part(clock, daemons) {
            limit.note_part_used(clock, daemons);
            self.send(daemon);
        }
    }

    fn request_by_own_part(&mut self, daemon: usize, clock: Millis) {
        let own_part = Some(OwnPart {
            daemon: hash_of(&daemon.to_string()),
            daemons: self.schedule.daemons,
        });
        let by = AccessBy::Sending {
            token: None,
            own_part,
        };
        let access = LimitAccess {
            daemons: self.schedule.daemons,
            by,
        };
        let limit = &mut self.daemons[daemon].limit;
        let Some(limit) = limit else { return };
        if access.admits(clock, BACKEND, limit) {
            limit.note_own_turn(clock);
            self.send(daemon);
        }
    }

    fn ask_arrives(&mut self, daemon: usize, life: u32, number: u64, request: &TokenRequest) {
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
        let answer = Event::VerdictArrives {
            daemon,
            life,
            number,
            verdict,
        };
        self.after(CONTROL_WAY_MS, answer);
    }

    fn verdict_arrives(&mut self, daemon: usize, number: u64, verdict: Verdict) {
        if !self.is_connected(daemon) {
            return;
        }
        let clock = self.clock(daemon);
        let one = &mut self.daemons[daemon];
        let Some(asked) = one.asks.answered(number) else {
            return;
        };
        match verdict {
            Verdict::Issued => {
                let token = SendToken {
                    backend: BACKEND,
                    valid_until: asked.asked_at + TOKEN_LIFETIME_MS,
                };
                if token.is_valid(clock, BACKEND) {
                    self.send(daemon);
                }
            }
            Verdict::Denied(again_in_ms) => {
                if let Some(limit) = &mut one.limit {
                    limit.note_denied(asked.asked_at, again_in_ms, 0);
                }
            }
            Verdict::Lifted(age_ms) => {
                one.reports.forget(BACKEND);
                let lifted_at = asked.asked_at.saturating_sub(age_ms);
                KnownLimit::hear_lifted(&mut one.limit, lifted_at);
            }
        }
    }

    fn send(&mut self, daemon: usize) {
        let life = self.daemons[daemon].life;
        let sent_at = self.clock(daemon);
        let arrives = Event::RequestArrives {
            daemon,
            life,
            sent_at,
        };
        self.after(BACKEND_WAY_MS, arrives);
    }

    fn request_arrives(&mut self, daemon: usize, life: u32, sent_at: Millis) {
        let one = &self.daemons[daemon];
        let told_at = one.told_at.filter(|_| one.life == life);
        self.arrived.push(Arrived {
            at: self.now,
            told_ms: told_at.map(|at| self.now - at),
        });
        let work = self.random.random_range(1..=LONGEST_WORK_MS);
        let answered_at = self.now + work;
        let is_cut = self.random.random_range(0..100) < self.schedule.cut_answers;
        let answer = Event::AnswerArrives {
            daemon,
            life,
            sent_at,
            named: self.limit_at(answered_at),
            is_cut,
        };
        let way = self.random.random_range(1..=BACKEND_WAY_MS);
        self.at(answered_at + way, answer);
    }

    fn answer_arrives(
        &mut self,
        daemon: usize,
        sent_at: Millis,
        named: Option<Rate>,
        is_cut: bool,
    ) {
        let clock = self.clock(daemon);
        let now = self.now;
        let one = &mut self.daemons[daemon];
        let word = named.map_or(RateWord::Unlimited, RateWord::Limited);
        if named.is_some() {
            one.told_at.get_or_insert(now);
        }
        let mut changes = Vec::new();
        for is_whole in [false, true] {
            if is_whole && is_cut {
                continue;
            }
            let reading = Reading {
                word,
                sent_at,
                is_whole,
            };
            changes.extend(KnownLimit::read(&mut one.limit, clock, reading));
        }
        let Some(change) = changes.pop() else { return };
        let rate = match change {
            LimitChange::Limited(rate) => Some(rate),
            LimitChange::Lifted => {
                one.reports.forget(BACKEND);
                None
            }
        };
        if self.is_connected(daemon) {
            self.after(
                CONTROL_WAY_MS,
                Event::NewsArrives {
                    daemon,
                    rate,
                    at: now,
                },
            );
        }
    }

    fn news_arrives(&mut self, daemon: usize, rate: Option<Rate>, at: Millis) {
        if let Some(issuer) = &mut self.issuer {
            issuer.take_news(self.now, BACKEND, rate, at);
        }
        let Some(rate) = rate else {
            self.reporters.retain(|(_, _, named_at)| *named_at > at);
            return;
        };
        let is_lower = self.reporters.iter().all(|(_, known, _)| rate < *known);
        let is_new = self.reporters.iter().all(|(known, _, _)| *known != daemon);
        let is_needed = is_lower || (is_new && self.reporters.len() < REPORTERS);
        self.reporters.retain(|(known, _, _)| *known != daemon);
        self.reporters.push((daemon, rate, at));
        if self.reporters.len() > REPORTERS {
            self.reporters.remove(0);
        }
        if is_needed {
            for other in (0..self.schedule.daemons).filter(|other| *other != daemon) {
                self.pass_on(other, daemon, rate, at);
            }
        }
    }

    fn pass_on(&mut self, daemon: usize, reporter: usize, rate: Rate, at: Millis) {
        if self.is_connected(daemon) {
            let heard = Event::HeardArrives {
                daemon,
                reporter,
                rate,
                at,
            };
            self.after(CONTROL_WAY_MS, heard);
        }
    }

    fn heard_arrives(&mut self, daemon: usize, reporter: usize, rate: Rate, at: Millis) {
        let named_at = at + self.daemons[daemon].clock_ahead;
        let one = &mut self.daemons[daemon];
        if one.reports.record(BACKEND, reporter as u64) {
            KnownLimit::hear(&mut one.limit, named_at, rate);
        }
    }

    fn harm(&mut self, harm: Harm) {
        let now = self.now;
        match harm {
            Harm::Kill { daemon, lasts } => {
                let one = &mut self.daemons[daemon];
                one.life += 1;
                one.limit = None;
                one.reports = BackendReporters::default();
                one.asks = TokenAsks::default();
                one.told_at = None;
                one.tokens = 1.0;
                one.down_until = now + lasts;
                one.frozen_until = 0;
                // It hears what control knows before it serves.
                for (reporter, rate, at) in self.reporters.clone() {
                    let back = now + lasts;
                    let heard = Event::HeardArrives {
                        daemon,
                        reporter,
                        rate,
                        at,
                    };
                    self.at(back, heard);
                }
            }
            Harm::Freeze { daemon, lasts } => {
                let one = &mut self.daemons[daemon];
                one.frozen_until = one.frozen_until.max(now + lasts);
            }
            Harm::Cut { daemon, lasts } => {
                let one = &mut self.daemons[daemon];
                one.cut_until = one.cut_until.max(now + lasts);
            }
            Harm::LoseLeader { lasts } => {
                self.issuer = None;
                self.at(now + lasts, Event::LeaderComes);
            }
        }
    }
}
