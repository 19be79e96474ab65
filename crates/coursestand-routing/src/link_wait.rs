//! How long what arrives now has waited before this process read it.
//!
//! A request carries no time of its sending. What a daemon can see is how late the
//! answers come that it waits for itself: they share the machine's link, the sockets and
//! the process's threads with requests, and wait as long as those do.
//!
//! A round trip of one peer says little: the peer may be the one that is late, and so may
//! two that were cut off together. So the wait is the least of the newest three that came
//! from different peers. Without two of them nothing is known, and the wait counts as
//! none: peers that are silent never shorten a request's time.

use std::collections::{HashMap, VecDeque};

use coursestand_model::Millis;

/// Peers whose newest round trips are compared.
const COMPARED_PEERS: usize = 3;
/// Peers of which the wait is known at least.
const LEAST_PEERS: usize = 2;
/// A round trip counts for this long: signs of life to five control processes are
/// answered every 200 ms, so that two count at any time.
const COUNTS_FOR_MS: Millis = 500;
/// The least round trip to a peer is that of this time or twice as long: long enough to
/// outlast a queue, short enough to follow ways that change.
const LEAST_OF_MS: Millis = 30_000;

/// The least round trip to a peer in the present period and in the one before.
#[derive(Clone, Copy, Debug)]
struct LeastRoundTrip {
    period_since: Millis,
    present_ms: f64,
    before_ms: f64,
}

impl LeastRoundTrip {
    fn first(now: Millis, took_ms: f64) -> LeastRoundTrip {
        LeastRoundTrip {
            period_since: now,
            present_ms: took_ms,
            before_ms: took_ms,
        }
    }

    fn take(&mut self, now: Millis, took_ms: f64) {
        if now.saturating_sub(self.period_since) >= LEAST_OF_MS {
            self.before_ms = self.present_ms;
            self.present_ms = took_ms;
            self.period_since = now;
        }
        self.present_ms = self.present_ms.min(took_ms);
    }

    fn least_ms(self) -> f64 {
        self.present_ms.min(self.before_ms)
    }

    /// Whether no round trip was taken in for so long that all of them are too old.
    fn is_over(self, now: Millis) -> bool {
        now.saturating_sub(self.period_since) >= 2 * LEAST_OF_MS
    }
}

/// How much longer than needed a round trip took, and when it ended.
#[derive(Clone, Copy, Debug)]
struct Delay {
    peer: u64,
    noted_at: Millis,
    late_ms: f64,
}

impl Delay {
    fn counts(self, now: Millis) -> bool {
        now.saturating_sub(self.noted_at) <= COUNTS_FOR_MS
    }
}

/// Estimates the wait from round trips.
#[derive(Debug, Default)]
pub struct LinkWait {
    least: HashMap<u64, LeastRoundTrip>,
    /// The newest one of each peer, for the peers heard last, newest first.
    newest: VecDeque<Delay>,
}

impl LinkWait {
    /// A round trip to `peer` ended `now`. `peer` is any number that tells those apart
    /// whose distance differs; peers of one number count as one.
    pub fn note_round_trip(&mut self, now: Millis, peer: u64, took_ms: f64) {
        self.forget_old(now);
        let least = self
            .least
            .entry(peer)
            .or_insert_with(|| LeastRoundTrip::first(now, took_ms));
        least.take(now, took_ms);
        let delay = Delay {
            peer,
            noted_at: now,
            late_ms: took_ms - least.least_ms(),
        };
        self.newest.retain(|known| known.peer != peer);
        self.newest.push_front(delay);
        self.newest.truncate(COMPARED_PEERS);
    }

    /// How long what arrives `now` has waited, in milliseconds; 0 when nothing is known.
    /// While a queue grows this lags behind by the time between two round trips.
    pub fn wait_ms(&self, now: Millis) -> Millis {
        let counting = || self.newest.iter().filter(|delay| delay.counts(now));
        if counting().count() < LEAST_PEERS {
            return 0;
        }
        let least = counting().map(|delay| delay.late_ms).reduce(f64::min);
        least.unwrap_or(0.0) as Millis
    }

    /// Peers come and go: what is too old to count takes no room.
    fn forget_old(&mut self, now: Millis) {
        let is_due = self
            .newest
            .front()
            .is_none_or(|newest| newest.noted_at / LEAST_OF_MS != now / LEAST_OF_MS);
        if is_due {
            self.least.retain(|_, least| !least.is_over(now));
        }
    }
}
