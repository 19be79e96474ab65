//! One replica of the group: elections, replication and commit.

mod election;
mod replication;
mod snapshots;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand::rngs::StdRng;
use snafu::Snafu;

use crate::config::Config;
use crate::ids::{LogIndex, Millis, ReplicaId, Term};
use crate::log::Log;
use crate::membership::Membership;
use crate::message::{AppendAnswer, Body, LogPosition, Message};
use crate::progress::Progress;
use crate::ready::Ready;
use crate::storage::Restored;
use crate::types::{Entry, HardState, Payload};

/// Why a proposal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[snafu(display("this replica is not the leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// A leadership transfer is in progress.
    #[snafu(display("a leadership transfer is in progress"))]
    Transferring,
    /// An earlier membership change is uncommitted, or this leader has not committed an
    /// entry of its term.
    #[snafu(display("an earlier membership change is not committed"))]
    ChangePending,
    /// The new membership differs in more than one member, or has no voter; or the target
    /// of a leadership transfer is not another voter.
    #[snafu(display("a membership change must concern one member and leave a voter"))]
    InvalidMembershipChange,
}

/// Role of a replica in the current term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower {
        /// The leader, once known.
        leader: Option<ReplicaId>,
    },
    /// Runs a pre-vote.
    PreCandidate {
        /// Replicas that granted the pre-vote.
        granted: BTreeSet<ReplicaId>,
        /// When the pre-vote started.
        since: Millis,
    },
    /// Runs an election.
    Candidate {
        /// Replicas that granted their vote.
        granted: BTreeSet<ReplicaId>,
    },
    /// Leads the group.
    Leader(LeaderState),
}

/// State of a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderState {
    progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of this leader's term.
    first_index_of_term: LogIndex,
    elected_at: Millis,
    next_heartbeat: Millis,
    transfer: Option<Transfer>,
    /// Set while committed entries are not synced to this leader's own disk.
    disk_lag: Option<DiskLag>,
    /// Set once `TimeoutNow` is sent: the resulting election bypasses the leader lease,
    /// so this leader has no lease for the rest of the term.
    is_lease_revoked: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Transfer {
    to: ReplicaId,
    deadline: Millis,
}

/// The leader's own disk is behind the commit index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DiskLag {
    /// When the leader first observed the lag at this value of `persisted`.
    since: Millis,
    persisted: LogIndex,
}

/// A snapshot that is being received in chunks.
#[derive(Clone, Debug, Default)]
struct PartialSnapshot {
    last: LogPosition,
    data: Vec<u8>,
}

/// A replica of the group, without I/O.
pub struct Replica {
    config: Config,
    random: StdRng,
    hard_state: HardState,
    /// Hard state that was handed to storage.
    saved_hard_state: HardState,
    /// Hard state that storage has synced.
    synced_hard_state: HardState,
    log: Log,
    /// First index that was not handed to storage.
    unsaved_from: LogIndex,
    has_unsaved_snapshot: bool,
    /// Whether a received snapshot that replaced the log is not synced.
    has_unsynced_snapshot: bool,
    /// Whether the contents of the latest `Ready` are being synced.
    is_syncing: bool,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    election_due: Millis,
    /// When the last message of a leader arrived, or when this replica started: it
    /// may have acknowledged a leader just before that.
    last_leader_contact_at: Millis,
    partial_snapshot: PartialSnapshot,
    messages: Vec<(ReplicaId, Message)>,
    messages_after_sync: Vec<(ReplicaId, Message)>,
}

