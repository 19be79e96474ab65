//! Token requests of one daemon that await an answer, and detection of a silent control process.

use std::collections::BTreeMap;

use coursestand_model::Millis;

use super::TOKEN_LIFETIME_MS;
use super::issuer::TokenRequest;

/// Time after which a request without an answer is dropped.
const ANSWER_TIMEOUT_MS: Millis = 1_000;
/// Consecutive requests without an answer after which control counts as silent.
const SILENT_AFTER_REQUESTS: u32 = 2;
/// Interval between requests while control is silent.
const PROBE_INTERVAL_MS: Millis = 1_000;
/// Token requests of one daemon per second. Bounds the load on control for any number of
/// rate-limited back ends.
const MAX_REQUESTS_PER_SECOND: u32 = 50;
const SECOND_MS: Millis = 1_000;

/// How a token request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenRequestMode {
    /// It is sent under this number, and the caller waits for the answer.
    Await(u64),
    /// It is sent under this number to find out whether control answers again.
    Probe(u64),
    /// It is not sent.
    Skip,
}

/// A token request that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentTokenRequest {
    /// The request.
    pub request: TokenRequest,
    /// Time at which it was sent.
    pub sent_at: Millis,
}

/// A request that awaits its answer.
#[derive(Clone, Debug)]
struct Unanswered {
    sent: SentTokenRequest,
    /// Whether it was counted as overdue, or is exempt since a later answer showed that control
    /// responds.
    is_accounted: bool,
}

/// The outstanding token requests of one daemon.
#[derive(Clone, Debug, Default)]
pub struct OutstandingTokenRequests {
    unanswered: BTreeMap<u64, Unanswered>,
    next_number: u64,
    /// Requests that became overdue since the last answer.
    overdue: u32,
    last_sent_at: Option<Millis>,
    /// Start of the current second, and the requests in it.
    second: (Millis, u32),
}

impl OutstandingTokenRequests {
    /// Returns whether control is silent: several consecutive requests had no answer for longer
    /// than the lifetime of a token. A single one may have been lost.
    pub fn is_silent(&mut self, now: Millis) -> bool {
        let age = |unanswered: &Unanswered| now.saturating_sub(unanswered.sent.sent_at);
        for unanswered in self.unanswered.values_mut() {
            if !unanswered.is_accounted && age(unanswered) > TOKEN_LIFETIME_MS {
                unanswered.is_accounted = true;
                self.overdue = self.overdue.saturating_add(1);
            }
        }
        self.unanswered
            .retain(|_, unanswered| age(unanswered) < ANSWER_TIMEOUT_MS);
        self.overdue >= SILENT_AFTER_REQUESTS
    }

    /// Decides whether and how to send `request`, and records it if it is sent.
    pub fn ask(&mut self, now: Millis, request: TokenRequest) -> TokenRequestMode {
        let is_silent = self.is_silent(now);
        let is_early = self
            .last_sent_at
            .is_some_and(|at| now.saturating_sub(at) < PROBE_INTERVAL_MS);
        if (is_silent && is_early) || !self.count_request(now) {
            return TokenRequestMode::Skip;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.last_sent_at = Some(now);
        let sent = SentTokenRequest {
            request,
            sent_at: now,
        };
        let unanswered = Unanswered {
            sent,
            is_accounted: false,
        };
        self.unanswered.insert(number, unanswered);
        if is_silent {
            TokenRequestMode::Probe(number)
        } else {
            TokenRequestMode::Await(number)
        }
    }

    /// Counts a request. Returns whether the limit per second allows it.
    fn count_request(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.second.0) >= SECOND_MS {
            self.second = (now, 0);
        }
        self.second.1 += 1;
        self.second.1 <= MAX_REQUESTS_PER_SECOND
    }

    /// Records an answer of control. Returns the request, unless it has been dropped.
    pub fn answered(&mut self, number: u64) -> Option<SentTokenRequest> {
        self.overdue = 0;
        for unanswered in self.unanswered.values_mut() {
            unanswered.is_accounted = true;
        }
        self.unanswered
            .remove(&number)
            .map(|unanswered| unanswered.sent)
    }
}
