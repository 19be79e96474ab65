//! Interface towards the once ledger.

use std::time::Duration;

use async_trait::async_trait;
use coursestand_coordination::once::{ClaimAnswer, ClaimId, OnceKey, RecordedAnswer};
use snafu::Snafu;

/// The ledger could not be reached, or its answer was lost.
#[derive(Debug, Snafu)]
#[snafu(display("the once ledger gave no answer: {reason}"))]
pub struct OnceError {
    /// Error text of the layer below.
    pub reason: String,
}

/// Claims, completes and releases idempotency keys.
#[async_trait]
pub trait OnceEdge: Send + Sync {
    /// Claims a key for one dispatch. After an error the claim may still be in effect.
    async fn claim(
        &self,
        key: &OnceKey,
        claim: &ClaimId,
        deadline: Duration,
    ) -> Result<ClaimAnswer, OnceError>;

    /// Records the answer of the request that ran under the claim. Retries in the
    /// background.
    fn complete(&self, key: OnceKey, claim: ClaimId, answer: RecordedAnswer);

    /// Releases a claim whose request was not dispatched. Retries in the background.
    fn release(&self, key: OnceKey, claim: ClaimId);
}
