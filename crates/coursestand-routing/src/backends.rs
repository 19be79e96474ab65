//! The back ends as one entry daemon sees them: what discovery says, and what its
//! own requests have shown.

use std::collections::HashMap;

use coursestand_discovery::table::KnownInstance;
use coursestand_discovery::{Instance, InstancePhase, InstanceTable, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId};

use crate::backoff::Backoff;
use crate::hash::{combine, hash_of};
use crate::rate_limit::{KnownLimit, LimitAccess, LimitChange, Rate, RateWord, Reading};

/// First time for which a back end that refuses connections is left out.
const FIRST_EJECTION_MS: Millis = 500;
/// Longest such time.
const LONGEST_EJECTION_MS: Millis = 8_000;
/// Failures in a row of other kinds after which a back end is left out.
const FAILURES_TO_EJECT: u32 = 3;

/// Load that a back end told with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What a back end says of itself with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendReport {
    /// Its load, if it tells it.
    pub load: Option<LoadReport>,
    /// For how long it wants no requests of this daemon, in milliseconds.
    pub backoff_ms: Option<Millis>,
    /// Whether it drains: it takes no new requests and ends soon.
    pub drains: bool,
    /// The rate that it takes from all daemons together.
    pub rate: RateWord,
}

/// Time constant with which the usual load follows the reports.
const USUAL_LOAD_MS: f64 = 4_000.0;
/// Without reports the usual load loses half of its weight in this time.
const USUAL_HALF_LIFE_MS: f64 = 8_000.0;

/// How long a load report is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportTrust {
    /// Time for which it counts in full.
    pub hold_ms: Millis,
    /// After that, it loses half of its weight in this time.
    pub half_life_ms: Millis,
}

impl ReportTrust {
    /// Weight of a report of this age, from 1 down to 0.
    pub fn weight(self, age: Millis) -> f64 {
        let past_hold = age.saturating_sub(self.hold_ms) as f64;
        (-past_hold / self.half_life_ms.max(1) as f64).exp2()
    }
}

/// One back end.
#[derive(Clone, Debug)]
pub struct Backend {
    /// What it says of itself.
    pub instance: Instance,
    /// Hash of its identity.
    pub hash: u64,
    /// Tells what it remembers from what another incarnation does: what it has seen of
    /// objects.
    pub memory: u64,
    /// When it ceases to be cold.
    pub cold_until: Millis,
    /// Requests of this daemon that it has.
    pub in_flight: u32,
    /// Requests of others at the newest report, and when it came.
    others: f64,
    reported_at: Millis,
    /// Requests of others as reports told them on average.
    usual: f64,
    failures: u32,
    ejected_until: Millis,
    backoff: Backoff,
    limit: Option<KnownLimit>,
}

impl Backend {
    fn new(news: InstanceUpdate, now: Millis) -> Backend {
        Backend {
            hash: hash_of(news.instance.id.as_str()),
            memory: memory_of(&news.instance),
            cold_until: now.saturating_add(news.cold_ms),
            instance: news.instance,
            in_flight: 0,
            others: 0.0,
            reported_at: now,
            usual: 0.0,
            failures: 0,
            ejected_until: 0,
            backoff: Backoff::default(),
            limit: None,
        }
    }

    /// Requests that it probably has now.
    ///
    /// What others have fades from the newest report towards what they usually
    /// have: a daemon of many hears of a back end seldom, and one that is always
    /// crowded is still so when its last report is old.
    pub fn load(&self, now: Millis, trust: ReportTrust) -> f64 {
        let age = self.load_age(now);
        let usual = self.usual * (-(age as f64) / USUAL_HALF_LIFE_MS).exp2();
        let others = usual + (self.others - usual) * trust.weight(age);
        f64::from(self.in_flight) + others
    }

