//! Proves how new a follower's copy of the replicated state is.
//!
//! A change is acknowledged only once it is in the logs of a quorum of the replicas,
//! and an entry that a quorum holds never leaves a log again. So when each replica of
//! a quorum, asked at some moment or later, says that its log ends at or below an
//! index that the copy covers, the copy holds every change that was acknowledged
//! before that moment. This is a quorum read without the leader: it holds while the
//! group has none, and costs one number in answers that are sent anyway.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use coursestand_model::Millis;

use crate::tables::ControlVersion;

/// Answers of one replica that are kept: while the log grows, the newest one tells of
/// entries that the copy does not cover yet, and an earlier one may prove something.
const MOST_ANSWERS: usize = 8;

/// Versions that are awaited at once: one for each change that is told while a large one
/// is on its way.
const MOST_AWAITED: usize = 64;

/// What one replica said of its log.
#[derive(Clone, Copy, Debug)]
struct LogEnd {
    /// When it was asked, on the follower's clock.
    asked_at: Millis,
    /// Last index of its log when it answered.
    index: ControlVersion,
}

/// How new a follower's copy is, from what the replicas say of their logs.
#[derive(Clone, Debug)]
pub struct Freshness<Replica> {
    members: BTreeSet<Replica>,
    /// Log index of the change that made the members these.
    members_as_of: ControlVersion,
    log_ends: BTreeMap<Replica, VecDeque<LogEnd>>,
    /// All changes up to this index are in the copy.
    covered: ControlVersion,
    /// Version of the followed part of the state that the copy has.
    held: ControlVersion,
    /// Versions that the copy did not have when a replica told them, and the index up to
    /// which each is the newest.
    awaited: BTreeMap<ControlVersion, ControlVersion>,
    proven_at: Option<Millis>,
}

impl<Replica> Default for Freshness<Replica> {
    fn default() -> Self {
        Freshness {
            members: BTreeSet::new(),
            members_as_of: 0,
            log_ends: BTreeMap::new(),
            covered: 0,
            held: 0,
            awaited: BTreeMap::new(),
            proven_at: None,
        }
    }
}

impl<Replica: Clone + Ord> Freshness<Replica> {
    /// The members of the group, made so by the change at `as_of`. A list that is older
    /// than the one held changes nothing. Returns whether it was taken.
    pub fn set_members(&mut self, members: BTreeSet<Replica>, as_of: ControlVersion) -> bool {
        if members.is_empty() || as_of < self.members_as_of {
            return false;
        }
        let is_other = members != self.members;
        self.members = members;
        self.members_as_of = as_of;
        if is_other {
            // What an older list proved may rest on replicas that had left the group.
            self.proven_at = None;
            self.prove();
        }
        true
    }

    /// The members of the group.
    pub fn members(&self) -> &BTreeSet<Replica> {
        &self.members
    }

    /// A replica that has applied all up to `index` has the followed part of the state at
    /// `version`: a copy at that version or a later one holds all changes up to there.
    pub fn note_applied(&mut self, version: ControlVersion, index: ControlVersion) {
        if version <= self.held {
            self.cover(index);
            return;
        }
        let awaited = self.awaited.entry(version).or_default();
        *awaited = index.max(*awaited);
        if self.awaited.len() > MOST_AWAITED {
            self.awaited.pop_first();
        }
    }

    /// The copy is at `version`, with all changes up to it.
    pub fn hold(&mut self, version: ControlVersion) {
        if version <= self.held {
            return;
        }
        self.held = version;
        let later = self.awaited.split_off(&(version + 1));
        let reached = std::mem::replace(&mut self.awaited, later);
        if let Some(index) = reached.into_values().max() {
            self.cover(index);
        }
    }

    /// The copy holds all changes up to `index`.
    pub fn cover(&mut self, index: ControlVersion) {
        self.covered = self.covered.max(index);
        self.prove();
    }

    /// `replica` was asked at `asked_at` and answered that its log ends at `index`.
    pub fn note_log_end(&mut self, replica: Replica, asked_at: Millis, index: ControlVersion) {
        let answers = self.log_ends.entry(replica).or_default();
        answers.push_back(LogEnd { asked_at, index });
        if answers.len() > MOST_ANSWERS {
            answers.pop_front();
        }
        self.prove();
    }

    /// The latest moment before which every acknowledged change is in the copy.
    pub fn proven_at(&self) -> Option<Millis> {
        self.proven_at
    }

    /// Replicas that make a quorum of the members.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn newest_covered(&self, answers: &VecDeque<LogEnd>) -> Option<Millis> {
        let covered = answers.iter().filter(|end| end.index <= self.covered);
        covered.map(|end| end.asked_at).max()
    }

    fn prove(&mut self) {
        if self.members.is_empty() {
            return;
        }
        let mut asked_at: Vec<Millis> = self
            .log_ends
            .iter()
            .filter(|(replica, _)| self.members.contains(replica))
            .filter_map(|(_, answers)| self.newest_covered(answers))
            .collect();
        // The newest first: the last one of a quorum bounds the moment.
        asked_at.sort_unstable_by(|left, right| right.cmp(left));
        let proven = asked_at.get(self.quorum() - 1).copied();
        self.proven_at = self.proven_at.max(proven);
    }
}
