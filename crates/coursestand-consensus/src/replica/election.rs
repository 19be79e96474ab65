//! Elections: pre-vote, votes, check-quorum, the leader lease and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::{DiskLag, LeaderState, ProposeError, Replica, Role, Transfer};
use crate::ids::{Millis, ReplicaId, Term};
use crate::message::{Body, LogPosition, Message};
use crate::types::{HardState, Payload};

/// Bounds of the random jitter of a timer, as divisors of its duration.
const MIN_JITTER_DIVISOR: Millis = 16;
const MAX_JITTER_DIVISOR: Millis = 2;
/// Interval, as a divisor of the election timeout, at which a pre-vote without a
/// majority is repeated. A pre-vote doesn't disturb a leader, so a full timeout is not
/// necessary.
const PRE_VOTE_RETRY_DIVISOR: Millis = 2;
/// Time, as a divisor of the election timeout, for which a replica that granted a
/// pre-vote doesn't start one itself. Shorter than the interval between two pre-votes of
/// one candidate, so that a candidate which can't win doesn't block the others.
const PRE_VOTE_YIELD_DIVISOR: Millis = 4;

impl Replica {
    /// Check-quorum: returns whether a majority answered recently; otherwise the leader
    /// steps down.
    pub(super) fn has_quorum_contact(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let local_id = self.id();
        let quorum_contact_at = self.membership().quorum_value(|replica| {
            if replica == local_id {
                return now;
            }
            leader.progress.get(&replica).map_or(0, |progress| {
                progress.last_contact_at.max(leader.elected_at)
            })
        });
        now < quorum_contact_at + 2 * self.config.election_timeout
    }

    /// Transfers the leadership to the most up-to-date voter if this leader's own disk
    /// syncs nothing for an election timeout while the others commit: the leader can't
    /// apply entries then. If all disks stall, nothing is committed, and a transfer would
    /// not help.
    pub(super) fn transfer_if_disk_lags(&mut self, now: Millis) {
        let persisted = self.log.persisted();
        let is_lagging = self.commit > persisted;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let current_lag = leader.disk_lag.filter(|lag| lag.persisted == persisted);
        leader.disk_lag = is_lagging.then(|| {
            current_lag.unwrap_or(DiskLag {
                since: now,
                persisted,
            })
        });
        let is_stalled = leader
            .disk_lag
            .is_some_and(|lag| now >= lag.since + self.config.election_timeout);
        if is_stalled && leader.transfer.is_none() {
            // Can't fail: this replica leads, and the target is another voter.
            let _ = self.transfer_leadership(now);
        }
    }

