//! The catalog: all items with their versions, and the evacuated zones.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::{ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::item::{Item, ItemKey, ItemVersion, Limits, Route, ServiceItem};
use crate::patch::{InvalidPatch, Patch};

/// Index of a change in the replicated log.
pub type ChangeIndex = u64;

/// An item, or the tombstone of a removed item, with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedItem {
    /// Version of the item.
    pub version: ItemVersion,
    /// Content; `None` after a removal. The version of a removed item is kept, so that
    /// an older change can't restore it.
    pub item: Option<Item>,
    /// Index of the change that set this version.
    pub changed: ChangeIndex,
}

impl VersionedItem {
    fn without_notation(&self) -> VersionedItem {
        VersionedItem {
            version: self.version,
            item: self.item.as_ref().map(Item::without_notation),
            changed: self.changed,
        }
    }
}

/// Evacuation state of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether requests to the back ends of the zone are forbidden.
    pub is_active: bool,
    /// Index of the change that set this state.
    pub changed: ChangeIndex,
}

/// All items and evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    items: BTreeMap<ItemKey, VersionedItem>,
    evacuations: BTreeMap<ZoneId, Evacuation>,
    version: ChangeIndex,
}

/// The items and zones that changed after a given change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// The delta contains all changes after this one.
    pub since: ChangeIndex,
    /// Latest change that the delta includes.
    pub version: ChangeIndex,
    /// Changed items.
    pub items: Vec<(ItemKey, VersionedItem)>,
    /// Changed evacuation states.
    pub evacuations: Vec<(ZoneId, Evacuation)>,
}

/// What adopting a delta changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdoptedChanges {
    /// Number of items that changed.
    pub items: usize,
    /// Zones whose evacuation was started or ended, with the new state.
    pub evacuations: Vec<(ZoneId, Evacuation)>,
}

impl AdoptedChanges {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.items == 0 && self.evacuations.is_empty()
    }
}

impl Catalog {
    /// Returns the index of the latest change that had an effect.
    pub fn version(&self) -> ChangeIndex {
        self.version
    }

    /// Returns whether no item was ever set.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Applies a patch atomically. The highest version of each item wins; a lower version
    /// is ignored, and an upsert with an equal version must have the same content.
    pub fn merge(&mut self, patch: &Patch, index: ChangeIndex) -> Result<(), InvalidPatch> {
        patch.validate(&self.present_and_removed_services())?;
        self.check_conflicts(patch)?;
        for upsert in &patch.upserts {
            let content = Some(upsert.item.clone());
            self.set(&upsert.key, upsert.version, content, index);
        }
        for removal in &patch.removals {
            self.set(&removal.key, removal.version, None, index);
        }
        Ok(())
    }

    fn check_conflicts(&self, patch: &Patch) -> Result<(), InvalidPatch> {
        for upsert in &patch.upserts {
            let Some(entry) = self.items.get(&upsert.key) else {
                continue;
            };
            let is_conflict =
                entry.version == upsert.version && entry.item.as_ref() != Some(&upsert.item);
            if is_conflict {
                return Err(InvalidPatch::Conflict {
                    key: upsert.key.clone(),
                    version: upsert.version,
                });
            }
        }
        Ok(())
    }

    fn set(&mut self, key: &ItemKey, version: ItemVersion, item: Option<Item>, index: ChangeIndex) {
        let is_newer = self
            .items
            .get(key)
            .is_none_or(|entry| version > entry.version);
        if !is_newer {
            return;
        }
        let entry = VersionedItem {
            version,
            item,
            changed: index,
        };
        self.items.insert(key.clone(), entry);
        self.version = self.version.max(index);
    }

    /// Starts or ends the evacuation of a zone.
    pub fn set_evacuation(&mut self, zone: &ZoneId, is_active: bool, index: ChangeIndex) {
        let current = self.evacuations.get(zone);
        if current.is_some_and(|current| current.is_active == is_active) {
            return;
        }
        let evacuation = Evacuation {
            is_active,
            changed: index,
        };
        self.evacuations.insert(zone.clone(), evacuation);
        self.version = self.version.max(index);
    }

    /// Returns the index of the change that set an item to its version, or 0 if it was never set.
    pub fn changed_at(&self, key: &ItemKey) -> ChangeIndex {
        self.items.get(key).map_or(0, |entry| entry.changed)
    }

