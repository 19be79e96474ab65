//! The back ends as seen by one entry daemon: their state from discovery, combined with the
//! load, failures and limits that the daemon's own requests show.

use std::collections::{BTreeSet, HashMap};

use coursestand_discovery::table::KnownInstance;
use coursestand_discovery::{Instance, InstancePhase, InstanceTable, InstanceUpdate};
use coursestand_model::{BackendId, Millis, ServiceId};

use crate::backoff::Backoff;
use crate::hash::{combine, hash_of};
use crate::rate_limit::{KnownLimit, LimitAccess, LimitChange, Rate, RateLimitSignal, Reading};

/// First ejection time of a back end that refuses connections; doubles with each further
/// failure.
const FIRST_EJECTION_MS: Millis = 500;
/// Maximum ejection time.
const MAX_EJECTION_MS: Millis = 8_000;
/// Consecutive failures of other kinds after which a back end is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Load that a back end reported with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
}

/// What a back end reports about itself with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendReport {
    /// Its load, if reported.
    pub load: Option<LoadReport>,
    /// The back-off that it requests from this daemon, in milliseconds.
    pub backoff_ms: Option<Millis>,
    /// Whether it is draining: it accepts no new requests and terminates soon.
    pub is_draining: bool,
    /// The maximum rate that it accepts from all daemons together.
    pub rate: RateLimitSignal,
}

/// Time constant of the average of the reported load.
const AVERAGE_LOAD_TIME_CONSTANT_MS: f64 = 4_000.0;
/// Time in which the average load loses half of its weight when no reports arrive.
const AVERAGE_LOAD_HALF_LIFE_MS: f64 = 8_000.0;

/// How the weight of a load report decreases with its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportDecay {
    /// Age up to which a report has full weight.
    pub hold_ms: Millis,
    /// Time in which it loses half of its weight after that.
    pub half_life_ms: Millis,
}

impl ReportDecay {
    /// Returns the weight of a report of this age in milliseconds, from 1 down to 0.
    pub fn weight(self, age: Millis) -> f64 {
        let past_hold = age.saturating_sub(self.hold_ms) as f64;
        (-past_hold / self.half_life_ms.max(1) as f64).exp2()
    }
}

/// Whether a connection has to succeed before a back end gets requests again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    /// It can be reached, as far as is known.
    NotNeeded,
    /// It could not be reached, and is probed after its ejection time.
    Needed,
    /// A probe is in progress.
    InProgress,
}

/// Result of a probe: a connection without a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was accepted.
    Accepted,
    /// The connection was refused, or not accepted in time.
    Failed,
    /// The machine's own link is congested: the probe says nothing about the back end.
    Inconclusive,
}

/// One back end.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its instance as announced by discovery.
    pub instance: Instance,
    /// Hash of its identity.
    pub hash: u64,
    /// Hash of its identity and incarnation. A new incarnation is warm for none of the
    /// objects of the previous one.
    pub incarnation_hash: u64,
    /// Time until which it counts as cold.
    pub cold_until: Millis,
    /// Requests of this daemon that are in flight there.
    pub in_flight: u32,
    /// Requests of other daemons by the latest report, and the time of that report.
    others_load: f64,
    reported_at: Millis,
    /// Moving average of the requests of other daemons.
    average_others_load: f64,
    failures: u32,
    ejected_until: Millis,
    probe: ProbeState,
    backoff: Backoff,
    limit: Option<KnownLimit>,
}

impl Backend {
    fn new(update: InstanceUpdate, now: Millis) -> Backend {
        Backend {
            hash: hash_of(update.instance.id.as_str()),
            incarnation_hash: incarnation_hash_of(&update.instance),
            cold_until: now.saturating_add(update.cold_ms),
            instance: update.instance,
            in_flight: 0,
            others_load: 0.0,
            reported_at: now,
            average_others_load: 0.0,
            failures: 0,
            ejected_until: 0,
            probe: ProbeState::NotNeeded,
            backoff: Backoff::default(),
            limit: None,
        }
    }

    /// Returns the estimated number of requests that it has at present.
    ///
    /// The estimate of the requests of other daemons decays from the latest report towards
    /// their average: in a large fleet a daemon rarely receives a report of a back end, and
    /// a permanently overloaded one is still overloaded when its last report is old.
    pub fn load(&self, now: Millis, report_decay: ReportDecay) -> f64 {
        let age = self.load_age(now);
        let average = self.average_others_load * (-(age as f64) / AVERAGE_LOAD_HALF_LIFE_MS).exp2();
        let others = average + (self.others_load - average) * report_decay.weight(age);
        f64::from(self.in_flight) + others
    }

