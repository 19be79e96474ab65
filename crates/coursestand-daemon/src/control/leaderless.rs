//! For how long a replica has known no leader.

use std::sync::atomic::{AtomicU64, Ordering};

use coursestand_model::Millis;

/// Time without a known leader within which an election usually ends.
const ELECTION_TIME_MS: Millis = 1_000;
/// Marks that a leader is known, or that nothing is known yet.
const NOT_LEADERLESS: u64 = 0;

/// When the replica noticed that it knows no leader. A pause of the process does not count, since
/// nothing is noticed meanwhile.
#[derive(Debug, Default)]
pub struct LeaderlessSince(AtomicU64);

impl LeaderlessSince {
    /// Records whether the replica knows a leader at `now`.
    pub fn note(&self, now: Millis, knows_leader: bool) {
        if knows_leader {
            self.0.store(NOT_LEADERLESS, Ordering::Relaxed);
            return;
        }
        let since = now.max(NOT_LEADERLESS + 1);
        // Fails if it was noticed before.
        let _ =
            self.0
                .compare_exchange(NOT_LEADERLESS, since, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns whether a call that needs the leader should wait for one: a leader is known, or an
    /// election may be in progress. Otherwise the call is unlikely to be served soon.
    pub fn may_wait(&self, now: Millis) -> bool {
        let since = self.0.load(Ordering::Relaxed);
        since == NOT_LEADERLESS || now < since + ELECTION_TIME_MS
    }
}
