//! Lease under which a daemon makes steering decisions: while it is valid, the daemon's
//! rules are guaranteed to be fresh enough.

use std::sync::atomic::{AtomicU64, Ordering};

use coursestand_kernel::MonotonicClock;
use coursestand_model::Millis;

/// End of the lease on the monotonic clock of the process.
#[derive(Debug, Default)]
pub struct DecisionLease {
    clock: MonotonicClock,
    until: AtomicU64,
}

impl DecisionLease {
    /// Creates a lease on `clock` that has not been granted.
    pub fn new(clock: MonotonicClock) -> DecisionLease {
        DecisionLease {
            clock,
            until: AtomicU64::new(0),
        }
    }

    /// Extends the lease to `until`; an earlier time has no effect.
    pub fn extend(&self, until: Millis) {
        self.until.fetch_max(until, Ordering::SeqCst);
    }

    /// Returns the end of the lease on the monotonic clock of the process.
    pub fn until(&self) -> Millis {
        self.until.load(Ordering::SeqCst)
    }

    /// Returns whether the daemon may make steering decisions.
    pub fn is_valid(&self) -> bool {
        self.is_unexpired(self.until())
    }

    /// Returns whether a lease that ends at `until` has not expired.
    pub fn is_unexpired(&self, until: Millis) -> bool {
        self.clock.now() < until
    }

    /// Returns the remaining time in milliseconds; 0 if the lease has expired.
    pub fn remaining(&self) -> Millis {
        self.until().saturating_sub(self.clock.now())
    }
}
