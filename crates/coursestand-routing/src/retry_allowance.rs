//! Divides a deployment's fixed allowance of retries, which it has in addition to the
//! retries that requests earn, among the daemons.
//!
//! Only whole retries are distributed: the same number to each daemon, and the remainder to
//! the daemons that rank first by the hashes of their names. So the shares of 65 or 3,500
//! daemons sum up to no more than those of three. A daemon holds its share under a lease:
//! only while it is connected to a majority of the control processes does its list contain all
//! other connected daemons, and do their lists contain it. Retries that it may have spent before it lost these
//! connections, or in a previous incarnation, still count for a span. Therefore
//!
//! * a daemon that starts, or whose lease has expired, has no share for one settling time;
//! * a daemon that is removed from the list counts as listed for one settling time.
//!
//! By then, every daemon that had a share by the previous division has stopped spending it,
//! and all retries that it spent are outside of every window.

use std::collections::HashMap;

use coursestand_model::Millis;

use crate::hash::hash_of;
use crate::retry_budget::RetryLimits;

/// Fraction of the allowed extra retries that is distributed. The rest is reserved for
/// retries that arrive in a later window than the one in which they were granted.
const DISTRIBUTED_FRACTION: f64 = 0.5;
/// Divisor of the window that gives the duration of a lease. A lease outlasts the restart of
/// all control processes, which disconnects daemons for about two seconds.
const LEASE_DIVISOR: Millis = 2;

/// One daemon's share of the allowance.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    own_hash: u64,
    /// Retries that all daemons together may spend in a span.
    total: usize,
    lease_ms: Millis,
    settling_ms: Millis,
    /// The other daemons by the hashes of their names, and when each was last listed.
    listed_at: HashMap<u64, Millis>,
    lease: Option<Lease>,
}

/// Period in which a daemon is entitled to its share.
#[derive(Clone, Copy, Debug)]
struct Lease {
    since: Millis,
    until: Millis,
}

impl RetryAllowance {
    /// Returns the allowance of the daemon with this name, with an empty list of others.
    /// `hand_over_ms` is the time after which a disconnected daemon has detected it and all
    /// other daemons have been notified.
    pub fn new(name: &str, limits: RetryLimits, hand_over_ms: Millis) -> RetryAllowance {
        let lease_ms = limits.window_ms / LEASE_DIVISOR;
        RetryAllowance {
            own_hash: hash_of(name),
            total: (DISTRIBUTED_FRACTION * limits.extra).max(0.0) as usize,
            lease_ms,
            settling_ms: limits.span_ms() + lease_ms + hand_over_ms,
            listed_at: HashMap::new(),
            lease: None,
        }
    }

    /// Records the daemons listed by a control process.
    pub fn note_listed<'a>(&mut self, now: Millis, names: impl Iterator<Item = &'a str>) {
        for name in names {
            self.listed_at.insert(hash_of(name), now);
        }
        self.listed_at.remove(&self.own_hash);
        let settling_ms = self.settling_ms;
        self.listed_at.retain(|_, at| now < *at + settling_ms);
    }

    /// Renews the lease. To be called while the daemon is connected to a majority of the
    /// control processes.
    pub fn renew(&mut self, now: Millis) {
        let current = self.lease.filter(|lease| now <= lease.until);
        self.lease = Some(Lease {
            since: current.map_or(now, |lease| lease.since),
            until: now + self.lease_ms,
        });
    }

    /// Returns the number of daemons among which the allowance is divided.
    pub fn daemons(&self, now: Millis) -> usize {
        self.other_daemons(now).count() + 1
    }

    /// Returns the number of retries that this daemon may spend in a span.
    pub fn share(&self, now: Millis) -> usize {
        if !self.has_share(now) {
            return 0;
        }
        let daemons = self.daemons(now);
        let before = self
            .other_daemons(now)
            .filter(|other| *other < self.own_hash)
            .count();
        let has_remainder = before < self.total % daemons;
        self.total / daemons + usize::from(has_remainder)
    }

    fn has_share(&self, now: Millis) -> bool {
        self.lease
            .is_some_and(|lease| now <= lease.until && now >= lease.since + self.settling_ms)
    }

    /// Returns the other daemons that have a share, or may have spent one within a span.
    fn other_daemons(&self, now: Millis) -> impl Iterator<Item = u64> {
        self.listed_at
            .iter()
            .filter(move |(_, at)| now < **at + self.settling_ms)
            .map(|(name, _)| *name)
    }
}