    fn take_report(&mut self, now: Millis, report: LoadReport) {
        let all = f64::from(report.running) + f64::from(report.waiting);
        let others = (all - f64::from(self.in_flight)).max(0.0);
        let gain = 1.0 - (-(self.load_age(now) as f64) / USUAL_LOAD_MS).exp();
        self.usual += (others - self.usual) * gain;
        self.others = others;
        self.reported_at = now;
    }

    /// Age of what is known about its load, in milliseconds.
    pub fn load_age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.reported_at)
    }

    /// Whether it may still be cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Whether it is left out for its failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Whether it asked for a back-off that has not ended.
    pub fn backs_off(&self, now: Millis) -> bool {
        self.backoff.is_active(now)
    }

    /// Time until the end of its back-off, in milliseconds.
    pub fn backoff_left_ms(&self, now: Millis) -> Millis {
        self.backoff.left_ms(now)
    }

    /// Whether the back-off that it asked for, if any, allows another request.
    pub fn has_room(&self, now: Millis) -> bool {
        self.backoff.has_room(now, self.in_flight)
    }

    /// The rate limit that it named, if any.
    pub fn limit(&self) -> Option<&KnownLimit> {
        self.limit.as_ref()
    }

    /// Whether its rate limit, if any, allows a request with this access.
    pub fn admits(&self, now: Millis, access: &LimitAccess) -> bool {
        let limit = self.limit.as_ref();
        limit.is_none_or(|limit| access.admits(now, self.memory, limit))
    }

    /// Whether it takes new requests at all.
    pub fn is_ready(&self) -> bool {
        self.instance.phase == InstancePhase::Ready
    }

    fn eject(&mut self, now: Millis) {
        let doublings = self.failures.saturating_sub(1).min(8);
        let time = (FIRST_EJECTION_MS << doublings).min(LONGEST_EJECTION_MS);
        self.ejected_until = now + time;
    }
}

/// Tells what an incarnation remembers from what others of the same back end do.
fn memory_of(instance: &Instance) -> u64 {
    let hash = hash_of(instance.id.as_str());
    instance.born.map_or(hash, |born| combine(hash, born))
}

/// All back ends by identity, and by service.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    table: InstanceTable,
    backends: HashMap<BackendId, Backend>,
    by_service: HashMap<ServiceId, Vec<BackendId>>,
    /// How many of them have a rate limit.
    limited: usize,
}

impl Backends {
    /// Takes in news of an instance. Returns whether anything changed.
    pub fn merge(&mut self, now: Millis, news: InstanceUpdate) -> bool {
        let changed = self.table.adopt(now, news);
        for id in &changed {
            self.refresh(now, id);
        }
        !changed.is_empty()
    }

    fn refresh(&mut self, now: Millis, id: &BackendId) {
        let Some(known) = self.table.get(id) else {
            return;
        };
        if known.instance.phase == InstancePhase::Gone {
            self.remove(id);
            return;
        }
        // A later incarnation is another back end: nothing learned, nothing under way.
        let known_here = self.backends.get(id);
        if known_here.is_some_and(|before| known.instance.starts_after(&before.instance)) {
            let known = known.clone();
            self.remove(id);
            return self.insert(now, &known);
        }
        match self.backends.get_mut(id) {
            Some(backend) => {
                backend.instance = known.instance.clone();
                backend.cold_until = known.cold_until;
            }
            None => {
                let known = known.clone();
                self.insert(now, &known);
            }
        }
    }

    fn insert(&mut self, now: Millis, known: &KnownInstance) {
        let backend = Backend::new(known.to_update(now), now);
        let id = backend.instance.id.clone();
        let service = backend.instance.service.clone();
        self.by_service.entry(service).or_default().push(id.clone());
        self.backends.insert(id, backend);
    }

    fn remove(&mut self, id: &BackendId) {
        let Some(backend) = self.backends.remove(id) else {
            return;
        };
        self.limited -= usize::from(backend.limit.is_some());
        if let Some(ids) = self.by_service.get_mut(&backend.instance.service) {
            ids.retain(|known| known != id);
        }
    }

