//! The part of the control state that is replicated to followers. Every row carries the
//! version that last changed it, so the delta between any two versions is computed
//! without a history: catch-up costs the size of the changed rows, not the number of
//! missed changes.

use std::collections::BTreeMap;

use coursestand_model::platform::PlatformBackend;
use coursestand_model::{BackendId, DaemonId, RegionId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::shares::{ShareKey, ShareVector};

/// Log index of the last change that is visible to followers.
pub type ControlVersion = u64;

/// Slots that a daemon holds, by back end.
pub type SlotMap = BTreeMap<BackendId, u32>;

/// A value and the version that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<V> {
    /// Version that last changed the value.
    pub changed_at: ControlVersion,
    /// The value.
    pub value: V,
}

/// A map whose rows carry the version that last changed them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedTable<K: Ord, V> {
    rows: BTreeMap<K, Row<V>>,
}

impl<K: Ord, V> Default for VersionedTable<K, V> {
    fn default() -> Self {
        VersionedTable {
            rows: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> VersionedTable<K, V> {
    /// Returns the value of `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.rows.get(key).map(|row| &row.value)
    }

    /// Returns the value of `key` with the version that last changed it.
    pub fn row(&self, key: &K) -> Option<&Row<V>> {
        self.rows.get(key)
    }

    /// Sets a value. Returns whether it differs from the previous one.
    pub fn set(&mut self, key: K, value: V, changed_at: ControlVersion) -> bool {
        if self.get(&key) == Some(&value) {
            return false;
        }
        self.rows.insert(key, Row { changed_at, value });
        true
    }

    /// Removes a row. [`Self::changed_since`] doesn't report the removal.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.rows.remove(key).map(|row| row.value)
    }

    /// Iterates over all rows in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.rows.iter().map(|(key, row)| (key, &row.value))
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the rows that changed after `since`.
    pub fn changed_since(&self, since: ControlVersion) -> Vec<(K, Row<V>)> {
        self.rows
            .iter()
            .filter(|(_, row)| row.changed_at > since)
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect()
    }

    /// Inserts the rows that are newer than the existing ones.
    pub fn merge(&mut self, rows: Vec<(K, Row<V>)>) {
        for (key, row) in rows {
            let is_newer = self
                .rows
                .get(&key)
                .is_none_or(|existing| existing.changed_at < row.changed_at);
            if is_newer {
                self.rows.insert(key, row);
            }
        }
    }
}

/// The bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleInForce {
    /// Revision number, which increases with each accepted change.
    pub revision: u64,
    /// JSON text of the bundle.
    pub content: String,
}

/// Whether callers should be sent to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberPhase {
    /// Serves requests.
    Serving,
    /// Its lease expired; it may return to `Serving`.
    Silent,
    /// Announced that it stops.
    Leaving,
    /// Announced that it has stopped.
    Gone,
}

impl MemberPhase {
    /// Returns whether a daemon may change from this phase to `next` within one incarnation: a
    /// phase that it announced itself is not reverted.
    pub fn can_transition_to(self, next: MemberPhase) -> bool {
        match self {
            MemberPhase::Serving | MemberPhase::Silent => true,
            MemberPhase::Leaving => matches!(next, MemberPhase::Leaving | MemberPhase::Gone),
            MemberPhase::Gone => next == MemberPhase::Gone,
        }
    }
}

/// A daemon's row for look-ups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation of the daemon that this row describes.
    pub incarnation: u64,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// `IP:port` for callers; `None` unless it is an entry daemon.
    pub address: Option<String>,
    /// Whether callers should be sent to it.
    pub phase: MemberPhase,
}

impl Member {
    /// Returns whether `next` describes a later incarnation, or a permitted phase of this one.
    pub fn is_superseded_by(&self, next: &Member) -> bool {
        match next.incarnation.cmp(&self.incarnation) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => self.phase.can_transition_to(next.phase),
            std::cmp::Ordering::Greater => true,
        }
    }
}

/// Target of a drain order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// All zones of a region.
    Region(RegionId),
    /// One zone.
    Zone(ZoneId),
    /// One back end.
    Backend(BackendId),
}

