//! Counts headers with a reserved prefix that this version does not read.
//!
//! An ignored header leaves no other trace.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use http::{HeaderMap, HeaderName};
use prometheus::IntCounterVec;
use serde::Serialize;

use crate::header_names::HeaderNames;

const LOG: &str = "proxy";
/// Header names that are counted individually; back ends may send any number of names.
const MAX_NAMES: usize = 16;
/// Length to which a stored value is truncated, in characters.
const MAX_VALUE_CHARACTERS: usize = 64;
/// Label for all further names.
pub const OTHER: &str = "other";

/// A header that this version does not read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreadHeader {
    /// Number of answers with the header.
    pub answers: u64,
    /// The first value received.
    pub first_value: String,
    /// The back end that sent the first value.
    pub first_from: String,
}

/// The unread headers of answers.
pub struct UnreadHeaders {
    headers_by_name: Mutex<HashMap<HeaderName, UnreadHeader>>,
    counter: IntCounterVec,
}

impl UnreadHeaders {
    /// Creates an empty record that counts headers in `counter` by name.
    pub fn new(counter: IntCounterVec) -> UnreadHeaders {
        UnreadHeaders {
            headers_by_name: Mutex::default(),
            counter,
        }
    }

    fn headers_by_name(&self) -> MutexGuard<'_, HashMap<HeaderName, UnreadHeader>> {
        self.headers_by_name
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the unread headers of an answer of the back end `from`. The first of each name
    /// is logged.
    pub fn note(&self, names: &HeaderNames, from: &str, headers: &HeaderMap) {
        for name in headers.keys().filter(|name| names.is_unread(name)) {
            let label = match self.count(name, from, headers) {
                true => name.as_str(),
                false => OTHER,
            };
            self.counter.with_label_values(&[label]).inc();
        }
    }

    /// Counts the header. Returns whether the name is counted individually.
    fn count(&self, name: &HeaderName, from: &str, headers: &HeaderMap) -> bool {
        let mut headers_by_name = self.headers_by_name();
        if let Some(known) = headers_by_name.get_mut(name) {
            known.answers += 1;
            return true;
        }
        if headers_by_name.len() >= MAX_NAMES {
            return false;
        }
        let value = headers.get(name).map(|value| value.as_bytes());
        let value = String::from_utf8_lossy(value.unwrap_or_default());
        let first = UnreadHeader {
            answers: 1,
            first_value: value.chars().take(MAX_VALUE_CHARACTERS).collect(),
            first_from: from.to_owned(),
        };
        log::warn!(target: LOG, header = name.as_str(), value = first.first_value, instance = from;
            "a back end sends a header that this version does not read");
        headers_by_name.insert(name.clone(), first);
        true
    }

    /// Returns the unread headers by name, for the state dump.
    pub fn views(&self) -> BTreeMap<String, UnreadHeader> {
        let headers_by_name = self.headers_by_name();
        let views = headers_by_name
            .iter()
            .map(|(name, header)| (name.to_string(), header.clone()));
        views.collect()
    }
}
