//! The routing decision for each request, as a state machine without I/O.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;

use coursestand_coordination::followers::Progress;
use coursestand_coordination::shares::ShareKey;
use coursestand_coordination::tables::{BundleInForce, ControlVersion, SlotMap, Tables};
use coursestand_coordination::wire::DemandRow;
use coursestand_model::bundle::Service;
use coursestand_model::{Bundle, DaemonId, ServiceId, ZoneId};

use crate::backends::{BackendIndex, BackendTable, BackendUpdate, PoolIndex};
use crate::clients::ClientBlocks;
use crate::lookup::EntryDirectory;
use crate::round_robin::WeightedRoundRobin;

/// Requests that may wait for a slot, per slot that the daemon holds.
const MAX_WAITING_PER_SLOT: u32 = 2;
/// Lower bound of the number of requests that may wait, for a daemon with few slots.
const MIN_WAITING_LIMIT: u32 = 4;

/// The bundle in force, prepared for decisions.
pub struct Rules {
    /// Revision of the bundle.
    pub revision: u64,
    /// The bundle.
    pub bundle: Bundle,
    /// Client blocks of the bundle.
    pub clients: ClientBlocks,
}

/// A slot that a request uses. Release it with [`Steering::release_slot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The back end.
    pub backend: BackendIndex,
    /// Pool of the back end.
    pub pool: PoolIndex,
}

/// The decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Dispatch the request to this back end.
    Dispatch(Ticket),
    /// No slot is free in the selected zone; the request may wait for one.
    Wait(PoolIndex),
    /// No slot is free and the limit of waiting requests is reached.
    QueueFull,
    /// No zone has a share of this traffic, or the selected zone has no back ends.
    NoBackends,
}

/// Makes the routing decisions of one daemon.
pub struct Steering {
    daemon: DaemonId,
    version: ControlVersion,
    settled: ControlVersion,
    rules: Option<Arc<Rules>>,
    directory: Arc<EntryDirectory>,
    balancers: HashMap<ServiceId, BTreeMap<ZoneId, WeightedRoundRobin>>,
    backends: BackendTable,
}

impl Steering {
    /// Creates the state of a daemon that has no control state and makes no decisions.
    pub fn new(daemon: DaemonId) -> Steering {
        Steering {
            daemon,
            version: 0,
            settled: 0,
            rules: None,
            directory: Arc::default(),
            balancers: HashMap::new(),
            backends: BackendTable::default(),
        }
    }

    /// Applies control state; ignores an older version. Returns an error if the bundle in
    /// force is not valid JSON.
    pub fn apply(&mut self, tables: &Tables) -> Result<(), serde_json::Error> {
        if tables.version <= self.version {
            return Ok(());
        }
        self.apply_bundle(tables.bundle_in_force())?;
        if let Some(rules) = &self.rules {
            self.directory = Arc::new(EntryDirectory::new(&rules.bundle, tables));
        }
        for (id, record) in tables.backends.iter() {
            self.backends.update(&BackendUpdate {
                id,
                service: &record.service,
                zone: &record.zone,
                address: &record.address,
                epoch: record.epoch,
                state: record.state,
            });
        }
        let none = SlotMap::new();
        let slots = tables.slots.get(&self.daemon).unwrap_or(&none);
        self.backends.set_slots(slots);
        for (ShareKey { service, origin }, shares) in tables.shares.iter() {
            let balancers = self.balancers.entry(service.clone()).or_default();
            balancers
                .entry(origin.clone())
                .or_default()
                .set_shares(shares);
        }
        self.version = tables.version;
        Ok(())
    }

    fn apply_bundle(&mut self, in_force: Option<&BundleInForce>) -> Result<(), serde_json::Error> {
        let Some(in_force) = in_force else {
            return Ok(());
        };
        let current = self.rules.as_ref().map(|rules| rules.revision);
        if current == Some(in_force.revision) {
            return Ok(());
        }
        let bundle: Bundle = serde_json::from_str(&in_force.content)?;
        self.rules = Some(Arc::new(Rules {
            revision: in_force.revision,
            clients: ClientBlocks::new(&bundle.clients),
            bundle,
        }));
        Ok(())
    }

