//! Closes attempts of requests that turn out to crash back ends, before they crash their back
//! ends as well.

use std::sync::Arc;

use super::{ActiveAttempt, BackendResponse, Exchange, FailedAttempt, PreparedRequest};
use crate::crash_detector::CrashDetector;
use crate::phases::{AttemptFailure, Attempts, Target};

impl Exchange {
    /// Makes an attempt, and closes it if a crash report recalls it. An answer of which the head
    /// and the first part have arrived is delivered.
    pub(super) async fn attempt_unless_recalled(
        &self,
        prepared: &mut PreparedRequest,
        started: &ActiveAttempt,
        attempts: &mut Attempts,
    ) -> Result<BackendResponse, FailedAttempt> {
        if started.target.fingerprint.is_none() {
            return self.attempt(prepared, started, attempts).await;
        }
        let mut changes = self.phases.crash_record_changes();
        let attempt = self.attempt(prepared, started, attempts);
        tokio::pin!(attempt);
        // A report may have arrived between the choice of the back end and the subscription.
        while !self.phases.is_recalled(&started.target) {
            tokio::select! {
                biased;
                result = attempt.as_mut() => return result,
                changed = changes.changed() => {
                    if changed.is_err() {
                        return attempt.await;
                    }
                }
            }
        }
        Err(FailedAttempt::of(AttemptFailure::Recalled))
    }

    /// Checks later whether the back end of a recalled attempt has crashed all the same: its
    /// connection is closed, so that its crash does not show there.
    pub(super) fn detect_crash_after_recall(&self, target: &Target) {
        let phases = Arc::clone(&self.phases);
        let pool = Arc::clone(&self.pool);
        CrashDetector::probe_after_recall(&self.crash_detector, target, pool, phases);
    }
}
