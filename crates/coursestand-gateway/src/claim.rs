//! A claim of an idempotency key while its request is on the way.

use std::sync::Arc;

use coursestand_coordination::once::{ClaimId, OnceKey};

use crate::once_edge::OnceEdge;

/// A claim that is given up unless the request was dispatched under it.
pub(crate) struct Claim<'a> {
    pub(crate) once: &'a Arc<dyn OnceEdge>,
    pub(crate) key: OnceKey,
    pub(crate) id: ClaimId,
    /// The claim is or may be ours, and nothing was dispatched under it.
    pub(crate) needs_release: bool,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if self.needs_release {
            self.once.release(self.key.clone(), self.id.clone());
        }
    }
}
