//! Back ends as one daemon sees them: the slots that it holds, how many it uses,
//! and what it knows of their health.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use coursestand_coordination::tables::SlotMap;
use coursestand_model::platform::BackendState;
use coursestand_model::{BackendId, ServiceId, ZoneId};

use crate::demand::PeakDemand;

/// Failures in a row after which a back end gets no requests until it answers a
/// probe.
pub const FAILURES_UNTIL_UNREACHABLE: u32 = 3;
/// Weight of the newest latency in the moving average, as one part in this many.
const LATENCY_SMOOTHING: f64 = 8.0;

/// Position of a back end in the table; stays valid for the life of the table.
pub type BackendIndex = usize;
/// Position of a pool in the table.
pub type PoolIndex = usize;

/// One back end as this daemon sees it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub id: BackendId,
    /// `IP:port`.
    pub address: Arc<str>,
    /// The start of the back end that this row tells of.
    pub epoch: u64,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Slots that this daemon holds.
    pub slots: u32,
    /// Slots that this daemon uses.
    pub in_use: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Moving average of the time to answer, in milliseconds.
    pub latency_ms: f64,
    /// Load that the back end reported last, by all daemons. Shown to people and
    /// not steered by: slots are exact, reports lag and mislead.
    pub reported_running: Option<u32>,
    pool: PoolIndex,
}

impl Backend {
    /// Whether it gets requests when it has a free slot.
    pub fn is_usable(&self) -> bool {
        self.state == BackendState::Live && self.failures < FAILURES_UNTIL_UNREACHABLE
    }

    /// Whether the slots in use don't exceed the slots held.
    pub fn is_within_slots(&self) -> bool {
        self.in_use <= self.slots
    }

    fn has_free_slot(&self) -> bool {
        self.in_use < self.slots
    }
}

/// The back ends of one service in one zone.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Members of the pool.
    pub members: Vec<BackendIndex>,
    /// Demand for its slots.
    pub demand: PeakDemand,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// All back ends, grouped in pools.
#[derive(Clone, Debug, Default)]
pub struct BackendTable {
    backends: Vec<Backend>,
    by_id: HashMap<BackendId, BackendIndex>,
    pools: Vec<Pool>,
    by_place: BTreeMap<(ServiceId, ZoneId), PoolIndex>,
}

/// What the control state says of a back end.
pub struct BackendNews<'a> {
    /// Its name.
    pub id: &'a BackendId,
    /// Service that it implements.
    pub service: &'a ServiceId,
    /// Zone in which it runs.
    pub zone: &'a ZoneId,
    /// `IP:port`.
    pub address: &'a str,
    /// Grows with each start.
    pub epoch: u64,
    /// Whether it takes new work.
    pub state: BackendState,
}

impl BackendTable {
    /// Takes over a row of the control state.
    pub fn update(&mut self, news: &BackendNews<'_>) {
        let pool = self.pool_for(news.service, news.zone);
        let Some(&index) = self.by_id.get(news.id) else {
            self.insert(news, pool);
            return;
        };
        let backend = &mut self.backends[index];
        if backend.epoch > news.epoch {
            return;
        }
        if backend.epoch == news.epoch {
            // Within one epoch "leaving" never turns back to "live".
            backend.state = backend.state.max(news.state);
        } else {
            backend.epoch = news.epoch;
            backend.state = news.state;
            backend.failures = 0;
        }
        backend.address = news.address.into();
        if backend.pool != pool {
            let earlier = backend.pool;
            backend.pool = pool;
            self.pools[earlier]
                .members
                .retain(|member| *member != index);
            self.pools[pool].members.push(index);
        }
    }

    fn insert(&mut self, news: &BackendNews<'_>, pool: PoolIndex) {
        let index = self.backends.len();
        self.backends.push(Backend {
            id: news.id.clone(),
            address: news.address.into(),
            epoch: news.epoch,
            state: news.state,
            slots: 0,
            in_use: 0,
            failures: 0,
            latency_ms: 0.0,
            reported_running: None,
            pool,
        });
        self.by_id.insert(news.id.clone(), index);
        self.pools[pool].members.push(index);
    }

    fn pool_for(&mut self, service: &ServiceId, zone: &ZoneId) -> PoolIndex {
        let place = (service.clone(), zone.clone());
        let pools = &mut self.pools;
        *self.by_place.entry(place).or_insert_with(|| {
            pools.push(Pool::default());
            pools.len() - 1
        })
    }

