//! Picks the back end of a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use coursestand_catalog::Catalog;
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};

use crate::backends::{Backend, Backends, ReportTrust};
use crate::cold::{ColdGate, ColdLimits, OwnerViews};
use crate::completion::{Candidate, choose};
use crate::hash::{combine, hash_of, unit_point};
use crate::knowledge::Knowledge;
use crate::ranking::first_ranked;
use crate::rate_limit::LimitAccess;
use crate::shares::RegionShares;
use crate::work_times::{Work, WorkTimes};

/// Back ends among which a key chooses, in its order. More than one matter only
/// where a first run is cheap against a queue (design note 0007).
const CHOICES: usize = 3;

/// What a pick depends on.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Hash of the object that the request concerns, or any number.
    pub key: u64,
    /// Whether a back end that saw the object recently is quicker.
    pub has_object: bool,
    /// Time within which the answer is wanted, in milliseconds.
    pub objective_ms: Millis,
    /// Regions that may serve it; empty for all.
    pub allowed_regions: &'a [RegionId],
    /// Back ends that it was sent to already.
    pub excluded: &'a [BackendId],
    /// How it may reach back ends that named a rate limit.
    pub limits: LimitAccess,
    /// The time.
    pub now: Millis,
}

/// The back end of a request, and what decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The back end.
    pub id: BackendId,
    /// Its rank for the key within its region, from 0.
    pub rank: usize,
    /// Its load as known.
    pub load: f64,
    /// Age of that knowledge in milliseconds.
    pub load_age_ms: Millis,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Whether this daemon has seen that it knows the object.
    pub knows: bool,
    /// Whether a slot was thought to be free.
    pub is_free: bool,
    /// Time in which an answer is expected if it is as quick as its peers, in
    /// milliseconds; none before anything is learned.
    pub expected_ms: Option<f64>,
}

/// A request that was sent, as far as its answer tells something.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Hash of its object, if a back end that saw it is quicker.
    pub object: Option<u64>,
    /// Where it went.
    pub pick: Pick,
}

/// Why no back end was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no back end that may be used.
    NoBackend,
    /// All back ends that may be used asked for a back-off.
    BackingOff {
        /// After which the first of them takes a request again, in milliseconds.
        ends_in_ms: Millis,
    },
    /// All back ends that may be used are at the rate limit that they named.
    RateLimited {
        /// After which the first of them may take a request, in milliseconds.
        again_in_ms: Millis,
    },
    /// All of them have more than they can work off in time.
    Busy {
        /// After which that is likely to have changed, in milliseconds.
        drained_in_ms: Millis,
    },
}

/// Where this daemon is, and the bounds that hold in its deployment.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of this daemon.
    pub daemon: String,
    /// Its region.
    pub region: RegionId,
    /// The region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// Bound on requests to cold back ends.
    pub cold: ColdLimits,
    /// How load is balanced.
    pub balance: Balance,
}

/// How load is balanced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Load over capacity from which on a back end gets nothing more, unless
    /// the request is expected to be done within its objective all the same.
    pub hard_load: f64,
    /// How long load reports are believed.
    pub trust: ReportTrust,
}

/// Picks back ends for one daemon.
pub struct Picker {
    place: Place,
    gate: ColdGate,
    shares: HashMap<(ServiceId, Vec<RegionId>), RegionShares>,
    /// What requests to back ends of a service in a zone take.
    times: HashMap<(ServiceId, ZoneId), WorkTimes>,
    knowledge: Knowledge,
}

impl Picker {
    /// A picker for a daemon at `place`.
    pub fn new(place: Place) -> Picker {
        Picker {
            place,
            gate: ColdGate::default(),
            shares: HashMap::new(),
            times: HashMap::new(),
            knowledge: Knowledge::default(),
        }
    }

    /// Name of this daemon.
    pub fn daemon(&self) -> &str {
        &self.place.daemon
    }

    /// Back ends or evacuations changed: shares are worked out anew.
    pub fn invalidate(&mut self, now: Millis) {
        self.shares.clear();
        self.gate.forget_idle(now);
    }

