//! Proposes which daemon holds how many slots on which back end, from the demand
//! that daemons report. Pure: the leader calls it with what it knows.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::bundle::Bundle;
use coursestand_model::{BackendId, DaemonId, ServiceId, ZoneId};

use crate::planner::takes_work;
use crate::slots::{Occupancy, SlotChange};
use crate::state::ControlState;
use crate::tables::{MemberPhase, SlotMap, Tables};

/// Slots for which a daemon in the zone is assumed to have demand at first.
const PRIOR_IN_ZONE: u32 = 2;
/// Slots for which a daemon in the region is assumed to have demand at first.
const PRIOR_IN_REGION: u32 = 1;
/// A daemon keeps this many slots above its demand while nobody lacks them.
const KEPT_ABOVE_DEMAND: u32 = 2;

/// Slots above its demand that a daemon gets at least, if any are left over.
const MIN_SLACK: u32 = 1;
/// One part in this many of a pool's slots stays free for new demand.
const FREE_PART: u32 = 4;

/// Slots that a daemon would use, by daemon, service and zone.
pub type Demand = BTreeMap<(DaemonId, ServiceId, ZoneId), u32>;

/// One service in one zone: the unit in which slots are shared out.
struct Pool<'a> {
    service: &'a ServiceId,
    zone: &'a ZoneId,
    backends: Vec<BackendId>,
}

/// Proposes slot changes; empty when the slots fit the demand.
pub fn plan_slots(
    state: &ControlState,
    demand: &Demand,
    down: &BTreeSet<BackendId>,
) -> Vec<SlotChange> {
    let Some(bundle) = state.bundle() else {
        return Vec::new();
    };
    let tables = state.tables();
    let mut plan = Plan::new(state, bundle);
    plan.take_from_unusable();
    for service in &bundle.services {
        for zone in bundle.zones() {
            let pool = Pool {
                service: &service.id,
                zone,
                backends: usable_backends(tables, bundle, &service.id, zone, down),
            };
            plan.share_out(&pool, demand);
        }
    }
    plan.into_changes()
}

