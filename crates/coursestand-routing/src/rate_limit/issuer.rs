//! Issues tokens for requests to rate-limited back ends, for all daemons.

use std::collections::HashMap;

use coursestand_model::Millis;
use serde::{Deserialize, Serialize};

use super::access::MIN_PER_SECOND;
use super::rate::Rate;
use super::{BUCKET_CAPACITY, USABLE_SHARE};

/// Tokens reserved for more urgent requests after one of those was denied.
const RESERVED_TOKENS: f64 = 1.0;
/// Time after a denial for which tokens are reserved for requests of the same rank or higher.
const RESERVATION_MS: Millis = 1_000;
/// Reports of two daemons whose times differ by less count as simultaneous.
const SIMULTANEOUS_MS: Millis = 100;
/// Token requests for each issued token, beyond which daemons have to send them at longer
/// intervals.
const MAX_REQUESTS_PER_TOKEN: f64 = 8.0;
/// Window over which requests are counted.
const DEMAND_WINDOW_MS: Millis = 1_000;
const MIN_DELAY_MS: f64 = 10.0;
const MAX_DELAY_MS: f64 = 5_000.0;
/// Limit on buckets. Idle ones are evicted; if there are none, new back ends get no tokens.
const MAX_BUCKETS: usize = 4_096;
/// Time without requests after which a bucket may be evicted.
const BUCKET_IDLE_MS: Millis = 60_000;
/// Time until a daemon may request a token again for a back end without a bucket.
const NO_BUCKET_PAUSE_MS: Millis = 1_000;

/// Request of a daemon for a token to send one request to a rate-limited back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Identifies the incarnation of the back end.
    pub backend: u64,
    /// The limit known to the daemon.
    pub rate: Rate,
    /// Time since the limit was last reported to the daemon, in milliseconds.
    pub age_ms: Millis,
    /// Rank of the request; 0 is the highest.
    pub priority: u32,
}

/// Answer to a [`TokenRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenVerdict {
    /// The request may be sent.
    Issued,
    /// There is no token at this time.
    Denied {
        /// Time until the daemon may request a token again, in milliseconds.
        again_in_ms: Millis,
        /// The limit by which tokens are issued.
        rate: Rate,
    },
    /// The back end has reported to another daemon since then that it has no limit.
    Lifted {
        /// Time since that report, in milliseconds.
        age_ms: Millis,
    },
}

/// The tokens of one back end.
#[derive(Clone, Debug)]
struct Bucket {
    rate: Rate,
    reported_at: Millis,
    lifted_at: Option<Millis>,
    tokens: f64,
    refilled_at: Millis,
    last_requested_at: Millis,
    /// Rank of the most urgent request that was denied recently, and the time of the denial.
    denied: Option<(u32, Millis)>,
    demand: Demand,
    issued: u64,
    denied_count: u64,
}

/// Rate of token requests, and the delay that is added to the daemons' pauses.
#[derive(Clone, Copy, Debug)]
struct Demand {
    window_started_at: Millis,
    requests: u32,
    delay_ms: f64,
}

impl Demand {
    fn new(now: Millis) -> Demand {
        Demand {
            window_started_at: now,
            requests: 0,
            delay_ms: MIN_DELAY_MS,
        }
    }

    /// Counts a request. The delay grows while there are more requests than the tokens justify,
    /// and shrinks otherwise.
    fn record(&mut self, now: Millis, per_second: f64) {
        let elapsed = now.saturating_sub(self.window_started_at);
        if elapsed >= DEMAND_WINDOW_MS {
            let expected_rate = per_second.max(1.0) * MAX_REQUESTS_PER_TOKEN;
            let request_rate = f64::from(self.requests) * DEMAND_WINDOW_MS as f64 / elapsed as f64;
            let change = (request_rate / expected_rate).clamp(0.5, 2.0);
            let delay_ms = self.delay_ms * change;
            self.delay_ms = delay_ms.clamp(MIN_DELAY_MS, MAX_DELAY_MS);
            self.window_started_at = now;
            self.requests = 0;
        }
        self.requests = self.requests.saturating_add(1);
    }

    fn delay_ms(&self) -> Millis {
        (self.delay_ms - MIN_DELAY_MS) as Millis
    }
}

/// State of a bucket, for the dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BucketView {
    /// Identifies the incarnation of the back end.
    pub backend: u64,
    /// Its limit in requests per second; `None` if it was lifted.
    pub per_second: Option<f64>,
    /// Available tokens.
    pub tokens: f64,
    /// Number of issued tokens.
    pub issued: u64,
    /// Number of denied requests.
    pub denied: u64,
}

impl Bucket {
    /// Creates an empty bucket, since the tokens issued before are not known.
    fn new(now: Millis, rate: Rate, reported_at: Millis) -> Bucket {
        Bucket {
            rate,
            reported_at,
            lifted_at: None,
            tokens: 0.0,
            refilled_at: now,
            last_requested_at: now,
            denied: None,
            demand: Demand::new(now),
            issued: 0,
            denied_count: 0,
        }
    }