    /// Picks the back end of a request.
    pub fn pick(
        &mut self,
        backends: &Backends,
        catalog: &Catalog,
        owners: &OwnerViews,
        request: &PickRequest<'_>,
    ) -> Result<Pick, Refusal> {
        let home = self.home_region(backends, catalog, request);
        let mut usable: Vec<&Backend> = backends
            .of_service(request.service)
            .filter(|backend| self.may_serve(backend, catalog, request.allowed_regions))
            .filter(|backend| !request.excluded.contains(&backend.instance.id))
            .collect();
        let none_left = refusal_without(&usable, request.now);
        usable.retain(|backend| {
            backend.has_room(request.now) && backend.admits(request.now, &request.limits)
        });
        if usable.is_empty() {
            return Err(none_left);
        }
        let warm: Vec<&Backend> = usable
            .iter()
            .copied()
            .filter(|backend| !backend.is_cold(request.now) && !backend.is_ejected(request.now))
            .collect();
        let (near, far): (Vec<&Backend>, Vec<&Backend>) = warm
            .into_iter()
            .partition(|backend| self.region_of(backend) == home.as_ref());
        // Requests that spill over to where their objects are not known cost
        // several times the work, and push known objects out: a region takes the
        // keys of another one only when that has no back end left.
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
        self.pick_ejected(&usable, request).ok_or(none_left)
    }

    /// A back end answered a request after `took_ms`.
    pub fn note_answer(&mut self, now: Millis, backend: &Backend, asked: &Asked, took_ms: f64) {
        if asked.pick.is_free {
            let place = (
                backend.instance.service.clone(),
                backend.instance.zone.clone(),
            );
            let times = self.times.entry(place).or_default();
            times.learn(asked.pick.knows, took_ms);
        }
        if let Some(object) = asked.object {
            let object = combine(hash_of(backend.instance.service.as_str()), object);
            self.knowledge.note(now, object, backend.memory);
        }
    }

    /// A request goes to a back end; counts it if the back end is cold.
    pub fn note_sent(&mut self, now: Millis, backend: &Backend) {
        if backend.is_cold(now) {
            self.gate.note(now, &backend.instance.id);
        }
    }

    fn region_of(&self, backend: &Backend) -> Option<&RegionId> {
        self.place.zones.get(&backend.instance.zone)
    }

    fn may_serve(&self, backend: &Backend, catalog: &Catalog, allowed: &[RegionId]) -> bool {
        let is_allowed = allowed.is_empty()
            || self
                .region_of(backend)
                .is_some_and(|region| allowed.contains(region));
        is_allowed && backend.is_ready() && !catalog.is_evacuated(&backend.instance.zone)
    }

    /// The region in which the key has its place.
    fn home_region(
        &mut self,
        backends: &Backends,
        catalog: &Catalog,
        request: &PickRequest<'_>,
    ) -> Option<RegionId> {
        let known = (request.service.clone(), request.allowed_regions.to_vec());
        let point = unit_point(combine(hash_of(request.service.as_str()), request.key));
        if let Some(shares) = self.shares.get(&known) {
            return shares.region_at(point).cloned();
        }
        let mut capacity: BTreeMap<RegionId, f64> = BTreeMap::new();
        // Back ends that are cold or left out for a moment count as well, so that
        // keys don't move for something that passes.
        for backend in backends.of_service(request.service) {
            if self.may_serve(backend, catalog, request.allowed_regions)
                && let Some(region) = self.region_of(backend)
            {
                *capacity.entry(region.clone()).or_default() +=
                    f64::from(backend.instance.capacity);
            }
        }
        let regions: BTreeSet<&RegionId> = self.place.zones.values().collect();
        let shares = RegionShares::new(&self.place.region, &capacity, regions.len());
        let region = shares.region_at(point).cloned();
        self.shares.insert(known, shares);
        region
    }

    /// Cold back ends serve what no other can, within this daemon's share.
    fn pick_cold(
        &mut self,
        usable: &[&Backend],
        catalog: &Catalog,
        owners: &OwnerViews,
        request: &PickRequest<'_>,
    ) -> Option<Pick> {
        let per_second = catalog.service(request.service)?.cold_per_second;
        let share = self.place.cold.share_of_owner(per_second);
        let now = request.now;
        let cold = usable
            .iter()
            .copied()
            .filter(|backend| backend.is_cold(now) && !backend.is_ejected(now));
        for backend in cold {
            let id = &backend.instance.id;
            let is_owner = owners.is_owner(now, &self.place.daemon, id);
            if is_owner && self.gate.has_room(now, id, share) {
                return Some(self.pick_of(backend, 0, request));
            }
        }
        None
    }

