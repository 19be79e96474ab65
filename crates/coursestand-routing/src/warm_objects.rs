//! Tracks which objects each back end has served recently, as observed by this daemon.
//!
//! A back end that worked on an object recently answers the next request for it
//! several times faster. Other daemons also send requests for objects to the back ends, so
//! a back end may be warm for an object that is not recorded here.

use std::num::NonZeroUsize;

use coursestand_model::Millis;
use lru::LruCache;

/// Maximum number of tracked objects; the least recently used is evicted. At about
/// 100 bytes each they take 0.8 MB of a daemon's memory limit of 32 MB.
const MAX_OBJECTS: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");
/// Maximum number of back ends tracked for each object. Exceeds the number of a key's
/// candidates, so that a back end that is briefly not chosen stays tracked.
const MAX_BACKENDS_PER_OBJECT: usize = 4;
/// Time for which a back end counts as warm for an object after an answer, in
/// milliseconds. Answers of the ledger service 4 s and more after the last one for the
/// same object are as fast as earlier repeats (median 112 ms to 117 ms; first answers 372 ms).
const WARM_PERIOD_MS: Millis = 20_000;

/// A back end that answered for an object, and the time of its last answer.
#[derive(Clone, Copy, Debug)]
struct WarmBackend {
    backend: u64,
    answered_at: Millis,
}

/// The objects for which back ends are warm, as observed by one daemon.
#[derive(Debug)]
pub struct WarmObjects {
    backends_by_object: LruCache<u64, Vec<WarmBackend>>,
}

impl Default for WarmObjects {
    fn default() -> WarmObjects {
        WarmObjects {
            backends_by_object: LruCache::new(MAX_OBJECTS),
        }
    }
}

impl WarmObjects {
    /// Records that the back end with hash `backend` answered for the object with hash
    /// `object`.
    pub fn record(&mut self, now: Millis, object: u64, backend: u64) {
        let backends = self.backends_by_object.get_or_insert_mut(object, Vec::new);
        backends.retain(|warm| warm.backend != backend);
        if backends.len() == MAX_BACKENDS_PER_OBJECT {
            backends.remove(0);
        }
        backends.push(WarmBackend {
            backend,
            answered_at: now,
        });
    }

    /// Returns whether the back end answered for the object within the warm period.
    pub fn is_warm(&self, now: Millis, object: u64, backend: u64) -> bool {
        self.backends_by_object
            .peek(&object)
            .is_some_and(|backends| {
                backends
                    .iter()
                    .any(|warm| warm.backend == backend && now < warm.answered_at + WARM_PERIOD_MS)
            })
    }
}
