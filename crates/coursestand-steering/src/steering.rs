//! The decision for each request, as a state machine without I/O.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;

use coursestand_coordination::followers::Progress;
use coursestand_coordination::shares::ShareKey;
use coursestand_coordination::tables::{BundleInForce, ControlVersion, SlotMap, Tables};
use coursestand_coordination::wire::DemandRow;
use coursestand_model::bundle::Service;
use coursestand_model::{Bundle, DaemonId, ServiceId, ZoneId};

use crate::backends::{BackendIndex, BackendNews, BackendTable, PoolIndex};
use crate::clients::ClientBlocks;
use crate::lookup::EntryDirectory;
use crate::wheel::ShareWheel;

/// Requests that may wait for a slot, for each slot that the daemon holds.
const WAITING_PER_SLOT: u32 = 2;
/// Requests that may wait while the daemon holds few slots.
const WAITING_MIN: u32 = 4;

/// A bundle in force, ready for decisions.
pub struct Rules {
    /// Its revision.
    pub revision: u64,
    /// The bundle.
    pub bundle: Bundle,
    /// Its client blocks.
    pub clients: ClientBlocks,
}

/// A slot that a request uses. Give it back with [`Steering::give_back`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The back end.
    pub backend: BackendIndex,
    /// Its pool.
    pub pool: PoolIndex,
}

/// The decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it to this back end.
    Dispatch(Ticket),
    /// No slot is free in the zone that was chosen; it may wait for one.
    Wait(PoolIndex),
    /// No slot is free and enough requests wait already.
    Full,
    /// No zone has a share of this traffic, or the zone has no back ends.
    Nowhere,
}

/// Decides for one daemon.
pub struct Steering {
    daemon: DaemonId,
    version: ControlVersion,
    settled: ControlVersion,
    rules: Option<Arc<Rules>>,
    directory: Arc<EntryDirectory>,
    wheels: HashMap<ServiceId, BTreeMap<ZoneId, ShareWheel>>,
    backends: BackendTable,
}

impl Steering {
    /// A steering that decides on nothing yet.
    pub fn new(daemon: DaemonId) -> Steering {
        Steering {
            daemon,
            version: 0,
            settled: 0,
            rules: None,
            directory: Arc::default(),
            wheels: HashMap::new(),
            backends: BackendTable::default(),
        }
    }

    /// Takes over control state. The version never falls.
    pub fn apply(&mut self, tables: &Tables) -> Result<(), serde_json::Error> {
        if tables.version <= self.version {
            return Ok(());
        }
        self.apply_bundle(tables.bundle_in_force())?;
        if let Some(rules) = &self.rules {
            self.directory = Arc::new(EntryDirectory::new(&rules.bundle, tables));
        }
        for (id, record) in tables.backends.iter() {
            self.backends.update(&BackendNews {
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
            let wheels = self.wheels.entry(service.clone()).or_default();
            wheels.entry(origin.clone()).or_default().replace(shares);
        }
        self.version = tables.version;
        Ok(())
    }

    fn apply_bundle(&mut self, in_force: Option<&BundleInForce>) -> Result<(), serde_json::Error> {
        let Some(in_force) = in_force else {
            return Ok(());
        };
        let known = self.rules.as_ref().map(|rules| rules.revision);
        if known == Some(in_force.revision) {
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

    /// What this daemon decides on, to be confirmed to its source.
    pub fn progress(&mut self) -> Progress {
        if self.backends.is_within_slots() {
            self.settled = self.version;
        }
        Progress {
            applied: self.version,
            settled: self.settled,
        }
    }

    /// The rules in force.
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.rules.clone()
    }

    /// Entry daemons by client zone.
    pub fn directory(&self) -> Arc<EntryDirectory> {
        Arc::clone(&self.directory)
    }

    /// Back ends as this daemon sees them.
    pub fn backends(&self) -> &BackendTable {
        &self.backends
    }

    /// Back ends, to note news of them.
    pub fn backends_mut(&mut self) -> &mut BackendTable {
        &mut self.backends
    }

    /// Decides for a new request: the zone by the shares in force, then the
    /// back end. The request counts as offered traffic, whatever follows.
    pub fn admit(&mut self, service: &ServiceId, origin: &ZoneId) -> Admission {
        let zone = self
            .wheels
            .get_mut(service)
            .and_then(|wheels| wheels.get_mut(origin))
            .and_then(ShareWheel::deal);
        let Some(pool) = zone.and_then(|zone| self.backends.pool_index(service, zone)) else {
            return Admission::Nowhere;
        };
        self.take(pool, None)
    }

    /// Decides again for a request whose zone is chosen: after a wait, or after
    /// the back end `excluded` did not run it. It stays in its zone, so a retry
    /// moves no traffic between zones.
    pub fn take(&mut self, pool: PoolIndex, excluded: Option<BackendIndex>) -> Admission {
        let taken = self.backends.take_slot(pool, excluded);
        let (held, used) = self.backends.pool_slots(pool);
        let entry = self.backends.pool_mut(pool);
        if let Some(backend) = taken {
            entry.demand.note(used + entry.waiting);
            return Admission::Dispatch(Ticket { backend, pool });
        }
        entry.demand.note(used + entry.waiting + 1);
        if entry.waiting < WAITING_MIN.max(held * WAITING_PER_SLOT) {
            Admission::Wait(pool)
        } else {
            Admission::Full
        }
    }

    /// Counts a request as waiting for a slot of `pool`.
    pub fn start_waiting(&mut self, pool: PoolIndex) {
        self.backends.pool_mut(pool).waiting += 1;
    }

    /// A request no longer waits for a slot of `pool`.
    pub fn stop_waiting(&mut self, pool: PoolIndex) {
        let entry = self.backends.pool_mut(pool);
        entry.waiting = entry.waiting.saturating_sub(1);
    }

    /// Gives the slot of a request back.
    pub fn give_back(&mut self, ticket: &Ticket) {
        self.backends.give_back(ticket.backend);
    }

    /// Demand for slots over the last one to two periods.
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

    /// Starts a new period of demand.
    pub fn start_demand_period(&mut self) {
        self.backends.start_demand_period();
    }
}

impl Rules {
    /// The zone of a client, given as an address or as the name of a zone.
    pub fn origin_of(&self, client: &str) -> Option<ZoneId> {
        if let Ok(address) = client.parse::<IpAddr>() {
            return self.clients.zone_of(address).cloned();
        }
        self.bundle.zones().find(|zone| zone.0 == client).cloned()
    }

    /// A service of the bundle.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.bundle.service(id)
    }
}
