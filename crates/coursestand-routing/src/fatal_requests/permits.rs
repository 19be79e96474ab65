//! Trials that control granted to this daemon.

use std::collections::BTreeMap;

use coursestand_model::Millis;

use super::Fingerprint;

/// For how long a daemon may use the leave to try a request.
const PERMIT_MS: Millis = 5_000;

/// Requests that this daemon may try, and until when.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits(BTreeMap<Fingerprint, Millis>);

impl Permits {
    /// The daemon may try the request once.
    pub(super) fn grant(&mut self, now: Millis, request: Fingerprint) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(request, now + PERMIT_MS);
    }

    /// Whether it may.
    pub(super) fn is_granted(&self, now: Millis, request: Fingerprint) -> bool {
        self.0.get(&request).is_some_and(|until| now < *until)
    }

    /// Uses the leave, if there is one.
    pub(super) fn take(&mut self, now: Millis, request: Fingerprint) -> bool {
        let until = self.0.remove(&request);
        until.is_some_and(|until| now < until)
    }
}
