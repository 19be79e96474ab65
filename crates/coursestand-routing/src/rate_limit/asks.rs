//! Requests for tokens that one daemon has made, and whether control answers them.

use std::collections::BTreeMap;

use coursestand_model::Millis;

use super::TOKEN_LIFETIME_MS;
use super::issuer::TokenRequest;

/// An answer that has not come by then does not come.
const FORGOTTEN_MS: Millis = 1_000;
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

/// The requests of one daemon.
#[derive(Clone, Debug, Default)]
pub struct TokenAsks {
    asked: BTreeMap<u64, AskedToken>,
    next_number: u64,
    is_silent: bool,
    last_asked_at: Option<Millis>,
    /// When the present second began, and the requests in it.
    second: (Millis, u32),
}

impl TokenAsks {
    /// Whether control leaves requests unanswered: one was for longer than a token lasts, and
    /// none has been answered since.
    pub fn is_silent(&mut self, now: Millis) -> bool {
        let is_overdue =
            |asked: &AskedToken| now.saturating_sub(asked.asked_at) > TOKEN_LIFETIME_MS;
        if self.asked.values().any(is_overdue) {
            self.is_silent = true;
        }
        self.asked
            .retain(|_, asked| now.saturating_sub(asked.asked_at) < FORGOTTEN_MS);
        self.is_silent
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
        self.asked.insert(number, asked);
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
        self.is_silent = false;
        self.asked.remove(&number)
    }
}
