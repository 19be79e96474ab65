//! Rate limits that back ends reported: a control process relays them to entry daemons, and
//! issues the tokens for them while it leads.

use std::collections::BTreeMap;
use std::sync::{MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{BucketView, TokenIssuer, TokenRequest, TokenVerdict};
use coursestand_routing::{Rate, RateLimitUpdate};

use super::Hub;
use crate::fleet::wire::ToEdge;

/// Maximum number of back ends whose rate limits are relayed to daemons.
const MAX_BACKENDS: usize = 1_024;
/// Number of daemons whose report of a limit is relayed: as many as other daemons require
/// before they apply it.
const MAX_REPORTERS: usize = 2;

/// A limit that a back end reported to a daemon.
#[derive(Clone, Copy, Debug)]
struct Report {
    reporter: u64,
    rate: Rate,
    reported_at: Millis,
}

/// Reported limits, and the issuer of their tokens.
#[derive(Default)]
pub(super) struct RateLimits {
    issuer: TokenIssuer,
    /// Term of the lease under which the last token was issued.
    term: Option<u64>,
    reports: BTreeMap<u64, Vec<Report>>,
}

impl RateLimits {
    /// Records a daemon's report. Returns whether it is to be relayed to other daemons.
    fn record(&mut self, now: Millis, update: &RateLimitUpdate) -> bool {
        let reported_at = now.saturating_sub(update.age_ms);
        self.issuer
            .apply_update(now, update.backend, update.rate, reported_at);
        let Some(rate) = update.rate else {
            self.forget(update.backend, reported_at);
            return false;
        };
        let is_known = self.reports.contains_key(&update.backend);
        if !is_known && self.reports.len() >= MAX_BACKENDS {
            return false;
        }
        let reports = self.reports.entry(update.backend).or_default();
        let is_lower = reports.iter().all(|report| rate < report.rate);
        let is_new = reports
            .iter()
            .all(|report| report.reporter != update.reporter);
        let is_needed = is_lower || (is_new && reports.len() < MAX_REPORTERS);
        reports.retain(|report| report.reporter != update.reporter);
        reports.push(Report {
            reporter: update.reporter,
            rate,
            reported_at,
        });
        if reports.len() > MAX_REPORTERS {
            reports.remove(0);
        }
        is_needed
    }

    /// Drops the reports that precede the lifting of a back end's limit.
    fn forget(&mut self, backend: u64, lifted_at: Millis) {
        if let Some(reports) = self.reports.get_mut(&backend) {
            reports.retain(|report| report.reported_at > lifted_at);
            if reports.is_empty() {
                self.reports.remove(&backend);
            }
        }
    }

    /// Returns the reports for a daemon that connects.
    fn updates(&self, now: Millis) -> Vec<RateLimitUpdate> {
        let reports = self.reports.iter();
        let updates = reports.flat_map(|(backend, reports)| {
            reports.iter().map(|report| RateLimitUpdate {
                reporter: report.reporter,
                backend: *backend,
                rate: Some(report.rate),
                age_ms: now.saturating_sub(report.reported_at),
            })
        });
        updates.collect()
    }

    /// Decides on a token under the lease of this term. On a new term the issuer starts over:
    /// the tokens that the leader of another term issued are unknown.
    fn issue(&mut self, now: Millis, request: &TokenRequest, term: u64) -> TokenVerdict {
        if self.term != Some(term) {
            self.term = Some(term);
            self.issuer.empty_buckets(now);
        }
        self.issuer.ask(now, request)
    }
}

impl Hub {
    fn rate_limits(&self) -> MutexGuard<'_, RateLimits> {
        self.rate_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the rate limits that the subscriber `from` reported, and relays those that other
    /// daemons need.
    pub fn merge_rate_limits(&self, from: u64, mut updates: Vec<RateLimitUpdate>) {
        let now = self.clock.now();
        {
            let mut rate_limits = self.rate_limits();
            updates.retain(|update| rate_limits.record(now, update));
        }
        if !updates.is_empty() {
            let message = ToEdge::Limits(updates);
            self.relay(from, &message, |subscriber| {
                subscriber.subscriptions.rate_limits
            });
        }
    }

    /// Returns the reported limits for an entry daemon that connects.
    pub fn shared_rate_limits(&self) -> Vec<RateLimitUpdate> {
        self.rate_limits().updates(self.clock.now())
    }

    /// Answers an entry daemon's token request if this replica leads; `term` is that of its
    /// lease.
    pub fn answer_token(&self, request: &TokenRequest, term: Option<u64>) -> Option<TokenVerdict> {
        let now = self.clock.now();
        Some(self.rate_limits().issue(now, request, term?))
    }

    /// Returns the number of back ends with a known rate limit.
    pub fn limited_backends(&self) -> usize {
        self.rate_limits().issuer.limited()
    }

    /// Returns the token buckets for the dump.
    pub fn token_bucket_views(&self) -> Vec<BucketView> {
        self.rate_limits().issuer.views()
    }
}
