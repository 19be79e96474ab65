//! One replica of the group: elections, replication and commitment.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snafu::Snafu;

use crate::config::Config;
use crate::log::Log;
use crate::membership::Membership;
use crate::message::{Append, AppendAnswer, Body, LogPosition, Message, SnapshotChunk};
use crate::progress::{Progress, SendState};
use crate::ready::Ready;
use crate::storage::Restored;
use crate::types::{Entry, HardState, LogIndex, Millis, Payload, ReplicaId, Snapshot, Term};

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This replica doesn't lead.
    #[snafu(display("this replica does not lead"))]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<ReplicaId>,
    },
    /// The leadership is being handed over.
    #[snafu(display("the leadership is being handed over"))]
    Transferring,
    /// An earlier membership change is not committed.
    #[snafu(display("an earlier membership change is not committed"))]
    ChangePending,
    /// The new membership differs in more than one member, or has no voter.
    #[snafu(display("a membership change concerns one member and leaves a voter"))]
    NotOneChange,
}

/// What a replica is in its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower {
        /// The leader, once it was heard.
        leader: Option<ReplicaId>,
    },
    /// Asks whether it would be elected.
    PreCandidate {
        /// Who would vote for it.
        granted: BTreeSet<ReplicaId>,
    },
    /// Asks for votes.
    Candidate {
        /// Who voted for it.
        granted: BTreeSet<ReplicaId>,
    },
    /// Leads.
    Leader(LeaderState),
}

/// What a leader keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderState {
    progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this leader's term.
    first_of_term: LogIndex,
    elected_at: Millis,
    next_heartbeat: Millis,
    transfer: Option<Transfer>,
    /// Set once `TimeoutNow` was sent: that election ignores the loyalty to
    /// this leader, so there is no lease any more in this term.
    lease_given_up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Transfer {
    to: ReplicaId,
    give_up_at: Millis,
}

/// A snapshot that arrives in pieces.
#[derive(Clone, Debug, Default)]
struct PartialSnapshot {
    last: LogPosition,
    data: Vec<u8>,
}

/// One replica, free of I/O.
pub struct Replica {
    config: Config,
    random: StdRng,
    hard_state: HardState,
    saved_hard_state: HardState,
    log: Log,
    /// First index that storage has not been given.
    unsaved_from: LogIndex,
    unsaved_snapshot: bool,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    election_due: Millis,
    /// When a message of the current leader came last, or when this replica
    /// started: it may have promised its loyalty just before.
    heard_from_leader_at: Millis,
    partial_snapshot: PartialSnapshot,
    messages: Vec<(ReplicaId, Message)>,
    messages_after_sync: Vec<(ReplicaId, Message)>,
}

