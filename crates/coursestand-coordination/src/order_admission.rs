//! Decides whether an order of an operator may be proposed: only while its caller waits for it.
//!
//! For each attempt, the process notes a fence, then looks at the caller, then asks for the next
//! step. The order of the two matters: whatever the caller orders after it left must have a higher
//! index than the fence.

use coursestand_model::Millis;

use crate::command::Command;
use crate::order_fence::{OrderFence, OrderIndex};

/// Age of a connection up to which its caller is known to wait: callers wait for at least a
/// second.
pub const MAX_UNCONFIRMED_AGE_MS: Millis = 500;
/// Time after an order without a version was read, for which its first attempt waits. If the
/// network delivered the order late, the caller's close follows within a round trip.
pub const CLOSE_DELAY_MS: Millis = 100;

/// What is known of a caller at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerView {
    /// Whether its connection is open.
    pub is_connected: bool,
    /// Time since it opened the connection, if known. Includes suspensions of this process.
    pub connection_age_ms: Option<Millis>,
}

/// The next step of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Propose it with this fence.
    Propose(OrderFence),
    /// Drop it: its caller has left.
    Drop,
    /// Ask the caller to confirm it for this revision: the caller may have left without a sign.
    Confirm(OrderFence),
}

/// What to do after the leader found that something else was ordered meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterSuperseded {
    /// Try again at once, from a later fence.
    TryAgain,
    /// Try again after a delay: the other order is not applied yet.
    TryLater,
    /// Answer that the order was not carried out: it was confirmed for an earlier revision.
    GiveUp,
}

/// Admission of one order at the process that read it.
#[derive(Clone, Debug)]
pub struct OrderAdmission {
    is_versioned: bool,
    confirmed: Option<OrderFence>,
    last_fence: OrderFence,
    leader_applied: OrderIndex,
}

impl OrderAdmission {
    /// Starts with an order that was just read. `confirmed` is the revision for which its caller
    /// confirms it.
    pub fn new(command: &Command, confirmed: Option<OrderFence>) -> OrderAdmission {
        OrderAdmission {
            is_versioned: !matches!(command, Command::Evacuate { .. }),
            confirmed,
            last_fence: OrderFence(0),
            leader_applied: 0,
        }
    }

    /// Returns the delay before the first attempt.
    pub fn initial_delay_ms(&self) -> Millis {
        if self.is_versioned || self.confirmed.is_some() {
            0
        } else {
            CLOSE_DELAY_MS
        }
    }

    /// Notes the fence of the next attempt; `applied` is the index up to which this process has
    /// applied the log, or a lower one. To be called before the caller is looked at.
    pub fn note_fence(&mut self, applied: OrderIndex) {
        let newest = OrderFence(applied.max(self.leader_applied));
        self.last_fence = self.confirmed.unwrap_or(newest);
    }

    /// Returns the next step, given what is known of the caller after the fence was noted.
    pub fn next_step(&self, caller: CallerView) -> OrderStep {
        if !caller.is_connected {
            return OrderStep::Drop;
        }
        let is_recent = caller
            .connection_age_ms
            .is_some_and(|age_ms| age_ms <= MAX_UNCONFIRMED_AGE_MS);
        if self.is_versioned || self.confirmed.is_some() || is_recent {
            OrderStep::Propose(self.last_fence)
        } else {
            OrderStep::Confirm(self.last_fence)
        }
    }

    /// Handles that something that the order concerns was ordered after its fence, according to a
    /// leader that has applied the log up to `applied`.
    pub fn superseded(&mut self, applied: OrderIndex) -> AfterSuperseded {
        if self.confirmed.is_some() {
            return AfterSuperseded::GiveUp;
        }
        self.leader_applied = self.leader_applied.max(applied);
        if self.leader_applied > self.last_fence.0 {
            AfterSuperseded::TryAgain
        } else {
            AfterSuperseded::TryLater
        }
    }
}
