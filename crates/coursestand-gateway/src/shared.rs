//! What the gateway shares with the other services of its daemon.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_model::DaemonId;
use coursestand_steering::backends::PoolIndex;
use coursestand_steering::{Steering, Ticket};
use tokio::sync::Notify;

use crate::backend_edge::BackendEdge;
use crate::lease::DecisionLease;

/// What the gateway shares with the other services of its daemon.
pub struct Shared {
    /// The decisions.
    steering: Mutex<Steering>,
    /// Wakes requests that wait for a slot of a pool.
    free_slots: Mutex<HashMap<PoolIndex, Arc<Notify>>>,
    /// Wakes the reporter early: demand or health changed for the worse.
    pub report_now: Notify,
    /// The lease under which this daemon decides.
    pub lease: Arc<DecisionLease>,
    /// The edge towards back ends.
    pub backends: Arc<dyn BackendEdge>,
}

impl Shared {
    /// State of a daemon that decides on nothing yet.
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

    /// The decisions, locked; never held across a wait.
    pub fn steering(&self) -> MutexGuard<'_, Steering> {
        self.steering.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a slot back and wakes one request that waits for it.
    pub fn free_slot(&self, ticket: &Ticket) {
        self.steering().release_slot(ticket);
        self.notify_of(ticket.pool).notify_one();
    }

    /// Wakes all requests that wait: slots may have been granted.
    pub fn wake_waiting(&self) {
        let notifies = self
            .free_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for notify in notifies.values() {
            notify.notify_waiters();
        }
    }

    /// Wakes requests that wait for a slot of `pool`.
    pub(crate) fn notify_of(&self, pool: PoolIndex) -> Arc<Notify> {
        let mut notifies = self
            .free_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(notifies.entry(pool).or_default())
    }
}

/// Counts a request as waiting for as long as it lives.
pub(crate) struct Waiting<'a> {
    shared: &'a Shared,
    pool: PoolIndex,
}

impl<'a> Waiting<'a> {
    /// Counts it from now on.
    pub(crate) fn start(shared: &'a Shared, pool: PoolIndex) -> Waiting<'a> {
        shared.steering().start_waiting(pool);
        Waiting { shared, pool }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.shared.steering().stop_waiting(self.pool);
    }
}
