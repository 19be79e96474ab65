//! Issues the tokens for requests to rate-limited back ends, for all daemons.

use std::collections::HashMap;

use coursestand_model::Millis;
use serde::{Deserialize, Serialize};

use super::access::LEAST_PER_SECOND;
use super::rate::Rate;
use super::{ISSUED_PART, MOST_TOKENS};

/// Tokens that stay for more urgent requests while some of those are denied.
const RESERVED_TOKENS: f64 = 1.0;
/// For how long after a denial the next tokens are kept for requests as urgent.
const RESERVED_MS: Millis = 1_000;
/// News of two daemons whose ages differ by less are taken to be of the same moment.
const SAME_MOMENT_MS: Millis = 100;
/// Requests for a token that each token may bring. Beyond that daemons are told to ask
/// more seldom.
const REQUESTS_PER_TOKEN: f64 = 8.0;
/// Time over which requests are counted.
const COUNTED_MS: Millis = 1_000;
const LEAST_STRETCH_MS: f64 = 10.0;
const LONGEST_STRETCH_MS: f64 = 5_000.0;
/// Buckets at most. The idle ones make place for others; without place nothing is issued.
const MOST_BUCKETS: usize = 4_096;
/// A bucket without requests for this long makes place.
const IDLE_MS: Millis = 60_000;
/// Pause of a daemon for whose back end there is no place.
const NO_PLACE_PAUSE_MS: Millis = 1_000;

/// A daemon wants to send a request to a rate-limited back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Tells the back end's incarnation from all others.
    pub backend: u64,
    /// The limit that the daemon knows.
    pub rate: Rate,
    /// For how long it has known that, in milliseconds.
    pub age_ms: Millis,
    /// Rank of the request; 0 is the highest.
    pub priority: u32,
}

/// Answer to a [`TokenRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenVerdict {
    /// The request may be sent.
    Issued,
    /// There is no token now.
    Denied {
        /// When to ask again, in milliseconds.
        again_in_ms: Millis,
        /// The limit by which they are issued.
        rate: Rate,
    },
    /// The back end named no limit to another daemon later on.
    Lifted {
        /// For how long that has been known, in milliseconds.
        age_ms: Millis,
    },
}

/// The tokens of one back end.
#[derive(Clone, Debug)]
struct Bucket {
    rate: Rate,
    named_at: Millis,
    lifted_at: Option<Millis>,
    tokens: f64,
    filled_at: Millis,
    asked_at: Millis,
    /// The most urgent request that was denied lately, and when.
    denied: Option<(u32, Millis)>,
    demand: Demand,
    issued: u64,
    refused: u64,
}

/// How often daemons ask for tokens, and by how much their pauses are stretched.
#[derive(Clone, Copy, Debug)]
struct Demand {
    since: Millis,
    requests: u32,
    stretch_ms: f64,
}

impl Demand {
    fn new(now: Millis) -> Demand {
        Demand {
            since: now,
            requests: 0,
            stretch_ms: LEAST_STRETCH_MS,
        }
    }

    /// Pauses grow while there are more requests than the tokens warrant, and shrink after.
    fn note(&mut self, now: Millis, per_second: f64) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed >= COUNTED_MS {
            let warranted = per_second.max(1.0) * REQUESTS_PER_TOKEN;
            let asked = f64::from(self.requests) * COUNTED_MS as f64 / elapsed as f64;
            let change = (asked / warranted).clamp(0.5, 2.0);
            let stretched = self.stretch_ms * change;
            self.stretch_ms = stretched.clamp(LEAST_STRETCH_MS, LONGEST_STRETCH_MS);
            self.since = now;
            self.requests = 0;
        }
        self.requests = self.requests.saturating_add(1);
    }

    fn stretch_ms(&self) -> Millis {
        (self.stretch_ms - LEAST_STRETCH_MS) as Millis
    }
}

/// A bucket, for the dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BucketView {
    /// Tells the back end's incarnation from all others.
    pub backend: u64,
    /// Its limit in requests a second; none once it was lifted.
    pub per_second: Option<f64>,
    /// Tokens that are left.
    pub tokens: f64,
    /// Tokens that were issued.
    pub issued: u64,
    /// Requests that were denied one.
    pub denied: u64,
}

impl Bucket {
    /// An empty one: what was issued before isn't known.
    fn new(now: Millis, rate: Rate, named_at: Millis) -> Bucket {
        Bucket {
            rate,
            named_at,
            lifted_at: None,
            tokens: 0.0,
            filled_at: now,
            asked_at: now,
            denied: None,
            demand: Demand::new(now),
            issued: 0,
            refused: 0,
        }
    }

    fn per_second(&self) -> f64 {
        (self.rate.as_per_second() * ISSUED_PART).max(LEAST_PER_SECOND)
    }

