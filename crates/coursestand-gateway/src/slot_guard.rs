//! Guard that keeps a slot in use for as long as a back end may run the request.

use std::sync::Arc;

use coursestand_model::Millis;
use coursestand_steering::Ticket;
use tokio::time::Instant;

use crate::shared::Shared;

/// A slot in use. If it is dropped after the request was sent and without
/// [`SlotGuard::release`], the request is abandoned: the back end is asked to cancel it,
/// and the slot stays in use until the back end confirms, or until the deadline that it
/// was given has passed.
pub struct SlotGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
    /// End of the lease under which the slot was acquired.
    lease_until: Millis,
    sent: Option<SentDispatch>,
}

#[derive(Clone, Debug)]
struct SentDispatch {
    address: String,
    request_id: String,
    deadline: Instant,
}

impl SlotGuard {
    /// Guards a slot that was acquired under a lease that ends at `lease_until`. Callers must
    /// read `lease_until` before acquiring the slot, because a later lease may not cover it.
    pub fn new(shared: Arc<Shared>, ticket: Ticket, lease_until: Millis) -> SlotGuard {
        SlotGuard {
            shared,
            ticket,
            lease_until,
            sent: None,
        }
    }

    /// Returns whether a valid lease covers the slot, so that no other daemon can hold it. A
    /// lease granted after a suspension may not cover a slot acquired before it.
    pub fn is_covered_by_lease(&self) -> bool {
        let lease = &self.shared.lease;
        if lease.is_unexpired(self.lease_until) {
            return true;
        }
        // Slots are updated before the lease is extended, so reading the lease first ensures
        // that the slots are at least as recent as the lease.
        let until = lease.until();
        let steering = self.shared.steering();
        let backend = steering.backends().get(self.ticket.backend);
        backend.is_within_slots() && lease.is_unexpired(until)
    }

    /// Returns the ticket of the slot.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Records that the request is about to be sent. The back end stops running it at
    /// `deadline`.
    pub fn mark_sent(&mut self, address: &str, request_id: &str, deadline: Instant) {
        self.sent = Some(SentDispatch {
            address: address.to_owned(),
            request_id: request_id.to_owned(),
            deadline,
        });
    }

    /// Frees the slot. The back end must have finished the request or never have started
    /// it.
    pub fn release(mut self) {
        self.sent = None;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let Some(sent) = self.sent.take() else {
            self.shared.free_slot(&self.ticket);
            return;
        };
        let shared = Arc::clone(&self.shared);
        let ticket = self.ticket.clone();
        // Without a runtime the process is shutting down, which frees its slots.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                let cancelled = shared
                    .backends
                    .cancel(&sent.address, &sent.request_id)
                    .await;
                if !cancelled {
                    tokio::time::sleep_until(sent.deadline).await;
                }
                shared.free_slot(&ticket);
            });
        }
    }
}
