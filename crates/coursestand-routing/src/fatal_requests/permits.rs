//! Trials that control has granted to this daemon.

use std::collections::BTreeMap;

use coursestand_model::Millis;

use super::Fingerprint;

/// Time within which a granted trial must be started.
const PERMIT_MS: Millis = 5_000;

/// Requests of which this daemon may run a trial, with the time at which the permit expires.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits(BTreeMap<Fingerprint, Millis>);

impl Permits {
    /// Permits one trial of the request.
    pub(super) fn grant(&mut self, now: Millis, request: Fingerprint) {
        self.0.retain(|_, until| now < *until);
        self.0.insert(request, now + PERMIT_MS);
    }

    /// Returns whether there is a valid permit for the request.
    pub(super) fn is_granted(&self, now: Millis, request: Fingerprint) -> bool {
        self.0.get(&request).is_some_and(|until| now < *until)
    }

    /// Consumes the permit. Returns whether there was a valid one.
    pub(super) fn take(&mut self, now: Millis, request: Fingerprint) -> bool {
        let until = self.0.remove(&request);
        until.is_some_and(|until| now < until)
    }
}