impl Replica {
    /// Creates a replica at `now` from the restored state.
    pub fn new(config: Config, restored: Restored, now: Millis) -> Replica {
        let random = StdRng::seed_from_u64(config.seed);
        let log = Log::new(restored.snapshot, restored.entries);
        let base = log.snapshot().index;
        let mut replica = Replica {
            random,
            hard_state: restored.hard_state,
            saved_hard_state: restored.hard_state,
            synced_hard_state: restored.hard_state,
            unsaved_from: log.last_index() + 1,
            has_unsaved_snapshot: false,
            has_unsynced_snapshot: false,
            is_syncing: false,
            commit: base,
            applied: base,
            log,
            role: Role::Follower { leader: None },
            election_due: 0,
            last_leader_contact_at: now,
            partial_snapshot: PartialSnapshot::default(),
            messages: Vec::new(),
            messages_after_sync: Vec::new(),
            config,
        };
        replica.set_first_election_timer(now);
        replica
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.config.replica
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the role of this replica.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns whether this replica is the leader; a partitioned leader may already have
    /// been replaced.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader, if known to this replica.
    pub fn leader(&self) -> Option<ReplicaId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Leader(_) => Some(self.id()),
            _ => None,
        }
    }

    /// Returns the highest committed index.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the highest index returned in `Ready::committed`.
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership_up_to(self.log.last_index()).1
    }

    /// Returns the replication progress of the followers; `None` unless this replica
    /// leads.
    pub fn progress(&self) -> Option<&BTreeMap<ReplicaId, Progress>> {
        match &self.role {
            Role::Leader(leader) => Some(&leader.progress),
            _ => None,
        }
    }

    /// Returns whether no other leader can have committed an entry up to `now`, so that
    /// the state applied here is current. Must be checked again after every wait.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_end(now).is_some_and(|end| now < end)
    }

    /// Returns the time on this replica's clock until which no other leader can commit
    /// an entry. `None` while this replica doesn't lead, or hasn't applied all entries
    /// that earlier leaders committed.
    pub fn lease_end(&self, now: Millis) -> Option<Millis> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if leader.is_lease_revoked || self.applied < leader.first_index_of_term {
            return None;
        }
        Some(self.lease_until(leader, now))
    }

    /// Returns when the lease ends: the leader lease, less the clock drift, after this
    /// leader sent the latest messages that a majority answered.
    fn lease_until(&self, leader: &LeaderState, now: Millis) -> Millis {
        let local_id = self.id();
        let lease_start = self.membership().quorum_value(|replica| {
            if replica == local_id {
                return now;
            }
            leader
                .progress
                .get(&replica)
                .map_or(0, |progress| progress.acked_sent_at)
        });
        if lease_start == 0 {
            return 0;
        }
        let leader_lease = self.config.leader_lease;
        lease_start + leader_lease - leader_lease / self.config.clock_drift_divisor
    }

    /// Advances the clock to `now`: runs the timers that are due.
    pub fn tick(&mut self, now: Millis) {
        if let Role::Leader(leader) = &self.role {
            let is_heartbeat_due = now >= leader.next_heartbeat;
            let has_transfer_expired = leader
                .transfer
                .is_some_and(|transfer| now >= transfer.deadline);
            if !self.has_quorum_contact(now) || has_transfer_expired {
                self.become_follower(self.hard_state.term, None, now);
                return;
            }
            if is_heartbeat_due {
                self.send_heartbeats(now);
            }
            self.transfer_if_disk_lags(now);
        } else if now >= self.election_due {
            self.start_pre_vote(now);
        }
    }

    /// Processes a message.
    pub fn step(&mut self, now: Millis, from: ReplicaId, message: Message) {
        match message.body {
            Body::PreVote(last) => return self.answer_pre_vote(now, from, message.term, last),
            Body::PreVoteAnswer { granted } => {
                return self.handle_pre_vote_answer(now, from, message.term, granted);
            }
            Body::Vote { is_transfer, .. }
                if message.term > self.hard_state.term
                    && !is_transfer
                    && self.is_in_leader_lease(now) =>
            {
                // Protects the leader's lease: even the term stays unchanged.
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
            Body::VoteAnswer { granted } => self.handle_vote_answer(now, from, granted),
            Body::Append(append) => self.handle_append(now, from, append),
            Body::AppendAnswer(answer) => self.handle_append_answer(now, from, answer),
            Body::Snapshot(chunk) => self.handle_snapshot_chunk(now, from, chunk),
            Body::SnapshotAnswer {
                index,
                received,
                sent_at,
            } => self.handle_snapshot_answer(now, from, index, received, sent_at),
            Body::TimeoutNow => self.handle_timeout_now(now, from),
            Body::PreVote(_) | Body::PreVoteAnswer { .. } => {}
        }
    }

    /// Answers a message of an old term, so that its sender learns the current term.
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
            // A leader that sends only snapshot chunks must learn of the newer term too,
            // or this replica can never rejoin the group.
            Body::Snapshot(chunk) => {
                let answer = Body::SnapshotAnswer {
                    index: chunk.last.index,
                    received: 0,
                    sent_at: chunk.sent_at,
                };
                self.send_after_sync(from, answer);
            }
            Body::Vote { .. } => self.send_after_sync(from, Body::VoteAnswer { granted: false }),
            _ => {}
        }
    }

    /// Proposes an entry; it is committed once `Ready::committed` contains it.
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
            self.check_membership_change(leader, next)?;
        }
        let index = self.append_entry(payload);
        self.apply_membership(now);
        self.send_to_all(now);
        Ok(index)
    }

    /// Allows one membership change at a time, and only once this leader has committed an
    /// entry of its term. Otherwise two groups without a common majority could form.
    fn check_membership_change(
        &self,
        leader: &LeaderState,
        next: &Membership,
    ) -> Result<(), ProposeError> {
        let (index, current) = self.log.membership_up_to(self.log.last_index());
        if index > self.commit || self.commit < leader.first_index_of_term {
            return Err(ProposeError::ChangePending);
        }
        if !current.is_single_change(next) {
            return Err(ProposeError::InvalidMembershipChange);
        }
        Ok(())
    }

    /// Takes the messages that may be sent while an earlier `Ready` is being synced.
    pub fn take_messages(&mut self) -> Vec<(ReplicaId, Message)> {
        std::mem::take(&mut self.messages)
    }

    /// Returns the work for the caller, who must complete it before the next call. During
    /// the sync, messages may be stepped and the clock advanced as usual.
    pub fn ready(&mut self) -> Ready {
        let hard_state = (self.hard_state != self.saved_hard_state).then_some(self.hard_state);
        self.saved_hard_state = self.hard_state;
        let snapshot = self
            .has_unsaved_snapshot
            .then(|| self.log.snapshot().clone());
        self.has_unsaved_snapshot = false;
        let entries = self
            .log
            .entries_from(self.unsaved_from, usize::MAX)
            .to_vec();
        self.unsaved_from = self.log.last_index() + 1;
        let ready = Ready {
            messages: std::mem::take(&mut self.messages),
            hard_state,
            snapshot,
            entries,
            messages_after_sync: std::mem::take(&mut self.messages_after_sync),
            committed: self.take_committed(),
            last_index: self.log.last_index(),
        };
        self.is_syncing = ready.needs_sync();
        ready
    }

    /// Takes the entries that are committed and synced here but not yet applied.
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

    /// Records that everything in `ready` is synced.
    pub fn persisted(&mut self, now: Millis, ready: &Ready) {
        self.is_syncing = false;
        if let Some(hard_state) = ready.hard_state {
            self.synced_hard_state = hard_state;
        }
        if let Some(snapshot) = &ready.snapshot
            && snapshot.index == self.log.snapshot().index
        {
            self.has_unsynced_snapshot = false;
        }
        // If the log was truncated since, a later `Ready` contains the new entries.
        if self.unsaved_from > ready.last_index {
            self.log.set_persisted(ready.last_index);
        }
        if self.is_leader() {
            self.advance_commit(now);
        }
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

    fn append_entry(&mut self, payload: Payload) -> LogIndex {
        let index = self.log.last_index() + 1;
        self.log.push(Entry {
            term: self.hard_state.term,
            index,
            payload,
        });
        index
    }

    /// Applies the latest membership of the log, even before it is committed, to the
    /// set of followers.
    fn apply_membership(&mut self, now: Millis) {
        let local_id = self.id();
        let next = self.log.last_index() + 1;
        let members: BTreeSet<ReplicaId> = self.membership().members.keys().copied().collect();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader
            .progress
            .retain(|replica, _| members.contains(replica));
        for replica in members.into_iter().filter(|replica| *replica != local_id) {
            leader.progress.entry(replica).or_insert_with(|| Progress {
                last_contact_at: now,
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
}
