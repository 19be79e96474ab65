//! Copies of requests that were sent twice of which nobody knows whether they have arrived.
//!
//! A back end that stands still reads nothing, but its system keeps what is written to it,
//! also on connections that are closed since, and it reads all of it once it goes on. So a
//! retry that was paid for in one window may arrive in any later one, and those of many
//! windows in one. A copy that was given up therefore goes on costing until it is known to
//! have arrived or never to arrive.

use std::collections::VecDeque;

use coursestand_model::Millis;

use crate::retry_budget::RetryLimits;

/// Windows after which a copy is taken for lost: about as long as the system goes on sending
/// what a closed connection still holds.
const LOST_AFTER_WINDOWS: Millis = 12;

/// One copy of a request, sent to one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentCopy {
    /// Tells the back end's incarnation, see [`crate::Backend::memory`].
    pub backend: u64,
    /// When the back end was chosen.
    pub sent_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Unsettled {
    copy: SentCopy,
    is_given_up: bool,
}

/// Copies that have been sent and not settled, and those that arrived late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnsettledCopies {
    unsettled: Vec<Unsettled>,
    /// When copies arrived that were older than what pays for them allows.
    arrived_late: VecDeque<Millis>,
}

impl UnsettledCopies {
    /// A copy was sent that its budget has paid for.
    pub fn send(&mut self, copy: SentCopy) {
        self.unsettled.push(Unsettled {
            copy,
            is_given_up: false,
        });
    }

    /// Nobody waits for the copy any more, and it may still arrive.
    pub fn give_up(&mut self, copy: SentCopy) {
        let known = self.unsettled.iter_mut().find(|one| one.copy == copy);
        match known {
            Some(one) => one.is_given_up = true,
            None => self.unsettled.push(Unsettled {
                copy,
                is_given_up: true,
            }),
        }
    }

    /// The copy was answered, or never sent.
    pub fn settle(&mut self, now: Millis, limits: RetryLimits, copy: SentCopy) {
        if let Some(index) = self.unsettled.iter().position(|one| one.copy == copy) {
            self.unsettled.swap_remove(index);
            self.note_arrival(now, limits, copy);
        }
    }

    /// The back end answered what was sent to it at `sent_at`: it runs, and has read what
    /// came before.
    pub fn settle_until(&mut self, now: Millis, limits: RetryLimits, newest: SentCopy) {
        let is_read =
            |copy: &SentCopy| copy.backend == newest.backend && copy.sent_at <= newest.sent_at;
        let read: Vec<SentCopy> = self
            .unsettled
            .iter()
            .filter(|one| one.is_given_up && is_read(&one.copy))
            .map(|one| one.copy)
            .collect();
        for copy in read {
            self.settle(now, limits, copy);
        }
    }

    /// The back end has ended: what it had not read never arrives.
    pub fn forget(&mut self, backend: u64) {
        self.unsettled.retain(|one| one.copy.backend != backend);
    }

    fn note_arrival(&mut self, now: Millis, limits: RetryLimits, copy: SentCopy) {
        if limits.is_late(now, copy.sent_at) {
            self.arrived_late.push_back(now);
        }
    }

    /// Drops what no longer counts.
    pub fn prune(&mut self, now: Millis, limits: RetryLimits) {
        let lost_after = LOST_AFTER_WINDOWS * limits.window_ms;
        self.unsettled
            .retain(|one| now < one.copy.sent_at + lost_after);
        while self
            .arrived_late
            .front()
            .is_some_and(|at| at + limits.span_ms() <= now)
        {
            self.arrived_late.pop_front();
        }
    }

    /// Retries that are not to be granted for the sake of these copies.
    pub fn held(&self, now: Millis, limits: RetryLimits) -> usize {
        let waiting = self
            .unsettled
            .iter()
            .filter(|one| one.is_given_up || limits.is_late(now, one.copy.sent_at));
        let late = self.arrived_late.iter();
        let late = late.filter(|at| now < **at + limits.span_ms());
        waiting.count() + late.count()
    }
}
