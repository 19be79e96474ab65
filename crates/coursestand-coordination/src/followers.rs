//! Leases of the daemons that follow one source of control state.
//!
//! A follower makes routing decisions only while its lease runs. It counts the lease
//! from before it sent its request, the source from after it answered. The lease
//! therefore expires later at the source, as long as the rates of the two clocks
//! differ by less than one part in [`CLOCK_DRIFT_DIVISOR`]: when the source regards
//! a lease as expired, the follower has stopped deciding.

use std::collections::BTreeMap;

use coursestand_model::{DaemonId, Millis};
use serde::{Deserialize, Serialize};

use crate::tables::ControlVersion;

/// Duration of a follower's lease.
pub const LEASE_MS: Millis = 4_000;
/// Longest time that a source defers its answer to a follow request (long poll).
pub const MAX_POLL_WAIT_MS: Millis = 1_000;
/// The rates of two clocks differ by at most one part in this many.
pub const CLOCK_DRIFT_DIVISOR: Millis = 100;

/// Returns the time until a follower stops deciding, counted from before its request
/// was sent.
pub const fn follower_lease_ms() -> Millis {
    LEASE_MS - LEASE_MS / CLOCK_DRIFT_DIVISOR
}

#[derive(Clone, Debug)]
struct Follower {
    lease_until: Millis,
    confirmed: ControlVersion,
    settled: ControlVersion,
}

/// State that a follower reports with each follow request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Version that its decisions use; 0 while it makes none.
    pub applied: ControlVersion,
    /// Newest version for which its requests in flight are within the slots
    /// that it holds; 0 while it makes no decisions.
    pub settled: ControlVersion,
}

/// Followers of one source, with their leases and the versions that they confirmed.
#[derive(Clone, Debug)]
pub struct FollowerRegistry {
    followers: BTreeMap<DaemonId, Follower>,
    started_at: Millis,
}

impl FollowerRegistry {
    /// Creates an empty registry at `now`. Leases that an earlier source granted may
    /// still run.
    pub fn new(now: Millis) -> FollowerRegistry {
        FollowerRegistry {
            followers: BTreeMap::new(),
            started_at: now,
        }
    }

    /// Grants a lease with an answer of version `answered`. A follower that makes no
    /// decisions yet can't later decide on a version older than the answer.
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

    /// Records the progress that a follower reports in a request, before the answer; does
    /// not extend the lease. Returns whether this source has granted it a lease.
    pub fn note_progress(&mut self, follower: &DaemonId, progress: Progress) -> bool {
        let Some(entry) = self.followers.get_mut(follower) else {
            return false;
        };
        entry.confirmed = entry.confirmed.max(progress.applied);
        entry.settled = entry.settled.max(progress.settled);
        true
    }

    /// Ends the lease of a follower that reported that it has stopped.
    pub fn end_lease(&mut self, follower: &DaemonId) {
        self.followers.remove(follower);
    }

    /// Returns whether every lease of an earlier source has expired.
    pub fn have_earlier_leases_ended(&self, now: Millis) -> bool {
        now >= self.started_at + LEASE_MS
    }

    /// Returns the version that every deciding follower has reached, or `None` while
    /// leases of an earlier source may run.
    pub fn confirmed_by_all(&self, now: Millis, current: ControlVersion) -> Option<ControlVersion> {
        if !self.have_earlier_leases_ended(now) {
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

    /// Returns the newest version for which the follower's requests in flight are within
    /// the slots that it holds.
    pub fn settled_version(&self, follower: &DaemonId) -> Option<ControlVersion> {
        self.followers.get(follower).map(|entry| entry.settled)
    }

    /// Returns whether the follower may still decide at `now`.
    pub fn may_decide(&self, now: Millis, follower: &DaemonId) -> bool {
        match self.followers.get(follower) {
            Some(entry) => entry.lease_until > now,
            None => !self.have_earlier_leases_ended(now),
        }
    }

    /// Returns whether the follower's lease expired at least `grace` ago, so that the requests
    /// it dispatched have ended too.
    pub fn has_lease_expired(&self, now: Millis, follower: &DaemonId, grace: Millis) -> bool {
        match self.followers.get(follower) {
            Some(entry) => entry.lease_until + grace <= now,
            None => self.started_at + LEASE_MS + grace <= now,
        }
    }

    /// Removes followers whose leases expired at least `grace` ago.
    pub fn remove_expired(&mut self, now: Millis, grace: Millis) {
        self.followers
            .retain(|_, entry| entry.lease_until + grace > now);
    }

    /// Returns the followers with a running lease and the version that each has reached.
    pub fn leased(&self, now: Millis) -> Vec<(DaemonId, ControlVersion)> {
        self.followers
            .iter()
            .filter(|(_, entry)| entry.lease_until > now)
            .map(|(follower, entry)| (follower.clone(), entry.confirmed))
            .collect()
    }
}
