//! The rate limit of one back end, as known to one daemon.

use coursestand_model::Millis;

use super::access::FallbackShare;
use super::rate::{Rate, RateLimitSignal};
use super::{BUCKET_CAPACITY, USABLE_SHARE};

/// Requests per second for each daemon from which a limit is divided among the daemons.
const MIN_DIVIDED_PER_SECOND: f64 = 20.0;

/// The rate limit signal in one answer of a back end, and the conditions for applying it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The signal in the answer.
    pub signal: RateLimitSignal,
    /// Time at which the request was sent.
    pub sent_at: Millis,
    /// Whether the whole answer was received, and not only its head.
    pub is_whole: bool,
}

/// Change of a known limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The back end has this limit.
    Limited(Rate),
    /// The limit was lifted.
    Lifted,
}

/// The limit of one incarnation of a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLimit {
    rate: Rate,
    /// Time of the last report.
    reported_at: Millis,
    /// Whether the back end reported it to this daemon.
    is_first_hand: bool,
    /// Time before which control issues no token.
    denied_until: Millis,
    /// Rank of the request that was denied; a more urgent one may get a token.
    denied_priority: u32,
    /// Time at which this daemon last used its share without control.
    fallback_used_at: Option<Millis>,
    /// Tokens of this daemon's share of a divided limit, and the time of their calculation.
    divided_share: (f64, Millis),
}

impl KnownLimit {
    fn reported(now: Millis, rate: Rate, is_first_hand: bool) -> KnownLimit {
        KnownLimit {
            rate,
            reported_at: now,
            is_first_hand,
            denied_until: 0,
            denied_priority: 0,
            fallback_used_at: None,
            divided_share: (0.0, now),
        }
    }

    /// Returns the limit.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Returns the time of the last report.
    pub fn reported_at(&self) -> Millis {
        self.reported_at
    }

    /// Returns whether the back end reported it to this daemon, and not only to others.
    pub fn is_first_hand(&self) -> bool {
        self.is_first_hand
    }

    /// Returns the time until control may issue a token, in milliseconds.
    pub fn denied_ms(&self, now: Millis) -> Millis {
        self.denied_until.saturating_sub(now)
    }

    /// Returns whether control may issue a token for a request of this rank; 0 is the highest.
    pub fn may_ask(&self, now: Millis, priority: u32) -> bool {
        self.denied_ms(now) == 0 || priority < self.denied_priority
    }

    /// Records that control denied a token to a request of this rank that was made at `requested_at`,
    /// and issues none for `again_in_ms` after its decision. The time of the decision is not
    /// known here, so the time of the request is used: a request that is too early costs a message,
    /// while one that is too late leaves a token unused.
    pub fn note_denied(&mut self, requested_at: Millis, again_in_ms: Millis, priority: u32) {
        self.denied_until = requested_at.saturating_add(again_in_ms);
        self.denied_priority = priority;
    }

    /// Returns whether the limit is divided into equal shares for this number of daemons, without
    /// tokens from control. That is so where the shares are so large that the bucket capacities
    /// of all daemons together are a small part of the limit.
    pub fn is_divided(&self, daemons: usize) -> bool {
        self.rate.as_per_second() >= MIN_DIVIDED_PER_SECOND * daemons.max(1) as f64
    }

    fn divided_share_tokens(&self, now: Millis, daemons: usize) -> f64 {
        let (tokens, refilled_at) = self.divided_share;
        let seconds = now.saturating_sub(refilled_at) as f64 / 1_000.0;
        let per_second = self.rate.as_per_second() * USABLE_SHARE / daemons.max(1) as f64;
        (tokens + per_second * seconds).min(BUCKET_CAPACITY)
    }

    /// Returns whether this daemon's share of a divided limit allows a request.
    pub fn has_divided_share(&self, now: Millis, daemons: usize) -> bool {
        self.divided_share_tokens(now, daemons) >= 1.0
    }

    /// Records that a request is sent within this daemon's share of a divided limit.
    pub fn note_divided_share_used(&mut self, now: Millis, daemons: usize) {
        self.divided_share = (self.divided_share_tokens(now, daemons) - 1.0, now);
    }

    /// Returns whether it is this daemon's turn to send without a token from control.
    pub(super) fn is_fallback_turn(
        &self,
        now: Millis,
        share: &FallbackShare,
        backend: u64,
    ) -> bool {
        share.is_turn(now, backend, self.rate, self.fallback_used_at)
    }

    /// Records that a request is sent in this daemon's turn, without a token from control.
    pub fn note_fallback_turn(&mut self, now: Millis) {
        self.fallback_used_at = Some(now);
    }

    /// Applies an answer to the known `limit`. Returns the change, if there is one.
    ///
    /// A lower limit takes effect at once. A higher one, or none, is accepted only from a whole
    /// answer to a request that was sent after the last report: answers arrive out of order, and
    /// an earlier one may be outdated.
    pub fn apply_reading(
        limit: &mut Option<KnownLimit>,
        now: Millis,
        reading: Reading,
    ) -> Option<LimitChange> {
        let Some(known) = limit else {
            let RateLimitSignal::Limited(rate) = reading.signal else {
                return None;
            };
            *limit = Some(KnownLimit::reported(now, rate, true));
            return Some(LimitChange::Limited(rate));
        };
        let is_newest = reading.is_whole && reading.sent_at > known.reported_at;
        match reading.signal {
            RateLimitSignal::Limited(rate) if rate <= known.rate || is_newest => {
                let is_new = rate != known.rate || !known.is_first_hand;
                known.rate = rate;
                known.reported_at = now;
                known.is_first_hand = true;
                is_new.then_some(LimitChange::Limited(rate))
            }
            RateLimitSignal::Unlimited if is_newest => {
                *limit = None;
                Some(LimitChange::Lifted)
            }
            _ => None,
        }
    }

    /// Applies a limit that other daemons reported.
    pub fn apply_reported(
        limit: &mut Option<KnownLimit>,
        reported_at: Millis,
        rate: Rate,
    ) -> Option<LimitChange> {
        match limit {
            None => *limit = Some(KnownLimit::reported(reported_at, rate, false)),
            Some(known) if rate < known.rate && reported_at > known.reported_at => {
                known.rate = rate
            }
            Some(_) => return None,
        }
        Some(LimitChange::Limited(rate))
    }

    /// Applies the report of another daemon that the back end had no limit at `lifted_at`.
    pub fn apply_reported_lift(
        limit: &mut Option<KnownLimit>,
        lifted_at: Millis,
    ) -> Option<LimitChange> {
        let lifted = limit.take_if(|known| known.reported_at < lifted_at);
        lifted.map(|_| LimitChange::Lifted)
    }
}
