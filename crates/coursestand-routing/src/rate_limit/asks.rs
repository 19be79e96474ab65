//! Requests for tokens that one daemon has made, and whether control answers them.

use std::collections::BTreeMap;

use coursestand_model::Millis;

use super::TOKEN_LIFETIME_MS;
use super::issuer::TokenRequest;

/// An answer that has not come by then does not come.
const FORGOTTEN_MS: Millis = 1_000;
/// Requests without an answer, one after the other, after which control counts as silent.
const SILENT_AFTER: u32 = 2;
/// While control is silent it is asked again after this long.
const PROBE_MS: Millis = 1_000;
/// Tokens that one daemon asks for in a second at most: a bound on what it costs control,
/// however many back ends have a limit.
const MOST_REQUESTS: u32 = 50;
const SECOND_MS: Millis = 1_000;

/// How a request for a token is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asking {
    /// It is sent under this number, and worth waiting for.
    Wait(u64),
    /// It is sent under this number to see whether control answers again.
    Probe(u64),
    /// It is not sent.
    No,
}

/// A request for a token that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskedToken {
    /// What was asked.
    pub request: TokenRequest,
    /// When.
    pub asked_at: Millis,
}

/// A request that has no answer yet.
#[derive(Clone, Debug)]
struct Unanswered {
    asked: AskedToken,
    /// Whether it was counted as overdue, or never will be: a later answer shows that control
    /// is there.
    is_settled: bool,
}

/// The requests of one daemon.
#[derive(Clone, Debug, Default)]
pub struct TokenAsks {
    unanswered: BTreeMap<u64, Unanswered>,
    next_number: u64,
    /// Requests that became overdue since the last answer.
    overdue: u32,
    last_asked_at: Option<Millis>,
    /// When the present second began, and the requests in it.
    second: (Millis, u32),
}

impl TokenAsks {
    /// Whether control leaves requests unanswered: some in a row had no answer for longer than
    /// a token lasts. One alone may have been lost.
    pub fn is_silent(&mut self, now: Millis) -> bool {
        let age = |one: &Unanswered| now.saturating_sub(one.asked.asked_at);
        for one in self.unanswered.values_mut() {
            if !one.is_settled && age(one) > TOKEN_LIFETIME_MS {
                one.is_settled = true;
                self.overdue = self.overdue.saturating_add(1);
            }
        }
        self.unanswered.retain(|_, one| age(one) < FORGOTTEN_MS);
        self.overdue >= SILENT_AFTER
    }

    /// Whether and how to send `request` now.
    pub fn ask(&mut self, now: Millis, request: TokenRequest) -> Asking {
        let is_silent = self.is_silent(now);
        let is_early = self
            .last_asked_at
            .is_some_and(|at| now.saturating_sub(at) < PROBE_MS);
        if (is_silent && is_early) || !self.has_place(now) {
            return Asking::No;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.last_asked_at = Some(now);
        let asked = AskedToken {
            request,
            asked_at: now,
        };
        let unanswered = Unanswered {
            asked,
            is_settled: false,
        };
        self.unanswered.insert(number, unanswered);
        if is_silent {
            Asking::Probe(number)
        } else {
            Asking::Wait(number)
        }
    }

    fn has_place(&mut self, now: Millis) -> bool {
        if now.saturating_sub(self.second.0) >= SECOND_MS {
            self.second = (now, 0);
        }
        self.second.1 += 1;
        self.second.1 <= MOST_REQUESTS
    }

    /// Control answered. Returns what was asked, unless that is too long ago.
    pub fn answered(&mut self, number: u64) -> Option<AskedToken> {
        self.overdue = 0;
        for one in self.unanswered.values_mut() {
            one.is_settled = true;
        }
        self.unanswered.remove(&number).map(|one| one.asked)
    }
}