    /// Takes over the slots that this daemon holds.
    pub fn set_slots(&mut self, slots: &SlotMap) {
        for backend in &mut self.backends {
            backend.slots = slots.get(&backend.id).copied().unwrap_or(0);
        }
    }

    /// Whether no back end runs more of our requests than we hold slots on it.
    pub fn is_within_slots(&self) -> bool {
        self.backends.iter().all(Backend::is_within_slots)
    }

    /// The pool of a service in a zone.
    pub fn pool_index(&self, service: &ServiceId, zone: &ZoneId) -> Option<PoolIndex> {
        self.by_place.get(&(service.clone(), zone.clone())).copied()
    }

    /// A pool.
    pub fn pool(&self, pool: PoolIndex) -> &Pool {
        &self.pools[pool]
    }

    /// A pool, to change its counters.
    pub fn pool_mut(&mut self, pool: PoolIndex) -> &mut Pool {
        &mut self.pools[pool]
    }

    /// All pools with their service and zone.
    pub fn pools(&self) -> impl Iterator<Item = (&ServiceId, &ZoneId, PoolIndex)> {
        self.by_place
            .iter()
            .map(|((service, zone), pool)| (service, zone, *pool))
    }

    /// Starts a new period of demand in every pool.
    pub fn start_demand_period(&mut self) {
        for pool in 0..self.pools.len() {
            let (_, used) = self.pool_slots(pool);
            self.pools[pool].demand.start_period(used);
        }
    }

    /// All back ends.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter()
    }

    /// A back end.
    pub fn get(&self, index: BackendIndex) -> &Backend {
        &self.backends[index]
    }

    /// A back end by name.
    pub fn find(&mut self, id: &BackendId) -> Option<&mut Backend> {
        let index = *self.by_id.get(id)?;
        Some(&mut self.backends[index])
    }

    /// Slots held and slots used in a pool.
    pub fn pool_slots(&self, pool: PoolIndex) -> (u32, u32) {
        self.pools[pool]
            .members
            .iter()
            .map(|member| &self.backends[*member])
            .fold((0, 0), |(held, used), backend| {
                (held + backend.slots, used + backend.in_use)
            })
    }

    /// Takes a slot on the usable back end of the pool with the lowest part of
    /// its slots in use; among equals the one that answered fastest.
    pub fn take_slot(
        &mut self,
        pool: PoolIndex,
        excluded: Option<BackendIndex>,
    ) -> Option<BackendIndex> {
        let load = |backend: &Backend| f64::from(backend.in_use) / f64::from(backend.slots);
        let chosen = self.pools[pool]
            .members
            .iter()
            .copied()
            .filter(|member| Some(*member) != excluded)
            .filter(|member| {
                let backend = &self.backends[*member];
                backend.is_usable() && backend.has_free_slot()
            })
            .min_by(|left, right| {
                let (left, right) = (&self.backends[*left], &self.backends[*right]);
                load(left)
                    .total_cmp(&load(right))
                    .then(left.latency_ms.total_cmp(&right.latency_ms))
            })?;
        self.backends[chosen].in_use += 1;
        Some(chosen)
    }

    /// Gives a slot back; returns its pool.
    pub fn give_back(&mut self, index: BackendIndex) -> PoolIndex {
        let backend = &mut self.backends[index];
        debug_assert!(backend.in_use > 0, "a slot is given back once");
        backend.in_use = backend.in_use.saturating_sub(1);
        backend.pool
    }

    /// Notes an answer after `latency_ms`.
    pub fn note_answer(&mut self, index: BackendIndex, latency_ms: f64) {
        let backend = &mut self.backends[index];
        backend.failures = 0;
        backend.latency_ms += (latency_ms - backend.latency_ms) / LATENCY_SMOOTHING;
    }

    /// Notes that a request or probe got no answer.
    pub fn note_failure(&mut self, index: BackendIndex) {
        let backend = &mut self.backends[index];
        backend.failures = backend.failures.saturating_add(1);
    }

    /// Notes that the back end answered a probe.
    pub fn note_probe(&mut self, id: &BackendId, answered: bool) {
        if let Some(backend) = self.find(id) {
            backend.failures = if answered {
                0
            } else {
                backend.failures.saturating_add(1)
            };
        }
    }

    /// Notes that a back end said it is leaving. Returns whether that was news.
    pub fn note_leaving(&mut self, id: &BackendId, epoch: u64) -> bool {
        let Some(backend) = self.find(id) else {
            return false;
        };
        if backend.epoch != epoch || backend.state == BackendState::Leaving {
            return false;
        }
        backend.state = BackendState::Leaving;
        true
    }
}