    fn record_report(&mut self, now: Millis, report: LoadReport) {
        let all = f64::from(report.running) + f64::from(report.waiting);
        let others = (all - f64::from(self.in_flight)).max(0.0);
        let gain = 1.0 - (-(self.load_age(now) as f64) / AVERAGE_LOAD_TIME_CONSTANT_MS).exp();
        self.average_others_load += (others - self.average_others_load) * gain;
        self.others_load = others;
        self.reported_at = now;
    }

    /// Returns the age of its latest load report, in milliseconds.
    pub fn load_age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.reported_at)
    }

    /// Returns whether it counts as cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether it is ejected because of failures. A back end that could not be reached
    /// stays ejected until a connection to it succeeds.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until || self.probe != ProbeState::NotNeeded
    }

    /// Returns whether its ejection time is over and a probe has to show whether it accepts
    /// connections again.
    fn is_probe_due(&self, now: Millis) -> bool {
        now >= self.ejected_until && self.probe == ProbeState::Needed
    }

    /// Returns whether a back-off that it requested is active.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        self.backoff.is_active(now)
    }

    /// Returns the time until its back-off ends, in milliseconds.
    pub fn backoff_left_ms(&self, now: Millis) -> Millis {
        self.backoff.left_ms(now)
    }

    /// Returns whether the back-off that it requested, if any, and the slow start after it
    /// allow another request.
    pub fn has_capacity(&self, now: Millis) -> bool {
        self.backoff.has_capacity(now, self.in_flight)
    }

    /// Returns the rate limit that it reported, if any.
    pub fn limit(&self) -> Option<&KnownLimit> {
        self.limit.as_ref()
    }

    /// Returns whether its rate limit, if any, allows a request with this access.
    pub fn admits(&self, now: Millis, access: &LimitAccess) -> bool {
        let limit = self.limit.as_ref();
        limit.is_none_or(|limit| access.admits(now, self.incarnation_hash, limit))
    }

    /// Returns whether it accepts new requests: it is neither starting nor draining.
    pub fn is_ready(&self) -> bool {
        self.instance.phase == InstancePhase::Ready
    }

    fn eject(&mut self, now: Millis) {
        let doublings = self.failures.saturating_sub(1).min(8);
        let ejection_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.ejected_until = now + ejection_ms;
    }
}

/// Returns the hash that identifies an incarnation.
fn incarnation_hash_of(instance: &Instance) -> u64 {
    let hash = hash_of(instance.id.as_str());
    instance.born.map_or(hash, |born| combine(hash, born))
}

/// All known back ends by identity, and by service.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    table: InstanceTable,
    backends: HashMap<BackendId, Backend>,
    by_service: HashMap<ServiceId, Vec<BackendId>>,
    /// Number of back ends that have a rate limit.
    limited_count: usize,
    /// Back ends that could not be reached and have not been reached since.
    unreachable: BTreeSet<BackendId>,
}

impl Backends {
    /// Merges an update of an instance. Returns whether anything changed.
    pub fn merge(&mut self, now: Millis, update: InstanceUpdate) -> bool {
        let changed = self.table.adopt(now, update);
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
        // A later incarnation counts as a new back end: learned state and requests in
        // flight are not carried over.
        let previous = self.backends.get(id);
        if previous.is_some_and(|previous| known.instance.starts_after(&previous.instance)) {
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
        self.unreachable.remove(id);
        let Some(backend) = self.backends.remove(id) else {
            return;
        };
        self.limited_count -= usize::from(backend.limit.is_some());
        if let Some(ids) = self.by_service.get_mut(&backend.instance.service) {
            ids.retain(|known| known != id);
        }
    }

    /// Returns the back end with this identity.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Iterates over the back ends of a service that have not terminated.
    pub fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = &Backend> {
        self.by_service
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|id| self.backends.get(id))
    }

