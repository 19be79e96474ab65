//! Tracks proposals until their proposers are answered.

use std::collections::BTreeMap;

use coursestand_consensus::progress::Progress;
use coursestand_consensus::{LogIndex, ReplicaId, Term};
use coursestand_coordination::CommandAnswer;

use crate::control::error::ControlError;
use crate::control::event::{Committed, ProposalReply};

/// The unanswered proposals of one replica.
#[derive(Default)]
pub(crate) struct Proposals {
    /// Uncommitted proposals, with the term in which they were made.
    waiting: BTreeMap<LogIndex, (Term, ProposalReply)>,
    /// Answers to committed commands that are on too few disks.
    withheld: Vec<WithheldAnswer>,
    /// Answers that can be sent to their proposers.
    ready: Vec<(ProposalReply, Result<Committed, ControlError>)>,
}

/// The answer to a committed command.
struct WithheldAnswer {
    index: LogIndex,
    reply: ProposalReply,
    committed: Committed,
}

impl Proposals {
    /// Adds a proposal at this index.
    pub(crate) fn add(&mut self, index: LogIndex, term: Term, reply: ProposalReply) {
        self.waiting.insert(index, (term, reply));
    }

    /// Records the answer of an applied entry. [`Self::send_ready`] sends it, or
    /// [`Self::send_replicated`] if `needs_more_copies` is set.
    pub(crate) fn record_applied(
        &mut self,
        index: LogIndex,
        term: Term,
        answer: CommandAnswer,
        needs_more_copies: bool,
    ) {
        let Some((proposed_in, reply)) = self.waiting.remove(&index) else {
            return;
        };
        let committed = Committed {
            answer,
            index: Some(index),
        };
        if proposed_in != term {
            // A later leader replaced the proposed entry by another one.
            self.ready.push((reply, Err(ControlError::LeadershipLost)));
        } else if needs_more_copies {
            self.withheld.push(WithheldAnswer {
                index,
                reply,
                committed,
            });
        } else {
            self.ready.push((reply, Ok(committed)));
        }
    }

    /// Sends the answers of applied entries. Called once the applied state is visible to
    /// readers.
    pub(crate) fn send_ready(&mut self) {
        for (reply, result) in std::mem::take(&mut self.ready) {
            let _ = reply.send(result);
        }
    }

    /// Answers the proposers whose commands are on `min_copies` synced disks.
    pub(crate) fn send_replicated(
        &mut self,
        progress: &BTreeMap<ReplicaId, Progress>,
        min_copies: usize,
    ) {
        // Entries that are applied on this replica are synced on its disk.
        let copies_of = |index: LogIndex| {
            1 + progress
                .values()
                .filter(|progress| progress.matched >= index)
                .count()
        };
        let (ready, withheld): (Vec<_>, Vec<_>) = std::mem::take(&mut self.withheld)
            .into_iter()
            .partition(|withheld| copies_of(withheld.index) >= min_copies);
        self.withheld = withheld;
        for replicated in ready {
            let _ = replicated.reply.send(Ok(replicated.committed));
        }
    }

    /// Fails all proposals. Called when the replica is not the leader: the outcome of its
    /// proposals is unknown.
    pub(crate) fn fail_all(&mut self) {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let withheld = std::mem::take(&mut self.withheld).into_iter();
        let replies = waiting
            .map(|(_, reply)| reply)
            .chain(withheld.map(|withheld| withheld.reply));
        for reply in replies {
            let _ = reply.send(Err(ControlError::LeadershipLost));
        }
    }
}
