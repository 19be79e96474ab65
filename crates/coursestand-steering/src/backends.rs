//! One daemon's view of the back ends: the slots that it holds and uses, and the health
//! that it observes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use coursestand_coordination::tables::SlotMap;
use coursestand_model::platform::BackendState;
use coursestand_model::{BackendId, ServiceId, ZoneId};

use crate::demand::PeakDemand;

/// Consecutive failures after which a back end gets no requests until it answers a
/// probe.
pub const FAILURES_UNTIL_UNREACHABLE: u32 = 3;
/// Divisor for the weight of the newest latency in the moving average.
const LATENCY_SMOOTHING_DIVISOR: f64 = 8.0;

/// Index of a back end in the table; valid for the lifetime of the table.
pub type BackendIndex = usize;
/// Index of a pool in the table.
pub type PoolIndex = usize;

/// This daemon's view of one back end.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub id: BackendId,
    /// `IP:port`.
    pub address: Arc<str>,
    /// Epoch of the back end's start that this row describes.
    pub epoch: u64,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// Slots that this daemon holds.
    pub slots: u32,
    /// Slots that this daemon uses.
    pub in_use: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Moving average of the response latency in milliseconds.
    pub latency_ms: f64,
    /// Last load reported by the back end, over all daemons. For display only: slots are
    /// exact, whereas reports lag and mislead.
    pub reported_running: Option<u32>,
    pool: PoolIndex,
}

impl Backend {
    /// Returns whether it may get requests while it has a free slot.
    pub fn is_usable(&self) -> bool {
        self.state == BackendState::Live && self.failures < FAILURES_UNTIL_UNREACHABLE
    }

    /// Returns whether the slots in use are within the slots held.
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
    /// Peak demand for its slots.
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
    by_service_and_zone: BTreeMap<(ServiceId, ZoneId), PoolIndex>,
}

/// A back end's row of the control state.
pub struct BackendUpdate<'a> {
    /// Its name.
    pub id: &'a BackendId,
    /// Service that it serves.
    pub service: &'a ServiceId,
    /// Zone in which it runs.
    pub zone: &'a ZoneId,
    /// `IP:port`.
    pub address: &'a str,
    /// Epoch, which increases with each start.
    pub epoch: u64,
    /// Whether it accepts new requests.
    pub state: BackendState,
}

impl BackendTable {
    /// Applies a row of the control state.
    pub fn update(&mut self, update: &BackendUpdate<'_>) {
        let pool = self.pool_for(update.service, update.zone);
        let Some(&index) = self.by_id.get(update.id) else {
            self.insert(update, pool);
            return;
        };
        let backend = &mut self.backends[index];
        if backend.epoch > update.epoch {
            return;
        }
        if backend.epoch == update.epoch {
            // Within one epoch "leaving" never reverts to "live".
            backend.state = backend.state.max(update.state);
        } else {
            backend.epoch = update.epoch;
            backend.state = update.state;
            backend.failures = 0;
        }
        backend.address = update.address.into();
        if backend.pool != pool {
            let previous = backend.pool;
            backend.pool = pool;
            self.pools[previous]
                .members
                .retain(|member| *member != index);
            self.pools[pool].members.push(index);
        }
    }

    fn insert(&mut self, update: &BackendUpdate<'_>, pool: PoolIndex) {
        let index = self.backends.len();
        self.backends.push(Backend {
            id: update.id.clone(),
            address: update.address.into(),
            epoch: update.epoch,
            state: update.state,
            slots: 0,
            in_use: 0,
            failures: 0,
            latency_ms: 0.0,
            reported_running: None,
            pool,
        });
        self.by_id.insert(update.id.clone(), index);
        self.pools[pool].members.push(index);
    }

    fn pool_for(&mut self, service: &ServiceId, zone: &ZoneId) -> PoolIndex {
        let key = (service.clone(), zone.clone());
        let pools = &mut self.pools;
        *self.by_service_and_zone.entry(key).or_insert_with(|| {
            pools.push(Pool::default());
            pools.len() - 1
        })
    }

