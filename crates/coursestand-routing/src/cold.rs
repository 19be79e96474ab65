//! Bounds the requests that reach a cold back end, summed over all daemons. One
//! daemon owns each cold back end, by rendezvous; the others send it nothing.
//! Two daemons may believe to own one while their views of the fleet differ, so
//! each keeps to half of what the back end bears.

use std::collections::{HashMap, VecDeque};

use coursestand_model::{BackendId, Millis};

use crate::hash::hash_of;
use crate::ranking::score;

/// The window over which requests to a cold back end are counted.
const WINDOW_MS: Millis = 1_000;
/// Daemons that may believe at the same time to own a back end.
const OWNERS_AT_ONCE: f64 = 2.0;

/// How much more than its nominal rate a cold back end may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Factor on the nominal rate.
    pub overage: f64,
    /// Requests on top of that.
    pub slack: f64,
}

impl ColdLimits {
    /// Requests in each window that one owner may send to a back end which
    /// bears `per_second`.
    pub fn share_of_owner(&self, per_second: f64) -> usize {
        let bound = per_second * self.overage + self.slack;
        let share = (bound / OWNERS_AT_ONCE).min(per_second);
        share.floor().max(0.0) as usize
    }
}

/// The daemon that owns a cold back end.
pub fn owner<'a>(backend: &BackendId, daemons: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let key = hash_of(backend.as_str());
    daemons
        .map(|daemon| (score(key, hash_of(daemon), 1.0), daemon))
        .max_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(right.1)))
        .map(|(_, daemon)| daemon)
}

/// Counts what this daemon sent to cold back ends.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    sent: HashMap<BackendId, VecDeque<Millis>>,
}

impl ColdGate {
    /// Whether `backend` may get another request now, with `share` in each
    /// window.
    pub fn has_room(&mut self, now: Millis, backend: &BackendId, share: usize) -> bool {
        let Some(sent) = self.sent.get_mut(backend) else {
            return share > 0;
        };
        while sent.front().is_some_and(|at| at + WINDOW_MS <= now) {
            sent.pop_front();
        }
        sent.len() < share
    }

    /// A request goes to `backend`.
    pub fn note(&mut self, now: Millis, backend: &BackendId) {
        self.sent.entry(backend.clone()).or_default().push_back(now);
    }

    /// Forgets back ends that got nothing in the last window.
    pub fn forget_idle(&mut self, now: Millis) {
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| at + WINDOW_MS > now));
    }
}
