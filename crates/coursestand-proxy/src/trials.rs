//! Waits for control to grant trials of requests under which back ends ended.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::{Fingerprint, SharedCrashRecord};
use tokio::sync::{broadcast, oneshot};

/// Cases that wait for a slow connection to control; further ones replace the oldest.
const QUEUE: usize = 64;
/// An answer that has not come by then does not come: control may have no leader.
const ASKED_MS: Millis = 1_000;

/// What this daemon tells control of a request under which back ends ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaseNote {
    /// It wants to try the request.
    Trial(SharedCrashRecord),
    /// What it knows.
    Known(SharedCrashRecord),
}

struct Asked {
    at: Millis,
    waits: oneshot::Sender<()>,
}

/// Trials that this daemon has asked for.
pub struct TrialRequests {
    notes: broadcast::Sender<CaseNote>,
    asked: Mutex<HashMap<Fingerprint, Asked>>,
}

impl Default for TrialRequests {
    fn default() -> TrialRequests {
        TrialRequests {
            notes: broadcast::Sender::new(QUEUE),
            asked: Mutex::default(),
        }
    }
}

impl TrialRequests {
    fn asked(&self) -> MutexGuard<'_, HashMap<Fingerprint, Asked>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks control for a trial; what is returned ends with its answer. One request waits
    /// for it at a time.
    pub fn ask(&self, now: Millis, case: SharedCrashRecord) -> Option<oneshot::Receiver<()>> {
        let mut asked = self.asked();
        asked.retain(|_, one| now.saturating_sub(one.at) < ASKED_MS && !one.waits.is_closed());
        if asked.contains_key(&case.request) {
            return None;
        }
        let (waits, answer) = oneshot::channel();
        asked.insert(case.request, Asked { at: now, waits });
        drop(asked);
        // Without a connection to control there is nobody to ask.
        self.notes.send(CaseNote::Trial(case)).ok()?;
        Some(answer)
    }

    /// Control answered.
    pub fn answered(&self, request: Fingerprint) {
        if let Some(asked) = self.asked().remove(&request) {
            // Whoever asked may have left.
            let _ = asked.waits.send(());
        }
    }

    /// Tells control a case.
    pub fn tell(&self, case: SharedCrashRecord) {
        // Without a connection to control there is nobody to tell.
        let _ = self.notes.send(CaseNote::Known(case));
    }

    /// What control is told, from now on.
    pub fn notes(&self) -> broadcast::Receiver<CaseNote> {
        self.notes.subscribe()
    }
}
