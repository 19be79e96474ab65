//! Selects the back end of a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use coursestand_catalog::Catalog;
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};

use crate::backends::{Backend, Backends, ReportDecay};
use crate::cold::{ColdGate, ColdLimits, OwnerViews};
use crate::completion::{Candidate, choose};
use crate::hash::{combine, hash_of, unit_point};
use crate::ranking::first_ranked;
use crate::rate_limit::LimitAccess;
use crate::shares::RegionShares;
use crate::warm_objects::WarmObjects;
use crate::work_times::{Work, WorkTimes};

/// Number of a key's highest-ranked back ends that are candidates. Lower ranks matter only
/// where a first run of an object costs little compared to a queue (design note 0007).
const MAX_CANDIDATES: usize = 3;

/// The input of a selection.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Hash of the object that the request concerns, or an arbitrary number if there is none.
    pub key: u64,
    /// Whether a back end that served the object recently answers faster.
    pub has_object: bool,
    /// Target latency of the answer, in milliseconds.
    pub objective_ms: Millis,
    /// Regions that may serve the request; empty for all.
    pub allowed_regions: &'a [RegionId],
    /// Back ends to which the request has already been sent.
    pub excluded: &'a [BackendId],
    /// Access of the request to back ends that reported a rate limit.
    pub limits: LimitAccess,
    /// The current time.
    pub now: Millis,
}

/// The selected back end of a request, and the state that the selection was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The back end.
    pub id: BackendId,
    /// Its rank for the key within its region, from 0.
    pub rank: usize,
    /// Its estimated load, in requests.
    pub load: f64,
    /// Age of its latest load report, in milliseconds.
    pub load_age_ms: Millis,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Whether it is ejected, and was selected because no other back end is in service.
    pub is_ejected: bool,
    /// Whether it is warm for the object, as observed by this daemon.
    pub is_warm: bool,
    /// Whether a slot was estimated to be free.
    pub is_free: bool,
    /// Expected time to the answer if the back end is as fast as its peers, in
    /// milliseconds; `None` before any answers were measured.
    pub expected_ms: Option<f64>,
}

/// A request that was sent, with what is needed to learn from its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct SentRequest {
    /// Hash of its object, if a back end that served it recently answers faster.
    pub object: Option<u64>,
    /// The back end to which it was sent.
    pub pick: Pick,
}

/// Reason why no back end was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no eligible back end.
    NoBackend,
    /// All eligible back ends requested a back-off.
    BackingOff {
        /// Time until the first of them accepts a request again, in milliseconds.
        ends_in_ms: Millis,
    },
    /// All eligible back ends are at their rate limits.
    RateLimited {
        /// Time until the first of them may be sent a request, in milliseconds.
        again_in_ms: Millis,
    },
    /// All candidates have longer queues than they can process within the objective.
    Busy {
        /// Time after which the queue is expected to be short enough, in milliseconds.
        drained_in_ms: Millis,
    },
    /// This daemon is partitioned from all eligible back ends.
    Partitioned,
}

/// Name and location of this daemon, and the limits of its deployment.
#[derive(Clone, Debug)]
pub struct PickerConfig {
    /// Name of this daemon.
    pub daemon: String,
    /// Its region.
    pub region: RegionId,
    /// The region of each zone in the deployment.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// Limits on requests to cold back ends.
    pub cold: ColdLimits,
    /// Load balancing parameters.
    pub balance: Balance,
}

/// Load balancing parameters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Ratio of load to capacity from which on a back end gets no more requests, except
    /// those that are expected to complete within their objective.
    pub hard_load: f64,
    /// How the weight of load reports decreases with their age.
    pub report_decay: ReportDecay,
}

/// Requests whose work times are measured together. Requests without an object, such as those
/// of monitors, may take a small fraction of the work of others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WorkKind {
    service: ServiceId,
    /// Zone of the back end.
    zone: ZoneId,
    has_object: bool,
}

impl WorkKind {
    fn at(backend: &Backend, has_object: bool) -> WorkKind {
        WorkKind {
            service: backend.instance.service.clone(),
            zone: backend.instance.zone.clone(),
            has_object,
        }
    }
}

/// Selects back ends for one daemon.
pub struct Picker {
    config: PickerConfig,
    gate: ColdGate,
    shares: HashMap<(ServiceId, Vec<RegionId>), RegionShares>,
    times: HashMap<WorkKind, WorkTimes>,
    warm_objects: WarmObjects,
}

impl Picker {
    /// Returns a picker with this configuration.
    pub fn new(config: PickerConfig) -> Picker {
        Picker {
            config,
            gate: ColdGate::default(),
            shares: HashMap::new(),
            times: HashMap::new(),
            warm_objects: WarmObjects::default(),
        }
    }

    /// Returns the name of this daemon.
    pub fn daemon(&self) -> &str {
        &self.config.daemon
    }

    /// Drops the cached region shares after a change of back ends or evacuations.
    pub fn invalidate(&mut self, now: Millis) {
        self.shares.clear();
        self.gate.forget_idle(now);
    }

