//! Counts headers by which back ends speak to this system and that nothing reads.
//!
//! A header that is passed over leaves no other trace.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use http::{HeaderMap, HeaderName};
use prometheus::IntCounterVec;
use serde::Serialize;

use crate::header_names::HeaderNames;

const LOG: &str = "proxy";
/// Names that are counted each by itself; back ends may send any number of them.
const MOST_NAMES: usize = 16;
/// Longest value that is kept, in characters.
const MOST_CHARACTERS: usize = 64;
/// Label of all names beyond those.
pub const OTHER: &str = "other";

/// One such header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreadHeader {
    /// Answers that had it.
    pub answers: u64,
    /// The first value that came.
    pub first_value: String,
    /// The back end that sent it.
    pub first_from: String,
}

/// The headers of answers that nothing reads.
pub struct UnreadHeaders {
    seen: Mutex<HashMap<HeaderName, UnreadHeader>>,
    counter: IntCounterVec,
}

impl UnreadHeaders {
    /// None so far; they are counted in `counter` by name.
    pub fn new(counter: IntCounterVec) -> UnreadHeaders {
        UnreadHeaders {
            seen: Mutex::default(),
            counter,
        }
    }

    fn seen(&self) -> MutexGuard<'_, HashMap<HeaderName, UnreadHeader>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts those of an answer of the back end `from`. The first of each name is logged.
    pub fn note(&self, names: &HeaderNames, from: &str, headers: &HeaderMap) {
        for name in headers.keys().filter(|name| names.is_unread(name)) {
            let label = match self.count(name, from, headers) {
                true => name.as_str(),
                false => OTHER,
            };
            self.counter.with_label_values(&[label]).inc();
        }
    }

    /// Returns whether the name is counted by itself.
    fn count(&self, name: &HeaderName, from: &str, headers: &HeaderMap) -> bool {
        let mut seen = self.seen();
        if let Some(known) = seen.get_mut(name) {
            known.answers += 1;
            return true;
        }
        if seen.len() >= MOST_NAMES {
            return false;
        }
        let value = headers.get(name).map(|value| value.as_bytes());
        let value = String::from_utf8_lossy(value.unwrap_or_default());
        let first = UnreadHeader {
            answers: 1,
            first_value: value.chars().take(MOST_CHARACTERS).collect(),
            first_from: from.to_owned(),
        };
        log::warn!(target: LOG, header = name.as_str(), value = first.first_value, instance = from;
            "a back end sends a header that this version does not read");
        seen.insert(name.clone(), first);
        true
    }

    /// What came so far by name, for the dump.
    pub fn views(&self) -> BTreeMap<String, UnreadHeader> {
        let seen = self.seen();
        let views = seen
            .iter()
            .map(|(name, one)| (name.to_string(), one.clone()));
        views.collect()
    }
}
