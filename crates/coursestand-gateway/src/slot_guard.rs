//! Holds a slot for exactly as long as a back end may run the request.

use std::sync::Arc;

use coursestand_model::Millis;
use coursestand_steering::Ticket;
use tokio::time::Instant;

use crate::shared::Shared;

/// A slot in use. Dropped unfinished, it counts as abandoned: the back end is
/// asked to cancel, and the slot stays taken until it confirms, or until the
/// deadline that it was given has passed.
pub struct SlotGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
    /// End of the lease under which the slot was taken.
    lease_until: Millis,
    sent: Option<Sent>,
}

#[derive(Clone, Debug)]
struct Sent {
    address: String,
    request_id: String,
    deadline: Instant,
}

impl SlotGuard {
    /// Guards a slot that was taken under a lease that ends at `lease_until`. Callers must
    /// read `lease_until` before taking the slot, because a later lease may not cover it.
    pub fn new(shared: Arc<Shared>, ticket: Ticket, lease_until: Millis) -> SlotGuard {
        SlotGuard {
            shared,
            ticket,
            lease_until,
            sent: None,
        }
    }

    /// Whether a valid lease covers the slot, so that no other daemon can hold it. A lease
    /// granted after a suspension may not cover a slot taken before it.
    pub fn is_held(&self) -> bool {
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

    /// The slot.
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// The request is about to be sent, and the back end gives up on it at
    /// `deadline`.
    pub fn sent(&mut self, address: &str, request_id: &str, deadline: Instant) {
        self.sent = Some(Sent {
            address: address.to_owned(),
            request_id: request_id.to_owned(),
            deadline,
        });
    }

    /// The back end doesn't run the request any more: frees the slot.
    pub fn finish(mut self) {
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
        // Without a runtime the process is ending, and so do its slots.
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
