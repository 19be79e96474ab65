//! What the parts of a control replica share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use coursestand_consensus::{LogIndex, Membership};
use coursestand_coordination::{ControlState, ControlVersion, Delta};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{DaemonId, Millis};
use serde::Serialize;
use tokio::sync::watch;

use crate::control::identity::Identity;
use crate::fleet::catalog_updates::CatalogUpdates;

/// What a replica says of itself.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplicaStatus {
    /// Its identity, once it joined.
    pub identity: Option<IdentityText>,
    /// Current term.
    pub term: u64,
    /// `leader`, `follower`, `candidate`, `blank` or `failed`.
    pub role: &'static str,
    /// The leader as far as this replica knows.
    pub leader: Option<u64>,
    /// Highest committed index.
    pub commit: u64,
    /// Last index of the log.
    pub last: u64,
    /// Index that the newest snapshot covers.
    pub snapshot: u64,
    /// Members of the group.
    pub members: Vec<MemberStatus>,
    /// Why the replica stopped, if it did.
    pub failure: Option<String>,
}

/// An identity for people.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct IdentityText {
    /// The control group.
    pub cluster: u64,
    /// The replica.
    pub replica: u64,
}

impl From<Identity> for IdentityText {
    fn from(identity: Identity) -> Self {
        IdentityText {
            cluster: identity.cluster,
            replica: identity.replica,
        }
    }
}

/// A member of the group as a leader sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its identity.
    pub replica: u64,
    /// Its address.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
    /// Last index known to be there; only a leader knows.
    pub matched: Option<u64>,
    /// Milliseconds since it was heard; only a leader knows.
    pub silent_ms: Option<u64>,
}

/// How far a voter's log reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct LogReach {
    /// Last index on the synced disk. Raised before the replica tells the leader of
    /// it, so that what was acknowledged with its help is never above.
    pub end: LogIndex,
    /// Last index that the applied state holds.
    pub applied: LogIndex,
}

/// The replicated clock as a leader moves it: from its value in the log when the
/// replica began to lead, by the clock of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadingClock {
    /// The replicated clock when this replica began to lead.
    replicated: Millis,
    /// The clock of the process at that moment.
    own: Millis,
}

impl LeadingClock {
    /// Begins to move the clock from `replicated` at `own`.
    pub(crate) fn new(replicated: Millis, own: Millis) -> LeadingClock {
        LeadingClock { replicated, own }
    }

    /// The replicated clock when the clock of the process shows `now`.
    pub(crate) fn at(self, now: Millis) -> Millis {
        self.replicated + now.saturating_sub(self.own)
    }
}

/// State shared by the parts of a control replica.
pub struct ControlShared {
    /// Clock of the process.
    pub clock: MonotonicClock,
    state: RwLock<ControlState>,
    status: RwLock<ReplicaStatus>,
    /// Members, and the log index that made them so.
    membership: RwLock<(LogIndex, Membership)>,
    leading_clock: RwLock<Option<LeadingClock>>,
    lease_end: AtomicU64,
    term: AtomicU64,
    log_reach: Mutex<Option<LogReach>>,
    version: watch::Sender<ControlVersion>,
    catalog_version: watch::Sender<ControlVersion>,
    /// The newest delta for each version that followers asked from. Nearly all
    /// ask from the same one, and the driver must not wait for each to read.
    deltas: Mutex<HashMap<ControlVersion, Arc<Delta>>>,
    /// Changes of the catalog that are ready for entry daemons.
    catalog_updates: CatalogUpdates,
}

impl ControlShared {
    /// State of a replica that knows nothing yet.
    pub fn new(clock: MonotonicClock) -> ControlShared {
        ControlShared {
            clock,
            state: RwLock::default(),
            status: RwLock::default(),
            membership: RwLock::default(),
            leading_clock: RwLock::default(),
            lease_end: AtomicU64::new(0),
            term: AtomicU64::new(0),
            log_reach: Mutex::default(),
            version: watch::Sender::new(0),
            catalog_version: watch::Sender::new(0),
            deltas: Mutex::default(),
            catalog_updates: CatalogUpdates::default(),
        }
    }

