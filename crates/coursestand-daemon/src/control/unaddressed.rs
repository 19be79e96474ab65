//! Consensus messages whose receiver has no known address.

use coursestand_consensus::{Membership, Message, ReplicaId};
use coursestand_model::Millis;
use log::warn;

const LOG: &str = "consensus";
/// Minimum time between two lines about such messages.
const LOG_INTERVAL_MS: Millis = 1_000;

/// Counts messages that are not sent because the address of their receiver is not known, and logs
/// them at intervals.
#[derive(Debug, Default)]
pub struct UnaddressedMessages {
    total: u64,
    logged_total: u64,
    logged_at: Option<Millis>,
}

impl UnaddressedMessages {
    /// Returns the number of messages that were not sent.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Counts those of `messages` whose receiver is not a member.
    pub fn note(
        &mut self,
        now: Millis,
        membership: &Membership,
        messages: &[(ReplicaId, Message)],
    ) {
        let unaddressed = messages
            .iter()
            .filter(|(to, _)| !membership.members.contains_key(to));
        for (to, message) in unaddressed {
            self.total += 1;
            self.log_if_due(now, *to, message);
        }
    }

    fn log_if_due(&mut self, now: Millis, to: ReplicaId, message: &Message) {
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now >= logged_at + LOG_INTERVAL_MS);
        if !is_due {
            return;
        }
        let count = self.total - self.logged_total;
        self.logged_at = Some(now);
        self.logged_total = self.total;
        warn!(target: LOG, receiver = to, kind = message.body.name(), term = message.term,
            messages = count;
            "a message was not sent: the address of its receiver is not known");
    }
}