    fn fill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.filled_at);
        let filled = self.tokens + self.per_second() * elapsed_ms as f64 / 1_000.0;
        self.tokens = filled.min(MOST_TOKENS);
        self.filled_at = now;
    }

    /// The newest limit holds; of two named at the same moment the lower one.
    fn take_rate(&mut self, now: Millis, rate: Rate, named_at: Millis) {
        if self.lifted_at.is_some_and(|at| named_at <= at) {
            return;
        }
        self.fill(now);
        let is_newer = named_at > self.named_at + SAME_MOMENT_MS;
        let is_older = named_at + SAME_MOMENT_MS < self.named_at;
        if self.lifted_at.take().is_some() || is_newer {
            self.rate = rate;
        } else if !is_older {
            self.rate = self.rate.min(rate);
        }
        self.named_at = self.named_at.max(named_at);
    }

    fn take_lifted(&mut self, lifted_at: Millis) {
        if lifted_at > self.named_at {
            self.lifted_at = self.lifted_at.max(Some(lifted_at));
        }
    }

    /// Tokens that must be there for a request of this rank.
    fn needed(&self, now: Millis, priority: u32) -> f64 {
        let is_reserved = self
            .denied
            .is_some_and(|(denied, at)| denied < priority && now < at + RESERVED_MS);
        1.0 + if is_reserved { RESERVED_TOKENS } else { 0.0 }
    }

    fn issue(&mut self, now: Millis, priority: u32) -> TokenVerdict {
        let per_second = self.per_second();
        self.asked_at = now;
        self.demand.note(now, per_second);
        self.fill(now);
        let missing = self.needed(now, priority) - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            self.issued += 1;
            return TokenVerdict::Issued;
        }
        self.refused += 1;
        self.note_denied(now, priority);
        let free_in_ms = (missing / per_second * 1_000.0).ceil() as Millis;
        TokenVerdict::Denied {
            again_in_ms: free_in_ms + self.demand.stretch_ms(),
            rate: self.rate,
        }
    }

    fn note_denied(&mut self, now: Millis, priority: u32) {
        let more_urgent = self
            .denied
            .filter(|(denied, at)| *denied < priority && now < *at + RESERVED_MS);
        self.denied = more_urgent.or(Some((priority, now)));
    }
}

/// The buckets of all rate-limited back ends.
#[derive(Clone, Debug, Default)]
pub struct TokenIssuer {
    buckets: HashMap<u64, Bucket>,
}

impl TokenIssuer {
    /// Another process may have issued tokens until now: all buckets begin empty.
    pub fn begin(&mut self, now: Millis) {
        for bucket in self.buckets.values_mut() {
            bucket.tokens = 0.0;
            bucket.filled_at = now;
        }
    }

    /// A daemon was told a limit, or that there is none, at `named_at`.
    pub fn take_news(&mut self, now: Millis, backend: u64, rate: Option<Rate>, named_at: Millis) {
        match rate {
            None => {
                if let Some(bucket) = self.buckets.get_mut(&backend) {
                    bucket.take_lifted(named_at);
                }
            }
            Some(rate) => {
                if let Some(bucket) = self.bucket(now, backend, rate, named_at) {
                    bucket.take_rate(now, rate, named_at);
                }
            }
        }
    }

    /// Decides about a request.
    pub fn ask(&mut self, now: Millis, request: &TokenRequest) -> TokenVerdict {
        let TokenRequest { backend, rate, .. } = *request;
        let named_at = now.saturating_sub(request.age_ms);
        let Some(bucket) = self.bucket(now, backend, rate, named_at) else {
            return TokenVerdict::Denied {
                again_in_ms: NO_PLACE_PAUSE_MS,
                rate,
            };
        };
        bucket.take_rate(now, rate, named_at);
        match bucket.lifted_at {
            Some(lifted_at) => TokenVerdict::Lifted {
                age_ms: now.saturating_sub(lifted_at),
            },
            None => bucket.issue(now, request.priority),
        }
    }

    /// The bucket of a back end; none where there is no place for another one.
    fn bucket(
        &mut self,
        now: Millis,
        backend: u64,
        rate: Rate,
        named_at: Millis,
    ) -> Option<&mut Bucket> {
        let is_full = self.buckets.len() >= MOST_BUCKETS;
        if is_full && !self.buckets.contains_key(&backend) {
            self.buckets
                .retain(|_, bucket| now < bucket.asked_at + IDLE_MS);
            if self.buckets.len() >= MOST_BUCKETS {
                return None;
            }
        }
        let bucket = self.buckets.entry(backend);
        Some(bucket.or_insert_with(|| Bucket::new(now, rate, named_at)))
    }

    /// Back ends that have a limit.
    pub fn limited(&self) -> usize {
        let buckets = self.buckets.values();
        buckets.filter(|bucket| bucket.lifted_at.is_none()).count()
    }

    /// The buckets, for the dump.
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
                denied: bucket.refused,
            })
            .collect();
        views.sort_by_key(|view| view.backend);
        views
    }
}