    /// The applied control state.
    pub fn state(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn state_mut(&self) -> RwLockWriteGuard<'_, ControlState> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the replica says of itself.
    pub fn status(&self) -> ReplicaStatus {
        self.status
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_status(&self, status: ReplicaStatus) {
        *self.status.write().unwrap_or_else(PoisonError::into_inner) = status;
    }

    /// Members of the group.
    pub fn membership(&self) -> Membership {
        self.membership_and_index().1
    }

    /// Members of the group, and the log index of the change that made them so.
    pub fn membership_and_index(&self) -> (LogIndex, Membership) {
        self.membership
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_membership(&self, index: LogIndex, membership: Membership) {
        *self
            .membership
            .write()
            .unwrap_or_else(PoisonError::into_inner) = (index, membership);
    }

    /// How far this replica's log reaches; `None` unless it is a voter by its own log.
    /// One that lost its disk knows nothing of what its predecessor acknowledged.
    pub fn log_reach(&self) -> Option<LogReach> {
        *self
            .log_reach
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_log_reach(&self, reach: Option<LogReach>) {
        *self
            .log_reach
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = reach;
    }

    /// The clock that this replica moves while it leads.
    pub(crate) fn leading_clock(&self) -> Option<LeadingClock> {
        *self
            .leading_clock
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_leading_clock(&self, clock: Option<LeadingClock>) {
        *self
            .leading_clock
            .write()
            .unwrap_or_else(PoisonError::into_inner) = clock;
    }

    /// The replicated clock that a command proposed now would be stamped with, or
    /// `None` while this replica doesn't lead.
    pub fn replicated_clock(&self) -> Option<Millis> {
        let now = self.clock.now();
        self.leading_clock().map(|clock| clock.at(now))
    }

    /// Publishes the leader lease: the term first, so that whoever sees the
    /// lease sees its term or a later one.
    pub(crate) fn set_lease(&self, term: u64, end: Option<Millis>) {
        self.term.store(term, Ordering::SeqCst);
        self.lease_end.store(end.unwrap_or(0), Ordering::SeqCst);
    }

    /// The term in which this replica leads with a lease at this moment. The
    /// lease is read on the clock, so a process that was frozen sees that it has
    /// ended, whatever was published before.
    pub fn leading_term(&self) -> Option<u64> {
        let end = self.lease_end.load(Ordering::SeqCst);
        let term = self.term.load(Ordering::SeqCst);
        (self.clock.now() < end).then_some(term)
    }

    /// The rows that changed after `since`, as `daemon` needs them.
    pub fn delta(&self, since: ControlVersion, daemon: &DaemonId) -> Delta {
        let mut deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.state();
        let tables = state.tables();
        let slots = tables.slots_delta(since, daemon);
        let known = deltas.get(&since).cloned();
        let common = known.filter(|delta| delta.version == tables.version);
        let common = common.unwrap_or_else(|| {
            let fresh = Arc::new(tables.common_delta(since));
            deltas.retain(|_, delta| delta.version == fresh.version);
            deltas.insert(since, Arc::clone(&fresh));
            fresh
        });
        drop(state);
        drop(deltas);
        common.with_slots(slots)
    }

    /// Changes of the catalog that are ready for entry daemons.
    pub fn catalog_updates(&self) -> &CatalogUpdates {
        &self.catalog_updates
    }

    /// Tells of new versions of the followers' tables.
    pub fn versions(&self) -> watch::Receiver<ControlVersion> {
        self.version.subscribe()
    }

    /// Tells of new versions of the catalog.
    pub fn catalog_versions(&self) -> watch::Receiver<ControlVersion> {
        self.catalog_version.subscribe()
    }

    /// Tells those who wait of the versions of the applied state.
    pub(crate) fn announce_versions(&self) {
        let (tables, catalog) = {
            let state = self.state();
            (state.tables().version, state.catalog().version())
        };
        announce(&self.version, tables);
        announce(&self.catalog_version, catalog);
    }
}

fn announce(sender: &watch::Sender<ControlVersion>, version: ControlVersion) {
    sender.send_if_modified(|known| {
        let changed = *known != version;
        *known = version;
        changed
    });
}
