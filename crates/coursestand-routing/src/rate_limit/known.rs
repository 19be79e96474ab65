//! The rate limit of one back end, as one daemon knows it.

use coursestand_model::Millis;

use super::access::OwnPart;
use super::rate::{Rate, RateWord};
use super::{ISSUED_PART, MOST_TOKENS};

/// Requests a second of one daemon from which on a limit is divided.
const LEAST_PART: f64 = 20.0;

/// One answer as a source about a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// What it says.
    pub word: RateWord,
    /// When its request was sent.
    pub sent_at: Millis,
    /// Whether the whole answer came, and not only its head.
    pub is_whole: bool,
}

/// What became of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The back end names this limit from now on.
    Limited(Rate),
    /// It has none any more.
    Lifted,
}

/// The limit of one incarnation of a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownLimit {
    rate: Rate,
    /// When it was named last.
    named_at: Millis,
    /// Whether the back end named it to this daemon.
    is_own: bool,
    /// Control issues no token before.
    denied_until: Millis,
    /// Rank of the request that was denied; a more urgent one may get a token.
    denied_priority: u32,
    /// When this daemon's own part was used last.
    own_part_used_at: Option<Millis>,
    /// Tokens of its part of a limit that is divided, and when that was worked out.
    part: (f64, Millis),
}

impl KnownLimit {
    fn named(now: Millis, rate: Rate, is_own: bool) -> KnownLimit {
        KnownLimit {
            rate,
            named_at: now,
            is_own,
            denied_until: 0,
            denied_priority: 0,
            own_part_used_at: None,
            part: (0.0, now),
        }
    }

    /// What the back end named.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// When it was named last.
    pub fn named_at(&self) -> Millis {
        self.named_at
    }

    /// Whether the back end named it to this daemon, and not only to others.
    pub fn is_own(&self) -> bool {
        self.is_own
    }

    /// Time until control may issue a token, in milliseconds.
    pub fn denied_ms(&self, now: Millis) -> Millis {
        self.denied_until.saturating_sub(now)
    }

    /// Whether asking for a token is of use for a request of this rank; 0 is the highest.
    pub fn may_ask(&self, now: Millis, priority: u32) -> bool {
        self.denied_ms(now) == 0 || priority < self.denied_priority
    }

    /// Control denied a token to a request of this rank that was made at `asked_at`, and
    /// issues none for `again_in_ms` from when it decided. That moment isn't known here; asking
    /// too early costs a message, and too late leaves a token unused.
    pub fn note_denied(&mut self, asked_at: Millis, again_in_ms: Millis, priority: u32) {
        self.denied_until = asked_at.saturating_add(again_in_ms);
        self.denied_priority = priority;
    }

    /// Whether each of so many daemons keeps to an equal part of the limit, without tokens.
    /// Parts are divided where they are so large that the tokens of all daemons together are a
    /// small part of the limit.
    pub fn is_divided(&self, daemons: usize) -> bool {
        self.rate.as_per_second() >= LEAST_PART * daemons.max(1) as f64
    }

    fn part_tokens(&self, now: Millis, daemons: usize) -> f64 {
        let (tokens, filled_at) = self.part;
        let seconds = now.saturating_sub(filled_at) as f64 / 1_000.0;
        let per_second = self.rate.as_per_second() * ISSUED_PART / daemons.max(1) as f64;
        (tokens + per_second * seconds).min(MOST_TOKENS)
    }

    /// Whether this daemon's part of a divided limit allows a request.
    pub fn has_part(&self, now: Millis, daemons: usize) -> bool {
        self.part_tokens(now, daemons) >= 1.0
    }

    /// A request is sent by this daemon's part of a divided limit.
    pub fn note_part_used(&mut self, now: Millis, daemons: usize) {
        self.part = (self.part_tokens(now, daemons) - 1.0, now);
    }

    /// Whether it is this daemon's turn to send by its own part.
    pub(super) fn is_own_turn(&self, now: Millis, own: &OwnPart, backend: u64) -> bool {
        own.is_turn(now, backend, self.rate, self.own_part_used_at)
    }

    /// A request is sent by the daemon's own part.
    pub fn note_own_turn(&mut self, now: Millis) {
        self.own_part_used_at = Some(now);
    }

    /// Takes in an answer. `limit` is what is known so far.
    ///
    /// A lower limit binds at once. A higher one, or none, is believed of a whole answer to a
    /// request that was sent after the limit was last named: answers overtake each other, and
    /// an earlier one says nothing of now.
    pub fn read(limit: &mut Option<KnownLimit>, now: Millis, read: Reading) -> Option<LimitChange> {
        let Some(known) = limit else {
            let RateWord::Limited(rate) = read.word else {
                return None;
            };
            *limit = Some(KnownLimit::named(now, rate, true));
            return Some(LimitChange::Limited(rate));
        };
        let is_newest = read.is_whole && read.sent_at > known.named_at;
        match read.word {
            RateWord::Limited(rate) if rate <= known.rate || is_newest => {
                let is_news = rate != known.rate || !known.is_own;
                known.rate = rate;
                known.named_at = now;
                known.is_own = true;
                is_news.then_some(LimitChange::Limited(rate))
            }
            RateWord::Unlimited if is_newest => {
                *limit = None;
                Some(LimitChange::Lifted)
            }
            _ => None,
        }
    }

    /// Takes in that other daemons were told this limit.
    pub fn hear(
        limit: &mut Option<KnownLimit>,
        named_at: Millis,
        rate: Rate,
    ) -> Option<LimitChange> {
        match limit {
            None => *limit = Some(KnownLimit::named(named_at, rate, false)),
            Some(known) if rate < known.rate && named_at > known.named_at => known.rate = rate,
            Some(_) => return None,
        }
        Some(LimitChange::Limited(rate))
    }

    /// Takes in that the back end had no limit at `lifted_at`, as another daemon was told.
    pub fn hear_lifted(limit: &mut Option<KnownLimit>, lifted_at: Millis) -> Option<LimitChange> {
        let lifted = limit.take_if(|known| known.named_at < lifted_at);
        lifted.map(|_| LimitChange::Lifted)
    }
}
