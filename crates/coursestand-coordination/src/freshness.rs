//! Proves how fresh a follower's copy of the replicated state is.
//!
//! A change is acknowledged only once it is in the logs of a quorum of the replicas,
//! and an entry in the logs of a quorum is never removed from them. If each replica of
//! a quorum, asked at time T or later, reports that its log ends at or below an index
//! that the copy covers, then the copy contains every change that was acknowledged
//! before T. This is a quorum read without the leader: it works while the group has no
//! leader, and costs one number in answers that are sent anyway.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use coursestand_model::Millis;

use crate::tables::ControlVersion;

/// Maximum number of answers kept per replica. While the log grows, the newest answer
/// reports entries that the copy does not cover, but an earlier answer may already prove
/// freshness.
const MAX_ANSWERS_PER_REPLICA: usize = 8;

/// Maximum number of versions awaited at the same time. Each change that is announced while
/// a large one is in transit adds one.
const MAX_AWAITED_VERSIONS: usize = 64;

/// A replica's report of the end of its log.
#[derive(Clone, Copy, Debug)]
struct LogEnd {
    /// Time of the request, on the follower's clock.
    asked_at: Millis,
    /// Last index of the replica's log when it answered.
    index: ControlVersion,
}

/// Freshness of a follower's copy, derived from the log ends that the replicas report.
#[derive(Clone, Debug)]
pub struct Freshness<Replica> {
    members: BTreeSet<Replica>,
    /// Log index of the change that set the members.
    members_as_of: ControlVersion,
    log_ends: BTreeMap<Replica, VecDeque<LogEnd>>,
    /// The copy contains all changes up to this index.
    covered: ControlVersion,
    /// Version of the followed part of the state in the copy.
    version: ControlVersion,
    /// Versions that the copy lacked when a replica reported them, and the highest index
    /// up to which each is the newest.
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
            version: 0,
            awaited: BTreeMap::new(),
            proven_at: None,
        }
    }
}

impl<Replica: Clone + Ord> Freshness<Replica> {
    /// Sets the members of the group as of the change at index `as_of`. Ignores an empty
    /// list and one older than the current list. Returns whether the list was accepted.
    pub fn set_members(&mut self, members: BTreeSet<Replica>, as_of: ControlVersion) -> bool {
        if members.is_empty() || as_of < self.members_as_of {
            return false;
        }
        let has_changed = members != self.members;
        self.members = members;
        self.members_as_of = as_of;
        if has_changed {
            // The earlier proof may rely on replicas that have left the group.
            self.proven_at = None;
            self.update_proof();
        }
        true
    }

    /// Returns the members of the group.
    pub fn members(&self) -> &BTreeSet<Replica> {
        &self.members
    }

    /// Records that a replica which has applied the log up to `index` has the followed part
    /// of the state at `version`: a copy at that version or a later one contains all changes
    /// up to `index`.
    pub fn note_applied(&mut self, version: ControlVersion, index: ControlVersion) {
        if version <= self.version {
            self.advance_covered_index(index);
            return;
        }
        let awaited = self.awaited.entry(version).or_default();
        *awaited = index.max(*awaited);
        if self.awaited.len() > MAX_AWAITED_VERSIONS {
            self.awaited.pop_first();
        }
    }

    /// Records that the copy contains all changes up to `version`.
    pub fn advance_version(&mut self, version: ControlVersion) {
        if version <= self.version {
            return;
        }
        self.version = version;
        let later = self.awaited.split_off(&(version + 1));
        let reached = std::mem::replace(&mut self.awaited, later);
        if let Some(index) = reached.into_values().max() {
            self.advance_covered_index(index);
        }
    }

    /// Records that the copy contains all changes up to the log index `index`.
    pub fn advance_covered_index(&mut self, index: ControlVersion) {
        self.covered = self.covered.max(index);
        self.update_proof();
    }

    /// Records that `replica`, asked at `asked_at`, reported that its log ends at `index`.
    pub fn note_log_end(&mut self, replica: Replica, asked_at: Millis, index: ControlVersion) {
        let answers = self.log_ends.entry(replica).or_default();
        answers.push_back(LogEnd { asked_at, index });
        if answers.len() > MAX_ANSWERS_PER_REPLICA {
            answers.pop_front();
        }
        self.update_proof();
    }

    /// Returns the latest time before which every acknowledged change is in the copy.
    pub fn proven_at(&self) -> Option<Millis> {
        self.proven_at
    }

    /// Returns the number of members that form a quorum.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn newest_covered(&self, answers: &VecDeque<LogEnd>) -> Option<Millis> {
        let covered = answers.iter().filter(|end| end.index <= self.covered);
        covered.map(|end| end.asked_at).max()
    }

    fn update_proof(&mut self) {
        if self.members.is_empty() {
            return;
        }
        let mut asked_at: Vec<Millis> = self
            .log_ends
            .iter()
            .filter(|(replica, _)| self.members.contains(replica))
            .filter_map(|(_, answers)| self.newest_covered(answers))
            .collect();
        // Newest first: the oldest request of the freshest quorum bounds the proof.
        asked_at.sort_unstable_by(|left, right| right.cmp(left));
        let proven = asked_at.get(self.quorum() - 1).copied();
        self.proven_at = self.proven_at.max(proven);
    }
}