    /// Transfers the leadership to the voter with the most up-to-date log. Does nothing if
    /// this replica doesn't lead or is the only voter.
    pub fn transfer_leadership(&mut self, now: Millis) -> Result<(), ProposeError> {
        let Some(progress) = self.progress() else {
            return Ok(());
        };
        let target = progress
            .iter()
            .filter(|(replica, _)| self.membership().is_voter(**replica))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(replica, _)| *replica);
        match target {
            Some(to) => self.transfer_leadership_to(now, to),
            None => Ok(()),
        }
    }

    /// Transfers the leadership to the voter `to`, for a planned stop.
    pub fn transfer_leadership_to(
        &mut self,
        now: Millis,
        to: ReplicaId,
    ) -> Result<(), ProposeError> {
        let known_leader = self.leader();
        let deadline = now + self.config.election_timeout;
        let is_voter = self.membership().is_voter(to);
        let Role::Leader(leader) = &mut self.role else {
            return Err(ProposeError::NotLeader {
                leader: known_leader,
            });
        };
        if !is_voter || to == self.config.replica {
            return Err(ProposeError::InvalidMembershipChange);
        }
        leader.transfer = Some(Transfer { to, deadline });
        self.continue_transfer(now, to);
        Ok(())
    }

    /// Sends `TimeoutNow` to the target of a transfer once it has the whole log.
    pub(super) fn continue_transfer(&mut self, now: Millis, from: ReplicaId) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = leader.transfer else {
            return;
        };
        let is_caught_up = leader
            .progress
            .get(&transfer.to)
            .is_some_and(|progress| progress.matched == last);
        if transfer.to != from {
            return;
        }
        if is_caught_up {
            leader.is_lease_revoked = true;
            self.send(transfer.to, Body::TimeoutNow);
        } else {
            self.send_append(now, transfer.to);
        }
    }

    pub(super) fn is_in_leader_lease(&self, now: Millis) -> bool {
        if !self.config.mechanisms.respect_leader_lease {
            return false;
        }
        self.is_leader() || now < self.last_leader_contact_at + self.config.leader_lease
    }

    pub(super) fn reset_election_timer(&mut self, now: Millis) {
        self.election_due = now + self.config.election_timeout + self.election_jitter();
    }

    /// Sets the timer of the first candidacy after a start: it need not wait for an
    /// election timeout, only until a leader lease granted before the start has expired.
    pub(super) fn set_first_election_timer(&mut self, now: Millis) {
        let leader_lease = self.config.leader_lease;
        self.election_due = now + leader_lease + self.random_jitter(leader_lease);
    }

    fn election_jitter(&mut self) -> Millis {
        self.random_jitter(self.config.election_timeout)
    }

    fn random_jitter(&mut self, time: Millis) -> Millis {
        let range = time / MIN_JITTER_DIVISOR..time / MAX_JITTER_DIVISOR;
        self.random.random_range(range)
    }

    pub(super) fn start_pre_vote(&mut self, now: Millis) {
        let retry = self.config.election_timeout / PRE_VOTE_RETRY_DIVISOR;
        self.election_due = now + retry + self.random_jitter(retry);
        let local_id = self.id();
        if !self.membership().is_voter(local_id) {
            // Whoever asks this replica must not be sent to a leader that is gone.
            self.role = Role::Follower { leader: None };
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([local_id]),
            since: now,
        };
        if self.membership().quorum() == 1 {
            return self.start_election(now, false);
        }
        let message = Message {
            term: self.hard_state.term + 1,
            body: Body::PreVote(self.log.last()),
        };
        self.send_to_voters(&message);
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        last: LogPosition,
    ) {
        let granted = term > self.hard_state.term
            && !self.is_in_leader_lease(now)
            && self.is_up_to_date(last)
            && !self.outranks(now, from, last);
        if granted {
            self.yield_to_candidate(now);
        }
        // A rejection carries the local term, so that a replica behind it catches up.
        let answer_term = if granted { term } else { self.hard_state.term };
        let message = Message {
            term: answer_term,
            body: Body::PreVoteAnswer { granted },
        };
        self.messages_after_sync.push((from, message));
    }

    /// Returns whether this replica's own pre-vote takes precedence over a rival's, since
    /// two candidates at once would split the votes. The one with the more up-to-date log,
    /// or else the higher identity, prevails. A pre-vote that has run for long without a
    /// majority can't win, so it has no precedence.
    fn outranks(&self, now: Millis, rival: ReplicaId, rival_last: LogPosition) -> bool {
        let Role::PreCandidate { since, .. } = &self.role else {
            return false;
        };
        let is_fresh = now < since + self.config.election_timeout / PRE_VOTE_RETRY_DIVISOR;
        is_fresh && (self.log.last(), self.id()) > (rival_last, rival)
    }

    /// Delays this replica's own candidacy in favor of another candidate. Changes only
    /// the role and the timer: no vote is granted, so safety doesn't depend on it.
    fn yield_to_candidate(&mut self, now: Millis) {
        if matches!(self.role, Role::PreCandidate { .. }) {
            self.role = Role::Follower { leader: None };
        }
        let yielded = now + self.config.election_timeout / PRE_VOTE_YIELD_DIVISOR;
        self.election_due = self.election_due.max(yielded);
    }

    pub(super) fn handle_pre_vote_answer(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        let expected = self.hard_state.term + 1;
        let quorum = self.membership().quorum();
        let is_voter = self.membership().is_voter(from);
        let Role::PreCandidate { granted, .. } = &mut self.role else {
            return;
        };
        if term != expected || !is_voter {
            return;
        }
        granted.insert(from);
        if granted.len() >= quorum {
            self.start_election(now, false);
        }
    }

    pub(super) fn start_election(&mut self, now: Millis, is_transfer: bool) {
        let local_id = self.id();
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(local_id),
        };
        self.role = Role::Candidate {
            granted: BTreeSet::from([local_id]),
        };
        self.reset_election_timer(now);
        if self.membership().quorum() == 1 {
            return self.become_leader(now);
        }
        let message = Message {
            term: self.hard_state.term,
            body: Body::Vote {
                last: self.log.last(),
                is_transfer,
            },
        };
        self.send_to_voters(&message);
    }

    /// Sends a message to the other voters after the sync, because the candidate's own
    /// vote counts only once it is synced.
    pub(super) fn send_to_voters(&mut self, message: &Message) {
        let local_id = self.id();
        let voters: Vec<ReplicaId> = self
            .membership()
            .voters()
            .filter(|voter| *voter != local_id)
            .collect();
        for voter in voters {
            self.messages_after_sync.push((voter, message.clone()));
        }
    }

    pub(super) fn is_up_to_date(&self, last: LogPosition) -> bool {
        !self.config.mechanisms.compare_logs || last >= self.log.last()
    }

    pub(super) fn answer_vote(&mut self, now: Millis, from: ReplicaId, last: LogPosition) {
        let can_vote = match self.hard_state.voted_for {
            None => true,
            Some(candidate) => candidate == from || !self.config.mechanisms.one_vote_per_term,
        };
        let granted = can_vote && self.is_up_to_date(last) && !self.is_leader();
        if granted {
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer(now);
        }
        self.send_after_sync(from, Body::VoteAnswer { granted });
    }

    pub(super) fn handle_vote_answer(&mut self, now: Millis, from: ReplicaId, granted: bool) {
        let quorum = self.membership().quorum();
        let is_voter = self.membership().is_voter(from);
        let Role::Candidate {
            granted: supporters,
        } = &mut self.role
        else {
            return;
        };
        if !granted || !is_voter {
            return;
        }
        supporters.insert(from);
        if supporters.len() >= quorum {
            self.become_leader(now);
        }
    }

    pub(super) fn become_leader(&mut self, now: Millis) {
        let next = self.log.last_index() + 1;
        self.role = Role::Leader(LeaderState {
            progress: BTreeMap::new(),
            first_index_of_term: next,
            elected_at: now,
            next_heartbeat: now,
            transfer: None,
            disk_lag: None,
            is_lease_revoked: false,
        });
        self.append_entry(Payload::Empty);
        self.apply_membership(now);
        self.send_heartbeats(now);
    }

    pub(super) fn handle_timeout_now(&mut self, now: Millis, from: ReplicaId) {
        let local_id = self.id();
        let is_from_leader = self.leader() == Some(from);
        if is_from_leader && self.membership().is_voter(local_id) {
            self.start_election(now, true);
        }
    }
}
