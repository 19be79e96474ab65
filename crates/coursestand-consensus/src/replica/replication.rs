//! Replication of entries, heartbeats and commitment.

use super::{Replica, Role};
use crate::ids::{LogIndex, Millis, ReplicaId};
use crate::message::{Append, AppendAnswer, Body, LogPosition};
use crate::progress::{SendState, SentEntries};
use crate::types::prefix_within;

impl Replica {
    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        self.progress()
            .map(|progress| progress.keys().copied().collect())
            .unwrap_or_default()
    }

    pub(super) fn send_to_all(&mut self, now: Millis) {
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

    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        let heartbeat = self.config.heartbeat;
        if let Role::Leader(leader) = &mut self.role {
            leader.next_heartbeat = now + heartbeat;
            for progress in leader.progress.values_mut() {
                // No progress since the last heartbeat, and `resend_after` has passed: entries
                // were lost. A new leader has sent none and probes the follower's log first.
                let is_due = progress
                    .sent
                    .is_some_and(|sent| now >= sent.at + self.config.resend_after);
                if is_due && progress.matched == progress.matched_at_heartbeat {
                    progress.next = progress.next.min(progress.matched + 1);
                }
                progress.matched_at_heartbeat = progress.matched;
            }
        }
        for follower in self.followers() {
            self.send_append(now, follower);
        }
    }

    /// Sends the entries that the follower lacks, or an empty append as a heartbeat.
    pub(super) fn send_append(&mut self, now: Millis, to: ReplicaId) {
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
        let entries = if progress.may_send(now, first, self.config.resend_after) {
            let entries = self.log.entries_from(first, max_batch);
            prefix_within(entries, self.config.max_batch_bytes).to_vec()
        } else {
            Vec::new()
        };
        if !entries.is_empty() {
            progress.sent = Some(SentEntries { first, at: now });
        }
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

    /// Follows the leader of the current term after a message from it.
    pub(super) fn follow_leader(&mut self, now: Millis, leader: ReplicaId) {
        self.role = Role::Follower {
            leader: Some(leader),
        };
        self.last_leader_contact_at = now;
        self.reset_election_timer(now);
    }

    pub(super) fn handle_append(&mut self, now: Millis, from: ReplicaId, append: Append) {
        self.follow_leader(now, from);
        let previous = append.previous;
        if previous.index < self.log.snapshot().index {
            // The local snapshot includes the start; it is committed, so it matches.
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
                    debug_assert!(
                        entry.index > self.commit,
                        "committed entries must not be truncated"
                    );
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

    pub(super) fn answer_append(
        &mut self,
        to: ReplicaId,
        index: LogIndex,
        matched: bool,
        sent_at: Millis,
    ) {
        let answer = AppendAnswer {
            index,
            matched,
            sent_at,
        };
        if matched && self.may_answer_before_sync() {
            let synced = self.synced_index(index);
            let is_fully_synced = index <= synced;
            if is_fully_synced || self.is_syncing {
                self.send_append_answer(to, index.min(synced), sent_at);
            }
            if is_fully_synced {
                return;
            }
        }
        self.send_after_sync(to, Body::AppendAnswer(answer));
    }

    /// Returns whether an append may be answered before the sync ends: the hard state and
    /// the snapshot under the log are on disk. The answer then acknowledges only the synced
    /// prefix of the log, and lets the leader keep its lease however long the disk takes.
    /// Without this, a stall of 4.4 s on all disks leaves the group without a leader for
    /// 4.1 s.
    fn may_answer_before_sync(&self) -> bool {
        let is_synced = self.hard_state == self.synced_hard_state && !self.has_unsynced_snapshot;
        is_synced || !self.config.mechanisms.acknowledge_synced_only
    }

    fn synced_index(&self, index: LogIndex) -> LogIndex {
        if self.config.mechanisms.acknowledge_synced_only {
            self.log.persisted()
        } else {
            index
        }
    }

    fn send_append_answer(&mut self, to: ReplicaId, index: LogIndex, sent_at: Millis) {
        let answer = AppendAnswer {
            index,
            matched: true,
            sent_at,
        };
        self.send(to, Body::AppendAnswer(answer));
    }

    pub(super) fn handle_append_answer(
        &mut self,
        now: Millis,
        from: ReplicaId,
        answer: AppendAnswer,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact_at = now;
        progress.acked_sent_at = progress.acked_sent_at.max(answer.sent_at);
        if !answer.matched {
            // A delayed rejection says nothing about entries that matched since.
            if answer.index >= progress.matched {
                progress.state = SendState::Probe;
                progress.next = (answer.index + 1)
                    .min(progress.next)
                    .max(progress.matched + 1);
                progress.note_rejection(answer.sent_at);
                if progress.may_send(now, progress.next, self.config.resend_after) {
                    self.send_append(now, from);
                }
            }
            return;
        }
        progress.matched = progress.matched.max(answer.index);
        progress.next = progress.next.max(progress.matched + 1);
        if progress.next > self.log.snapshot().index {
            progress.state = SendState::Replicate;
        }
        let is_due = progress.may_send(now, progress.next, self.config.resend_after);
        let has_more = is_due && progress.next <= self.log.last_index();
        self.advance_commit(now);
        if has_more {
            self.send_append(now, from);
        }
        self.continue_transfer(now, from);
    }

    pub(super) fn advance_commit(&mut self, now: Millis) {
        let local_id = self.id();
        let persisted = self.log.persisted();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let quorum_index = self.membership().quorum_value(|replica| {
            if replica == local_id {
                // The leader's own copy counts once it is synced, like any other.
                return persisted;
            }
            leader
                .progress
                .get(&replica)
                .map_or(0, |progress| progress.matched)
        });
        let is_current_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        let may_commit = is_current_term || !self.config.mechanisms.commit_current_term_only;
        if quorum_index <= self.commit || !may_commit {
            return;
        }
        self.commit = quorum_index;
        let (changed_at, membership) = self.log.membership_up_to(self.commit);
        let is_removed = changed_at > 0 && !membership.members.contains_key(&local_id);
        if is_removed {
            return self.become_follower(self.hard_state.term, None, now);
        }
        // Sends the new commit index at once, without waiting for the next heartbeat.
        self.send_to_all(now);
    }
}
