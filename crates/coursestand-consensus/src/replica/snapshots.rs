//! Log compaction and chunked snapshot transfer.

use super::{PartialSnapshot, Replica, Role};
use crate::ids::{LogIndex, Millis, ReplicaId};
use crate::message::{Body, LogPosition, SnapshotChunk};
use crate::progress::SendState;
use crate::types::{Entry, HardState, Snapshot};

/// Multiple of the bounds on the log up to which a leader delays a compaction that would
/// remove entries that a connected follower still needs.
const MAX_COMPACTION_DELAY_FACTOR: usize = 3;

impl Replica {
    /// Returns the index up to which the log should be compacted, or `None` while it is within
    /// its bounds. They follow the size of the state, so that the log on disk and the memory
    /// for reading it at a start are bounded, however many changes led to the state.
    pub fn compaction_due(&self, now: Millis) -> Option<LogIndex> {
        let entries = self.applied.saturating_sub(self.log.snapshot().index);
        let snapshot_bytes = self.log.snapshot().data.len();
        let max_bytes = self.config.min_compaction_bytes.max(2 * snapshot_bytes);
        let exceeds = |factor: usize| {
            entries >= self.config.max_log_entries * factor as u64
                || self.log.bytes() >= max_bytes * factor
        };
        // A follower that needs a removed entry has to receive a whole snapshot instead, and one
        // that is receiving a snapshot has to start over with the new one.
        let is_due = exceeds(1) && !self.has_follower_behind(now);
        (entries > 0 && (is_due || exceeds(MAX_COMPACTION_DELAY_FACTOR))).then_some(self.applied)
    }

    /// Returns whether this replica leads and a follower that answered lately lacks entries
    /// that are applied here.
    fn has_follower_behind(&self, now: Millis) -> bool {
        let connected_since = now.saturating_sub(self.config.election_timeout);
        self.progress().is_some_and(|progress| {
            progress.values().any(|follower| {
                follower.last_contact_at > connected_since && follower.matched < self.applied
            })
        })
    }

    /// Compacts the log with `data`, the state machine at `index`. Returns the snapshot,
    /// the hard state and the entries after `index`, for `Storage::compact`; `None` if
    /// `index` is not applied or already compacted.
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
        let tail = self.log.entries_from(index + 1, usize::MAX).to_vec();
        Some((snapshot, self.hard_state, tail))
    }

    pub(super) fn send_snapshot_chunk(&mut self, now: Millis, to: ReplicaId) {
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

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        now: Millis,
        from: ReplicaId,
        chunk: SnapshotChunk,
    ) {
        self.follow_leader(now, from);
        let index = chunk.last.index;
        if index <= self.commit {
            return self.answer_append(from, self.commit, true, chunk.sent_at);
        }
        if self.log.term_at(index) == Some(chunk.last.term) {
            // The log is the same up to there. The entries after it may be committed, so they must
            // not be replaced by the snapshot (Raft, figure 13, step 6).
            self.commit = index;
            return self.answer_append(from, index, true, chunk.sent_at);
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

    pub(super) fn install(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.unsaved_from = snapshot.index + 1;
        self.has_unsaved_snapshot = true;
        self.has_unsynced_snapshot = true;
        self.log.install(snapshot);
    }

    pub(super) fn handle_snapshot_answer(
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
        progress.last_contact_at = now;
        progress.acked_sent_at = progress.acked_sent_at.max(sent_at);
        match &mut progress.state {
            SendState::Snapshot {
                index: sending,
                received: acked,
            } if *sending == index => *acked = received,
            _ => return,
        }
        self.send_append(now, from);
    }
}
