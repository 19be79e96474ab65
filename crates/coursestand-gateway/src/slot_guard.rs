//! Holds a slot for exactly as long as a back end may run the request.

use std::sync::Arc;

use coursestand_steering::Ticket;
use tokio::time::Instant;

use crate::shared::Shared;

/// A slot in use. Dropped unfinished, it counts as abandoned: the back end is
/// asked to cancel, and the slot stays taken until it confirms, or until the
/// deadline that it was given has passed.
pub struct SlotGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
    sent: Option<Sent>,
}

#[derive(Clone, Debug)]
struct Sent {
    address: String,
    request_id: String,
    deadline: Instant,
}

impl SlotGuard {
    /// Guards a slot that was taken.
    pub fn new(shared: Arc<Shared>, ticket: Ticket) -> SlotGuard {
        SlotGuard {
            shared,
            ticket,
            sent: None,
        }
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
