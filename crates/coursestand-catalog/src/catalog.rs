//! All items with their versions, and the evacuated zones.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::{ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::item::{Item, ItemKey, ItemVersion, Limits, Route, ServiceItem};
use crate::patch::{InvalidPatch, Patch};

/// Position of a change in the replicated log.
pub type ChangeIndex = u64;

/// An item as the catalog holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Its version.
    pub version: ItemVersion,
    /// Its content; none once it was dropped. The version of a dropped item
    /// stays, so that an older change can't bring it back.
    pub item: Option<Item>,
    /// The change that set it so.
    pub changed: ChangeIndex,
}

impl Held {
    fn without_notation(&self) -> Held {
        Held {
            version: self.version,
            item: self.item.as_ref().map(Item::without_notation),
            changed: self.changed,
        }
    }
}

/// Whether a zone is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Nothing may be sent to the back ends of the zone.
    pub is_active: bool,
    /// The change that set it so.
    pub changed: ChangeIndex,
}

/// All items and evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    items: BTreeMap<ItemKey, Held>,
    evacuations: BTreeMap<ZoneId, Evacuation>,
    version: ChangeIndex,
}

/// What changed since an earlier change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogDelta {
    /// It holds all changes after this one.
    pub since: ChangeIndex,
    /// Newest change that it covers.
    pub version: ChangeIndex,
    /// Items that changed.
    pub items: Vec<(ItemKey, Held)>,
    /// Zones that changed.
    pub evacuations: Vec<(ZoneId, Evacuation)>,
}

impl Catalog {
    /// Newest change that had an effect.
    pub fn version(&self) -> ChangeIndex {
        self.version
    }

    /// Whether nothing was ever set.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes a change in, as a whole or not at all. For each item the highest
    /// version stands; a lower one changes nothing, and an equal one must have
    /// the same content.
    pub fn merge(&mut self, patch: &Patch, index: ChangeIndex) -> Result<(), InvalidPatch> {
        patch.validate(&self.known_services())?;
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
            let Some(held) = self.items.get(&upsert.key) else {
                continue;
            };
            let is_conflict =
                held.version == upsert.version && held.item.as_ref() != Some(&upsert.item);
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
            .is_none_or(|held| version > held.version);
        if !is_newer {
            return;
        }
        let held = Held {
            version,
            item,
            changed: index,
        };
        self.items.insert(key.clone(), held);
        self.version = self.version.max(index);
    }

    /// Evacuates a zone, or takes that back.
    pub fn set_evacuation(&mut self, zone: &ZoneId, is_active: bool, index: ChangeIndex) {
        let known = self.evacuations.get(zone);
        if known.is_some_and(|known| known.is_active == is_active) {
            return;
        }
        let changed = Evacuation {
            is_active,
            changed: index,
        };
        self.evacuations.insert(zone.clone(), changed);
        self.version = self.version.max(index);
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuations
            .get(zone)
            .is_some_and(|evacuation| evacuation.is_active)
    }

    /// What changed after `since`.
    pub fn delta(&self, since: ChangeIndex) -> CatalogDelta {
        self.delta_of(since, Held::clone)
    }

    /// What changed after `since`, as entry daemons decide by it.
    pub fn steering_delta(&self, since: ChangeIndex) -> CatalogDelta {
        self.delta_of(since, Held::without_notation)
    }

    fn delta_of(&self, since: ChangeIndex, copy: impl Fn(&Held) -> Held) -> CatalogDelta {
        let items = self
            .items
            .iter()
            .filter(|(_, held)| held.changed > since)
            .map(|(key, held)| (key.clone(), copy(held)))
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

    /// Takes in what another holder sent. Never goes back: an item by its
    /// version, a zone by its change. Changes that it lacks must not be skipped: a
    /// delta that begins after the newest one held changes nothing. Returns whether
    /// anything changed.
    pub fn adopt(&mut self, delta: CatalogDelta) -> bool {
        if delta.since > self.version {
            return false;
        }
        let mut changed = false;
        for (key, held) in delta.items {
            let known = self.items.get(&key);
            if known.is_none_or(|known| held.version > known.version) {
                self.items.insert(key, held);
                changed = true;
            }
        }
        for (zone, evacuation) in delta.evacuations {
            let known = self.evacuations.get(&zone);
            if known.is_none_or(|known| evacuation.changed > known.changed) {
                self.evacuations.insert(zone, evacuation);
                changed = true;
            }
        }
        self.version = self.version.max(delta.version);
        changed
    }

    /// All items that stand.
    pub fn standing(&self) -> impl Iterator<Item = (&ItemKey, ItemVersion, &Item)> {
        self.items
            .iter()
            .filter_map(|(key, held)| Some((key, held.version, held.item.as_ref()?)))
    }

    /// All routes that stand, with their names and versions.
    pub fn routes(&self) -> impl Iterator<Item = (&str, ItemVersion, &Route)> {
        self.standing().filter_map(|(key, version, item)| {
            let (ItemKey::Route(name), Item::Route(route)) = (key, item) else {
                return None;
            };
            Some((name.as_str(), version, route))
        })
    }

    /// All services that stand.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.standing().filter_map(|(key, _, _)| match key {
            ItemKey::Service(service) => Some(service),
            _ => None,
        })
    }

    /// A service that stands.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceItem> {
        let key = ItemKey::Service(service.clone());
        match self.items.get(&key)?.item.as_ref()? {
            Item::Service(item) => Some(item),
            _ => None,
        }
    }

    /// The limits of caller connections.
    pub fn limits(&self) -> Option<&Limits> {
        match self.items.get(&ItemKey::Limits)?.item.as_ref()? {
            Item::Limits(limits) => Some(limits),
            _ => None,
        }
    }

    /// Services that stand or once stood: an older change may still name them.
    fn known_services(&self) -> BTreeSet<ServiceId> {
        self.items
            .keys()
            .filter_map(|key| match key {
                ItemKey::Service(service) => Some(service.clone()),
                _ => None,
            })
            .collect()
    }
}
