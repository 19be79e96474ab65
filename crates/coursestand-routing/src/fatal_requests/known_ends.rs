//! Ends of back ends that were told, so that what is told again changes nothing.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::Millis;

use super::{Fingerprint, MOST_REMEMBERED, MOST_WITNESSES};

#[derive(Clone, Debug)]
struct KnownEnd {
    at: Millis,
    witnesses: BTreeSet<Fingerprint>,
    /// A convicted request was under way: the end counts against no other.
    is_explained: bool,
}

/// Who was witness to which end.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownEnds(BTreeMap<u64, KnownEnd>);

impl KnownEnds {
    fn end(&mut self, backend: u64, at: Millis) -> &mut KnownEnd {
        self.0.entry(backend).or_insert_with(|| KnownEnd {
            at,
            witnesses: BTreeSet::new(),
            is_explained: false,
        })
    }

    /// A back end ended at this moment, with the request under way. Returns whether that
    /// is news.
    pub(super) fn add(&mut self, backend: u64, at: Millis, request: Fingerprint) -> bool {
        let end = self.end(backend, at);
        end.witnesses.len() < MOST_WITNESSES && end.witnesses.insert(request)
    }

    /// The end of this back end, at this moment or before, counts against no request.
    pub(super) fn explain(&mut self, backend: u64, at: Millis) {
        self.end(backend, at).is_explained = true;
    }

    /// Whether the end counts against no request.
    pub(super) fn is_explained(&self, backend: u64) -> bool {
        self.0.get(&backend).is_some_and(|end| end.is_explained)
    }

    /// Forgets what is older, and then the oldest beyond the bound.
    pub(super) fn forget_before(&mut self, oldest: Millis) {
        self.0.retain(|_, end| end.at >= oldest);
        while self.0.len() >= MOST_REMEMBERED {
            let first = self.0.iter().min_by_key(|(_, end)| end.at);
            let Some(backend) = first.map(|(backend, _)| *backend) else {
                break;
            };
            self.0.remove(&backend);
        }
    }
}
