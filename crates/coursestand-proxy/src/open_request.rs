//! Whether a request on a connection still lacks its complete answer.
//!
//! A connection that is closed in the ordinary way delivers what was written to it, also seconds
//! later, when a partition ends. A request that was given up would then run although nobody waits
//! for it. So a connection with an open request is reset instead, which discards what the peer
//! has not received.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a request is open on a connection. Shared by the connection's two sides.
#[derive(Debug, Default)]
pub(crate) struct OpenRequest(AtomicBool);

impl OpenRequest {
    /// Returns the state of a connection without a request.
    pub(crate) fn none() -> Arc<OpenRequest> {
        Arc::default()
    }

    /// Records that a request is sent.
    pub(crate) fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Records that the answer is complete.
    pub(crate) fn end(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    pub(crate) fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