    /// Returns the evacuation state of a zone, or `None` if it was never evacuated.
    pub fn evacuation(&self, zone: &ZoneId) -> Option<Evacuation> {
        self.evacuations.get(zone).copied()
    }

    /// Iterates over the zones that were ever evacuated, with their state.
    pub fn evacuations(&self) -> impl Iterator<Item = (&ZoneId, &Evacuation)> {
        self.evacuations.iter()
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_zone_count(&self) -> usize {
        let evacuations = self.evacuations.values();
        evacuations
            .filter(|evacuation| evacuation.is_active)
            .count()
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuations
            .get(zone)
            .is_some_and(|evacuation| evacuation.is_active)
    }

    /// Returns the changes after `since`.
    pub fn delta(&self, since: ChangeIndex) -> CatalogDelta {
        self.copy_changes(since, VersionedItem::clone)
    }

    /// Returns the changes after `since` as entry daemons need them: without the
    /// operators' notation.
    pub fn steering_delta(&self, since: ChangeIndex) -> CatalogDelta {
        self.copy_changes(since, VersionedItem::without_notation)
    }

    fn copy_changes(
        &self,
        since: ChangeIndex,
        copy: impl Fn(&VersionedItem) -> VersionedItem,
    ) -> CatalogDelta {
        let items = self
            .items
            .iter()
            .filter(|(_, entry)| entry.changed > since)
            .map(|(key, entry)| (key.clone(), copy(entry)))
            .collect();
        let evacuations = self
            .evacuations
            .iter()
            .filter(|(_, evacuation)| evacuation.changed > since)
            .map(|(zone, evacuation)| (zone.clone(), *evacuation))
            .collect();
        CatalogDelta {
            since,
            version: self.version,
            items,
            evacuations,
        }
    }

    /// Applies a delta from another catalog. Items with a version that is not newer, and
    /// zones with a change that is not newer, are ignored. A delta that starts after this
    /// catalog's version is ignored too, because it would skip changes. Returns what
    /// changed.
    pub fn adopt(&mut self, delta: CatalogDelta) -> AdoptedChanges {
        let mut changes = AdoptedChanges::default();
        if delta.since > self.version {
            return changes;
        }
        for (key, entry) in delta.items {
            let current = self.items.get(&key);
            if current.is_none_or(|current| entry.version > current.version) {
                self.items.insert(key, entry);
                changes.items += 1;
            }
        }
        for (zone, evacuation) in delta.evacuations {
            let current = self.evacuations.get(&zone);
            if current.is_none_or(|current| evacuation.changed > current.changed) {
                self.evacuations.insert(zone.clone(), evacuation);
                changes.evacuations.push((zone, evacuation));
            }
        }
        self.version = self.version.max(delta.version);
        changes
    }

    /// Iterates over the items that are not removed.
    pub fn live_items(&self) -> impl Iterator<Item = (&ItemKey, ItemVersion, &Item)> {
        self.items
            .iter()
            .filter_map(|(key, entry)| Some((key, entry.version, entry.item.as_ref()?)))
    }

    /// Iterates over the routes with their names and versions.
    pub fn routes(&self) -> impl Iterator<Item = (&str, ItemVersion, &Route)> {
        self.live_items().filter_map(|(key, version, item)| {
            let (ItemKey::Route(name), Item::Route(route)) = (key, item) else {
                return None;
            };
            Some((name.as_str(), version, route))
        })
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.live_items().filter_map(|(key, _, _)| match key {
            ItemKey::Service(service) => Some(service),
            _ => None,
        })
    }

    /// Returns a service, unless it is unknown or removed.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceItem> {
        let key = ItemKey::Service(service.clone());
        match self.items.get(&key)?.item.as_ref()? {
            Item::Service(item) => Some(item),
            _ => None,
        }
    }

    /// Returns the limits of caller connections, if set.
    pub fn limits(&self) -> Option<&Limits> {
        match self.items.get(&ItemKey::Limits)?.item.as_ref()? {
            Item::Limits(limits) => Some(limits),
            _ => None,
        }
    }

    /// Returns the present and the removed services: a resent older change may refer to
    /// a removed one.
    fn present_and_removed_services(&self) -> BTreeSet<ServiceId> {
        self.items
            .keys()
            .filter_map(|key| match key {
                ItemKey::Service(service) => Some(service.clone()),
                _ => None,
            })
            .collect()
    }
}
