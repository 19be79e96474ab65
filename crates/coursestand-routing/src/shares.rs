//! Divides a region's requests among the regions.
//!
//! Each region serves its own clients first. A region whose capacity is less than its share
//! of the demand sends the excess to the regions with spare capacity. Since the actual demand
//! is unknown, all regions with clients are assumed to have equal demand.

use std::collections::BTreeMap;

use coursestand_model::RegionId;

/// Shares of the regions in a fixed order. They sum up to 1, unless there is no capacity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionShares {
    shares: Vec<(RegionId, f64)>,
}

impl RegionShares {
    /// Returns the shares for the clients of `local_region`. `capacity` contains each region
    /// with back ends, `client_regions` is the number of regions with clients.
    pub fn new(
        local_region: &RegionId,
        capacity: &BTreeMap<RegionId, f64>,
        client_regions: usize,
    ) -> RegionShares {
        let total: f64 = capacity.values().sum();
        if total <= 0.0 {
            return RegionShares::default();
        }
        let demand = total / client_regions.max(1) as f64;
        let local_share = capacity
            .get(local_region)
            .copied()
            .unwrap_or(0.0)
            .min(demand)
            / demand;
        let spare: f64 = capacity
            .iter()
            .filter(|(region, _)| *region != local_region)
            .map(|(_, capacity)| (capacity - demand).max(0.0))
            .sum();
        let mut shares = vec![(local_region.clone(), local_share)];
        for (region, capacity) in capacity
            .iter()
            .filter(|(region, _)| *region != local_region)
        {
            let spare_fraction = if spare > 0.0 {
                (capacity - demand).max(0.0) / spare
            } else {
                0.0
            };
            shares.push((region.clone(), (1.0 - local_share) * spare_fraction));
        }
        RegionShares { shares }
    }

    /// Returns the region of a key with this point. A small change of the shares moves only
    /// the keys next to a border.
    pub fn region_at(&self, point: f64) -> Option<&RegionId> {
        let mut border = 0.0;
        for (region, share) in &self.shares {
            border += share;
            if point < border {
                return Some(region);
            }
        }
        self.shares
            .iter()
            .rev()
            .find(|(_, share)| *share > 0.0)
            .map(|(region, _)| region)
    }

    /// Iterates over the shares.
    pub fn iter(&self) -> impl Iterator<Item = &(RegionId, f64)> {
        self.shares.iter()
    }
}
