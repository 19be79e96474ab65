//! One replica of the group: elections, replication and commitment.

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
        /// When it began to ask.
        since: Millis,
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
    /// Set while others have committed what is not on this leader's own disk.
    disk_lag: Option<DiskLag>,
    /// Set once `TimeoutNow` was sent: that election ignores the loyalty to
    /// this leader, so there is no lease any more in this term.
    lease_given_up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Transfer {
    to: ReplicaId,
    give_up_at: Millis,
}

/// Others have committed more than this leader's own disk holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DiskLag {
    /// When the disk held this much first.
    since: Millis,
    persisted: LogIndex,
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
    /// What storage was given.
    saved_hard_state: HardState,
    /// What storage has synced.
    synced_hard_state: HardState,
    log: Log,
    /// First index that storage has not been given.
    unsaved_from: LogIndex,
    unsaved_snapshot: bool,
    /// A snapshot that took the log's place is not synced.
    unsynced_snapshot: bool,
    /// What an earlier `Ready` holds is not synced.
    is_syncing: bool,
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
            synced_hard_state: restored.hard_state,
            unsaved_from: log.last_index() + 1,
            unsaved_snapshot: false,
            unsynced_snapshot: false,
            is_syncing: false,
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
        replica.set_first_election_timer(now);
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

    /// A majority was loyal from these points on for the time of loyalty, less
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
        let loyalty = self.config.loyalty;
        loyal_since + loyalty - loyalty / self.config.clock_drift
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
            self.make_room_if_disk_lags(now);
        } else if now >= self.election_due {
            self.start_pre_vote(now);
        }
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
            // A leader that sends nothing but a snapshot has to hear of the newer term
            // as well, or this replica never comes back into the group.
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

    /// Messages that may leave while an earlier `Ready` is being synced.
    pub fn take_messages(&mut self) -> Vec<(ReplicaId, Message)> {
        std::mem::take(&mut self.messages)
    }

    /// What the caller has to do now. The next one is asked for once all of this one is
    /// done; while it syncs, messages arrive and time passes as usual.
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
        self.is_syncing = false;
        if let Some(hard_state) = ready.hard_state {
            self.synced_hard_state = hard_state;
        }
        if let Some(snapshot) = &ready.snapshot
            && snapshot.index == self.log.snapshot().index
        {
            self.unsynced_snapshot = false;
        }
        // What was truncated since is in a later `Ready`.
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
}
