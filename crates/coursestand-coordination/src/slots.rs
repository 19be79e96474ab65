//! Slot leases. A back end runs a fixed number of concurrent requests; each of
//! these slots is held by at most one daemon. A revoked slot counts as held until
//! the daemon confirms that it has stopped using it, or until the daemon's lease has
//! expired and its longest request has ended. The sum over all daemons therefore
//! never exceeds the capacity of a back end, region or link.

use std::collections::BTreeMap;

use coursestand_model::{BackendId, Bundle, DaemonId, RegionId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::tables::{ControlVersion, SlotMap, Tables};

/// Why a slot change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum SlotError {
    /// The back end is unknown.
    #[snafu(display("back end {backend} is not known"))]
    UnknownBackend {
        /// The back end.
        backend: BackendId,
    },
    /// The daemon is not a member.
    #[snafu(display("daemon {daemon} is not a member"))]
    UnknownDaemon {
        /// The daemon.
        daemon: DaemonId,
    },
    /// The daemons would hold more slots than the back end has.
    #[snafu(display("back end {backend} has {slots} slots, but {wanted} would be held"))]
    BackendFull {
        /// The back end.
        backend: BackendId,
        /// Slots that it has.
        slots: u32,
        /// Slots that would be held.
        wanted: u32,
    },
    /// More requests would be allowed than the capacity of the region.
    #[snafu(display(
        "region {region} has a capacity of {capacity} requests, but {wanted} would be allowed"
    ))]
    RegionFull {
        /// The region.
        region: RegionId,
        /// Its capacity.
        capacity: u32,
        /// Requests that would be allowed.
        wanted: u32,
    },
    /// More requests would be allowed than the capacity of the link.
    #[snafu(display(
        "the link from {from} to {to} has a capacity of {capacity} requests, but {wanted} would be allowed"
    ))]
    LinkFull {
        /// Region of the daemons.
        from: RegionId,
        /// Region of the back ends.
        to: RegionId,
        /// Capacity of the link.
        capacity: u32,
        /// Requests that would be allowed.
        wanted: u32,
    },
}

/// Slots that were revoked and may still be in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Daemon that held them.
    pub daemon: DaemonId,
    /// Back end of the slots.
    pub backend: BackendId,
    /// Number of slots.
    pub count: u32,
    /// Version that revoked them.
    pub version: ControlVersion,
}

/// New slot count of one daemon on one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotChange {
    /// The daemon.
    pub daemon: DaemonId,
    /// The back end.
    pub backend: BackendId,
    /// Slots held after the change.
    pub count: u32,
}

/// Slots that are or may be in use, summed per limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// By back end.
    pub backends: BTreeMap<BackendId, u32>,
    /// By region of the back end.
    pub regions: BTreeMap<RegionId, u32>,
    /// By region of the daemon and region of the back end.
    pub links: BTreeMap<(RegionId, RegionId), u32>,
}

impl Occupancy {
    /// Sums the slots held and the slots being released.
    pub fn of(tables: &Tables, releases: &[Release], bundle: &Bundle) -> Occupancy {
        let mut occupancy = Occupancy::default();
        for (daemon, slots) in tables.slots.iter() {
            for (backend, count) in slots {
                occupancy.add(tables, bundle, daemon, backend, *count);
            }
        }
        for release in releases {
            occupancy.add(
                tables,
                bundle,
                &release.daemon,
                &release.backend,
                release.count,
            );
        }
        occupancy
    }

    /// Adds `count` slots of `daemon` on `backend`.
    pub fn add(
        &mut self,
        tables: &Tables,
        bundle: &Bundle,
        daemon: &DaemonId,
        backend: &BackendId,
        count: u32,
    ) {
        *self.backends.entry(backend.clone()).or_default() += count;
        let Some(to) = region_of_backend(tables, bundle, backend) else {
            return;
        };
        *self.regions.entry(to.clone()).or_default() += count;
        if let Some(from) = region_of_daemon(tables, bundle, daemon) {
            *self.links.entry((from, to)).or_default() += count;
        }
    }

    /// Returns how many more slots `daemon` could hold on `backend` within every limit.
    pub fn remaining_capacity(
        &self,
        tables: &Tables,
        bundle: &Bundle,
        daemon: &DaemonId,
        backend: &BackendId,
    ) -> u32 {
        let Some(record) = tables.backends.get(backend) else {
            return 0;
        };
        let used = self.backends.get(backend).copied().unwrap_or(0);
        let mut remaining = record.slots.saturating_sub(used);
        let Some(to) = region_of_backend(tables, bundle, backend) else {
            return 0;
        };
        let used = self.regions.get(&to).copied().unwrap_or(0);
        remaining = remaining.min(region_capacity(bundle, &to).saturating_sub(used));
        if let Some(from) = region_of_daemon(tables, bundle, daemon) {
            let capacity = link_capacity(bundle, &from, &to);
            let used = self.links.get(&(from, to)).copied().unwrap_or(0);
            remaining = remaining.min(capacity.saturating_sub(used));
        }
        remaining
    }