    /// One back end.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// The back ends of a service that have not ended.
    pub fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = &Backend> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.backends.get(id))
    }

    /// Services that have back ends.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.by_service.keys()
    }

    /// All back ends that have not ended.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Keeps all back ends that `is_in_zone` holds for out of service until
    /// `until`, as if they were cold.
    pub fn hold_back(&mut self, until: Millis, is_in_zone: impl Fn(&Instance) -> bool) {
        for backend in self.backends.values_mut() {
            if is_in_zone(&backend.instance) {
                backend.cold_until = backend.cold_until.max(until);
            }
        }
    }

    /// A request goes to the back end.
    pub fn start(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight += 1;
        }
    }

    /// A request that was started has ended.
    pub fn finish(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    /// The back end answered, with its load if it tells it. The request that was
    /// answered still counts as started.
    pub fn note_answer(&mut self, now: Millis, id: &BackendId, report: Option<LoadReport>) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        backend.failures = 0;
        backend.ejected_until = 0;
        backend.backoff.note_answer(now, backend.instance.capacity);
        if let Some(report) = report {
            backend.take_report(now, report);
        }
    }

    /// The back end refused a request. The load that it tells is believed. Without it
    /// the back end counts as full, unless it said for how long it wants no requests.
    pub fn note_shed(&mut self, now: Millis, id: &BackendId, report: &BackendReport) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.backoff.note_refusal();
            if let Some(load) = report.load {
                backend.take_report(now, load);
                return;
            }
            if report.backoff_ms.is_some() {
                return;
            }
            let slots = f64::from(backend.instance.capacity);
            backend.others = backend.others.max(4.0 * slots);
            backend.reported_at = now;
        }
    }

    /// The back end wants no requests for `asked_ms`. Returns whether a back-off begins.
    /// That is no failure: it is not ejected, and what it knows is not forgotten.
    pub fn note_backoff(&mut self, now: Millis, id: &BackendId, asked_ms: Millis) -> bool {
        let backend = self.backends.get_mut(id);
        backend.is_some_and(|backend| backend.backoff.ask(now, asked_ms))
    }

    /// The back end said itself that it drains. That holds whatever control processes
    /// still tell of this incarnation, and if none can be reached. Returns whether it is
    /// news.
    pub fn note_draining(&mut self, now: Millis, id: &BackendId) -> bool {
        let is_news = self.table.mark_draining(id);
        self.refresh(now, id);
        is_news
    }

    /// The same for the incarnation with this `memory`, as other daemons say.
    pub fn note_draining_elsewhere(&mut self, now: Millis, memory: u64) -> bool {
        let mut backends = self.backends.values();
        let found = backends.find(|backend| backend.memory == memory);
        let id = found.map(|backend| backend.instance.id.clone());
        id.is_some_and(|id| self.note_draining(now, &id))
    }

    /// Back ends that have a rate limit.
    pub fn limited(&self) -> usize {
        self.limited
    }

    /// The incarnation with this `memory`.
    pub fn find(&self, memory: u64) -> Option<&Backend> {
        let mut backends = self.backends.values();
        backends.find(|backend| backend.memory == memory)
    }

    /// Changes what is known of the limit of a back end.
    fn change_limit(
        &mut self,
        id: &BackendId,
        change: impl FnOnce(&mut Option<KnownLimit>) -> Option<LimitChange>,
    ) -> Option<LimitChange> {
        let backend = self.backends.get_mut(id)?;
        let was_limited = backend.limit.is_some();
        let changed = change(&mut backend.limit);
        let is_limited = backend.limit.is_some();
        if was_limited && !is_limited {
            backend.backoff.return_slowly();
        }
        self.limited = self.limited + usize::from(is_limited) - usize::from(was_limited);
        changed
    }

    /// An answer of the back end tells of its rate limit. Returns what became of that.
    pub fn note_rate(
        &mut self,
        now: Millis,
        id: &BackendId,
        reading: Reading,
    ) -> Option<LimitChange> {
        self.change_limit(id, |limit| KnownLimit::read(limit, now, reading))
    }

    /// Other daemons were told this limit of the incarnation with this `memory`, at
    /// `named_at`.
    pub fn note_rate_elsewhere(
        &mut self,
        named_at: Millis,
        memory: u64,
        rate: Rate,
    ) -> Option<LimitChange> {
        let id = self.find(memory)?.instance.id.clone();
        self.change_limit(&id, |limit| KnownLimit::hear(limit, named_at, rate))
    }

    /// The incarnation with this `memory` named no limit to another daemon at `lifted_at`.
    pub fn note_lifted_elsewhere(&mut self, lifted_at: Millis, memory: u64) -> Option<LimitChange> {
        let id = self.find(memory)?.instance.id.clone();
        self.change_limit(&id, |limit| KnownLimit::hear_lifted(limit, lifted_at))
    }

    /// Control denied a token for the incarnation with this `memory`; see
    /// [`KnownLimit::note_denied`].
    pub fn note_denied(
        &mut self,
        asked_at: Millis,
        memory: u64,
        again_in_ms: Millis,
        priority: u32,
    ) {
        let mut backends = self.backends.values_mut();
        let backend = backends.find(|backend| backend.memory == memory);
        if let Some(limit) = backend.and_then(|backend| backend.limit.as_mut()) {
            limit.note_denied(asked_at, again_in_ms, priority);
        }
    }

    /// A request is sent to the back end without a token, by the daemon's own part of its limit
    /// among so many `daemons`.
    pub fn note_sent_without_token(&mut self, now: Millis, id: &BackendId, daemons: usize) {
        let backend = self.backends.get_mut(id);
        let Some(limit) = backend.and_then(|backend| backend.limit.as_mut()) else {
            return;
        };
        if limit.is_divided(daemons) {
            limit.note_part_used(now, daemons);
        } else {
            limit.note_own_turn(now);
        }
    }

    /// No connection to the back end could be made.
    pub fn note_unreachable(&mut self, now: Millis, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.failures += 1;
            backend.eject(now);
        }
    }

    /// Another daemon found that the incarnation with this `memory` has ended. It is left
    /// out until this daemon could see for itself: 1,004 tries in seven seconds met nobody
    /// at the address of one of 27 back ends that had ended.
    pub fn note_ended_elsewhere(&mut self, now: Millis, memory: u64) {
        let mut backends = self.backends.values_mut();
        if let Some(backend) = backends.find(|backend| backend.memory == memory)
            && backend.in_flight == 0
        {
            let until = now.saturating_add(FIRST_EJECTION_MS);
            backend.ejected_until = backend.ejected_until.max(until);
        }
    }

    /// What answers at the back end's address says that it is another instance. Where
    /// another one is known to have that address, this one has ended, whatever control
    /// processes still say: where they have forgotten it, nothing else would tell this
    /// daemon. Without, it is left out for a while only: a back end that misbehaves may
    /// say so of itself, and one word would end it here for good.
    pub fn note_misdirected(&mut self, now: Millis, id: &BackendId) {
        if self.shares_address(id) {
            self.table.mark_gone(now, id);
            self.remove(id);
        } else {
            self.note_unreachable(now, id);
        }
    }

    fn shares_address(&self, id: &BackendId) -> bool {
        let Some(backend) = self.backends.get(id) else {
            return false;
        };
        let address = backend.instance.address;
        let mut others = self.backends.values();
        others.any(|other| other.instance.id != *id && other.instance.address == address)
    }

    /// The back end gave no proper answer.
    pub fn note_failure(&mut self, now: Millis, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.failures += 1;
            if backend.failures >= FAILURES_TO_EJECT {
                backend.eject(now);
            }
        }
    }
}
