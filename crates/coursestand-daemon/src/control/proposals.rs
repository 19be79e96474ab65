//! Proposals from when they are made until their proposers are answered.

use std::collections::BTreeMap;

use coursestand_consensus::progress::Progress;
use coursestand_consensus::{LogIndex, ReplicaId, Term};
use coursestand_coordination::CommandAnswer;

use crate::control::error::ControlError;
use crate::control::event::Proposed;

/// The proposals of one replica that are not answered yet.
#[derive(Default)]
pub(crate) struct Proposals {
    /// Not committed yet, with the term in which they were made.
    waiting: BTreeMap<LogIndex, (Term, Proposed)>,
    /// Committed, and not yet on enough disks.
    held: Vec<HeldAnswer>,
    /// To be told to their proposers.
    due: Vec<(Proposed, Result<CommandAnswer, ControlError>)>,
}

/// The answer to a committed command.
struct HeldAnswer {
    index: LogIndex,
    reply: Proposed,
    answer: CommandAnswer,
}

impl Proposals {
    /// A proposal was made at this index.
    pub(crate) fn add(&mut self, index: LogIndex, term: Term, reply: Proposed) {
        self.waiting.insert(index, (term, reply));
    }

    /// An entry was applied with this answer, which [`Self::answer`] tells; with
    /// `needs_more_copies`, [`Self::release`] does.
    pub(crate) fn applied(
        &mut self,
        index: LogIndex,
        term: Term,
        answer: CommandAnswer,
        needs_more_copies: bool,
    ) {
        let Some((proposed_in, reply)) = self.waiting.remove(&index) else {
            return;
        };
        if proposed_in != term {
            // Another entry at this place: ours was lost with our leadership.
            self.due.push((reply, Err(ControlError::Lost)));
        } else if needs_more_copies {
            self.held.push(HeldAnswer {
                index,
                reply,
                answer,
            });
        } else {
            self.due.push((reply, Ok(answer)));
        }
    }

    /// Answers the proposers of what was applied; called once others can see it.
    pub(crate) fn answer(&mut self) {
        for (reply, result) in std::mem::take(&mut self.due) {
            let _ = reply.send(result);
        }
    }

    /// Answers the proposers whose commands are on `min_copies` synced disks.
    pub(crate) fn release(&mut self, progress: &BTreeMap<ReplicaId, Progress>, min_copies: usize) {
        // What was applied here is synced here.
        let copies_of = |index: LogIndex| {
            1 + progress
                .values()
                .filter(|progress| progress.matched >= index)
                .count()
        };
        let (ready, held): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| copies_of(held.index) >= min_copies);
        self.held = held;
        for one in ready {
            let _ = one.reply.send(Ok(one.answer));
        }
    }

    /// The replica leads no longer: nothing is known of what it proposed.
    pub(crate) fn lose_all(&mut self) {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let held = std::mem::take(&mut self.held).into_iter();
        let replies = waiting
            .map(|(_, reply)| reply)
            .chain(held.map(|held| held.reply));
        for reply in replies {
            let _ = reply.send(Err(ControlError::Lost));
        }
    }
}
