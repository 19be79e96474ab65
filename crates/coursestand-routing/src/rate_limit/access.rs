//! Access of a request to rate-limited back ends.

use coursestand_model::Millis;

use super::known::KnownLimit;
use super::rate::Rate;
use crate::hash::{combine, unit_point};

/// Share of a limit that all daemons without control use together, in addition to the tokens of
/// the others.
const SHARE_WITHOUT_CONTROL: f64 = 0.4;
/// Lowest rate that is used, so that a back end with a limit of 0 still receives requests from
/// time to time and can report that its limit is lifted.
pub(super) const MIN_PER_SECOND: f64 = 0.1;
/// Divisor of an interval that gives the length of a daemon's turn. Daemons whose turns coincide
/// may send at the same time.
const TURN_DIVISOR: Millis = 8;
const MAX_TURN_MS: Millis = 3_000;

/// Permission to send one request to a rate-limited back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendToken {
    /// Identifies the incarnation of the back end.
    pub backend: u64,
    /// Time at which the token expires.
    pub valid_until: Millis,
}

/// Share of a limit that a daemon uses on its own while control issues no tokens: one request in
/// each interval, at a turn that differs between daemons and back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FallbackShare {
    /// Hash of the daemon's name.
    pub daemon: u64,
    /// Number of daemons among which the limit is divided.
    pub daemons: usize,
}

impl FallbackShare {
    /// Returns the interval in which one request may be sent, in milliseconds.
    fn interval_ms(&self, rate: Rate) -> Millis {
        let per_second = rate.as_per_second().max(MIN_PER_SECOND) * SHARE_WITHOUT_CONTROL;
        let seconds = self.daemons.max(1) as f64 / per_second;
        (seconds * 1_000.0).ceil().max(1.0) as Millis
    }

    /// Returns whether it is the turn of the daemon, which last used its share at `used_at`. The
    /// turns of two intervals may be adjacent, so at least half an interval is kept between
    /// uses.
    pub(super) fn is_turn(
        &self,
        now: Millis,
        backend: u64,
        rate: Rate,
        used_at: Option<Millis>,
    ) -> bool {
        let interval_ms = self.interval_ms(rate);
        let turn_ms = (interval_ms / TURN_DIVISOR).clamp(1, MAX_TURN_MS);
        let number = now / interval_ms;
        let fraction = unit_point(combine(combine(self.daemon, backend), number));
        let begin = number * interval_ms + (fraction * (interval_ms - turn_ms) as f64) as Millis;
        let is_unused = used_at.is_none_or(|at| now >= at + interval_ms / 2 && at < begin);
        is_unused && (begin..begin + turn_ms).contains(&now)
    }
}

/// Conditions under which a request may be sent to rate-limited back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitAccess {
    /// Number of daemons among which large limits are divided.
    pub daemons: usize,
    /// Access to back ends whose limit is not divided.
    pub mode: AccessMode,
}

/// Access to a back end whose limit is not divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessMode {
    /// The back end is admitted if control may issue a token for it.
    RequestToken {
        /// Rank of the request; 0 is the highest.
        priority: u32,
    },
    /// The back end is admitted by an issued token, or by the daemon's turn.
    Send {
        /// The token that was issued for the request.
        token: Option<SendToken>,
        /// The daemon's share while control issues no tokens to it.
        fallback_share: Option<FallbackShare>,
    },
}

impl Default for LimitAccess {
    fn default() -> Self {
        LimitAccess {
            daemons: 1,
            mode: AccessMode::Send {
                token: None,
                fallback_share: None,
            },
        }
    }
}

impl LimitAccess {
    /// Returns whether the request may be sent to the incarnation `backend` with this limit.
    pub fn admits(&self, now: Millis, backend: u64, limit: &KnownLimit) -> bool {
        if limit.is_divided(self.daemons) {
            return limit.has_divided_share(now, self.daemons);
        }
        match self.mode {
            AccessMode::RequestToken { priority } => limit.may_ask(now, priority),
            AccessMode::Send {
                token,
                fallback_share,
            } => {
                let has_token = token.is_some_and(|token| token.is_valid(now, backend));
                let is_turn = |share: FallbackShare| limit.is_fallback_turn(now, &share, backend);
                has_token || fallback_share.is_some_and(is_turn)
            }
        }
    }
}

impl SendToken {
    /// Returns whether the token is valid at `now` for this back end.
    pub fn is_valid(&self, now: Millis, backend: u64) -> bool {
        self.backend == backend && now <= self.valid_until
    }
}