    /// Returns an error for the first limit that the slots of `daemon` on `backend`
    /// exceed.
    pub fn check(
        &self,
        tables: &Tables,
        bundle: &Bundle,
        daemon: &DaemonId,
        backend: &BackendId,
    ) -> Result<(), SlotError> {
        let record = tables
            .backends
            .get(backend)
            .ok_or_else(|| SlotError::UnknownBackend {
                backend: backend.clone(),
            })?;
        let wanted = self.backends.get(backend).copied().unwrap_or(0);
        if wanted > record.slots {
            return Err(SlotError::BackendFull {
                backend: backend.clone(),
                slots: record.slots,
                wanted,
            });
        }
        let Some(to) = region_of_backend(tables, bundle, backend) else {
            return Ok(());
        };
        let wanted = self.regions.get(&to).copied().unwrap_or(0);
        let capacity = region_capacity(bundle, &to);
        if wanted > capacity {
            return Err(SlotError::RegionFull {
                region: to,
                capacity,
                wanted,
            });
        }
        let Some(from) = region_of_daemon(tables, bundle, daemon) else {
            return Ok(());
        };
        let capacity = link_capacity(bundle, &from, &to);
        let key = (from, to);
        let wanted = self.links.get(&key).copied().unwrap_or(0);
        if wanted > capacity {
            let (from, to) = key;
            return Err(SlotError::LinkFull {
                from,
                to,
                capacity,
                wanted,
            });
        }
        Ok(())
    }
}

fn region_of_backend(tables: &Tables, bundle: &Bundle, backend: &BackendId) -> Option<RegionId> {
    let record = tables.backends.get(backend)?;
    bundle
        .region_of(&record.zone)
        .map(|region| region.id.clone())
}

fn region_of_daemon(tables: &Tables, bundle: &Bundle, daemon: &DaemonId) -> Option<RegionId> {
    let member = tables.members.get(&daemon.name)?;
    bundle
        .region_of(&member.zone)
        .map(|region| region.id.clone())
}

fn region_capacity(bundle: &Bundle, region: &RegionId) -> u32 {
    bundle
        .regions
        .iter()
        .find(|candidate| candidate.id == *region)
        .map_or(0, |found| found.capacity)
}

fn link_capacity(bundle: &Bundle, from: &RegionId, to: &RegionId) -> u32 {
    bundle
        .links
        .iter()
        .find(|link| link.from == *from && link.to == *to)
        .map_or(u32::MAX, |link| link.capacity)
}

/// Applies the slot changes atomically. Returns an error, and applies none, if one of them
/// exceeds a limit, or grants slots on an unknown back end or to a daemon that is not a
/// member.
pub fn adjust(
    tables: &mut Tables,
    releases: &mut Vec<Release>,
    bundle: &Bundle,
    changes: &[SlotChange],
    version: ControlVersion,
) -> Result<(), SlotError> {
    let mut next: BTreeMap<DaemonId, SlotMap> = BTreeMap::new();
    let mut occupancy = Occupancy::of(tables, releases, bundle);
    let mut released = Vec::new();
    for change in changes {
        let is_member = tables
            .members
            .get(&change.daemon.name)
            .is_some_and(|member| member.incarnation == change.daemon.incarnation);
        if !is_member && change.count > 0 {
            return Err(SlotError::UnknownDaemon {
                daemon: change.daemon.clone(),
            });
        }
        let slots = next.entry(change.daemon.clone()).or_insert_with(|| {
            tables
                .slots
                .get(&change.daemon)
                .cloned()
                .unwrap_or_default()
        });
        let previous = slots.remove(&change.backend).unwrap_or(0);
        if change.count > 0 {
            slots.insert(change.backend.clone(), change.count);
        }
        if change.count > previous {
            let added = change.count - previous;
            occupancy.add(tables, bundle, &change.daemon, &change.backend, added);
            occupancy.check(tables, bundle, &change.daemon, &change.backend)?;
        } else if previous > change.count {
            // The slots count as occupied until the daemon confirms this version.
            released.push(Release {
                daemon: change.daemon.clone(),
                backend: change.backend.clone(),
                count: previous - change.count,
                version,
            });
        }
    }
    for (daemon, slots) in next {
        tables.slots.set(daemon, slots, version);
    }
    releases.extend(released);
    Ok(())
}