    /// With nothing better left, the back end with the fewest requests.
    fn pick_ejected(&self, usable: &[&Backend], request: &PickRequest<'_>) -> Option<Pick> {
        usable
            .iter()
            .filter(|backend| !backend.is_cold(request.now))
            .min_by_key(|backend| backend.in_flight)
            .map(|backend| self.pick_of(backend, 0, request))
    }

    fn work_at(&self, backend: &Backend) -> Option<Work> {
        let instance = &backend.instance;
        let place = (instance.service.clone(), instance.zone.clone());
        self.times.get(&place).and_then(WorkTimes::work)
    }

    fn knows(&self, backend: &Backend, request: &PickRequest<'_>) -> bool {
        let object = combine(hash_of(request.service.as_str()), request.key);
        !request.has_object || self.knowledge.knows(request.now, object, backend.memory)
    }

    /// What is believed of a back end. The first of the key's order is taken to
    /// know the object: all daemons of the region send it there.
    fn candidate(&self, backend: &Backend, rank: usize, request: &PickRequest<'_>) -> Candidate {
        Candidate {
            load: backend.load(request.now, self.place.balance.trust),
            slots: f64::from(backend.instance.capacity.max(1)),
            is_first: rank == 0,
            knows: rank == 0 || self.knows(backend, request),
        }
    }

    fn pick_of(&self, backend: &Backend, rank: usize, request: &PickRequest<'_>) -> Pick {
        let candidate = self.candidate(backend, rank, request);
        let work = self.work_at(backend);
        let wait_ms = work.map_or(0.0, |work| candidate.wait_ms(&work));
        Pick {
            id: backend.instance.id.clone(),
            rank,
            load: candidate.load,
            load_age_ms: backend.load_age(request.now),
            is_cold: backend.is_cold(request.now),
            knows: self.knows(backend, request),
            is_free: candidate.is_free(),
            expected_ms: work.map(|work| wait_ms + work.known_ms),
        }
    }

    /// The back end of the key's first ranks that has the request done at the
    /// least cost. Other back ends don't know the object.
    fn pick_among(&self, group: &[&Backend], request: &PickRequest<'_>) -> Result<Pick, Refusal> {
        if group.is_empty() {
            return Err(Refusal::NoBackend);
        }
        let weighted = group.iter().map(|backend| {
            let weight = f64::from(backend.instance.capacity.max(1));
            (*backend, backend.hash, weight)
        });
        let chosen: Vec<&Backend> = first_ranked(request.key, weighted, CHOICES);
        let candidates: Vec<Candidate> = chosen
            .iter()
            .enumerate()
            .map(|(rank, backend)| self.candidate(backend, rank, request))
            .collect();
        let work = chosen.first().and_then(|backend| self.work_at(backend));
        let objective_ms = request.objective_ms as f64;
        let hard_load = self.place.balance.hard_load;
        let rank = choose(&candidates, work.as_ref(), objective_ms, hard_load).map_err(|busy| {
            Refusal::Busy {
                drained_in_ms: busy.drained_in_ms as Millis,
            }
        })?;
        Ok(self.pick_of(chosen[rank], rank, request))
    }
}

/// Why a request is refused that none of `usable` takes now: the first back-off that ends, or
/// the first token that may be issued, changes that.
fn refusal_without(usable: &[&Backend], now: Millis) -> Refusal {
    let refusals = usable.iter().filter_map(|backend| {
        if !backend.has_room(now) {
            let ends_in_ms = backend.backoff_left_ms(now);
            return Some((ends_in_ms, Refusal::BackingOff { ends_in_ms }));
        }
        let again_in_ms = backend.limit()?.denied_ms(now);
        Some((again_in_ms, Refusal::RateLimited { again_in_ms }))
    });
    let first = refusals.min_by_key(|(left_ms, _)| *left_ms);
    first.map_or(Refusal::NoBackend, |(_, refusal)| refusal)
}
