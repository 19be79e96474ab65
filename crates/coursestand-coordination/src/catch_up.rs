//! Selects the source from which a follower requests missing changes.
//!
//! Each source announces its version. The follower requests from one source at a time,
//! since parallel transfers would share the same link. When a source sends nothing for
//! some time, its request stays open, since the link may be the slow part, but the next
//! source is asked as well; the first complete transfer is used.

use std::collections::BTreeMap;

use coursestand_model::Millis;

use crate::tables::ControlVersion;

/// The follower's version, the versions of its sources, and its open requests.
#[derive(Clone, Debug)]
pub struct CatchUp<Source> {
    version: ControlVersion,
    available: BTreeMap<Source, ControlVersion>,
    /// Sources with an open request, and when data last arrived from each; initially the
    /// time of the request.
    requested: BTreeMap<Source, Millis>,
}

impl<Source> Default for CatchUp<Source> {
    fn default() -> Self {
        CatchUp {
            version: 0,
            available: BTreeMap::new(),
            requested: BTreeMap::new(),
        }
    }
}

impl<Source: Clone + Ord> CatchUp<Source> {
    /// Records that `source` has `version`.
    pub fn note_available(&mut self, source: Source, version: ControlVersion) {
        let available = self.available.entry(source).or_default();
        *available = version.max(*available);
    }

    /// Records that the follower has all changes up to `version`. Closes all open
    /// requests if the version has grown.
    pub fn advance_version(&mut self, version: ControlVersion) {
        if version > self.version {
            self.version = version;
            self.requested.clear();
        }
    }

    /// Returns whether to request the missing changes from `source` now; if so, the request
    /// counts as open. Other sources are silent if nothing arrived from them for
    /// `silence_timeout`, in milliseconds.
    pub fn should_request(
        &mut self,
        source: &Source,
        now: Millis,
        silence_timeout: Millis,
    ) -> bool {
        let has_more = self
            .available
            .get(source)
            .is_some_and(|version| *version > self.version);
        let is_requested = self.requested.contains_key(source);
        let others_are_silent = self
            .requested
            .values()
            .all(|received_at| now.saturating_sub(*received_at) >= silence_timeout);
        let should_request = has_more && !is_requested && others_are_silent;
        if should_request {
            self.requested.insert(source.clone(), now);
        }
        should_request
    }

    /// Records that requested data arrived from `source`.
    pub fn note_progress(&mut self, source: &Source, now: Millis) {
        if let Some(received_at) = self.requested.get_mut(source) {
            *received_at = now;
        }
    }

    /// Resets the state of `source` after its connection was replaced, which lost any
    /// data in transit.
    pub fn forget(&mut self, source: &Source) {
        self.available.remove(source);
        self.requested.remove(source);
    }
}