    fn per_second(&self) -> f64 {
        (self.rate.as_per_second() * USABLE_SHARE).max(MIN_PER_SECOND)
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.refilled_at);
        let refilled = self.tokens + self.per_second() * elapsed_ms as f64 / 1_000.0;
        self.tokens = refilled.min(BUCKET_CAPACITY);
        self.refilled_at = now;
    }

    /// Applies a reported limit. The newest one applies; of two simultaneous ones the lower one.
    fn apply_rate(&mut self, now: Millis, rate: Rate, reported_at: Millis) {
        if self.lifted_at.is_some_and(|at| reported_at <= at) {
            return;
        }
        self.refill(now);
        let is_newer = reported_at > self.reported_at + SIMULTANEOUS_MS;
        let is_older = reported_at + SIMULTANEOUS_MS < self.reported_at;
        if self.lifted_at.take().is_some() || is_newer {
            self.rate = rate;
        } else if !is_older {
            self.rate = self.rate.min(rate);
        }
        self.reported_at = self.reported_at.max(reported_at);
    }

    fn apply_lifted(&mut self, lifted_at: Millis) {
        if lifted_at > self.reported_at {
            self.lifted_at = self.lifted_at.max(Some(lifted_at));
        }
    }

    /// Returns the tokens that must be available for a request of this rank.
    fn required_tokens(&self, now: Millis, priority: u32) -> f64 {
        let is_reserved = self
            .denied
            .is_some_and(|(denied, at)| denied < priority && now < at + RESERVATION_MS);
        1.0 + if is_reserved { RESERVED_TOKENS } else { 0.0 }
    }

    fn issue(&mut self, now: Millis, priority: u32) -> TokenVerdict {
        let per_second = self.per_second();
        self.last_requested_at = now;
        self.demand.record(now, per_second);
        self.refill(now);
        let missing = self.required_tokens(now, priority) - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            self.issued += 1;
            return TokenVerdict::Issued;
        }
        self.denied_count += 1;
        self.note_denied(now, priority);
        let available_in_ms = (missing / per_second * 1_000.0).ceil() as Millis;
        TokenVerdict::Denied {
            again_in_ms: available_in_ms + self.demand.delay_ms(),
            rate: self.rate,
        }
    }

    fn note_denied(&mut self, now: Millis, priority: u32) {
        let more_urgent = self
            .denied
            .filter(|(denied, at)| *denied < priority && now < *at + RESERVATION_MS);
        self.denied = more_urgent.or(Some((priority, now)));
    }
}

/// The buckets of all rate-limited back ends.
#[derive(Clone, Debug, Default)]
pub struct TokenIssuer {
    buckets: HashMap<u64, Bucket>,
}

impl TokenIssuer {
    /// Empties all buckets when this process becomes the leader, since its predecessor may have
    /// issued tokens until then.
    pub fn empty_buckets(&mut self, now: Millis) {
        for bucket in self.buckets.values_mut() {
            bucket.tokens = 0.0;
            bucket.refilled_at = now;
        }
    }

    /// Applies the report of a daemon that its back end had this limit, or none, at `reported_at`.
    pub fn apply_update(
        &mut self,
        now: Millis,
        backend: u64,
        rate: Option<Rate>,
        reported_at: Millis,
    ) {
        match rate {
            None => {
                if let Some(bucket) = self.buckets.get_mut(&backend) {
                    bucket.apply_lifted(reported_at);
                }
            }
            Some(rate) => {
                if let Some(bucket) = self.bucket(now, backend, rate, reported_at) {
                    bucket.apply_rate(now, rate, reported_at);
                }
            }
        }
    }

    /// Issues or denies the token for a request.
    pub fn ask(&mut self, now: Millis, request: &TokenRequest) -> TokenVerdict {
        let TokenRequest { backend, rate, .. } = *request;
        let reported_at = now.saturating_sub(request.age_ms);
        let Some(bucket) = self.bucket(now, backend, rate, reported_at) else {
            return TokenVerdict::Denied {
                again_in_ms: NO_BUCKET_PAUSE_MS,
                rate,
            };
        };
        bucket.apply_rate(now, rate, reported_at);
        match bucket.lifted_at {
            Some(lifted_at) => TokenVerdict::Lifted {
                age_ms: now.saturating_sub(lifted_at),
            },
            None => bucket.issue(now, request.priority),
        }
    }

    /// Returns the bucket of a back end, or `None` if the limit on buckets is reached.
    fn bucket(
        &mut self,
        now: Millis,
        backend: u64,
        rate: Rate,
        reported_at: Millis,
    ) -> Option<&mut Bucket> {
        let is_full = self.buckets.len() >= MAX_BUCKETS;
        if is_full && !self.buckets.contains_key(&backend) {
            self.buckets
                .retain(|_, bucket| now < bucket.last_requested_at + BUCKET_IDLE_MS);
            if self.buckets.len() >= MAX_BUCKETS {
                return None;
            }
        }
        let bucket = self.buckets.entry(backend);
        Some(bucket.or_insert_with(|| Bucket::new(now, rate, reported_at)))
    }

    /// Returns the number of back ends that have a limit.
    pub fn limited(&self) -> usize {
        let buckets = self.buckets.values();
        buckets.filter(|bucket| bucket.lifted_at.is_none()).count()
    }

    /// Returns the state of all buckets, for the dump.
    pub fn views(&self) -> Vec<BucketView> {
        let mut views: Vec<BucketView> = self
            .buckets
            .iter()
            .map(|(backend, bucket)| BucketView {
                backend: *backend,
                per_second: bucket
                    .lifted_at
                    .is_none()
                    .then(|| bucket.rate.as_per_second()),
                tokens: bucket.tokens,
                issued: bucket.issued,
                denied: bucket.denied_count,
            })
            .collect();
        views.sort_by_key(|view| view.backend);
        views
    }
}
