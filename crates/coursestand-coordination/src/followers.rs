//! Leases of the daemons that follow one source of control state.
//!
//! A follower decides only while its lease runs. It counts the lease from before
//! its request was sent, the source from after it answered: the source's view
//! always ends later, given clocks that differ in rate by less than
//! [`CLOCK_DRIFT`]. So when the source sees a lease as ended, the follower has
//! stopped deciding.

use std::collections::BTreeMap;

use coursestand_model::{DaemonId, Millis};
use serde::{Deserialize, Serialize};

use crate::tables::ControlVersion;

/// Length of a follower's lease.
pub const LEASE_MS: Millis = 4_000;
/// Longest time that a source holds a request for news.
pub const HOLD_MS: Millis = 1_000;
/// One part in this many is the most by which two clocks differ in rate.
pub const CLOCK_DRIFT: Millis = 100;

/// Time until a follower stops deciding, counted from before its request.
pub const fn follower_lease_ms() -> Millis {
    LEASE_MS - LEASE_MS / CLOCK_DRIFT
}

#[derive(Clone, Debug)]
struct Follower {
    lease_until: Millis,
    confirmed: ControlVersion,
    settled: ControlVersion,
}

/// What a follower says of itself when it asks for news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Version that it decides on; 0 when it decides on nothing yet.
    pub applied: ControlVersion,
    /// Newest version for which its requests in flight are within the slots
    /// that it holds; 0 when it decides on nothing yet.
    pub settled: ControlVersion,
}

/// Followers of one source, with their leases and what they confirmed.
#[derive(Clone, Debug)]
pub struct FollowerRegistry {
    followers: BTreeMap<DaemonId, Follower>,
    since: Millis,
}

impl FollowerRegistry {
    /// Starts at `now` without knowing which leases an earlier source granted.
    pub fn new(now: Millis) -> FollowerRegistry {
        FollowerRegistry {
            followers: BTreeMap::new(),
            since: now,
        }
    }

    /// Grants a lease with an answer that carries `answered`. A follower that
    /// decides on nothing yet can't decide on anything older than the answer.
    pub fn grant(
        &mut self,
        now: Millis,
        follower: &DaemonId,
        progress: Progress,
        answered: ControlVersion,
    ) {
        let or_answered = |version| if version == 0 { answered } else { version };
        let confirmed = or_answered(progress.applied);
        let settled = or_answered(progress.settled);
        let entry = self.followers.entry(follower.clone()).or_insert(Follower {
            lease_until: 0,
            confirmed,
            settled,
        });
        entry.lease_until = now + LEASE_MS;
        entry.confirmed = entry.confirmed.max(confirmed);
        entry.settled = entry.settled.max(settled);
    }

    /// Notes what a follower says when it asks, before it is answered; its lease
    /// stays as it is. Returns whether this source has granted it one.
    pub fn note_progress(&mut self, follower: &DaemonId, progress: Progress) -> bool {
        let Some(entry) = self.followers.get_mut(follower) else {
            return false;
        };
        entry.confirmed = entry.confirmed.max(progress.applied);
        entry.settled = entry.settled.max(progress.settled);
        true
    }

    /// Ends the lease of a follower that said it has stopped.
    pub fn end(&mut self, follower: &DaemonId) {
        self.followers.remove(follower);
    }

    /// Whether every lease of an earlier source has ended.
    pub fn knows_all(&self, now: Millis) -> bool {
        now >= self.since + LEASE_MS
    }

    /// The version that every deciding follower has reached, or `None` while
    /// leases of an earlier source may run.
    pub fn confirmed_by_all(&self, now: Millis, current: ControlVersion) -> Option<ControlVersion> {
        if !self.knows_all(now) {
            return None;
        }
        let slowest = self
            .followers
            .values()
            .filter(|follower| follower.lease_until > now)
            .map(|follower| follower.confirmed)
            .min();
        Some(slowest.unwrap_or(current))
    }

    /// The version for which one follower's requests in flight are within the
    /// slots that it holds.
    pub fn settled_by(&self, follower: &DaemonId) -> Option<ControlVersion> {
        self.followers.get(follower).map(|entry| entry.settled)
    }

    /// Whether the follower may still decide at `now`.
    pub fn may_decide(&self, now: Millis, follower: &DaemonId) -> bool {
        match self.followers.get(follower) {
            Some(entry) => entry.lease_until > now,
            None => !self.knows_all(now),
        }
    }

    /// Whether the follower's lease ended at least `grace` ago, so that requests
    /// which it dispatched have ended too.
    pub fn is_over(&self, now: Millis, follower: &DaemonId, grace: Millis) -> bool {
        match self.followers.get(follower) {
            Some(entry) => entry.lease_until + grace <= now,
            None => self.since + LEASE_MS + grace <= now,
        }
    }

    /// Drops followers whose leases ended at least `grace` ago.
    pub fn forget_ended(&mut self, now: Millis, grace: Millis) {
        self.followers
            .retain(|_, entry| entry.lease_until + grace > now);
    }

    /// Followers with a lease, and the version that each has reached.
    pub fn leased(&self, now: Millis) -> Vec<(DaemonId, ControlVersion)> {
        self.followers
            .iter()
            .filter(|(_, entry)| entry.lease_until > now)
            .map(|(follower, entry)| (follower.clone(), entry.confirmed))
            .collect()
    }
}
