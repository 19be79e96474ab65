//! Estimates how long an arriving request has waited before this process read it.
//!
//! A request carries no send time. But the daemon can measure the delay of the answers to
//! its own messages: they share the machine's link, the sockets and the process's threads
//! with requests, and wait as long as requests do.
//!
//! A late round trip of a single peer is no evidence, since the peer itself may be slow, and
//! so may two peers that were disconnected together. The estimate is therefore the minimum
//! delay of the latest round trips of three different peers. With fewer than two recent ones
//! the estimate is 0: silent peers never reduce the time left for a request.

use std::collections::{HashMap, VecDeque};

use coursestand_model::Millis;

/// Number of peers whose latest round trips are compared.
const COMPARED_PEERS: usize = 3;
/// Minimum number of peers with a recent round trip.
const MIN_PEERS: usize = 2;
/// Time for which a round trip counts as recent: heartbeats to five control processes are
/// answered every 200 ms, so that two are recent at any time.
const RECENT_MS: Millis = 500;
/// Period over which the minimum round trip to a peer is taken; the previous period counts
/// too. Long enough to outlast a queue, short enough to follow changes of the network path.
const MIN_ROUND_TRIP_PERIOD_MS: Millis = 30_000;

/// The minimum round trip to a peer in the current period and in the previous one.
#[derive(Clone, Copy, Debug)]
struct MinRoundTrip {
    period_since: Millis,
    current_ms: f64,
    previous_ms: f64,
}

impl MinRoundTrip {
    fn first(now: Millis, took_ms: f64) -> MinRoundTrip {
        MinRoundTrip {
            period_since: now,
            current_ms: took_ms,
            previous_ms: took_ms,
        }
    }

    fn record(&mut self, now: Millis, took_ms: f64) {
        if now.saturating_sub(self.period_since) >= MIN_ROUND_TRIP_PERIOD_MS {
            self.previous_ms = self.current_ms;
            self.current_ms = took_ms;
            self.period_since = now;
        }
        self.current_ms = self.current_ms.min(took_ms);
    }

    fn min_ms(self) -> f64 {
        self.current_ms.min(self.previous_ms)
    }

    /// Returns whether all recorded round trips are too old to count.
    fn is_expired(self, now: Millis) -> bool {
        now.saturating_sub(self.period_since) >= 2 * MIN_ROUND_TRIP_PERIOD_MS
    }
}

/// Delay of a round trip in excess of the minimum one, and the time at which it ended.
#[derive(Clone, Copy, Debug)]
struct Delay {
    peer: u64,
    ended_at: Millis,
    excess_ms: f64,
}

impl Delay {
    fn is_recent(self, now: Millis) -> bool {
        now.saturating_sub(self.ended_at) <= RECENT_MS
    }
}

/// Estimates the wait of requests from round trips.
#[derive(Debug, Default)]
pub struct LinkWait {
    min_round_trips: HashMap<u64, MinRoundTrip>,
    /// The latest delay of each of the peers that answered last, latest first.
    latest: VecDeque<Delay>,
}

impl LinkWait {
    /// Records a round trip to `peer` that ended at `now` and took `took_ms`. Peers with the
    /// same number count as one; peers with different latencies must differ in number.
    pub fn note_round_trip(&mut self, now: Millis, peer: u64, took_ms: f64) {
        self.drop_expired(now);
        let min_round_trip = self
            .min_round_trips
            .entry(peer)
            .or_insert_with(|| MinRoundTrip::first(now, took_ms));
        min_round_trip.record(now, took_ms);
        let delay = Delay {
            peer,
            ended_at: now,
            excess_ms: took_ms - min_round_trip.min_ms(),
        };
        self.latest.retain(|known| known.peer != peer);
        self.latest.push_front(delay);
        self.latest.truncate(COMPARED_PEERS);
    }

    /// Returns the estimated wait of a request that is read at `now`, in milliseconds; 0
    /// without recent round trips. While a queue grows, the estimate lags behind by the time
    /// between two round trips.
    pub fn wait_ms(&self, now: Millis) -> Millis {
        let recent = || self.latest.iter().filter(|delay| delay.is_recent(now));
        if recent().count() < MIN_PEERS {
            return 0;
        }
        let minimum = recent().map(|delay| delay.excess_ms).reduce(f64::min);
        minimum.unwrap_or(0.0) as Millis
    }

    /// Drops the minimum round trips of peers that have not answered for a long time.
    fn drop_expired(&mut self, now: Millis) {
        let is_due = self.latest.front().is_none_or(|latest| {
            latest.ended_at / MIN_ROUND_TRIP_PERIOD_MS != now / MIN_ROUND_TRIP_PERIOD_MS
        });
        if is_due {
            self.min_round_trips
                .retain(|_, min_round_trip| !min_round_trip.is_expired(now));
        }
    }
}
