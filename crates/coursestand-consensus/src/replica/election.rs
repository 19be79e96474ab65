//! Elections: pre-vote, votes, loyalty to a leader, and handing leadership over.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use super::{DiskLag, LeaderState, ProposeError, Replica, Role, Transfer};
use crate::ids::{Millis, ReplicaId, Term};
use crate::message::{Body, LogPosition, Message};
use crate::types::{HardState, Payload};

/// Parts of a waiting time: the range of its random part, from one of these to the
/// other.
const LEAST_RANDOM_PART: Millis = 16;
const MOST_RANDOM_PART: Millis = 2;
/// Part of the election timeout after which a pre-vote without a majority is
/// repeated. Pre-votes disturb nobody, so this need not be a whole timeout.
const PRE_VOTE_RETRY_PART: Millis = 2;
/// Part of the election timeout for which a replica that granted a pre-vote
/// doesn't begin one itself. Shorter than the time between two pre-votes of one
/// candidate, so that one which can't win never holds the others back for long.
const YIELD_PART: Millis = 4;

impl Replica {
    /// Check-quorum: a leader that does not hear a majority steps down.
    pub(super) fn hears_quorum(&self, now: Millis) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let own = self.id();
        let heard = self.membership().reached_by_quorum(|replica| {
            if replica == own {
                return now;
            }
            leader
                .progress
                .get(&replica)
                .map_or(0, |progress| progress.heard_at.max(leader.elected_at))
        });
        now < heard + 2 * self.config.election_timeout
    }

    /// A leader whose own disk syncs nothing for an election timeout, while others commit,
    /// can apply nothing: it hands over to the voter that has most. When all disks stall
    /// nothing is committed, and nobody would do better.
    pub(super) fn make_room_if_disk_lags(&mut self, now: Millis) {
        let persisted = self.log.persisted();
        let lags = self.commit > persisted;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let known = leader.disk_lag.filter(|lag| lag.persisted == persisted);
        leader.disk_lag = lags.then(|| {
            known.unwrap_or(DiskLag {
                since: now,
                persisted,
            })
        });
        let is_late = leader
            .disk_lag
            .is_some_and(|lag| now >= lag.since + self.config.election_timeout);
        if is_late && leader.transfer.is_none() {
            // A leader hands over to another voter: neither can be refused here.
            let _ = self.hand_over(now);
        }
    }

    /// Hands the leadership over to the voter that has most of the log. Does nothing when
    /// this replica doesn't lead, or is the only voter.
    pub fn hand_over(&mut self, now: Millis) -> Result<(), ProposeError> {
        let Some(progress) = self.progress() else {
            return Ok(());
        };
        let newest = progress
            .iter()
            .filter(|(replica, _)| self.membership().is_voter(**replica))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(replica, _)| *replica);
        match newest {
            Some(to) => self.transfer_to(now, to),
            None => Ok(()),
        }
    }

    /// Hands the leadership over to a voter, for a planned stop.
    pub fn transfer_to(&mut self, now: Millis, to: ReplicaId) -> Result<(), ProposeError> {
        let known_leader = self.leader();
        let give_up_at = now + self.config.election_timeout;
        let is_voter = self.membership().is_voter(to);
        let Role::Leader(leader) = &mut self.role else {
            return Err(ProposeError::NotLeader {
                leader: known_leader,
            });
        };
        if !is_voter || to == self.config.replica {
            return Err(ProposeError::NotOneChange);
        }
        leader.transfer = Some(Transfer { to, give_up_at });
        self.continue_transfer(now, to);
        Ok(())
    }

    /// Once the receiver has the whole log it may start its election.
    pub(super) fn continue_transfer(&mut self, now: Millis, from: ReplicaId) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = leader.transfer else {
            return;
        };
        let caught_up = leader
            .progress
            .get(&transfer.to)
            .is_some_and(|progress| progress.matched == last);
        if transfer.to != from {
            return;
        }
        if caught_up {
            leader.lease_given_up = true;
            self.send(transfer.to, Body::TimeoutNow);
        } else {
            self.send_append(now, transfer.to);
        }
    }

    pub(super) fn is_loyal(&self, now: Millis) -> bool {
        if !self.config.mechanisms.loyal_to_leader {
            return false;
        }
        self.is_leader() || now < self.heard_from_leader_at + self.config.loyalty
    }

    pub(super) fn reset_election_timer(&mut self, now: Millis) {
        self.election_due = now + self.config.election_timeout + self.random_part();
    }

    /// The first candidacy after a start need not wait for a leader to fall
    /// silent: only until nothing is owed to an earlier one.
    pub(super) fn set_first_election_timer(&mut self, now: Millis) {
        let loyalty = self.config.loyalty;
        self.election_due = now + loyalty + self.random_part_of(loyalty);
    }

    fn random_part(&mut self) -> Millis {
        self.random_part_of(self.config.election_timeout)
    }

    fn random_part_of(&mut self, time: Millis) -> Millis {
        let range = time / LEAST_RANDOM_PART..time / MOST_RANDOM_PART;
        self.random.random_range(range)
    }

    pub(super) fn start_pre_vote(&mut self, now: Millis) {
        let retry = self.config.election_timeout / PRE_VOTE_RETRY_PART;
        self.election_due = now + retry + self.random_part_of(retry);
        let own = self.id();
        if !self.membership().is_voter(own) {
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([own]),
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
            && !self.is_loyal(now)
            && self.is_as_new(last)
            && !self.goes_before(now, from, last);
        if granted {
            self.yield_to_candidate(now);
        }
        // A refusal carries our term, so that a replica left behind catches up.
        let answer_term = if granted { term } else { self.hard_state.term };
        let message = Message {
            term: answer_term,
            body: Body::PreVoteAnswer { granted },
        };
        self.messages_after_sync.push((from, message));
    }

    /// Two pre-candidates at once would split the votes: the one with the older
    /// log, or else the lower identity, gives way. One that has asked for long
    /// without a majority can't win, and stands in nobody's way.
    fn goes_before(&self, now: Millis, rival: ReplicaId, rivals_last: LogPosition) -> bool {
        let Role::PreCandidate { since, .. } = &self.role else {
            return false;
        };
        let is_fresh = now < since + self.config.election_timeout / PRE_VOTE_RETRY_PART;
        is_fresh && (self.log.last(), self.id()) > (rivals_last, rival)
    }

    /// Lets another replica's candidacy come to its end before an own one. This
    /// only moves timers: no vote is given, so nothing rests on it but time.
    fn yield_to_candidate(&mut self, now: Millis) {
        if matches!(self.role, Role::PreCandidate { .. }) {
            self.role = Role::Follower { leader: None };
        }
        let yielded = now + self.config.election_timeout / YIELD_PART;
        self.election_due = self.election_due.max(yielded);
    }

    pub(super) fn take_pre_vote(
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
        let own = self.id();
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            voted_for: Some(own),
        };
        self.role = Role::Candidate {
            granted: BTreeSet::from([own]),
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

    /// The candidate's own vote counts once it is synced, so its requests leave
    /// after the sync.
    pub(super) fn send_to_voters(&mut self, message: &Message) {
        let own = self.id();
        let voters: Vec<ReplicaId> = self
            .membership()
            .voters()
            .filter(|voter| *voter != own)
            .collect();
        for voter in voters {
            self.messages_after_sync.push((voter, message.clone()));
        }
    }

    pub(super) fn is_as_new(&self, last: LogPosition) -> bool {
        !self.config.mechanisms.compare_logs || last >= self.log.last()
    }

    pub(super) fn answer_vote(&mut self, now: Millis, from: ReplicaId, last: LogPosition) {
        let free = match self.hard_state.voted_for {
            None => true,
            Some(candidate) => candidate == from || !self.config.mechanisms.one_vote_a_term,
        };
        let granted = free && self.is_as_new(last) && !self.is_leader();
        if granted {
            self.hard_state.voted_for = Some(from);
            self.reset_election_timer(now);
        }
        self.send_after_sync(from, Body::VoteAnswer { granted });
    }

    pub(super) fn take_vote(&mut self, now: Millis, from: ReplicaId, granted: bool) {
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
            first_of_term: next,
            elected_at: now,
            next_heartbeat: now,
            transfer: None,
            disk_lag: None,
            lease_given_up: false,
        });
        self.append_own(Payload::Empty);
        self.adopt_membership(now);
        self.send_heartbeats(now);
    }

    pub(super) fn take_timeout_now(&mut self, now: Millis, from: ReplicaId) {
        let own = self.id();
        let from_leader = self.leader() == Some(from);
        if from_leader && self.membership().is_voter(own) {
            self.start_election(now, true);
        }
    }
}
