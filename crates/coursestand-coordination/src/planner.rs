//! Proposes the next step of the traffic shares towards the targets of the policies,
//! within the shift caps. Pure functions of the leader's state.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::bundle::{Bundle, Policy, Service};
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};

use crate::shares::{ShareKey, ShareVector};
use crate::state::ControlState;
use crate::tables::{DrainTarget, Tables};

/// Returns whether a back end may get new requests: it is live and not drained.
pub fn accepts_new_work(tables: &Tables, bundle: &Bundle, record: &PlatformBackend) -> bool {
    if record.state != BackendState::Live {
        return false;
    }
    let region = bundle.region_of(&record.zone).map(|region| &region.id);
    let is_region_drained =
        region.is_some_and(|region| tables.is_drained(&DrainTarget::Region(region.clone())));
    !is_region_drained
        && !tables.is_drained(&DrainTarget::Zone(record.zone.clone()))
        && !tables.is_drained(&DrainTarget::Backend(record.id.clone()))
}

/// Slots that can serve new requests, by service and zone.
#[derive(Debug, Default)]
pub struct UsableSlots(BTreeMap<ServiceId, BTreeMap<ZoneId, u64>>);

impl UsableSlots {
    /// Sums the slots of back ends that accept new requests and are not in `unreachable`.
    pub fn of(tables: &Tables, bundle: &Bundle, unreachable: &BTreeSet<BackendId>) -> UsableSlots {
        let mut usable = UsableSlots::default();
        for (id, record) in tables.backends.iter() {
            if unreachable.contains(id) || !accepts_new_work(tables, bundle, record) {
                continue;
            }
            let zones = usable.0.entry(record.service.clone()).or_default();
            *zones.entry(record.zone.clone()).or_default() += u64::from(record.slots);
        }
        usable
    }

    fn zones_of(&self, service: &ServiceId) -> Option<&BTreeMap<ZoneId, u64>> {
        self.0.get(service).filter(|zones| !zones.is_empty())
    }
}

/// Returns the target shares of a service's policy, or `None` if no zone has a usable
/// slot.
pub fn target_shares(
    bundle: &Bundle,
    service: &Service,
    origin: &ZoneId,
    usable: &UsableSlots,
) -> Option<ShareVector> {
    let zones = usable.zones_of(&service.id)?;
    let weights = match &service.policy {
        Policy::Nearest {} => nearest_zones(bundle, origin, zones),
        Policy::Headroom {} => nearest_region(bundle, origin, zones),
        Policy::Weighted { weights } => weighted_zones(weights, zones),
    };
    ShareVector::in_proportion(&weights)
}

/// Returns the zones with the lowest latency, weighted by their slots.
fn nearest_zones(
    bundle: &Bundle,
    origin: &ZoneId,
    zones: &BTreeMap<ZoneId, u64>,
) -> BTreeMap<ZoneId, u64> {
    let lowest = zones
        .keys()
        .map(|zone| bundle.latency_between(origin, zone))
        .fold(f64::INFINITY, f64::min);
    zones
        .iter()
        .filter(|(zone, _)| bundle.latency_between(origin, zone) <= lowest)
        .map(|(zone, slots)| (zone.clone(), *slots))
        .collect()
}

/// Returns the usable zones of the client's region, or of all regions if it has none.
fn nearest_region(
    bundle: &Bundle,
    origin: &ZoneId,
    zones: &BTreeMap<ZoneId, u64>,
) -> BTreeMap<ZoneId, u64> {
    let region = bundle.region_of(origin);
    let in_region: BTreeMap<ZoneId, u64> = zones
        .iter()
        .filter(|(zone, _)| region.is_some_and(|region| region.zones.contains(zone)))
        .map(|(zone, slots)| (zone.clone(), *slots))
        .collect();
    if in_region.is_empty() {
        zones.clone()
    } else {
        in_region
    }
}

/// Returns the fixed weights of the usable zones, or the slots of all usable zones if
/// none has a weight.
fn weighted_zones(
    weights: &BTreeMap<ZoneId, u32>,
    zones: &BTreeMap<ZoneId, u64>,
) -> BTreeMap<ZoneId, u64> {
    let weighted: BTreeMap<ZoneId, u64> = zones
        .keys()
        .map(|zone| {
            (
                zone.clone(),
                u64::from(weights.get(zone).copied().unwrap_or(0)),
            )
        })
        .filter(|(_, weight)| *weight > 0)
        .collect();
    if weighted.is_empty() {
        zones.clone()
    } else {
        weighted
    }
}

/// Returns the next steps towards the target shares, each within its shift cap, for a
/// command that would be stamped with the replicated clock `clock`. The clock of `state`
/// is that of its last command and does not advance while nothing is committed.
pub fn plan_steps(
    state: &ControlState,
    unreachable: &BTreeSet<BackendId>,
    clock: Millis,
) -> Vec<(ShareKey, ShareVector)> {
    let Some(bundle) = state.bundle() else {
        return Vec::new();
    };
    let usable = UsableSlots::of(state.tables(), bundle, unreachable);
    let mut steps = Vec::new();
    for service in &bundle.services {
        for origin in bundle.zones() {
            let Some(target) = target_shares(bundle, service, origin, &usable) else {
                continue;
            };
            let key = ShareKey {
                service: service.id.clone(),
                origin: origin.clone(),
            };
            if let Some(next) = next_shares(state, service, &key, target, clock) {
                steps.push((key, next));
            }
        }
    }
    steps
}

fn next_shares(
    state: &ControlState,
    service: &Service,
    key: &ShareKey,
    target: ShareVector,
    clock: Millis,
) -> Option<ShareVector> {
    let Some(current) = state.tables().shares.get(key) else {
        return Some(target);
    };
    let budget = state.shift_ledger().budget(key, service.shift_cap, clock);
    let next = current.step_towards(&target, budget);
    (next != *current).then_some(next)
}
