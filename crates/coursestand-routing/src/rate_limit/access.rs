//! Which rate-limited back ends a request may reach.

use coursestand_model::Millis;

use super::known::KnownLimit;
use super::rate::Rate;
use crate::hash::{combine, unit_point};

/// Part of a limit that all daemons use together while they go without control. It adds to the
/// tokens of those that don't.
const PART_WITHOUT_CONTROL: f64 = 0.4;
/// Lowest rate that is used: so a back end that wants nothing is tried now and then, and is
/// heard when it lifts its limit.
pub(super) const LEAST_PER_SECOND: f64 = 0.1;
/// Part of an interval for which a daemon's turn lasts: all whose turn it is may send at once.
const TURN_PART: Millis = 8;
const LONGEST_TURN_MS: Millis = 3_000;

/// Leave to send one request to a rate-limited back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendToken {
    /// Tells the back end's incarnation from all others.
    pub backend: u64,
    /// It is not used later.
    pub valid_until: Millis,
}

/// What a daemon may send by itself while control issues no tokens: one request in each
/// interval, at a turn that differs between daemons and back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnPart {
    /// Hash of the daemon's name.
    pub daemon: u64,
    /// Daemons among which the limit is divided.
    pub daemons: usize,
}

impl OwnPart {
    /// Time in which one request may be sent, in milliseconds.
    fn interval_ms(&self, rate: Rate) -> Millis {
        let per_second = rate.as_per_second().max(LEAST_PER_SECOND) * PART_WITHOUT_CONTROL;
        let seconds = self.daemons.max(1) as f64 / per_second;
        (seconds * 1_000.0).ceil().max(1.0) as Millis
    }

    /// Whether it is the daemon's turn, which used its part at `used_at` last. Turns of two
    /// intervals may follow each other, so that half an interval is kept between them.
    pub(super) fn is_turn(
        &self,
        now: Millis,
        backend: u64,
        rate: Rate,
        used_at: Option<Millis>,
    ) -> bool {
        let interval_ms = self.interval_ms(rate);
        let turn_ms = (interval_ms / TURN_PART).clamp(1, LONGEST_TURN_MS);
        let number = now / interval_ms;
        let drawn = unit_point(combine(combine(self.daemon, backend), number));
        let begin = number * interval_ms + (drawn * (interval_ms - turn_ms) as f64) as Millis;
        let is_unused = used_at.is_none_or(|at| now >= at + interval_ms / 2 && at < begin);
        is_unused && (begin..begin + turn_ms).contains(&now)
    }
}

/// How a request may reach back ends that named a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitAccess {
    /// Daemons among which large limits are divided.
    pub daemons: usize,
    /// How it may reach those with other limits.
    pub by: AccessBy,
}

/// What opens a back end that named a limit which isn't divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessBy {
    /// That control may issue a token for it.
    Asking {
        /// Rank of the request; 0 is the highest.
        priority: u32,
    },
    /// A token that was issued, or the daemon's turn.
    Sending {
        /// The token that was issued for the request.
        token: Option<SendToken>,
        /// The daemon's own part while it goes without control.
        own_part: Option<OwnPart>,
    },
}

impl Default for LimitAccess {
    fn default() -> Self {
        LimitAccess {
            daemons: 1,
            by: AccessBy::Sending {
                token: None,
                own_part: None,
            },
        }
    }
}

impl LimitAccess {
    /// Whether the request may be sent to the back end that is told from others by `backend`
    /// and has this limit.
    pub fn admits(&self, now: Millis, backend: u64, limit: &KnownLimit) -> bool {
        if limit.is_divided(self.daemons) {
            return limit.has_part(now, self.daemons);
        }
        match self.by {
            AccessBy::Asking { priority } => limit.may_ask(now, priority),
            AccessBy::Sending { token, own_part } => {
                let has_token = token.is_some_and(|token| token.is_valid(now, backend));
                let is_turn = |own: OwnPart| limit.is_own_turn(now, &own, backend);
                has_token || own_part.is_some_and(is_turn)
            }
        }
    }
}

impl SendToken {
    /// Whether it may be used now for this back end.
    pub fn is_valid(&self, now: Millis, backend: u64) -> bool {
        self.backend == backend && now <= self.valid_until
    }
}
