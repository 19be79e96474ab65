//! Picks the back end of a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use coursestand_catalog::Catalog;
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};

use crate::backends::{Backend, Backends, ReportTrust};
use crate::cold::{ColdGate, ColdLimits, owner};
use crate::hash::{combine, hash_of, unit_point};
use crate::ranking::rank;
use crate::shares::RegionShares;

/// Ranks among which a key looks for a back end below the soft load.
const CHOICES: usize = 2;

/// What a pick depends on.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Hash of the object that the request concerns.
    pub key: u64,
    /// Regions that may serve it; empty for all.
    pub allowed_regions: &'a [RegionId],
    /// Back ends that it was sent to already.
    pub excluded: &'a [BackendId],
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
}

/// Why no back end was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The service has no back end that may be used.
    NoBackend,
    /// All of them have more than they can work off.
    Busy,
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
    /// Load over capacity up to which a key keeps the back end that it ranks
    /// first: a short queue at a back end that knows the object is quicker than
    /// a free slot at one that does not.
    pub soft_load: f64,
    /// Load over capacity from which on a back end gets nothing more: what waits
    /// longer runs out of time, and its work is lost.
    pub hard_load: f64,
    /// How long load reports are believed.
    pub trust: ReportTrust,
}

impl Balance {
    fn ratio(&self, backend: &Backend, now: Millis) -> f64 {
        backend.load(now, self.trust) / f64::from(backend.instance.capacity.max(1))
    }
}

/// Picks back ends for one daemon.
pub struct Picker {
    place: Place,
    gate: ColdGate,
    shares: HashMap<(ServiceId, Vec<RegionId>), RegionShares>,
}

impl Picker {
    /// A picker for a daemon at `place`.
    pub fn new(place: Place) -> Picker {
        Picker {
            place,
            gate: ColdGate::default(),
            shares: HashMap::new(),
        }
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
        daemons: &BTreeSet<String>,
        request: &PickRequest<'_>,
    ) -> Result<Pick, Refusal> {
        let home = self.home_region(backends, catalog, request);
        let usable: Vec<&Backend> = backends
            .of_service(request.service)
            .filter(|backend| self.may_serve(backend, catalog, request.allowed_regions))
            .filter(|backend| !request.excluded.contains(&backend.instance.id))
            .collect();
        if usable.is_empty() {
            return Err(Refusal::NoBackend);
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
        let picked = self.place.balance.pick_among(&group, request);
        if let Ok(pick) = picked {
            return Ok(pick);
        }
        let is_busy = picked == Err(Refusal::Busy);
        if let Some(pick) = self.pick_cold(&usable, catalog, daemons, request) {
            return Ok(pick);
        }
        if is_busy {
            return Err(Refusal::Busy);
        }
        self.pick_ejected(&usable, request)
            .ok_or(Refusal::NoBackend)
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
        daemons: &BTreeSet<String>,
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
            let names = daemons.iter().map(String::as_str);
            let is_owner = owner(id, names) == Some(self.place.daemon.as_str());
            if is_owner && self.gate.has_room(now, id, share) {
                return Some(self.place.balance.pick_of(backend, 0, now));
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
            .map(|backend| self.place.balance.pick_of(backend, 0, request.now))
    }
}

impl Balance {
    fn pick_of(&self, backend: &Backend, rank: usize, now: Millis) -> Pick {
        Pick {
            id: backend.instance.id.clone(),
            rank,
            load: backend.load(now, self.trust),
            load_age_ms: backend.load_age(now),
            is_cold: backend.is_cold(now),
        }
    }

    /// The first of the key's ranks that is below the soft load; else the least
    /// loaded of these ranks, unless that one is full too. Other back ends don't
    /// know the object.
    fn pick_among(&self, group: &[&Backend], request: &PickRequest<'_>) -> Result<Pick, Refusal> {
        if group.is_empty() {
            return Err(Refusal::NoBackend);
        }
        let now = request.now;
        let ranked = rank(
            request.key,
            group.iter().map(|backend| {
                let weight = f64::from(backend.instance.capacity.max(1));
                (*backend, backend.hash, weight)
            }),
        );
        for (place, backend) in ranked.iter().take(CHOICES).enumerate() {
            if self.ratio(backend, now) < self.soft_load {
                return Ok(self.pick_of(backend, place, now));
            }
        }
        let least = ranked
            .iter()
            .take(CHOICES)
            .enumerate()
            .min_by(|left, right| self.ratio(left.1, now).total_cmp(&self.ratio(right.1, now)));
        match least {
            Some((place, backend)) if self.ratio(backend, now) < self.hard_load => {
                Ok(self.pick_of(backend, place, now))
            }
            _ => Err(Refusal::Busy),
        }
    }
}
