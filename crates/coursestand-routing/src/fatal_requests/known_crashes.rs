//! Crashes of back ends that were reported, so that repeated reports change nothing.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::Millis;

use super::{Fingerprint, MAX_IN_FLIGHT_REQUESTS, MAX_RECORDS};

#[derive(Clone, Debug)]
struct KnownCrash {
    at: Millis,
    requests: BTreeSet<Fingerprint>,
    /// Whether a quarantined request was in flight, so that the crash counts against no other.
    is_attributed: bool,
}

/// Requests in flight at each known crash, by incarnation of the back end.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownCrashes(BTreeMap<u64, KnownCrash>);

impl KnownCrashes {
    fn crash(&mut self, backend: u64, at: Millis) -> &mut KnownCrash {
        self.0.entry(backend).or_insert_with(|| KnownCrash {
            at,
            requests: BTreeSet::new(),
            is_attributed: false,
        })
    }

    /// Adds a request that was in flight when the back end crashed at `at`. Returns whether
    /// it was not known yet.
    pub(super) fn add(&mut self, backend: u64, at: Millis, request: Fingerprint) -> bool {
        let crash = self.crash(backend, at);
        crash.requests.len() < MAX_IN_FLIGHT_REQUESTS && crash.requests.insert(request)
    }

    /// Marks the crash of this back end, at `at` or before, as counting against no request.
    pub(super) fn attribute(&mut self, backend: u64, at: Millis) {
        self.crash(backend, at).is_attributed = true;
    }

    /// Returns whether the crash counts against no request.
    pub(super) fn is_attributed(&self, backend: u64) -> bool {
        self.0
            .get(&backend)
            .is_some_and(|crash| crash.is_attributed)
    }

    /// Evicts crashes older than `oldest`, and then the oldest ones down to the limit.
    pub(super) fn evict_before(&mut self, oldest: Millis) {
        self.0.retain(|_, crash| crash.at >= oldest);
        while self.0.len() >= MAX_RECORDS {
            let first = self.0.iter().min_by_key(|(_, crash)| crash.at);
            let Some(backend) = first.map(|(backend, _)| *backend) else {
                break;
            };
            self.0.remove(&backend);
        }
    }
}
