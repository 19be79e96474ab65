//! Slot leases. A back end runs a fixed number of requests at the same time;
//! each of these slots is held by at most one daemon. A slot that is taken away
//! counts as held until the daemon confirms that it no longer uses it, or until
//! the daemon's lease and its longest request have ended. So the sum over all
//! daemons never exceeds what a back end, region or link carries.

use std::collections::BTreeMap;

use coursestand_model::{BackendId, Bundle, DaemonId, RegionId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::tables::{ControlVersion, SlotMap, Tables};

/// Why a slot change was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum SlotError {
    /// The back end is not known.
    #[snafu(display("back end {backend} is not known"))]
    UnknownBackend {
        /// The back end named.
        backend: BackendId,
    },
    /// The daemon is not a member.
    #[snafu(display("daemon {daemon} is not a member"))]
    UnknownDaemon {
        /// The daemon named.
        daemon: DaemonId,
    },
    /// More slots than the back end has.
    #[snafu(display("back end {backend} has {slots} slots, {wanted} would be held"))]
    BackendFull {
        /// The back end named.
        backend: BackendId,
        /// Slots that it has.
        slots: u32,
        /// Slots that would be held.
        wanted: u32,
    },
    /// More requests than the region carries.
    #[snafu(display("region {region} carries {capacity} requests, {wanted} would be allowed"))]
    RegionFull {
        /// The region named.
        region: RegionId,
        /// Its capacity.
        capacity: u32,
        /// Requests that would be allowed.
        wanted: u32,
    },
    /// More requests than the link carries.
    #[snafu(display("link {from} to {to} carries {capacity} requests, {wanted} would be allowed"))]
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

/// Slots that were taken away and may still be in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Daemon that held them.
    pub daemon: DaemonId,
    /// Back end that they are on.
    pub backend: BackendId,
    /// How many.
    pub count: u32,
    /// Version that took them away.
    pub version: ControlVersion,
}

/// New slot counts of one daemon on some back ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotChange {
    /// The daemon.
    pub daemon: DaemonId,
    /// The back end.
    pub backend: BackendId,
    /// Slots held from now on.
    pub count: u32,
}

/// Slots in use or possibly in use, summed by what limits them.
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
    /// Sums slots held and slots being released.
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

    /// Counts `count` slots of `daemon` on `backend`.
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

    /// Slots that `daemon` could still get on `backend` within every limit.
    pub fn room(
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
        let mut room = record.slots.saturating_sub(used);
        let Some(to) = region_of_backend(tables, bundle, backend) else {
            return 0;
        };
        let used = self.regions.get(&to).copied().unwrap_or(0);
        room = room.min(region_capacity(bundle, &to).saturating_sub(used));
        if let Some(from) = region_of_daemon(tables, bundle, daemon) {
            let capacity = link_capacity(bundle, &from, &to);
            let used = self.links.get(&(from, to)).copied().unwrap_or(0);
            room = room.min(capacity.saturating_sub(used));
        }
        room
    }

    /// Finds the first limit that `daemon` holding more on `backend` exceeds.
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
        .find(|known| known.id == *region)
        .map_or(0, |known| known.capacity)
}

fn link_capacity(bundle: &Bundle, from: &RegionId, to: &RegionId) -> u32 {
    bundle
        .links
        .iter()
        .find(|link| link.from == *from && link.to == *to)
        .map_or(u32::MAX, |link| link.capacity)
}

/// Applies slot changes or none of them.
pub fn adjust(
    tables: &mut Tables,
    releases: &mut Vec<Release>,
    bundle: &Bundle,
    changes: &[SlotChange],
    version: ControlVersion,
) -> Result<(), SlotError> {
    let mut next: BTreeMap<DaemonId, SlotMap> = BTreeMap::new();
    let mut occupancy = Occupancy::of(tables, releases, bundle);
    let mut freed = Vec::new();
    for change in changes {
        let known = tables
            .members
            .get(&change.daemon.name)
            .is_some_and(|member| member.incarnation == change.daemon.incarnation);
        if !known && change.count > 0 {
            return Err(SlotError::UnknownDaemon {
                daemon: change.daemon.clone(),
            });
        }
        let held = next.entry(change.daemon.clone()).or_insert_with(|| {
            tables
                .slots
                .get(&change.daemon)
                .cloned()
                .unwrap_or_default()
        });
        let before = held.remove(&change.backend).unwrap_or(0);
        if change.count > 0 {
            held.insert(change.backend.clone(), change.count);
        }
        if change.count > before {
            let more = change.count - before;
            occupancy.add(tables, bundle, &change.daemon, &change.backend, more);
            occupancy.check(tables, bundle, &change.daemon, &change.backend)?;
        } else if before > change.count {
            // The slots stay occupied until the daemon confirms this version.
            freed.push(Release {
                daemon: change.daemon.clone(),
                backend: change.backend.clone(),
                count: before - change.count,
                version,
            });
        }
    }
    for (daemon, slots) in next {
        tables.slots.set(daemon, slots, version);
    }
    releases.extend(freed);
    Ok(())
}
