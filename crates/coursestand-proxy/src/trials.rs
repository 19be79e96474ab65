//! Asks control for trials of requests that are suspected to crash back ends.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::{Fingerprint, SharedCrashRecord};
use tokio::sync::{broadcast, oneshot};

/// Messages queued for a slow connection to control; further ones replace the oldest.
const MESSAGE_QUEUE_LENGTH: usize = 64;
/// Time after which a trial request counts as unanswered: control may have no leader.
const TRIAL_TIMEOUT_MS: Millis = 1_000;

/// A message to control about a request that is suspected to crash back ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashRecordMessage {
    /// Asks for a trial of the request.
    Trial(SharedCrashRecord),
    /// Reports this daemon's crash record.
    Report(SharedCrashRecord),
}

struct PendingTrial {
    requested_at: Millis,
    reply: oneshot::Sender<()>,
}

/// Trials that this daemon has asked control for.
pub struct TrialRequests {
    messages: broadcast::Sender<CrashRecordMessage>,
    pending: Mutex<HashMap<Fingerprint, PendingTrial>>,
}

impl Default for TrialRequests {
    fn default() -> TrialRequests {
        TrialRequests {
            messages: broadcast::Sender::new(MESSAGE_QUEUE_LENGTH),
            pending: Mutex::default(),
        }
    }
}

impl TrialRequests {
    fn pending(&self) -> MutexGuard<'_, HashMap<Fingerprint, PendingTrial>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks control for a trial. The returned receiver resolves with the answer. Only one
    /// request per fingerprint waits for it at a time.
    pub fn ask(
        &self,
        now: Millis,
        crash_record: SharedCrashRecord,
    ) -> Option<oneshot::Receiver<()>> {
        let mut pending = self.pending();
        pending.retain(|_, trial| {
            now.saturating_sub(trial.requested_at) < TRIAL_TIMEOUT_MS && !trial.reply.is_closed()
        });
        if pending.contains_key(&crash_record.request) {
            return None;
        }
        let (reply, answer) = oneshot::channel();
        pending.insert(
            crash_record.request,
            PendingTrial {
                requested_at: now,
                reply,
            },
        );
        drop(pending);
        // The send fails when there is no connection to control.
        self.messages
            .send(CrashRecordMessage::Trial(crash_record))
            .ok()?;
        Some(answer)
    }

    /// Wakes the request that waits for the answer of control.
    pub fn answered(&self, request: Fingerprint) {
        if let Some(trial) = self.pending().remove(&request) {
            // The waiting request may have been cancelled.
            let _ = trial.reply.send(());
        }
    }

    /// Reports a crash record to control.
    pub fn report(&self, crash_record: SharedCrashRecord) {
        // The send fails when there is no connection to control; the report is then dropped.
        let _ = self.messages.send(CrashRecordMessage::Report(crash_record));
    }

    /// Subscribes to messages for control.
    pub fn messages(&self) -> broadcast::Receiver<CrashRecordMessage> {
        self.messages.subscribe()
    }
}