impl Replica {
    /// A replica that starts at `now` from what storage had saved.
    pub fn new(config: Config, restored: Restored, now: Millis) -> Replica {
        let random = StdRng::seed_from_u64(config.seed);
        let log = Log::new(restored.snapshot, restored.entries);
        let base = log.snapshot().index;
        let mut replica = Replica {
            random,
            hard_state: restored.hard_state,
            saved_hard_state: restored.hard_state,
            unsaved_from: log.last_index() + 1,
            unsaved_snapshot: false,
            commit: base,
            applied: base,
            log,
            role: Role::Follower { leader: None },
            election_due: 0,
            heard_from_leader_at: now,
            partial_snapshot: PartialSnapshot::default(),
            messages: Vec::new(),
            messages_after_sync: Vec::new(),
            config,
        };
        replica.reset_election_timer(now);
        replica
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.config.replica
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// What this replica is.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Whether this replica leads; a leader that was cut off may not know yet.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Leader(_) => Some(self.id()),
            _ => None,
        }
    }

    /// Highest committed index.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Highest index handed out in `Ready::committed`.
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Members by the newest entry of the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership_up_to(self.log.last_index()).1
    }

    /// Progress of the followers, while this replica leads.
    pub fn progress(&self) -> Option<&BTreeMap<ReplicaId, Progress>> {
        match &self.role {
            Role::Leader(leader) => Some(&leader.progress),
            _ => None,
        }
    }

    /// Whether nobody else can have committed anything until `now`, so that
    /// the state applied here is the newest there is. Check it again after
    /// every wait.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_end(now).is_some_and(|end| now < end)
    }

    /// Until when nobody else can commit anything, on this replica's clock.
    /// `None` while this replica doesn't lead, or hasn't applied what leaders
    /// before it committed.
    pub fn lease_end(&self, now: Millis) -> Option<Millis> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if leader.lease_given_up || self.applied < leader.first_of_term {
            return None;
        }
        Some(self.lease_until(leader, now))
    }

    /// A majority was loyal from these points on for an election timeout, less
    /// what the clocks may differ.
    fn lease_until(&self, leader: &LeaderState, now: Millis) -> Millis {
        let own = self.id();
        let loyal_since = self.membership().reached_by_quorum(|replica| {
            if replica == own {
                return now;
            }
            leader
                .progress
                .get(&replica)
                .map_or(0, |progress| progress.answered_sent_at)
        });
        if loyal_since == 0 {
            return 0;
        }
        let timeout = self.config.election_timeout;
        loyal_since + timeout - timeout / self.config.clock_drift
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        if let Role::Leader(leader) = &self.role {
            let heartbeat_due = now >= leader.next_heartbeat;
            let transfer_failed = leader
                .transfer
                .is_some_and(|transfer| now >= transfer.give_up_at);
            if !self.hears_quorum(now) || transfer_failed {
                self.become_follower(self.hard_state.term, None, now);
                return;
            }
            if heartbeat_due {
                self.send_heartbeats(now);
            }
        } else if now >= self.election_due {
            self.start_pre_vote(now);
        }
    }

    /// Check-quorum: a leader that does not hear a majority steps down.
    fn hears_quorum(&self, now: Millis) -> bool {
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

    /// Takes a message in.
    pub fn step(&mut self, now: Millis, from: ReplicaId, message: Message) {
        match message.body {
            Body::PreVote(last) => return self.answer_pre_vote(now, from, message.term, last),
            Body::PreVoteAnswer { granted } => {
                return self.take_pre_vote(now, from, message.term, granted);
            }
            Body::Vote { is_transfer, .. }
                if message.term > self.hard_state.term && !is_transfer && self.is_loyal(now) =>
            {
                // Loyalty protects the leader's lease: not even the term moves.
                return;
            }
            _ => {}
        }
        if message.term > self.hard_state.term {
            let leader = match message.body {
                Body::Append(_) | Body::Snapshot(_) => Some(from),
                _ => None,
            };
            self.become_follower(message.term, leader, now);
        }
        if message.term < self.hard_state.term {
            return self.answer_stale(from, &message.body);
        }
        match message.body {
            Body::Vote { last, .. } => self.answer_vote(now, from, last),
            Body::VoteAnswer { granted } => self.take_vote(now, from, granted),
            Body::Append(append) => self.take_append(now, from, append),
            Body::AppendAnswer(answer) => self.take_append_answer(now, from, answer),
            Body::Snapshot(chunk) => self.take_snapshot_chunk(now, from, chunk),
            Body::SnapshotAnswer {
                index,
                received,
                sent_at,
            } => self.take_snapshot_answer(now, from, index, received, sent_at),
            Body::TimeoutNow => self.take_timeout_now(now, from),
            Body::PreVote(_) | Body::PreVoteAnswer { .. } => {}
        }
    }

    /// Tells the sender of an old term the current one.
    fn answer_stale(&mut self, from: ReplicaId, body: &Body) {
        match body {
            Body::Append(append) => {
                let answer = AppendAnswer {
                    index: 0,
                    matched: false,
                    sent_at: append.sent_at,
                };
                self.send_after_sync(from, Body::AppendAnswer(answer));
            }
            Body::Vote { .. } => self.send_after_sync(from, Body::VoteAnswer { granted: false }),
            _ => {}
        }
    }

    /// Proposes an entry; it is committed when `Ready::committed` brings it.
    pub fn propose(&mut self, now: Millis, payload: Payload) -> Result<LogIndex, ProposeError> {
        let known_leader = self.leader();
        let Role::Leader(leader) = &self.role else {
            return Err(ProposeError::NotLeader {
                leader: known_leader,
            });
        };
        if leader.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        if let Payload::Membership(next) = &payload {
            self.check_change(leader, next)?;
        }
        let index = self.append_own(payload);
        self.adopt_membership(now);
        self.send_to_all(now);
        Ok(index)
    }

    /// One change at a time, and only once this leader has committed an entry
    /// of its own term: else two groups without a common majority could form.
    fn check_change(&self, leader: &LeaderState, next: &Membership) -> Result<(), ProposeError> {
        let (index, current) = self.log.membership_up_to(self.log.last_index());
        if index > self.commit || self.commit < leader.first_of_term {
            return Err(ProposeError::ChangePending);
        }
        if !current.differs_by_one(next) {
            return Err(ProposeError::NotOneChange);
        }
        Ok(())
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
    fn continue_transfer(&mut self, now: Millis, from: ReplicaId) {
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

    /// A snapshot of the state machine at `index`, to shorten the log. Returns
    /// it with the hard state and the entries after it, for `Storage::compact`.
    pub fn compact(
        &mut self,
        index: LogIndex,
        data: Vec<u8>,
    ) -> Option<(Snapshot, HardState, Vec<Entry>)> {
        if index > self.applied || index <= self.log.snapshot().index {
            return None;
        }
        let snapshot = Snapshot {
            index,
            term: self.log.term_at(index)?,
            membership: self.log.membership_up_to(index).1.clone(),
            data: data.into(),
        };
        self.log.compact(snapshot.clone());
        let rest = self.log.entries_from(index + 1, usize::MAX).to_vec();
        Some((snapshot, self.hard_state, rest))
    }

    /// What the caller has to do now.
    pub fn ready(&mut self) -> Ready {
        let hard_state = (self.hard_state != self.saved_hard_state).then_some(self.hard_state);
        self.saved_hard_state = self.hard_state;
        let snapshot = self.unsaved_snapshot.then(|| self.log.snapshot().clone());
        self.unsaved_snapshot = false;
        let entries = self
            .log
            .entries_from(self.unsaved_from, usize::MAX)
            .to_vec();
        self.unsaved_from = self.log.last_index() + 1;
        Ready {
            messages: std::mem::take(&mut self.messages),
            hard_state,
            snapshot,
            entries,
            messages_after_sync: std::mem::take(&mut self.messages_after_sync),
            committed: self.take_committed(),
            last_index: self.log.last_index(),
        }
    }

    /// Entries that are committed and synced here.
    fn take_committed(&mut self) -> Vec<Entry> {
        let until = self.commit.min(self.log.persisted());
        if until <= self.applied {
            return Vec::new();
        }
        let count = (until - self.applied) as usize;
        let committed = self.log.entries_from(self.applied + 1, count).to_vec();
        self.applied = until;
        committed
    }

    /// Everything in `ready` is synced.
    pub fn persisted(&mut self, now: Millis, ready: &Ready) {
        // What was truncated since is in a later `Ready`.
        if self.unsaved_from > ready.last_index {
            self.log.set_persisted(ready.last_index);
        }
        if self.is_leader() {
            self.advance_commit(now);
        }
    }

    fn is_loyal(&self, now: Millis) -> bool {
        if !self.config.mechanisms.loyal_to_leader {
            return false;
        }
        self.is_leader() || now < self.heard_from_leader_at + self.config.election_timeout
    }

    fn reset_election_timer(&mut self, now: Millis) {
        let timeout = self.config.election_timeout;
        self.election_due = now + timeout + self.random.random_range(0..timeout);
    }

    fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Millis) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
        }
        self.role = Role::Follower { leader };
        self.reset_election_timer(now);
    }

    fn start_pre_vote(&mut self, now: Millis) {
        self.reset_election_timer(now);
        let own = self.id();
        if !self.membership().is_voter(own) {
            return;
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([own]),
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

    fn answer_pre_vote(&mut self, now: Millis, from: ReplicaId, term: Term, last: LogPosition) {
        let granted = term > self.hard_state.term && !self.is_loyal(now) && self.is_as_new(last);
        // A refusal carries our term, so that a replica left behind catches up.
        let answer_term = if granted { term } else { self.hard_state.term };
        let message = Message {
            term: answer_term,
            body: Body::PreVoteAnswer { granted },
        };
        self.messages_after_sync.push((from, message));
    }

    fn take_pre_vote(&mut self, now: Millis, from: ReplicaId, term: Term, granted: bool) {
        if !granted {
            if term > self.hard_state.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        let expected = self.hard_state.term + 1;
        let quorum = self.membership().quorum();
        let is_voter = self.membership().is_voter(from);
        let Role::PreCandidate { granted } = &mut self.role else {
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

    fn start_election(&mut self, now: Millis, is_transfer: bool) {
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
    fn send_to_voters(&mut self, message: &Message) {
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

    fn is_as_new(&self, last: LogPosition) -> bool {
        !self.config.mechanisms.compare_logs || last >= self.log.last()
    }

    fn answer_vote(&mut self, now: Millis, from: ReplicaId, last: LogPosition) {
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

    fn take_vote(&mut self, now: Millis, from: ReplicaId, granted: bool) {
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

    fn become_leader(&mut self, now: Millis) {
        let next = self.log.last_index() + 1;
        self.role = Role::Leader(LeaderState {
            progress: BTreeMap::new(),
            first_of_term: next,
            elected_at: now,
            next_heartbeat: now,
            transfer: None,
            lease_given_up: false,
        });
        self.append_own(Payload::Empty);
        self.adopt_membership(now);
        self.send_heartbeats(now);
    }

    fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.log.push(Entry {
            term: self.hard_state.term,
            index,
            payload,
        });
        index
    }

    /// Follows the newest membership of the log, also before it is committed.
    fn adopt_membership(&mut self, now: Millis) {
        let own = self.id();
        let next = self.log.last_index() + 1;
        let members: BTreeSet<ReplicaId> = self.membership().members.keys().copied().collect();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader
            .progress
            .retain(|replica, _| members.contains(replica));
        for replica in members.into_iter().filter(|replica| *replica != own) {
            leader.progress.entry(replica).or_insert_with(|| Progress {
                heard_at: now,
                ..Progress::new(next)
            });
        }
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = Message {
            term: self.hard_state.term,
            body,
        };
        self.messages.push((to, message));
    }

    fn send_after_sync(&mut self, to: ReplicaId, body: Body) {
        let message = Message {
            term: self.hard_state.term,
            body,
        };
        self.messages_after_sync.push((to, message));
    }

    fn followers(&self) -> Vec<ReplicaId> {
        self.progress()
            .map(|progress| progress.keys().copied().collect())
            .unwrap_or_default()
    }

    fn send_to_all(&mut self, now: Millis) {
        for follower in self.followers() {
            let state = self
                .progress()
                .and_then(|progress| progress.get(&follower))
                .map(|progress| progress.state);
            if state == Some(SendState::Replicate) {
                self.send_append(now, follower);
            }
        }
    }

    fn send_heartbeats(&mut self, now: Millis) {
        let heartbeat = self.config.heartbeat;
        if let Role::Leader(leader) = &mut self.role {
            leader.next_heartbeat = now + heartbeat;
            for progress in leader.progress.values_mut() {
                // No progress since the last heartbeat: something was lost.
                if progress.matched == progress.matched_at_heartbeat {
                    progress.next = progress.next.min(progress.matched + 1);
                }
                progress.matched_at_heartbeat = progress.matched;
            }
        }
        for follower in self.followers() {
            self.send_append(now, follower);
        }
    }

    /// Sends what the follower lacks, or an empty append as a heartbeat.
    fn send_append(&mut self, now: Millis, to: ReplicaId) {
        let base = self.log.snapshot().index;
        let last = self.log.last_index();
        let max_batch = self.config.max_batch;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        if let SendState::Snapshot { index, .. } = progress.state
            && index == base
        {
            return self.send_snapshot_chunk(now, to);
        }
        if progress.next <= base && base > 0 {
            progress.state = SendState::Snapshot {
                index: base,
                received: 0,
            };
            return self.send_snapshot_chunk(now, to);
        }
        if matches!(progress.state, SendState::Snapshot { .. }) {
            progress.state = SendState::Probe;
        }
        let first = progress.next.max(1);
        let entries = self.log.entries_from(first, max_batch).to_vec();
        if progress.state == SendState::Replicate {
            progress.next = (first + entries.len() as LogIndex).min(last + 1);
        }
        let previous = LogPosition {
            term: self.log.term_at(first - 1).unwrap_or(0),
            index: first - 1,
        };
        let append = Append {
            previous,
            entries,
            commit: self.commit,
            sent_at: now,
        };
        self.send(to, Body::Append(append));
    }

    fn send_snapshot_chunk(&mut self, now: Millis, to: ReplicaId) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(SendState::Snapshot { received, .. }) =
            leader.progress.get(&to).map(|progress| progress.state)
        else {
            return;
        };
        let snapshot = self.log.snapshot();
        let total = snapshot.data.len();
        let start = (received as usize).min(total);
        let end = (start + self.config.snapshot_chunk).min(total);
        let chunk = SnapshotChunk {
            last: LogPosition {
                term: snapshot.term,
                index: snapshot.index,
            },
            membership: snapshot.membership.clone(),
            offset: start as u64,
            total: total as u64,
            data: snapshot.data[start..end].to_vec(),
            sent_at: now,
        };
        self.send(to, Body::Snapshot(chunk));
    }

    /// A message of the leader of this term.
    fn follow(&mut self, now: Millis, leader: ReplicaId) {
        self.role = Role::Follower {
            leader: Some(leader),
        };
        self.heard_from_leader_at = now;
        self.reset_election_timer(now);
    }

    fn take_append(&mut self, now: Millis, from: ReplicaId, append: Append) {
        self.follow(now, from);
        let previous = append.previous;
        if previous.index < self.log.snapshot().index {
            // The snapshot covers the start; it is committed, so it is equal.
            return self.answer_append(from, self.log.snapshot().index, true, append.sent_at);
        }
        if self.log.term_at(previous.index) != Some(previous.term) {
            let hint = self.log.last_index().min(previous.index.saturating_sub(1));
            return self.answer_append(from, hint, false, append.sent_at);
        }
        let matched = previous.index + append.entries.len() as LogIndex;
        for entry in append.entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    debug_assert!(entry.index > self.commit, "committed entries stay");
                    self.log.truncate(entry.index);
                    self.unsaved_from = self.unsaved_from.min(entry.index);
                    self.log.push(entry);
                }
                None => self.log.push(entry),
            }
        }
        self.commit = self.commit.max(append.commit.min(matched));
        self.answer_append(from, matched, true, append.sent_at);
    }

    fn answer_append(&mut self, to: ReplicaId, index: LogIndex, matched: bool, sent_at: Millis) {
        let answer = AppendAnswer {
            index,
            matched,
            sent_at,
        };
        self.send_after_sync(to, Body::AppendAnswer(answer));
    }

    fn take_append_answer(&mut self, now: Millis, from: ReplicaId, answer: AppendAnswer) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = now;
        progress.answered_sent_at = progress.answered_sent_at.max(answer.sent_at);
        if !answer.matched {
            // A late refusal tells nothing about what has matched since.
            if answer.index >= progress.matched {
                progress.state = SendState::Probe;
                progress.next = (answer.index + 1)
                    .min(progress.next)
                    .max(progress.matched + 1);
                self.send_append(now, from);
            }
            return;
        }
        progress.matched = progress.matched.max(answer.index);
        progress.next = progress.next.max(progress.matched + 1);
        if progress.next > self.log.snapshot().index {
            progress.state = SendState::Replicate;
        }
        let more = progress.next <= self.log.last_index();
        self.advance_commit(now);
        if more {
            self.send_append(now, from);
        }
        self.continue_transfer(now, from);
    }

    fn take_snapshot_chunk(&mut self, now: Millis, from: ReplicaId, chunk: SnapshotChunk) {
        self.follow(now, from);
        let index = chunk.last.index;
        if index <= self.commit {
            return self.answer_append(from, self.commit, true, chunk.sent_at);
        }
        if self.partial_snapshot.last != chunk.last {
            self.partial_snapshot = PartialSnapshot {
                last: chunk.last,
                data: Vec::new(),
            };
        }
        if self.partial_snapshot.data.len() as u64 == chunk.offset {
            self.partial_snapshot.data.extend_from_slice(&chunk.data);
        }
        let received = self.partial_snapshot.data.len() as u64;
        if received < chunk.total {
            let answer = Body::SnapshotAnswer {
                index,
                received,
                sent_at: chunk.sent_at,
            };
            return self.send_after_sync(from, answer);
        }
        let partial = std::mem::take(&mut self.partial_snapshot);
        self.install(Snapshot {
            index,
            term: chunk.last.term,
            membership: chunk.membership,
            data: partial.data.into(),
        });
        self.answer_append(from, index, true, chunk.sent_at);
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.unsaved_from = snapshot.index + 1;
        self.unsaved_snapshot = true;
        self.log.install(snapshot);
    }

    fn take_snapshot_answer(
        &mut self,
        now: Millis,
        from: ReplicaId,
        index: LogIndex,
        received: u64,
        sent_at: Millis,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = now;
        progress.answered_sent_at = progress.answered_sent_at.max(sent_at);
        match &mut progress.state {
            SendState::Snapshot {
                index: sending,
                received: known,
            } if *sending == index => *known = received,
            _ => return,
        }
        self.send_append(now, from);
    }

    fn take_timeout_now(&mut self, now: Millis, from: ReplicaId) {
        let own = self.id();
        let from_leader = self.leader() == Some(from);
        if from_leader && self.membership().is_voter(own) {
            self.start_election(now, true);
        }
    }

    fn advance_commit(&mut self, now: Millis) {
        let own = self.id();
        let persisted = self.log.persisted();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let reached = self.membership().reached_by_quorum(|replica| {
            if replica == own {
                // Our own copy counts once it is synced, like any other.
                return persisted;
            }
            leader
                .progress
                .get(&replica)
                .map_or(0, |progress| progress.matched)
        });
        let of_own_term = self.log.term_at(reached) == Some(self.hard_state.term);
        let allowed = of_own_term || !self.config.mechanisms.commit_own_term_only;
        if reached <= self.commit || !allowed {
            return;
        }
        self.commit = reached;
        let (changed_at, membership) = self.log.membership_up_to(self.commit);
        let removed = changed_at > 0 && !membership.members.contains_key(&own);
        if removed {
            return self.become_follower(self.hard_state.term, None, now);
        }
        // Followers learn of the commit at once, not with the next heartbeat.
        self.send_to_all(now);
    }
}