    /// Selects the back end of a request.
    pub fn pick(
        &mut self,
        backends: &Backends,
        catalog: &Catalog,
        owners: &OwnerViews,
        request: &PickRequest<'_>,
    ) -> Result<Pick, Refusal> {
        self.pick_reachable(backends, catalog, owners, request, |_| true)
    }

    /// Selects the back end of a request among those for which `is_reachable` returns true: this
    /// daemon is not partitioned from them.
    pub fn pick_reachable(
        &mut self,
        backends: &Backends,
        catalog: &Catalog,
        owners: &OwnerViews,
        request: &PickRequest<'_>,
        is_reachable: impl Fn(&Backend) -> bool,
    ) -> Result<Pick, Refusal> {
        let home = self.home_region(backends, catalog, request);
        let mut usable: Vec<&Backend> = backends
            .of_service(request.service)
            .filter(|backend| self.may_serve(backend, catalog, request.allowed_regions))
            .filter(|backend| !request.excluded.contains(&backend.instance.id))
            .collect();
        let refusal_if_none = refusal_of_all(&usable, request.now);
        usable.retain(|backend| {
            backend.has_capacity(request.now) && backend.admits(request.now, &request.limits)
        });
        if usable.is_empty() {
            return Err(refusal_if_none);
        }
        usable.retain(|backend| is_reachable(backend));
        if usable.is_empty() {
            return Err(Refusal::Partitioned);
        }
        let in_service: Vec<&Backend> = usable
            .iter()
            .copied()
            .filter(|backend| !backend.is_cold(request.now) && !backend.is_ejected(request.now))
            .collect();
        let (near, far): (Vec<&Backend>, Vec<&Backend>) = in_service
            .into_iter()
            .partition(|backend| self.region_of(backend) == home.as_ref());
        // A request that spills over to back ends that are not warm for its object takes
        // several times the work and evicts other warm objects. So a region serves the
        // keys of another one only if that one has no back end in service.
        let group = if near.is_empty() { far } else { near };
        let refusal = match self.pick_among(&group, request) {
            Ok(pick) => return Ok(pick),
            Err(refusal) => refusal,
        };
        if let Some(pick) = self.pick_cold(&usable, catalog, owners, request) {
            return Ok(pick);
        }
        if matches!(refusal, Refusal::Busy { .. }) {
            return Err(refusal);
        }
        self.pick_ejected(&usable, request).ok_or(refusal_if_none)
    }

    /// Records that a back end answered a request after `took_ms`.
    pub fn note_answer(
        &mut self,
        now: Millis,
        backend: &Backend,
        sent: &SentRequest,
        took_ms: f64,
    ) {
        if sent.pick.is_free {
            let kind = WorkKind::at(backend, sent.object.is_some());
            let times = self.times.entry(kind).or_default();
            times.record(sent.pick.is_warm, took_ms);
        }
        if let Some(object) = sent.object {
            let object = combine(hash_of(backend.instance.service.as_str()), object);
            self.warm_objects
                .record(now, object, backend.incarnation_hash);
        }
    }

    /// Counts a request sent to a back end if the back end is cold.
    pub fn note_sent(&mut self, now: Millis, backend: &Backend) {
        if backend.is_cold(now) {
            self.gate.note(now, &backend.instance.id);
        }
    }

    fn region_of(&self, backend: &Backend) -> Option<&RegionId> {
        self.config.zones.get(&backend.instance.zone)
    }

    fn may_serve(&self, backend: &Backend, catalog: &Catalog, allowed: &[RegionId]) -> bool {
        let is_allowed = allowed.is_empty()
            || self
                .region_of(backend)
                .is_some_and(|region| allowed.contains(region));
        is_allowed && backend.is_ready() && !catalog.is_evacuated(&backend.instance.zone)
    }

    /// Returns the region to which the key is assigned.
    fn home_region(
        &mut self,
        backends: &Backends,
        catalog: &Catalog,
        request: &PickRequest<'_>,
    ) -> Option<RegionId> {
        let cache_key = (request.service.clone(), request.allowed_regions.to_vec());
        let point = unit_point(combine(hash_of(request.service.as_str()), request.key));
        if let Some(shares) = self.shares.get(&cache_key) {
            return shares.region_at(point).cloned();
        }
        let mut capacity: BTreeMap<RegionId, f64> = BTreeMap::new();
        // Cold and ejected back ends also count, so that keys don't move because of
        // transient states.
        for backend in backends.of_service(request.service) {
            if self.may_serve(backend, catalog, request.allowed_regions)
                && let Some(region) = self.region_of(backend)
            {
                *capacity.entry(region.clone()).or_default() +=
                    f64::from(backend.instance.capacity);
            }
        }
        let regions: BTreeSet<&RegionId> = self.config.zones.values().collect();
        let shares = RegionShares::new(&self.config.region, &capacity, regions.len());
        let region = shares.region_at(point).cloned();
        self.shares.insert(cache_key, shares);
        region
    }

