//! Decides which of several sources a follower asks for changes that it lacks.
//!
//! Each source tells the version that it has. Only one is asked at a time: what all of
//! them send at once has to pass the same link. A source from which nothing comes for
//! some time is not given up, since it may be the link that is slow, but the next one is
//! asked as well, and whichever is through first counts.

use std::collections::BTreeMap;

use coursestand_model::Millis;

use crate::tables::ControlVersion;

/// What the follower lacks, and whom it asked for it.
#[derive(Clone, Debug)]
pub struct CatchUp<Source> {
    held: ControlVersion,
    told: BTreeMap<Source, ControlVersion>,
    /// When something came last from each source that is asked; the moment of asking to
    /// begin with.
    asked: BTreeMap<Source, Millis>,
}

impl<Source> Default for CatchUp<Source> {
    fn default() -> Self {
        CatchUp {
            held: 0,
            told: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }
}

impl<Source: Clone + Ord> CatchUp<Source> {
    /// `source` has `version`.
    pub fn note_told(&mut self, source: Source, version: ControlVersion) {
        let told = self.told.entry(source).or_default();
        *told = version.max(*told);
    }

    /// The follower has everything up to `version`. What it asked for by then is no
    /// longer waited for.
    pub fn hold(&mut self, version: ControlVersion) {
        if version > self.held {
            self.held = version;
            self.asked.clear();
        }
    }

    /// Whether `source` is to be asked now; if so, it counts as asked. Others count as
    /// silent after `patience`.
    pub fn should_ask(&mut self, source: &Source, now: Millis, patience: Millis) -> bool {
        let has_more = self
            .told
            .get(source)
            .is_some_and(|version| *version > self.held);
        let is_asked = self.asked.contains_key(source);
        let others_are_silent = self
            .asked
            .values()
            .all(|heard_at| now.saturating_sub(*heard_at) >= patience);
        let asks = has_more && !is_asked && others_are_silent;
        if asks {
            self.asked.insert(source.clone(), now);
        }
        asks
    }

    /// Something of what `source` was asked for came.
    pub fn note_progress(&mut self, source: &Source, now: Millis) {
        if let Some(heard_at) = self.asked.get_mut(source) {
            *heard_at = now;
        }
    }

    /// The connection with `source` is another one: nothing is on its way from there.
    pub fn forget(&mut self, source: &Source) {
        self.told.remove(source);
        self.asked.remove(source);
    }
}
