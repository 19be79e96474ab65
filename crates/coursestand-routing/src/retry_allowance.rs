//! Divides the retries that a deployment may make besides those that requests earn.
//!
//! They are handed out in whole retries, the same number to each daemon and the rest to
//! some that are drawn by their names, so that the parts of 65 or 3,500 daemons sum up to
//! no more than those of three. A daemon holds its part under a lease: only while it is
//! connected with a majority of the control processes does it know all others that are,
//! and they it. What it may have spent before it lost them, or in an earlier life, still
//! counts for a span, so
//!
//! * a daemon that starts, or whose lease ran out, holds nothing for one settling time;
//! * a daemon that is no longer listed counts for one settling time as if it were.
//!
//! Every daemon that held a part by the old division has stopped spending by then, and all
//! that it spent is out of every window.

use std::collections::HashMap;

use coursestand_model::Millis;

use crate::hash::hash_of;
use crate::retry_budget::RetryLimits;

/// Part of the allowed extra retries that is handed out. The other half is kept for
/// retries that arrive later than those of their window.
const HANDED_OUT: f64 = 0.5;
/// Part of a window for which a lease lasts. It bridges the restart of all control
/// processes, which takes daemons some two seconds.
const LEASE_PART: Millis = 2;

/// One daemon's part of the allowance.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    own: u64,
    /// Retries that all daemons together may take in a span.
    whole: usize,
    lease_ms: Millis,
    settling_ms: Millis,
    /// The other daemons by the hash of their names, and when each was listed last.
    listed_at: HashMap<u64, Millis>,
    lease: Option<Lease>,
}

/// Time in which a part is held.
#[derive(Clone, Copy, Debug)]
struct Lease {
    since: Millis,
    until: Millis,
}

impl RetryAllowance {
    /// The part of the daemon with this name, which knows no other yet. After
    /// `hand_over_ms` a daemon that was cut off knows it, and news of it is everywhere.
    pub fn new(name: &str, limits: RetryLimits, hand_over_ms: Millis) -> RetryAllowance {
        let lease_ms = limits.window_ms / LEASE_PART;
        RetryAllowance {
            own: hash_of(name),
            whole: (HANDED_OUT * limits.extra).max(0.0) as usize,
            lease_ms,
            settling_ms: limits.span_ms() + lease_ms + hand_over_ms,
            listed_at: HashMap::new(),
            lease: None,
        }
    }

    /// Other daemons are listed by a control process.
    pub fn note_listed<'a>(&mut self, now: Millis, names: impl Iterator<Item = &'a str>) {
        for name in names {
            self.listed_at.insert(hash_of(name), now);
        }
        self.listed_at.remove(&self.own);
        let settling_ms = self.settling_ms;
        self.listed_at.retain(|_, at| now < *at + settling_ms);
    }

    /// The daemon is connected with a majority of the control processes.
    pub fn renew(&mut self, now: Millis) {
        let held = self.lease.filter(|lease| now <= lease.until);
        self.lease = Some(Lease {
            since: held.map_or(now, |lease| lease.since),
            until: now + self.lease_ms,
        });
    }

    /// Daemons among which the allowance is divided.
    pub fn daemons(&self, now: Millis) -> usize {
        self.others(now).count() + 1
    }

    /// Retries that this daemon may take in a span.
    pub fn part(&self, now: Millis) -> usize {
        if !self.is_held(now) {
            return 0;
        }
        let daemons = self.daemons(now);
        let before = self.others(now).filter(|other| *other < self.own).count();
        let is_drawn = before < self.whole % daemons;
        self.whole / daemons + usize::from(is_drawn)
    }

    fn is_held(&self, now: Millis) -> bool {
        self.lease
            .is_some_and(|lease| now <= lease.until && now >= lease.since + self.settling_ms)
    }

    /// The others that hold a part, or may have spent from one within a span.
    fn others(&self, now: Millis) -> impl Iterator<Item = u64> {
        self.listed_at
            .iter()
            .filter(move |(_, at)| now < **at + self.settling_ms)
            .map(|(name, _)| *name)
    }
}
