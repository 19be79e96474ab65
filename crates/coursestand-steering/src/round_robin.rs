//! Smooth weighted round robin: after any number of requests, the count of each zone
//! deviates from its share by less than the number of zones. Random sampling could
//! exceed a shift cap.

use coursestand_coordination::shares::ShareVector;
use coursestand_model::{FULL_SHARE, ZoneId};

#[derive(Clone, Debug)]
struct WeightedZone {
    zone: ZoneId,
    share: i64,
    credit: i64,
}

/// Distributes requests over zones in proportion to their shares.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    zones: Vec<WeightedZone>,
}

impl WeightedRoundRobin {
    /// Sets the shares. Zones that remain keep their credit, so that repeated changes of
    /// the shares can't give a zone more than its share.
    pub fn set_shares(&mut self, shares: &ShareVector) {
        let previous = std::mem::take(&mut self.zones);
        self.zones = shares
            .0
            .iter()
            .map(|(zone, share)| WeightedZone {
                zone: zone.clone(),
                share: i64::from(*share),
                credit: previous
                    .iter()
                    .find(|candidate| candidate.zone == *zone)
                    .map_or(0, |found| found.credit),
            })
            .collect();
    }

    /// Returns the zone for the next request, or `None` if no zone has a share.
    pub fn next_zone(&mut self) -> Option<&ZoneId> {
        for zone in &mut self.zones {
            zone.credit += zone.share;
        }
        let chosen = self
            .zones
            .iter_mut()
            .filter(|zone| zone.share > 0)
            .max_by_key(|zone| zone.credit)?;
        chosen.credit -= i64::from(FULL_SHARE);
        Some(&chosen.zone)
    }
}
