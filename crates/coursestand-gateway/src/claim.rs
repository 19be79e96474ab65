//! Claim of an idempotency key for the duration of its request.

use std::sync::Arc;

use coursestand_coordination::once::{ClaimId, OnceKey};

use crate::once_edge::OnceEdge;

/// A claim that is released on drop unless the request was dispatched under it.
pub(crate) struct Claim<'a> {
    pub(crate) once: &'a Arc<dyn OnceEdge>,
    pub(crate) key: OnceKey,
    pub(crate) id: ClaimId,
    /// Whether this daemon has or may have the claim, and nothing was dispatched under it.
    pub(crate) needs_release: bool,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if self.needs_release {
            self.once.release(self.key.clone(), self.id.clone());
        }
    }
}
