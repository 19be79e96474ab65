//! State that the gateway shares with the other services of its daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_model::DaemonId;
use coursestand_steering::backends::PoolIndex;
use coursestand_steering::{Steering, Ticket};
use tokio::sync::Notify;

use crate::backend_edge::BackendEdge;
use crate::lease::DecisionLease;

/// State that the gateway shares with the other services of its daemon.
pub struct Shared {
    /// Steering state: rules, back ends and slots.
    steering: Mutex<Steering>,
    /// Notifies requests that wait for a slot of a pool.
    free_slots: Mutex<HashMap<PoolIndex, Arc<Notify>>>,
    /// Triggers an early report to control, because demand grew or health got worse.
    pub report_now: Notify,
    /// Lease under which this daemon makes steering decisions.
    pub lease: Arc<DecisionLease>,
    /// Interface towards back ends.
    pub backends: Arc<dyn BackendEdge>,
}

impl Shared {
    /// Creates the state of a daemon without rules.
    pub fn new(
        daemon: DaemonId,
        lease: Arc<DecisionLease>,
        backends: Arc<dyn BackendEdge>,
    ) -> Shared {
        Shared {
            steering: Mutex::new(Steering::new(daemon)),
            free_slots: Mutex::default(),
            report_now: Notify::new(),
            lease,
            backends,
        }
    }

    /// Locks the steering state. The guard must not be held across an await.
    pub fn steering(&self) -> MutexGuard<'_, Steering> {
        self.steering.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Releases a slot and wakes one request that waits for it.
    pub fn free_slot(&self, ticket: &Ticket) {
        self.steering().release_slot(ticket);
        self.slot_notify(ticket.pool).notify_one();
    }

    /// Wakes all waiting requests, because slots may have been granted.
    pub fn wake_waiting(&self) {
        let notifies = self
            .free_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for notify in notifies.values() {
            notify.notify_waiters();
        }
    }

    /// Returns the notification for requests that wait for a slot of `pool`.
    pub(crate) fn slot_notify(&self, pool: PoolIndex) -> Arc<Notify> {
        let mut notifies = self
            .free_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(notifies.entry(pool).or_default())
    }
}

/// Guard that counts a request as waiting until it is dropped.
pub(crate) struct WaitGuard<'a> {
    shared: &'a Shared,
    pool: PoolIndex,
}

impl<'a> WaitGuard<'a> {
    pub(crate) fn start(shared: &'a Shared, pool: PoolIndex) -> WaitGuard<'a> {
        shared.steering().start_waiting(pool);
        WaitGuard { shared, pool }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.steering().stop_waiting(self.pool);
    }
}