    /// Iterates over the services that have, or had, back ends.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.by_service.keys()
    }

    /// Iterates over all back ends that have not terminated.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Treats all back ends for which `is_in_zone` returns true as cold until `until`.
    pub fn treat_as_cold(&mut self, until: Millis, is_in_zone: impl Fn(&Instance) -> bool) {
        for backend in self.backends.values_mut() {
            if is_in_zone(&backend.instance) {
                backend.cold_until = backend.cold_until.max(until);
            }
        }
    }

    /// Records that a request is sent to the back end.
    pub fn start(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight += 1;
        }
    }

    /// Records that a started request has ended.
    pub fn finish(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    /// Records an answer of the back end, with its load if reported. The answered request
    /// counts as in flight until [`Backends::finish`].
    pub fn note_answer(&mut self, now: Millis, id: &BackendId, report: Option<LoadReport>) {
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        backend.failures = 0;
        backend.ejected_until = 0;
        backend.probe = ProbeState::NotNeeded;
        backend.backoff.note_answer(now, backend.instance.capacity);
        if let Some(report) = report {
            backend.record_report(now, report);
        }
        self.unreachable.remove(id);
    }

    /// Records that the back end refused a request. Without a reported load the back end
    /// counts as overloaded, unless it requested a back-off.
    pub fn note_shed(&mut self, now: Millis, id: &BackendId, report: &BackendReport) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.backoff.note_refusal();
            if let Some(load) = report.load {
                backend.record_report(now, load);
                return;
            }
            if report.backoff_ms.is_some() {
                return;
            }
            let slots = f64::from(backend.instance.capacity);
            backend.others_load = backend.others_load.max(4.0 * slots);
            backend.reported_at = now;
        }
    }

    /// Records that the back end requested a back-off. Returns whether a new back-off begins.
    /// A back-off is not a failure: the back end is not ejected and stays warm for its
    /// objects.
    pub fn note_backoff(&mut self, now: Millis, id: &BackendId, requested_ms: Millis) -> bool {
        let backend = self.backends.get_mut(id);
        backend.is_some_and(|backend| backend.backoff.request(now, requested_ms))
    }

    /// Records that the back end itself reported that it is draining. This takes precedence
    /// over the state that control processes announce for this incarnation. Returns whether
    /// the report is new.
    pub fn note_draining(&mut self, now: Millis, id: &BackendId) -> bool {
        let is_new = self.table.mark_draining(id);
        self.refresh(now, id);
        is_new
    }

    /// Records that other daemons reported that this incarnation is draining.
    pub fn note_remote_draining(&mut self, now: Millis, incarnation_hash: u64) -> bool {
        let mut backends = self.backends.values();
        let found = backends.find(|backend| backend.incarnation_hash == incarnation_hash);
        let id = found.map(|backend| backend.instance.id.clone());
        id.is_some_and(|id| self.note_draining(now, &id))
    }

    /// Returns the number of back ends that have a rate limit.
    pub fn limited_count(&self) -> usize {
        self.limited_count
    }

    /// Returns the back end with this incarnation hash.
    pub fn find_incarnation(&self, incarnation_hash: u64) -> Option<&Backend> {
        let mut backends = self.backends.values();
        backends.find(|backend| backend.incarnation_hash == incarnation_hash)
    }

    /// Changes the known rate limit of a back end. When a limit is lifted, the back end gets a
    /// slow start.
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
            backend.backoff.begin_slow_start();
        }
        self.limited_count =
            self.limited_count + usize::from(is_limited) - usize::from(was_limited);
        changed
    }

    /// Records the rate limit reported by an answer of the back end. Returns the resulting
    /// change.
    pub fn note_rate(
        &mut self,
        now: Millis,
        id: &BackendId,
        reading: Reading,
    ) -> Option<LimitChange> {
        self.change_limit(id, |limit| KnownLimit::apply_reading(limit, now, reading))
    }

    /// Records that this incarnation reported a rate limit to other daemons at `reported_at`.
    pub fn note_remote_rate(
        &mut self,
        reported_at: Millis,
        incarnation_hash: u64,
        rate: Rate,
    ) -> Option<LimitChange> {
        let id = self.find_incarnation(incarnation_hash)?.instance.id.clone();
        self.change_limit(&id, |limit| {
            KnownLimit::apply_reported(limit, reported_at, rate)
        })
    }

    /// Records that this incarnation reported to another daemon at `lifted_at` that it has
    /// no limit.
    pub fn note_remote_limit_lifted(
        &mut self,
        lifted_at: Millis,
        incarnation_hash: u64,
    ) -> Option<LimitChange> {
        let id = self.find_incarnation(incarnation_hash)?.instance.id.clone();
        self.change_limit(&id, |limit| {
            KnownLimit::apply_reported_lift(limit, lifted_at)
        })
    }

    /// Records that control denied a token for this incarnation; see
    /// [`KnownLimit::note_denied`].
    pub fn note_denied(
        &mut self,
        requested_at: Millis,
        incarnation_hash: u64,
        again_in_ms: Millis,
        priority: u32,
    ) {
        let mut backends = self.backends.values_mut();
        let backend = backends.find(|backend| backend.incarnation_hash == incarnation_hash);
        if let Some(limit) = backend.and_then(|backend| backend.limit.as_mut()) {
            limit.note_denied(requested_at, again_in_ms, priority);
        }
    }

    /// Records that a request is sent to the back end without a token, within the daemon's own
    /// share of the limit, which is divided among `daemons`.
    pub fn note_sent_without_token(&mut self, now: Millis, id: &BackendId, daemons: usize) {
        let backend = self.backends.get_mut(id);
        let Some(limit) = backend.and_then(|backend| backend.limit.as_mut()) else {
            return;
        };
        if limit.is_divided(daemons) {
            limit.note_divided_share_used(now, daemons);
        } else {
            limit.note_fallback_turn(now);
        }
    }

    /// Records that no connection to the back end could be established, and ejects it until a
    /// probe succeeds: with an ejection that only lapses, each request whose key prefers the
    /// back end would meet it again.
    pub fn note_unreachable(&mut self, now: Millis, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.failures += 1;
            backend.eject(now);
            backend.probe = ProbeState::Needed;
            self.unreachable.insert(id.clone());
        }
    }

    /// Returns the back ends of a service that have to be probed now. Each is returned again
    /// only after [`Backends::note_probe`].
    pub fn take_due_probes(&mut self, now: Millis, service: &ServiceId) -> Vec<Instance> {
        let mut due = Vec::new();
        for id in &self.unreachable {
            if let Some(backend) = self.backends.get_mut(id)
                && backend.instance.service == *service
                && backend.is_probe_due(now)
            {
                backend.probe = ProbeState::InProgress;
                due.push(backend.instance.clone());
            }
        }
        due
    }

    /// Returns the back ends for which `is_affected` returns true to service: their failures are
    /// those of this daemon's path to them.
    pub fn forgive_failures(&mut self, is_affected: impl Fn(&Instance) -> bool) {
        for backend in self.backends.values_mut() {
            if is_affected(&backend.instance) {
                backend.failures = 0;
                backend.ejected_until = 0;
                backend.probe = ProbeState::NotNeeded;
                self.unreachable.remove(&backend.instance.id);
            }
        }
    }

    /// Records the outcome of a probe of the back end.
    pub fn note_probe(&mut self, now: Millis, id: &BackendId, outcome: ProbeOutcome) {
        if outcome == ProbeOutcome::Failed {
            return self.note_unreachable(now, id);
        }
        if let Some(backend) = self.backends.get_mut(id) {
            backend.probe = ProbeState::NotNeeded;
            if outcome == ProbeOutcome::Accepted {
                backend.failures = 0;
            }
        }
        self.unreachable.remove(id);
    }

    /// Records that another daemon detected a crash of this incarnation. The back end is
    /// ejected until this daemon has probed it: without this, each daemon would send requests
    /// to it to detect the crash itself.
    pub fn note_remote_crash(&mut self, now: Millis, incarnation_hash: u64) {
        let mut backends = self.backends.values_mut();
        if let Some(backend) = backends.find(|backend| backend.incarnation_hash == incarnation_hash)
            && backend.in_flight == 0
        {
            let until = now.saturating_add(FIRST_EJECTION_MS);
            backend.ejected_until = backend.ejected_until.max(until);
            if backend.probe == ProbeState::NotNeeded {
                backend.probe = ProbeState::Needed;
            }
            self.unreachable.insert(backend.instance.id.clone());
        }
    }

    /// Records that the process at the back end's address identified itself as another
    /// instance. If another back end is known at that address, this one has terminated and is
    /// removed, even if control processes announce it: after they have dropped it, they never
    /// report its termination to this daemon. Otherwise it is only ejected: a faulty back end
    /// may report a wrong identity, and one such answer must not remove it for good.
    pub fn note_misdirected(&mut self, now: Millis, id: &BackendId) {
        if self.shares_address(id) {
            self.table.mark_gone(now, id);
            self.remove(id);
        } else if let Some(backend) = self.backends.get_mut(id) {
            backend.failures += 1;
            backend.eject(now);
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

    /// Records that the back end gave no valid answer, and ejects it after several
    /// consecutive failures of this kind.
    pub fn note_failure(&mut self, now: Millis, id: &BackendId) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.failures += 1;
            if backend.failures >= FAILURES_TO_EJECT {
                backend.eject(now);
            }
        }
    }
}
