//! Consensus messages whose receiver has no known address.

use coursestand_model::Millis;
use log::warn;

use crate::control::peers::OutgoingMessage;

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

    /// Counts those of `messages` that have no address.
    pub fn note(&mut self, now: Millis, messages: &[OutgoingMessage]) {
        for outgoing in messages
            .iter()
            .filter(|outgoing| outgoing.address.is_none())
        {
            self.total += 1;
            self.log_if_due(now, outgoing);
        }
    }

    fn log_if_due(&mut self, now: Millis, outgoing: &OutgoingMessage) {
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now >= logged_at + LOG_INTERVAL_MS);
        if !is_due {
            return;
        }
        let count = self.total - self.logged_total;
        self.logged_at = Some(now);
        self.logged_total = self.total;
        warn!(target: LOG, receiver = outgoing.to, kind = outgoing.message.body.name(),
            term = outgoing.message.term,
            messages = count;
            "a message was not sent: the address of its receiver is not known");
    }
}
