//! Bounds the requests that reach a cold back end, summed over all daemons. One
//! daemon owns each cold back end, by rendezvous; the others send it nothing.
//!
//! Views of the fleet differ for a while when daemons come and go, and several may
//! go one after the other. Who takes a back end over from another daemon waits
//! until that one must have noticed that it is cut off, so one acts at a time. Each
//! keeps to half of what the back end bears all the same: a daemon that was frozen
//! may act once more before it notices.

use std::collections::{BTreeSet, HashMap, VecDeque};

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

/// Earlier views that are kept. At 3,500 daemons each takes about 0.2 MB; where more
/// come within the hand-over time, the daemon owns nothing until they are past.
const MOST_PAST_VIEWS: usize = 16;

/// Names of the entry daemons, as one of them knows them.
pub type Daemons = BTreeSet<String>;

/// The views of the fleet that decide who owns a cold back end.
///
/// A daemon acts as the owner only if it was the owner by each view that it held
/// within the hand-over time: another one that owned the back end before has lost
/// its connections by then and knows it.
#[derive(Clone, Debug)]
pub struct OwnerViews {
    hand_over_ms: Millis,
    /// `None` while this daemon does not follow a majority of the control processes.
    current: Option<Daemons>,
    /// Earlier views, and when each of them ended.
    past: VecDeque<(Millis, Option<Daemons>)>,
}

impl OwnerViews {
    /// Views of a daemon that follows nobody yet.
    pub fn new(hand_over_ms: Millis) -> OwnerViews {
        OwnerViews {
            hand_over_ms,
            current: None,
            past: VecDeque::new(),
        }
    }

    /// The view is this from now on.
    pub fn set(&mut self, now: Millis, view: Option<Daemons>) {
        while self
            .past
            .front()
            .is_some_and(|past| !self.counts(now, past))
        {
            self.past.pop_front();
        }
        if view == self.current {
            return;
        }
        let ended = std::mem::replace(&mut self.current, view);
        self.past.push_back((now, ended));
        if self.past.len() > MOST_PAST_VIEWS {
            self.past.pop_front();
            if let Some((_, oldest)) = self.past.front_mut() {
                *oldest = None;
            }
        }
    }

    /// The view that it holds.
    pub fn current(&self) -> Option<&Daemons> {
        self.current.as_ref()
    }

    fn counts(&self, now: Millis, past: &(Millis, Option<Daemons>)) -> bool {
        now < past.0 + self.hand_over_ms
    }

    /// Whether the daemon `own` may send to this cold back end.
    pub fn is_owner(&self, now: Millis, own: &str, backend: &BackendId) -> bool {
        let owns = |view: &Option<Daemons>| {
            view.as_ref().is_some_and(|daemons| {
                owner(backend, daemons.iter().map(String::as_str)) == Some(own)
            })
        };
        let recent = self.past.iter().filter(|past| self.counts(now, past));
        owns(&self.current) && recent.into_iter().all(|(_, view)| owns(view))
    }
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
