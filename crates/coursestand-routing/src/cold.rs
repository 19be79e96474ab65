//! Bounds the requests that reach a cold back end, summed over all daemons. Each cold
//! back end is owned by one daemon, selected by rendezvous hashing; the others send it
//! nothing.
//!
//! Daemons' views of the fleet differ for a while when daemons join and leave, and several
//! may leave in succession. A daemon that takes over a back end from another one waits
//! until that one must have detected that it is disconnected, so that only one acts at a
//! time. Each owner still limits itself to half of what the back end can handle: a daemon
//! that was suspended may send once more before it detects the disconnection.

use std::collections::{BTreeSet, HashMap, VecDeque};

use coursestand_model::{BackendId, Millis};

use crate::hash::hash_of;
use crate::ranking::score;

/// The window over which requests to a cold back end are counted, in milliseconds.
const WINDOW_MS: Millis = 1_000;
/// Maximum number of daemons that may consider themselves the owner at the same time.
const MAX_CONCURRENT_OWNERS: f64 = 2.0;

/// How far a cold back end may exceed its nominal request rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Factor on the nominal rate.
    pub overage: f64,
    /// Requests in addition to that.
    pub slack: f64,
}

impl ColdLimits {
    /// Returns the number of requests that one owner may send in each window to a back end
    /// with this nominal rate.
    pub fn owner_share(&self, per_second: f64) -> usize {
        let bound = per_second * self.overage + self.slack;
        let share = (bound / MAX_CONCURRENT_OWNERS).min(per_second);
        share.floor().max(0.0) as usize
    }
}

/// Returns the daemon that owns a cold back end.
pub fn owner<'a>(backend: &BackendId, daemons: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let key = hash_of(backend.as_str());
    daemons
        .map(|daemon| (score(key, hash_of(daemon), 1.0), daemon))
        .max_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(right.1)))
        .map(|(_, daemon)| daemon)
}

/// Maximum number of past views that are kept. With 3,500 daemons each takes about 0.2 MB.
/// If more arise within the hand-over time, the daemon owns nothing until they expire.
const MAX_PAST_VIEWS: usize = 16;

/// Names of the entry daemons in the view of one of them.
pub type DaemonNames = BTreeSet<String>;

/// The views of the fleet that determine the owner of a cold back end.
///
/// A daemon acts as the owner only if it is the owner by each of its views within the
/// hand-over time: by then, a previous owner has lost its connections and detected it.
#[derive(Clone, Debug)]
pub struct OwnerViews {
    hand_over_ms: Millis,
    /// `None` while this daemon does not follow a majority of the control processes.
    current: Option<DaemonNames>,
    /// Past views, each with the time at which it was replaced.
    past: VecDeque<(Millis, Option<DaemonNames>)>,
}

impl OwnerViews {
    /// Returns the views of a daemon that does not follow any control process yet.
    pub fn new(hand_over_ms: Millis) -> OwnerViews {
        OwnerViews {
            hand_over_ms,
            current: None,
            past: VecDeque::new(),
        }
    }

    /// Replaces the current view.
    pub fn set(&mut self, now: Millis, view: Option<DaemonNames>) {
        while self
            .past
            .front()
            .is_some_and(|past| !self.is_recent(now, past))
        {
            self.past.pop_front();
        }
        if view == self.current {
            return;
        }
        let replaced = std::mem::replace(&mut self.current, view);
        self.past.push_back((now, replaced));
        if self.past.len() > MAX_PAST_VIEWS {
            self.past.pop_front();
            if let Some((_, oldest)) = self.past.front_mut() {
                *oldest = None;
            }
        }
    }

    /// Returns the current view.
    pub fn current(&self) -> Option<&DaemonNames> {
        self.current.as_ref()
    }

    fn is_recent(&self, now: Millis, past: &(Millis, Option<DaemonNames>)) -> bool {
        now < past.0 + self.hand_over_ms
    }

    /// Returns whether the daemon `local_daemon` may send requests to this cold back end.
    pub fn is_owner(&self, now: Millis, local_daemon: &str, backend: &BackendId) -> bool {
        let owns = |view: &Option<DaemonNames>| {
            view.as_ref().is_some_and(|daemons| {
                owner(backend, daemons.iter().map(String::as_str)) == Some(local_daemon)
            })
        };
        let recent = self.past.iter().filter(|past| self.is_recent(now, past));
        owns(&self.current) && recent.into_iter().all(|(_, view)| owns(view))
    }
}

/// Counts the requests that this daemon sent to cold back ends.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    sent: HashMap<BackendId, VecDeque<Millis>>,
}

impl ColdGate {
    /// Returns whether another request may be sent to `backend`, with `share` requests
    /// allowed in each window.
    pub fn has_capacity(&mut self, now: Millis, backend: &BackendId, share: usize) -> bool {
        let Some(sent) = self.sent.get_mut(backend) else {
            return share > 0;
        };
        while sent.front().is_some_and(|at| at + WINDOW_MS <= now) {
            sent.pop_front();
        }
        sent.len() < share
    }

    /// Records a request sent to `backend`.
    pub fn note(&mut self, now: Millis, backend: &BackendId) {
        self.sent.entry(backend.clone()).or_default().push_back(now);
    }

    /// Drops back ends that received no request within the last window.
    pub fn forget_idle(&mut self, now: Millis) {
        self.sent
            .retain(|_, sent| sent.back().is_some_and(|at| at + WINDOW_MS > now));
    }
}
