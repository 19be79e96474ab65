//! Proposes how many slots each daemon holds on each back end, from the demand
//! that daemons report. Pure functions of the leader's state.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::bundle::Bundle;
use coursestand_model::{BackendId, DaemonId, ServiceId, ZoneId};

use crate::planner::accepts_new_work;
use crate::slots::{Occupancy, SlotChange};
use crate::state::ControlState;
use crate::tables::{MemberPhase, SlotMap, Tables};

/// Minimum demand, in slots, assumed for a daemon in the zone of the back ends.
const MIN_DEMAND_IN_ZONE: u32 = 2;
/// Minimum demand, in slots, assumed for a daemon in the region of the back ends.
const MIN_DEMAND_IN_REGION: u32 = 1;
/// Slots above its share that a daemon may keep while no other daemon lacks slots.
const MAX_SURPLUS: u32 = 2;

/// The slack of a daemon with demand is at most its demand plus this many slots.
const EXTRA_SLACK: u32 = 1;
/// Divisor for the part of a pool's slots that stays free for new demand.
const RESERVE_DIVISOR: u32 = 4;

/// Slots that each daemon would use, by daemon, service and zone.
pub type Demand = BTreeMap<(DaemonId, ServiceId, ZoneId), u32>;

/// The back ends of one service in one zone; slots are allocated per pool.
struct Pool<'a> {
    service: &'a ServiceId,
    zone: &'a ZoneId,
    backends: Vec<BackendId>,
}

/// Proposes slot changes. Empty when the allocation already fits the demand.
pub fn plan_slots(
    state: &ControlState,
    demand: &Demand,
    unreachable: &BTreeSet<BackendId>,
) -> Vec<SlotChange> {
    let Some(bundle) = state.bundle() else {
        return Vec::new();
    };
    let tables = state.tables();
    let mut plan = Plan::new(state, bundle);
    plan.revoke_from_unusable();
    for service in &bundle.services {
        for zone in bundle.zones() {
            let pool = Pool {
                service: &service.id,
                zone,
                backends: usable_backends(tables, bundle, &service.id, zone, unreachable),
            };
            plan.allocate(&pool, demand);
        }
    }
    plan.into_changes()
}

fn usable_backends(
    tables: &Tables,
    bundle: &Bundle,
    service: &ServiceId,
    zone: &ZoneId,
    unreachable: &BTreeSet<BackendId>,
) -> Vec<BackendId> {
    tables
        .backends
        .iter()
        .filter(|(_, record)| record.service == *service && record.zone == *zone)
        .filter(|(id, record)| {
            !unreachable.contains(*id) && accepts_new_work(tables, bundle, record)
        })
        .map(|(id, _)| id.clone())
        .collect()
}

struct Plan<'a> {
    tables: &'a Tables,
    bundle: &'a Bundle,
    occupancy: Occupancy,
    serving: Vec<DaemonId>,
    slots: BTreeMap<DaemonId, SlotMap>,
}