/// All rows that are replicated to followers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// Version up to which the rows are complete.
    pub version: ControlVersion,
    /// The bundle in force; one row at most.
    pub bundle: VersionedTable<(), BundleInForce>,
    /// Back ends by name.
    pub backends: VersionedTable<BackendId, PlatformBackend>,
    /// Shares of traffic by service and client zone.
    pub shares: VersionedTable<ShareKey, ShareVector>,
    /// Slots by daemon.
    pub slots: VersionedTable<DaemonId, SlotMap>,
    /// Daemons by name.
    pub members: VersionedTable<String, Member>,
    /// Drains that are in force.
    pub drains: VersionedTable<DrainTarget, bool>,
}

/// The rows that changed between two versions, for one follower.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the follower has after applying this.
    pub version: ControlVersion,
    bundle: Vec<((), Row<BundleInForce>)>,
    backends: Vec<(BackendId, Row<PlatformBackend>)>,
    shares: Vec<(ShareKey, Row<ShareVector>)>,
    slots: Vec<(DaemonId, Row<SlotMap>)>,
    members: Vec<(String, Row<Member>)>,
    drains: Vec<(DrainTarget, Row<bool>)>,
}

impl Delta {
    /// Returns this delta with the given slots.
    pub fn with_slots(&self, slots: Vec<(DaemonId, Row<SlotMap>)>) -> Delta {
        Delta {
            slots,
            ..self.clone()
        }
    }
}

/// Selects the daemons whose slots a delta carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotScope<'a> {
    /// Only those of one daemon.
    Daemon(&'a DaemonId),
    /// Those of every daemon, for a relay.
    All,
}

impl Tables {
    /// Returns the rows that changed after `since`.
    pub fn delta(&self, since: ControlVersion, scope: SlotScope<'_>) -> Delta {
        let mut delta = self.common_delta(since);
        delta.slots = match scope {
            SlotScope::Daemon(daemon) => self.slots_delta(since, daemon),
            SlotScope::All => self.slots.changed_since(since),
        };
        delta
    }

    /// Returns the part of a delta that is the same for every daemon.
    pub fn common_delta(&self, since: ControlVersion) -> Delta {
        if since >= self.version {
            return Delta {
                version: self.version,
                ..Delta::default()
            };
        }
        Delta {
            version: self.version,
            bundle: self.bundle.changed_since(since),
            backends: self.backends.changed_since(since),
            shares: self.shares.changed_since(since),
            slots: Vec::new(),
            members: self.members.changed_since(since),
            drains: self.drains.changed_since(since),
        }
    }

    /// Returns the slots of one daemon, if they changed after `since`. For a daemon without
    /// a row, returns an empty map as of the current version: the daemon's copy may still
    /// contain the slots of a removed row.
    pub fn slots_delta(
        &self,
        since: ControlVersion,
        daemon: &DaemonId,
    ) -> Vec<(DaemonId, Row<SlotMap>)> {
        let row = match self.slots.row(daemon) {
            Some(row) => row.clone(),
            None => Row {
                changed_at: self.version,
                value: SlotMap::new(),
            },
        };
        let has_changed = row.changed_at > since;
        has_changed
            .then(|| (daemon.clone(), row))
            .into_iter()
            .collect()
    }

    /// Applies a delta. Ignores an older one: a follower's version never decreases. Returns
    /// whether the version increased.
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.version <= self.version {
            return false;
        }
        self.version = delta.version;
        self.bundle.merge(delta.bundle);
        self.backends.merge(delta.backends);
        self.shares.merge(delta.shares);
        self.slots.merge(delta.slots);
        self.members.merge(delta.members);
        self.drains.merge(delta.drains);
        true
    }

    /// Returns the bundle in force.
    pub fn bundle_in_force(&self) -> Option<&BundleInForce> {
        self.bundle.get(&())
    }

    /// Returns whether a drain order for this target is in effect.
    pub fn is_drained(&self, target: &DrainTarget) -> bool {
        self.drains.get(target).copied().unwrap_or(false)
    }
}
