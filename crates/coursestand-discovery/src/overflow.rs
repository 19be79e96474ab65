//! Which part of a region's callers is told to use entry daemons of other regions.
//!
//! When the links of a region's entry daemons can't carry what its callers ask for,
//! refusals don't help for long: a refused caller sends its whole request again. Links
//! of other regions may have room. Their entry daemons are a region's delay further
//! away, so they are named only for what the near ones can't carry.

use std::collections::BTreeMap;

use coursestand_model::RegionId;

use crate::directory::LinkUse;

/// Use of the links up to which a region keeps its callers, and up to which another
/// one takes some. Above, requests wait for the link.
pub const FULL_LINK: LinkUse = 80;
/// Part of the callers that stays near in any case.
const LEAST_NEAR: f64 = 0.2;
/// Part of the way to the wanted part that is gone while each near daemon tells its use
/// once, which takes a second.
const GAIN: f64 = 0.5;
/// Part of the way that callers follow meanwhile: they hold look-ups for some seconds.
const FOLLOWING: f64 = 0.35;

/// Chances with which each daemon is named in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Named {
    pub(crate) near: f64,
    pub(crate) far: f64,
}

/// The part of a region's callers that is sent to other regions.
#[derive(Clone, Copy, Debug, Default)]
struct Overflow {
    /// Of those who ask now.
    told: f64,
    /// Of all, as far as they have followed.
    followed: f64,
}

/// The overflow of each region.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overflows {
    regions: BTreeMap<RegionId, Overflow>,
}

impl Overflows {
    /// A daemon of `region` told its use; these are those of all daemons of the region
    /// and of all others. The use of the near ones is that of the callers that stay.
    pub(crate) fn adapt(&mut self, region: &RegionId, near: &[f64], far: &[f64]) {
        if near.is_empty() || far.is_empty() {
            return;
        }
        let overflow = self.regions.entry(region.clone()).or_default();
        let full = f64::from(FULL_LINK);
        let whole_use = mean(near) / (1.0 - overflow.followed);
        let wanted = 1.0 - full / whole_use.max(full);
        // What one part of the region's callers adds to the use of the far links.
        let added_use = whole_use * near.len() as f64 / far.len() as f64;
        let own_use = (mean(far) - overflow.followed * added_use).max(0.0);
        let bearable = (full - own_use).max(0.0) / added_use.max(f64::MIN_POSITIVE);
        let wanted = wanted.min(bearable).min(1.0 - LEAST_NEAR);
        let step = 1.0 / near.len() as f64;
        overflow.told += (wanted - overflow.told) * GAIN * step;
        overflow.followed += (overflow.told - overflow.followed) * FOLLOWING * step;
    }

    /// How often daemons are named to a caller of `region`, so that one chosen by chance
    /// is a far one as often as wanted.
    pub(crate) fn named(&self, region: &RegionId, near: usize, far: usize) -> Named {
        let part = self
            .regions
            .get(region)
            .map_or(0.0, |overflow| overflow.told);
        let staying = (1.0 - part) / near.max(1) as f64;
        let leaving = part / far.max(1) as f64;
        let most = staying.max(leaving);
        Named {
            near: staying / most,
            far: leaving / most,
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