    /// Sets the slots that this daemon holds.
    pub fn set_slots(&mut self, slots: &SlotMap) {
        for backend in &mut self.backends {
            backend.slots = slots.get(&backend.id).copied().unwrap_or(0);
        }
    }

    /// Returns whether this daemon's requests on every back end are within the slots held.
    pub fn is_within_slots(&self) -> bool {
        self.backends.iter().all(Backend::is_within_slots)
    }

    /// Returns the pool of a service in a zone.
    pub fn pool_index(&self, service: &ServiceId, zone: &ZoneId) -> Option<PoolIndex> {
        self.by_service_and_zone
            .get(&(service.clone(), zone.clone()))
            .copied()
    }

    /// Returns a pool.
    pub fn pool(&self, pool: PoolIndex) -> &Pool {
        &self.pools[pool]
    }

    /// Returns a pool for updating its counters.
    pub fn pool_mut(&mut self, pool: PoolIndex) -> &mut Pool {
        &mut self.pools[pool]
    }

    /// Iterates over the pools with their service and zone.
    pub fn pools(&self) -> impl Iterator<Item = (&ServiceId, &ZoneId, PoolIndex)> {
        self.by_service_and_zone
            .iter()
            .map(|((service, zone), pool)| (service, zone, *pool))
    }

    /// Starts a new demand period in every pool.
    pub fn start_demand_period(&mut self) {
        for pool in 0..self.pools.len() {
            let (_, used) = self.pool_slots(pool);
            self.pools[pool].demand.start_period(used);
        }
    }

    /// Iterates over the back ends.
    pub fn iter(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter()
    }

    /// Returns the back end at `index`.
    pub fn get(&self, index: BackendIndex) -> &Backend {
        &self.backends[index]
    }

    /// Returns the back end named `id`.
    pub fn find(&mut self, id: &BackendId) -> Option<&mut Backend> {
        let index = *self.by_id.get(id)?;
        Some(&mut self.backends[index])
    }

    /// Returns the slots held and the slots used in a pool.
    pub fn pool_slots(&self, pool: PoolIndex) -> (u32, u32) {
        self.pools[pool]
            .members
            .iter()
            .map(|member| &self.backends[*member])
            .fold((0, 0), |(held, used), backend| {
                (held + backend.slots, used + backend.in_use)
            })
    }

    /// Acquires a slot on the usable back end of the pool with the lowest fraction of its
    /// slots in use; among equals, on the one with the lowest latency. Returns `None` if no
    /// slot is free.
    pub fn acquire_slot(
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

    /// Releases a slot. Returns its pool.
    pub fn release_slot(&mut self, index: BackendIndex) -> PoolIndex {
        let backend = &mut self.backends[index];
        debug_assert!(backend.in_use > 0, "a slot is released once");
        backend.in_use = backend.in_use.saturating_sub(1);
        backend.pool
    }

    /// Records an answer that took `latency_ms`.
    pub fn note_answer(&mut self, index: BackendIndex, latency_ms: f64) {
        let backend = &mut self.backends[index];
        backend.failures = 0;
        backend.latency_ms += (latency_ms - backend.latency_ms) / LATENCY_SMOOTHING_DIVISOR;
    }

    /// Records that a request or probe got no answer.
    pub fn note_failure(&mut self, index: BackendIndex) {
        let backend = &mut self.backends[index];
        backend.failures = backend.failures.saturating_add(1);
    }

    /// Records whether the back end answered a probe.
    pub fn note_probe(&mut self, id: &BackendId, answered: bool) {
        if let Some(backend) = self.find(id) {
            backend.failures = if answered {
                0
            } else {
                backend.failures.saturating_add(1)
            };
        }
    }

    /// Records that a back end announced that it is leaving. Returns whether its state
    /// changed.
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