    /// Selects a cold back end that this daemon owns, within the daemon's share of its limit.
    /// Used only when no other back end can serve the request.
    fn pick_cold(
        &mut self,
        usable: &[&Backend],
        catalog: &Catalog,
        owners: &OwnerViews,
        request: &PickRequest<'_>,
    ) -> Option<Pick> {
        let per_second = catalog.service(request.service)?.cold_per_second;
        let share = self.config.cold.owner_share(per_second);
        let now = request.now;
        let cold = usable
            .iter()
            .copied()
            .filter(|backend| backend.is_cold(now) && !backend.is_ejected(now));
        for backend in cold {
            let id = &backend.instance.id;
            let is_owner = owners.is_owner(now, &self.config.daemon, id);
            if is_owner && self.gate.has_capacity(now, id, share) {
                return Some(self.pick_of(backend, 0, request));
            }
        }
        None
    }

    /// Selects the back end with the fewest requests in flight, ejected ones included. Used
    /// as the last resort.
    fn pick_ejected(&self, usable: &[&Backend], request: &PickRequest<'_>) -> Option<Pick> {
        usable
            .iter()
            .filter(|backend| !backend.is_cold(request.now))
            .min_by_key(|backend| backend.in_flight)
            .map(|backend| self.pick_of(backend, 0, request))
    }

    fn work_at(&self, backend: &Backend, has_object: bool) -> Option<Work> {
        let kind = WorkKind::at(backend, has_object);
        self.times.get(&kind).and_then(WorkTimes::work)
    }

    fn is_warm(&self, backend: &Backend, request: &PickRequest<'_>) -> bool {
        let object = combine(hash_of(request.service.as_str()), request.key);
        !request.has_object
            || self
                .warm_objects
                .is_warm(request.now, object, backend.incarnation_hash)
    }

    /// Returns the estimated state of a back end for the request. The first back end in the
    /// key's order counts as warm: all daemons of the region send the object there.
    fn candidate(&self, backend: &Backend, rank: usize, request: &PickRequest<'_>) -> Candidate {
        Candidate {
            load: backend.load(request.now, self.config.balance.report_decay),
            slots: f64::from(backend.instance.capacity.max(1)),
            is_first: rank == 0,
            is_warm: rank == 0 || self.is_warm(backend, request),
        }
    }

    fn pick_of(&self, backend: &Backend, rank: usize, request: &PickRequest<'_>) -> Pick {
        let candidate = self.candidate(backend, rank, request);
        let work = self.work_at(backend, request.has_object);
        let wait_ms = work.map_or(0.0, |work| candidate.wait_ms(&work));
        Pick {
            id: backend.instance.id.clone(),
            rank,
            load: candidate.load,
            load_age_ms: backend.load_age(request.now),
            is_cold: backend.is_cold(request.now),
            is_ejected: backend.is_ejected(request.now),
            is_warm: self.is_warm(backend, request),
            is_free: candidate.is_free(),
            expected_ms: work.map(|work| wait_ms + work.warm_ms),
        }
    }

    /// Selects the back end with the lowest cost among the highest-ranked ones of the key.
    /// Back ends of lower ranks are not warm for the object.
    fn pick_among(&self, group: &[&Backend], request: &PickRequest<'_>) -> Result<Pick, Refusal> {
        if group.is_empty() {
            return Err(Refusal::NoBackend);
        }
        let weighted = group.iter().map(|backend| {
            let weight = f64::from(backend.instance.capacity.max(1));
            (*backend, backend.hash, weight)
        });
        let ranked: Vec<&Backend> = first_ranked(request.key, weighted, MAX_CANDIDATES);
        let candidates: Vec<Candidate> = ranked
            .iter()
            .enumerate()
            .map(|(rank, backend)| self.candidate(backend, rank, request))
            .collect();
        let work = ranked
            .first()
            .and_then(|backend| self.work_at(backend, request.has_object));
        let objective_ms = request.objective_ms as f64;
        let hard_load = self.config.balance.hard_load;
        let rank = choose(&candidates, work.as_ref(), objective_ms, hard_load).map_err(|busy| {
            Refusal::Busy {
                drained_in_ms: busy.drained_in_ms as Millis,
            }
        })?;
        Ok(self.pick_of(ranked[rank], rank, request))
    }
}

/// Returns the refusal of a request that none of the `usable` back ends accepts: the one
/// whose back-off ends first, or for which a token may be issued first, determines it.
fn refusal_of_all(usable: &[&Backend], now: Millis) -> Refusal {
    let refusals = usable.iter().filter_map(|backend| {
        if !backend.has_capacity(now) {
            let ends_in_ms = backend.backoff_left_ms(now);
            return Some((ends_in_ms, Refusal::BackingOff { ends_in_ms }));
        }
        let again_in_ms = backend.limit()?.denied_ms(now);
        Some((again_in_ms, Refusal::RateLimited { again_in_ms }))
    });
    let first = refusals.min_by_key(|(left_ms, _)| *left_ms);
    first.map_or(Refusal::NoBackend, |(_, refusal)| refusal)
}