    /// Returns the versions that this daemon's decisions use, to be confirmed to its source.
    pub fn progress(&mut self) -> Progress {
        if self.backends.is_within_slots() {
            self.settled = self.version;
        }
        Progress {
            applied: self.version,
            settled: self.settled,
        }
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.rules.clone()
    }

    /// Returns the entry daemons by client zone.
    pub fn directory(&self) -> Arc<EntryDirectory> {
        Arc::clone(&self.directory)
    }

    /// Returns this daemon's view of the back ends.
    pub fn backends(&self) -> &BackendTable {
        &self.backends
    }

    /// Returns this daemon's view of the back ends, to record changes of their state.
    pub fn backends_mut(&mut self) -> &mut BackendTable {
        &mut self.backends
    }

    /// Decides on a new request: selects the zone by the shares in force, then the back
    /// end. The request counts as offered traffic regardless of the outcome.
    pub fn admit(&mut self, service: &ServiceId, origin: &ZoneId) -> Admission {
        let zone = self
            .balancers
            .get_mut(service)
            .and_then(|balancers| balancers.get_mut(origin))
            .and_then(WeightedRoundRobin::next_zone);
        let Some(pool) = zone.and_then(|zone| self.backends.pool_index(service, zone)) else {
            return Admission::NoBackends;
        };
        self.admit_to_pool(pool, None)
    }

    /// Decides on a request whose zone is already selected: after a wait, or after the back
    /// end `excluded` did not run it. The request stays in its zone, so that a retry moves
    /// no traffic between zones.
    pub fn admit_to_pool(&mut self, pool: PoolIndex, excluded: Option<BackendIndex>) -> Admission {
        let acquired = self.backends.acquire_slot(pool, excluded);
        let (held, used) = self.backends.pool_slots(pool);
        let entry = self.backends.pool_mut(pool);
        if let Some(backend) = acquired {
            entry.demand.record(used + entry.waiting);
            return Admission::Dispatch(Ticket { backend, pool });
        }
        entry.demand.record(used + entry.waiting + 1);
        if entry.waiting < MIN_WAITING_LIMIT.max(held * MAX_WAITING_PER_SLOT) {
            Admission::Wait(pool)
        } else {
            Admission::QueueFull
        }
    }

    /// Counts a request as waiting for a slot of `pool`.
    pub fn start_waiting(&mut self, pool: PoolIndex) {
        self.backends.pool_mut(pool).waiting += 1;
    }

    /// Counts a request as no longer waiting for a slot of `pool`.
    pub fn stop_waiting(&mut self, pool: PoolIndex) {
        let entry = self.backends.pool_mut(pool);
        entry.waiting = entry.waiting.saturating_sub(1);
    }

    /// Releases the slot of a request.
    pub fn release_slot(&mut self, ticket: &Ticket) {
        self.backends.release_slot(ticket.backend);
    }

    /// Returns the peak demand for slots over the current and the previous period.
    pub fn demand(&self) -> Vec<DemandRow> {
        self.backends
            .pools()
            .map(|(service, zone, pool)| DemandRow {
                service: service.clone(),
                zone: zone.clone(),
                wanted: self.backends.pool(pool).demand.peak(),
            })
            .filter(|row| row.wanted > 0)
            .collect()
    }

    /// Starts a new demand period.
    pub fn start_demand_period(&mut self) {
        self.backends.start_demand_period();
    }
}

impl Rules {
    /// Returns the zone of a client, given as an address or as the name of a zone.
    pub fn origin_of(&self, client: &str) -> Option<ZoneId> {
        if let Ok(address) = client.parse::<IpAddr>() {
            return self.clients.zone_of(address).cloned();
        }
        self.bundle.zones().find(|zone| zone.0 == client).cloned()
    }

    /// Returns a service of the bundle.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.bundle.service(id)
    }
}