fn usable_backends(
    tables: &Tables,
    bundle: &Bundle,
    service: &ServiceId,
    zone: &ZoneId,
    down: &BTreeSet<BackendId>,
) -> Vec<BackendId> {
    tables
        .backends
        .iter()
        .filter(|(_, record)| record.service == *service && record.zone == *zone)
        .filter(|(id, record)| !down.contains(*id) && takes_work(tables, bundle, record))
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

    /// Back ends that are leaving, drained or unknown give their slots back.
    fn take_from_unusable(&mut self) {
        for slots in self.slots.values_mut() {
            slots.retain(|backend, _| {
                self.tables
                    .backends
                    .get(backend)
                    .is_some_and(|record| takes_work(self.tables, self.bundle, record))
            });
        }
    }

    fn share_out(&mut self, pool: &Pool<'_>, demand: &Demand) {
        let wants: Vec<u32> = self
            .serving
            .iter()
            .map(|daemon| self.want(pool, daemon, demand))
            .collect();
        let total: u32 = pool
            .backends
            .iter()
            .filter_map(|backend| self.tables.backends.get(backend))
            .map(|record| record.slots)
            .sum();
        let fair = shares_with_slack(&wants, total);
        let held: Vec<u32> = self
            .serving
            .iter()
            .map(|daemon| self.held(pool, daemon))
            .collect();
        let lacking = fair.iter().zip(&held).any(|(fair, held)| held < fair);
        for index in 0..self.serving.len() {
            let daemon = self.serving[index].clone();
            let kept = if lacking {
                fair[index]
            } else {
                fair[index] + KEPT_ABOVE_DEMAND
            };
            for _ in kept..held[index] {
                self.take_one(pool, &daemon);
            }
        }
        self.give(pool, &fair, &held);
    }

    /// Gives one slot at a time, in turn, so that scarce slots are spread.
    fn give(&mut self, pool: &Pool<'_>, fair: &[u32], held: &[u32]) {
        let mut lacking: Vec<u32> = fair
            .iter()
            .zip(held)
            .map(|(fair, held)| fair.saturating_sub(*held))
            .collect();
        while lacking.iter().any(|count| *count > 0) {
            for (index, count) in lacking
                .iter_mut()
                .enumerate()
                .filter(|(_, count)| **count > 0)
            {
                let daemon = self.serving[index].clone();
                let given = self.give_one(pool, &daemon);
                *count = if given { *count - 1 } else { 0 };
            }
        }
    }

    fn want(&self, pool: &Pool<'_>, daemon: &DaemonId, demand: &Demand) -> u32 {
        let key = (daemon.clone(), pool.service.clone(), pool.zone.clone());
        let reported = demand.get(&key).copied().unwrap_or(0);
        reported.max(self.prior(pool, daemon))
    }

    fn prior(&self, pool: &Pool<'_>, daemon: &DaemonId) -> u32 {
        let Some(member) = self.tables.members.get(&daemon.name) else {
            return 0;
        };
        if member.zone == *pool.zone {
            return PRIOR_IN_ZONE;
        }
        let same_region = self
            .bundle
            .region_of(&member.zone)
            .is_some_and(|region| region.zones.contains(pool.zone));
        if same_region { PRIOR_IN_REGION } else { 0 }
    }

    fn held(&self, pool: &Pool<'_>, daemon: &DaemonId) -> u32 {
        let Some(slots) = self.slots.get(daemon) else {
            return 0;
        };
        pool.backends
            .iter()
            .filter_map(|backend| slots.get(backend))
            .sum()
    }

    /// Takes a slot from the back end on which the daemon holds most.
    fn take_one(&mut self, pool: &Pool<'_>, daemon: &DaemonId) {
        let Some(slots) = self.slots.get_mut(daemon) else {
            return;
        };
        let most = pool
            .backends
            .iter()
            .max_by_key(|backend| slots.get(*backend).copied().unwrap_or(0));
        let Some(backend) = most else {
            return;
        };
        if let Some(count) = slots.get_mut(backend) {
            *count -= 1;
            if *count == 0 {
                slots.remove(backend);
            }
        }
    }

    /// Gives a slot on the back end on which the daemon holds fewest.
    fn give_one(&mut self, pool: &Pool<'_>, daemon: &DaemonId) -> bool {
        let slots = self.slots.entry(daemon.clone()).or_default();
        let choice = pool
            .backends
            .iter()
            .map(|backend| {
                let room = self
                    .occupancy
                    .room(self.tables, self.bundle, daemon, backend);
                (backend, room, slots.get(backend).copied().unwrap_or(0))
            })
            .filter(|(_, room, _)| *room > 0)
            .min_by_key(|(_, room, held)| (*held, std::cmp::Reverse(*room)));
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
            let held = self.tables.slots.get(&daemon).unwrap_or(&none);
            let backends: BTreeSet<&BackendId> = held.keys().chain(next.keys()).collect();
            for backend in backends {
                let count = next.get(backend).copied().unwrap_or(0);
                if count != held.get(backend).copied().unwrap_or(0) {
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

/// Fair shares of the demand, and then up to twice the demand from what is left
/// over: a burst should not have to wait for a grant. A part stays free for
/// daemons whose demand is new.
pub fn shares_with_slack(wants: &[u32], total: u32) -> Vec<u32> {
    let fair = fair_shares(wants, total);
    let given: u32 = fair.iter().sum();
    let reserve = total / FREE_PART;
    let slack: Vec<u32> = wants
        .iter()
        .map(|want| if *want > 0 { want + MIN_SLACK } else { 0 })
        .collect();
    let more = fair_shares(&slack, (total - given).saturating_sub(reserve));
    fair.iter()
        .zip(more)
        .map(|(fair, more)| fair + more)
        .collect()
}

/// Max-min fair shares: nobody gets more than wanted, and nobody gets less than
/// another one unless wanting less.
pub fn fair_shares(wants: &[u32], total: u32) -> Vec<u32> {
    let mut shares = vec![0; wants.len()];
    let mut left = total;
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|index| wants[*index]);
    for (position, index) in order.iter().enumerate() {
        let waiting = (order.len() - position) as u32;
        // Rounding up for the first ones would starve the last: round down.
        let share = wants[*index].min(left / waiting);
        shares[*index] = share;
        left -= share;
    }
    for index in order {
        let more = (wants[index] - shares[index]).min(left).min(1);
        shares[index] += more;
        left -= more;
    }
    shares
}
