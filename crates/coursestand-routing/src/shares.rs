//! Which part of a region's requests each region serves.
//!
//! Each region serves its own clients first. A region whose back ends are fewer
//! than its part of the demand sends the rest to the regions that have more than
//! theirs. Without better knowledge every region with clients counts as an equal
//! part of the demand.

use std::collections::BTreeMap;

use coursestand_model::RegionId;

/// Shares of the regions in a fixed order; they sum up to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionShares {
    shares: Vec<(RegionId, f64)>,
}

impl RegionShares {
    /// Shares for the clients of `own`. `capacity` holds each region with back
    /// ends, `demanding` is the number of regions with clients.
    pub fn new(
        own: &RegionId,
        capacity: &BTreeMap<RegionId, f64>,
        demanding: usize,
    ) -> RegionShares {
        let total: f64 = capacity.values().sum();
        if total <= 0.0 {
            return RegionShares::default();
        }
        let demand = total / demanding.max(1) as f64;
        let at_home = capacity.get(own).copied().unwrap_or(0.0).min(demand) / demand;
        let spare: f64 = capacity
            .iter()
            .filter(|(region, _)| *region != own)
            .map(|(_, capacity)| (capacity - demand).max(0.0))
            .sum();
        let mut shares = vec![(own.clone(), at_home)];
        for (region, capacity) in capacity.iter().filter(|(region, _)| *region != own) {
            let part = if spare > 0.0 {
                (capacity - demand).max(0.0) / spare
            } else {
                0.0
            };
            shares.push((region.clone(), (1.0 - at_home) * part));
        }
        RegionShares { shares }
    }

    /// The region of a key with this point. A small change of the shares moves
    /// only the keys next to a border.
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

    /// The shares.
    pub fn iter(&self) -> impl Iterator<Item = &(RegionId, f64)> {
        self.shares.iter()
    }
}
