//! What an entry daemon believes: the catalog, the back ends and the other entry
//! daemons. It is fed by the follower and read by the router.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_catalog::{Catalog, CatalogDelta};
use coursestand_discovery::InstanceNews;
use coursestand_kernel::MonotonicClock;
use coursestand_model::{Millis, ServiceId, ZoneId};
use coursestand_routing::cold::OwnerViews;
use coursestand_routing::picker::Place;
use coursestand_routing::split::SplitState;
use coursestand_routing::{Backends, Picker, RetryBudget, RetryLimits, RouteTable};

/// Bounds of the deployment that an entry daemon keeps.
#[derive(Clone, Debug)]
pub struct EdgeBounds {
    /// Bound on requests that are sent again.
    pub retries: RetryLimits,
    /// After an evacuation ends, back ends of the zone get nothing for this
    /// long: their heartbeats tell by then whether they have turned cold.
    pub settle_ms: Millis,
    /// How long a daemon waits before it takes a cold back end over from another.
    pub hand_over_ms: Millis,
}

/// The beliefs, all under one lock: decisions take microseconds.
pub struct Beliefs {
    /// Configuration in force.
    pub catalog: Catalog,
    /// Routes of the catalog.
    pub routes: Arc<RouteTable>,
    /// Back ends.
    pub backends: Backends,
    /// Picks back ends.
    pub picker: Picker,
    /// Names of the entry daemons that are connected, this one among them.
    pub daemons: BTreeSet<String>,
    /// Who owns cold back ends.
    pub owners: OwnerViews,
    /// Retry budgets by service.
    pub budgets: HashMap<ServiceId, RetryBudget>,
    /// Where the routes stand in dividing requests, by name.
    pub splits: HashMap<String, SplitState>,
}

/// Shared beliefs of an entry daemon.
pub struct EdgeState {
    clock: MonotonicClock,
    bounds: EdgeBounds,
    beliefs: Mutex<Beliefs>,
}

impl EdgeState {
    /// Beliefs of a daemon at `place` that knows nothing yet.
    pub fn new(clock: MonotonicClock, place: Place, bounds: EdgeBounds) -> EdgeState {
        let daemons = BTreeSet::from([place.daemon.clone()]);
        let owners = OwnerViews::new(bounds.hand_over_ms);
        EdgeState {
            clock,
            bounds,
            beliefs: Mutex::new(Beliefs {
                catalog: Catalog::default(),
                routes: Arc::default(),
                backends: Backends::default(),
                picker: Picker::new(place),
                daemons,
                owners,
                budgets: HashMap::new(),
                splits: HashMap::new(),
            }),
        }
    }

    /// Milliseconds on the daemon's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Bounds of the deployment.
    pub fn bounds(&self) -> &EdgeBounds {
        &self.bounds
    }

    /// The beliefs. Never held over a wait, nor while anything else is locked: the
    /// follower locks them while it holds what it knows of control.
    pub fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in changes of the configuration. Returns whether anything changed.
    pub fn adopt_catalog(&self, delta: CatalogDelta) -> bool {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let ended: Vec<ZoneId> = delta
            .evacuations
            .iter()
            .filter(|(zone, change)| !change.is_active && beliefs.catalog.is_evacuated(zone))
            .map(|(zone, _)| zone.clone())
            .collect();
        let has_items = !delta.items.is_empty();
        let changed = beliefs.catalog.adopt(delta);
        if !changed {
            return false;
        }
        if has_items {
            beliefs.routes = Arc::new(RouteTable::new(&beliefs.catalog));
        }
        if !ended.is_empty() {
            let until = now + self.bounds.settle_ms;
            beliefs
                .backends
                .hold_back(until, |instance| ended.contains(&instance.zone));
        }
        beliefs.picker.invalidate(now);
        true
    }

    /// Takes in news of back ends.
    pub fn adopt_instances(&self, news: Vec<InstanceNews>) {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let mut changed = false;
        for one in news {
            changed |= beliefs.backends.merge(now, one);
        }
        if changed {
            beliefs.picker.invalidate(now);
        }
    }

    /// Whether this daemon is connected with a majority of the control processes.
    /// Without, it owns no cold back end: the others share them out among them.
    pub fn set_following(&self, is_following: bool) {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let view = is_following.then(|| beliefs.daemons.clone());
        beliefs.owners.set(now, view);
    }

    /// The entry daemons that are connected now, besides this one.
    pub fn set_daemons(&self, own: &str, others: impl Iterator<Item = String>) {
        let mut daemons: BTreeSet<String> = others.collect();
        daemons.insert(own.to_owned());
        self.beliefs().daemons = daemons;
    }
}
