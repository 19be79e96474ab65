//! The lease under which a daemon decides: while it runs, the rules that the
//! daemon holds are proved fresh enough.

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
    /// A lease that has not been granted, on `clock`.
    pub fn new(clock: MonotonicClock) -> DecisionLease {
        DecisionLease {
            clock,
            until: AtomicU64::new(0),
        }
    }

    /// Extends the lease to `until`; it never gets shorter by this.
    pub fn extend(&self, until: Millis) {
        self.until.fetch_max(until, Ordering::SeqCst);
    }

    /// End of the lease on the monotonic clock of the process.
    pub fn until(&self) -> Millis {
        self.until.load(Ordering::SeqCst)
    }

    /// Whether the daemon may decide now.
    pub fn is_valid(&self) -> bool {
        self.is_unexpired(self.until())
    }

    /// Whether a lease that ends at `until` has not expired.
    pub fn is_unexpired(&self, until: Millis) -> bool {
        self.clock.now() < until
    }

    /// Milliseconds left; 0 when it has ended.
    pub fn remaining(&self) -> Millis {
        self.until().saturating_sub(self.clock.now())
    }
}