impl<'a> Plan<'a> {
    fn new(state: &'a ControlState, bundle: &'a Bundle) -> Plan<'a> {
        let tables = state.tables();
        let serving = tables
            .members
            .iter()
            .filter(|(_, member)| member.phase == MemberPhase::Serving && member.address.is_some())
            .map(|(name, member)| DaemonId {
                name: name.clone(),
                incarnation: member.incarnation,
            })
            .collect();
        let slots = tables
            .slots
            .iter()
            .map(|(daemon, slots)| (daemon.clone(), slots.clone()))
            .collect();
        Plan {
            tables,
            bundle,
            occupancy: Occupancy::of(tables, state.releases(), bundle),
            serving,
            slots,
        }
    }

    /// Revokes all slots on back ends that are leaving, drained or unknown.
    fn revoke_from_unusable(&mut self) {
        for slots in self.slots.values_mut() {
            slots.retain(|backend, _| {
                self.tables
                    .backends
                    .get(backend)
                    .is_some_and(|record| accepts_new_work(self.tables, self.bundle, record))
            });
        }
    }

    fn allocate(&mut self, pool: &Pool<'_>, demand: &Demand) {
        let wanted: Vec<u32> = self
            .serving
            .iter()
            .map(|daemon| self.demand_of(pool, daemon, demand))
            .collect();
        let total: u32 = pool
            .backends
            .iter()
            .filter_map(|backend| self.tables.backends.get(backend))
            .map(|record| record.slots)
            .sum();
        let targets = shares_with_slack(&wanted, total);
        let held: Vec<u32> = self
            .serving
            .iter()
            .map(|daemon| self.held_slots(pool, daemon))
            .collect();
        let is_short = targets
            .iter()
            .zip(&held)
            .any(|(target, held)| held < target);
        for index in 0..self.serving.len() {
            let daemon = self.serving[index].clone();
            let limit = if is_short {
                targets[index]
            } else {
                targets[index] + MAX_SURPLUS
            };
            for _ in limit..held[index] {
                self.revoke_slot(pool, &daemon);
            }
        }
        self.grant_missing(pool, &targets, &held);
    }

    /// Grants one slot at a time in round-robin order, so that scarce slots are
    /// spread over the daemons.
    fn grant_missing(&mut self, pool: &Pool<'_>, targets: &[u32], held: &[u32]) {
        let mut missing: Vec<u32> = targets
            .iter()
            .zip(held)
            .map(|(target, held)| target.saturating_sub(*held))
            .collect();
        while missing.iter().any(|count| *count > 0) {
            for (index, count) in missing
                .iter_mut()
                .enumerate()
                .filter(|(_, count)| **count > 0)
            {
                let daemon = self.serving[index].clone();
                let is_granted = self.grant_slot(pool, &daemon);
                *count = if is_granted { *count - 1 } else { 0 };
            }
        }
    }

    fn demand_of(&self, pool: &Pool<'_>, daemon: &DaemonId, demand: &Demand) -> u32 {
        let key = (daemon.clone(), pool.service.clone(), pool.zone.clone());
        let reported = demand.get(&key).copied().unwrap_or(0);
        reported.max(self.min_demand(pool, daemon))
    }

    fn min_demand(&self, pool: &Pool<'_>, daemon: &DaemonId) -> u32 {
        let Some(member) = self.tables.members.get(&daemon.name) else {
            return 0;
        };
        if member.zone == *pool.zone {
            return MIN_DEMAND_IN_ZONE;
        }
        let is_same_region = self
            .bundle
            .region_of(&member.zone)
            .is_some_and(|region| region.zones.contains(pool.zone));
        if is_same_region {
            MIN_DEMAND_IN_REGION
        } else {
            0
        }
    }

    fn held_slots(&self, pool: &Pool<'_>, daemon: &DaemonId) -> u32 {
        let Some(slots) = self.slots.get(daemon) else {
            return 0;
        };
        pool.backends
            .iter()
            .filter_map(|backend| slots.get(backend))
            .sum()
    }

    /// Revokes a slot on the back end on which the daemon holds the most.
    fn revoke_slot(&mut self, pool: &Pool<'_>, daemon: &DaemonId) {
        let Some(slots) = self.slots.get_mut(daemon) else {
            return;
        };
        let fullest = pool
            .backends
            .iter()
            .max_by_key(|backend| slots.get(*backend).copied().unwrap_or(0));
        let Some(backend) = fullest else {
            return;
        };
        if let Some(count) = slots.get_mut(backend) {
            *count -= 1;
            if *count == 0 {
                slots.remove(backend);
            }
        }
    }

    /// Grants a slot on the back end on which the daemon holds the fewest. Returns
    /// whether any back end of the pool had a slot left.
    fn grant_slot(&mut self, pool: &Pool<'_>, daemon: &DaemonId) -> bool {
        let slots = self.slots.entry(daemon.clone()).or_default();
        let choice = pool
            .backends
            .iter()
            .map(|backend| {
                let remaining =
                    self.occupancy
                        .remaining_capacity(self.tables, self.bundle, daemon, backend);
                (backend, remaining, slots.get(backend).copied().unwrap_or(0))
            })
            .filter(|(_, remaining, _)| *remaining > 0)
            .min_by_key(|(_, remaining, held)| (*held, std::cmp::Reverse(*remaining)));
        let Some((backend, _, _)) = choice else {
            return false;
        };
        *slots.entry(backend.clone()).or_default() += 1;
        self.occupancy
            .add(self.tables, self.bundle, daemon, backend, 1);
        true
    }

    fn into_changes(self) -> Vec<SlotChange> {
        let mut changes = Vec::new();
        for (daemon, next) in self.slots {
            let none = SlotMap::new();
            let current = self.tables.slots.get(&daemon).unwrap_or(&none);
            let backends: BTreeSet<&BackendId> = current.keys().chain(next.keys()).collect();
            for backend in backends {
                let count = next.get(backend).copied().unwrap_or(0);
                if count != current.get(backend).copied().unwrap_or(0) {
                    changes.push(SlotChange {
                        daemon: daemon.clone(),
                        backend: backend.clone(),
                        count,
                    });
                }
            }
        }
        changes
    }
}

/// Returns fair shares of the demand plus slack from the remaining slots, so that a burst
/// does not wait for a grant. The slack is at most the demand plus `EXTRA_SLACK`; one part
/// in `RESERVE_DIVISOR` of the slots stays free for daemons with new demand.
pub fn shares_with_slack(wanted: &[u32], total: u32) -> Vec<u32> {
    let fair = fair_shares(wanted, total);
    let granted: u32 = fair.iter().sum();
    let reserve = total / RESERVE_DIVISOR;
    let wanted_slack: Vec<u32> = wanted
        .iter()
        .map(|wanted| if *wanted > 0 { wanted + EXTRA_SLACK } else { 0 })
        .collect();
    let slack = fair_shares(&wanted_slack, (total - granted).saturating_sub(reserve));
    fair.iter()
        .zip(slack)
        .map(|(fair, slack)| fair + slack)
        .collect()
}

/// Returns max-min fair shares of `total`: no share exceeds its demand, and if a share
/// falls short of its demand, no other share is larger by more than one slot.
pub fn fair_shares(wanted: &[u32], total: u32) -> Vec<u32> {
    let mut shares = vec![0; wanted.len()];
    let mut remaining = total;
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|index| wanted[*index]);
    for (position, index) in order.iter().enumerate() {
        let unserved = (order.len() - position) as u32;
        // Rounds down: rounding up for the first shares would starve the last.
        let share = wanted[*index].min(remaining / unserved);
        shares[*index] = share;
        remaining -= share;
    }
    for index in order {
        let remainder = (wanted[index] - shares[index]).min(remaining).min(1);
        shares[index] += remainder;
        remaining -= remainder;
    }
    shares
}
