//! Splits requests over zones by exact counting (smooth weighted round robin):
//! after any number of requests each zone has got its share, give or take one
//! request. Random sampling would overshoot a shift cap; this does not.

use coursestand_coordination::shares::ShareVector;
use coursestand_model::{FULL_SHARE, ZoneId};

#[derive(Clone, Debug)]
struct Spoke {
    zone: ZoneId,
    share: i64,
    credit: i64,
}

/// Deals requests to zones in proportion to their shares.
#[derive(Clone, Debug, Default)]
pub struct ShareWheel {
    spokes: Vec<Spoke>,
}

impl ShareWheel {
    /// Takes new shares over. Zones that stay keep their credit, so a change of
    /// shares can't give a zone more than its share again and again.
    pub fn replace(&mut self, shares: &ShareVector) {
        let earlier = std::mem::take(&mut self.spokes);
        self.spokes = shares
            .0
            .iter()
            .map(|(zone, share)| Spoke {
                zone: zone.clone(),
                share: i64::from(*share),
                credit: earlier
                    .iter()
                    .find(|spoke| spoke.zone == *zone)
                    .map_or(0, |spoke| spoke.credit),
            })
            .collect();
    }

    /// The zone for the next request.
    pub fn deal(&mut self) -> Option<&ZoneId> {
        for spoke in &mut self.spokes {
            spoke.credit += spoke.share;
        }
        let chosen = self
            .spokes
            .iter_mut()
            .filter(|spoke| spoke.share > 0)
            .max_by_key(|spoke| spoke.credit)?;
        chosen.credit -= i64::from(FULL_SHARE);
        Some(&chosen.zone)
    }
}
