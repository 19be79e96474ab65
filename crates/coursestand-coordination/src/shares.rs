//! Traffic shares: the part of a service's requests from one client zone that each
//! zone serves.

use std::collections::BTreeMap;

use coursestand_model::{FULL_SHARE, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

/// Traffic of one service from the clients of one zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShareKey {
    /// Requested service.
    pub service: ServiceId,
    /// Zone of the clients.
    pub origin: ZoneId,
}

/// Shares by zone in basis points, summing to [`FULL_SHARE`]. Zones without a share
/// are absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareVector(pub BTreeMap<ZoneId, u32>);

impl ShareVector {
    /// Sends all traffic to one zone.
    pub fn all_to(zone: &ZoneId) -> ShareVector {
        ShareVector(BTreeMap::from([(zone.clone(), FULL_SHARE)]))
    }

    /// Returns shares in proportion to `weights`, or `None` if all weights are zero.
    /// Uses the largest-remainder method, so the sum is exact.
    pub fn in_proportion(weights: &BTreeMap<ZoneId, u64>) -> Option<ShareVector> {
        let total: u64 = weights.values().sum();
        if total == 0 {
            return None;
        }
        let mut shares = BTreeMap::new();
        let mut remainders = Vec::new();
        let mut assigned = 0;
        for (zone, weight) in weights.iter().filter(|(_, weight)| **weight > 0) {
            let scaled = weight * u64::from(FULL_SHARE);
            let share = (scaled / total) as u32;
            assigned += share;
            shares.insert(zone.clone(), share);
            remainders.push((scaled % total, zone.clone()));
        }
        remainders.sort_by(|left, right| right.cmp(left));
        for (_, zone) in remainders
            .into_iter()
            .take((FULL_SHARE - assigned) as usize)
        {
            *shares.entry(zone).or_default() += 1;
        }
        shares.retain(|_, share| *share > 0);
        Some(ShareVector(shares))
    }

    /// Returns the share of `zone` in basis points.
    pub fn of(&self, zone: &ZoneId) -> u32 {
        self.0.get(zone).copied().unwrap_or(0)
    }

    /// Returns whether the shares sum to all of the traffic.
    pub fn is_complete(&self) -> bool {
        self.0.values().sum::<u32>() == FULL_SHARE
    }

    /// Returns the basis points that move to other zones when `next` replaces these
    /// shares.
    pub fn moved_to(&self, next: &ShareVector) -> u32 {
        next.0
            .iter()
            .map(|(zone, share)| share.saturating_sub(self.of(zone)))
            .sum()
    }

    /// Returns the shares closest to `target` that move at most `budget` basis points.
    pub fn step_towards(&self, target: &ShareVector, budget: u32) -> ShareVector {
        if self.moved_to(target) <= budget {
            return target.clone();
        }
        let mut next = self.0.clone();
        let mut to_remove = budget;
        for (zone, share) in &self.0 {
            let surplus = share.saturating_sub(target.of(zone)).min(to_remove);
            *next.entry(zone.clone()).or_default() -= surplus;
            to_remove -= surplus;
        }
        let mut to_add = budget;
        for (zone, share) in &target.0 {
            let deficit = share.saturating_sub(self.of(zone)).min(to_add);
            *next.entry(zone.clone()).or_default() += deficit;
            to_add -= deficit;
        }
        next.retain(|_, share| *share > 0);
        ShareVector(next)
    }
}
