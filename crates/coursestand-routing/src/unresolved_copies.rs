//! Tracks copies of retried requests of which it is unknown whether they arrived.
//!
//! A suspended back end reads nothing, but its kernel buffers what is written to it, also
//! on connections that have since been closed, and the back end reads all of it once it
//! resumes. So a retry that was granted in one window may arrive in any later one, and the
//! retries of many windows may arrive in a single one. An abandoned copy therefore counts
//! against the retry budget until it is known to have arrived or to be lost.

use std::collections::VecDeque;

use coursestand_model::Millis;

use crate::retry_budget::RetryLimits;

/// Windows after which a copy counts as lost: about as long as the kernel keeps sending the
/// buffered data of a closed connection.
const LOST_AFTER_WINDOWS: Millis = 12;

/// One copy of a request, sent to one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentCopy {
    /// Identifies the back end's incarnation, see [`crate::Backend::incarnation_hash`].
    pub backend: u64,
    /// When the back end was chosen.
    pub sent_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnresolvedCopy {
    copy: SentCopy,
    is_abandoned: bool,
}

/// Copies that were sent and are not resolved, and the arrival times of late ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnresolvedCopies {
    unresolved: Vec<UnresolvedCopy>,
    /// Arrival times of copies that arrived after the retry that they were charged to
    /// had expired.
    late_arrivals: VecDeque<Millis>,
}

impl UnresolvedCopies {
    /// Records that a copy was sent that was charged to the budget.
    pub fn send(&mut self, copy: SentCopy) {
        self.unresolved.push(UnresolvedCopy {
            copy,
            is_abandoned: false,
        });
    }

    /// Records that the daemon stopped waiting for the copy, which may still arrive.
    pub fn abandon(&mut self, copy: SentCopy) {
        let known = self
            .unresolved
            .iter_mut()
            .find(|unresolved| unresolved.copy == copy);
        match known {
            Some(unresolved) => unresolved.is_abandoned = true,
            None => self.unresolved.push(UnresolvedCopy {
                copy,
                is_abandoned: true,
            }),
        }
    }

    /// Records that the copy was answered, or never sent.
    pub fn resolve(&mut self, now: Millis, limits: RetryLimits, copy: SentCopy) {
        if let Some(index) = self
            .unresolved
            .iter()
            .position(|unresolved| unresolved.copy == copy)
        {
            self.unresolved.swap_remove(index);
            self.note_arrival(now, limits, copy);
        }
    }

    /// Records that the back end answered the copy `newest`, and resolves all abandoned
    /// copies sent to it until then: it is running and has read them.
    pub fn resolve_up_to(&mut self, now: Millis, limits: RetryLimits, newest: SentCopy) {
        let is_read =
            |copy: &SentCopy| copy.backend == newest.backend && copy.sent_at <= newest.sent_at;
        let read: Vec<SentCopy> = self
            .unresolved
            .iter()
            .filter(|unresolved| unresolved.is_abandoned && is_read(&unresolved.copy))
            .map(|unresolved| unresolved.copy)
            .collect();
        for copy in read {
            self.resolve(now, limits, copy);
        }
    }

    /// Drops the copies sent to a back end that has terminated: those that it had not
    /// read never arrive.
    pub fn forget(&mut self, backend: u64) {
        self.unresolved
            .retain(|unresolved| unresolved.copy.backend != backend);
    }

    fn note_arrival(&mut self, now: Millis, limits: RetryLimits, copy: SentCopy) {
        if limits.is_late(now, copy.sent_at) {
            self.late_arrivals.push_back(now);
        }
    }

    /// Drops copies that count as lost, and expired late arrivals.
    pub fn prune(&mut self, now: Millis, limits: RetryLimits) {
        let lost_after = LOST_AFTER_WINDOWS * limits.window_ms;
        self.unresolved
            .retain(|unresolved| now < unresolved.copy.sent_at + lost_after);
        while self
            .late_arrivals
            .front()
            .is_some_and(|at| at + limits.span_ms() <= now)
        {
            self.late_arrivals.pop_front();
        }
    }

    /// Returns the number of retries to withhold for these copies.
    pub fn withheld(&self, now: Millis, limits: RetryLimits) -> usize {
        let waiting = self.unresolved.iter().filter(|unresolved| {
            unresolved.is_abandoned || limits.is_late(now, unresolved.copy.sent_at)
        });
        let late = self.late_arrivals.iter();
        let late = late.filter(|at| now < **at + limits.span_ms());
        waiting.count() + late.count()
    }
}
