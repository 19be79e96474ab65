//! What a control process keeps of rate limits that back ends named: it tells the daemons,
//! and issues the tokens while it leads.

use std::collections::BTreeMap;
use std::sync::{MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::rate_limit::{BucketView, TokenIssuer, TokenRequest, TokenVerdict};
use coursestand_routing::{LimitNews, Rate};

use super::Hub;
use crate::fleet::wire::ToEdge;

/// Back ends whose limits are told to daemons.
const MOST_BACKENDS: usize = 1_024;
/// Daemons of which a limit is passed on: as many as make others believe it.
const REPORTERS: usize = 2;

/// A daemon was told a limit.
#[derive(Clone, Copy, Debug)]
struct Report {
    reporter: u64,
    rate: Rate,
    named_at: Millis,
}

/// The limits, and the tokens for them.
#[derive(Default)]
pub(super) struct LimitDesk {
    issuer: TokenIssuer,
    /// Term of the lease under which tokens were issued last.
    term: Option<u64>,
    reports: BTreeMap<u64, Vec<Report>>,
}

impl LimitDesk {
    /// Takes in what a daemon tells. Returns whether other daemons are to hear it.
    fn take(&mut self, now: Millis, news: &LimitNews) -> bool {
        let named_at = now.saturating_sub(news.age_ms);
        self.issuer
            .take_news(now, news.backend, news.rate, named_at);
        let Some(rate) = news.rate else {
            self.forget(news.backend, named_at);
            return false;
        };
        let is_known = self.reports.contains_key(&news.backend);
        if !is_known && self.reports.len() >= MOST_BACKENDS {
            return false;
        }
        let reports = self.reports.entry(news.backend).or_default();
        let is_lower = reports.iter().all(|report| rate < report.rate);
        let is_new = reports
            .iter()
            .all(|report| report.reporter != news.reporter);
        let is_needed = is_lower || (is_new && reports.len() < REPORTERS);
        reports.retain(|report| report.reporter != news.reporter);
        reports.push(Report {
            reporter: news.reporter,
            rate,
            named_at,
        });
        if reports.len() > REPORTERS {
            reports.remove(0);
        }
        is_needed
    }

    /// The limit of a back end was lifted: what was told before no longer holds.
    fn forget(&mut self, backend: u64, lifted_at: Millis) {
        if let Some(reports) = self.reports.get_mut(&backend) {
            reports.retain(|report| report.named_at > lifted_at);
            if reports.is_empty() {
                self.reports.remove(&backend);
            }
        }
    }

    /// What a daemon that connects has to know.
    fn told(&self, now: Millis) -> Vec<LimitNews> {
        let reports = self.reports.iter();
        let told = reports.flat_map(|(backend, reports)| {
            reports.iter().map(|report| LimitNews {
                reporter: report.reporter,
                backend: *backend,
                rate: Some(report.rate),
                age_ms: now.saturating_sub(report.named_at),
            })
        });
        told.collect()
    }

    /// Decides about a token under the lease of this term. What the leader of another term
    /// issued isn't known.
    fn ask(&mut self, now: Millis, request: &TokenRequest, term: u64) -> TokenVerdict {
        if self.term != Some(term) {
            self.term = Some(term);
            self.issuer.begin(now);
        }
        self.issuer.ask(now, request)
    }
}

impl Hub {
    fn limits(&self) -> MutexGuard<'_, LimitDesk> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what the entry daemon with this queue was told of rate limits, and passes on
    /// what others need to hear.
    pub fn take_limits(&self, from: u64, mut told: Vec<LimitNews>) {
        let now = self.clock.now();
        {
            let mut limits = self.limits();
            told.retain(|news| limits.take(now, news));
        }
        if !told.is_empty() {
            let message = ToEdge::Limits(told);
            self.pass_to_others(from, &message, |follower| follower.reads.limits);
        }
    }

    /// The limits, for an entry daemon that connects.
    pub fn told_limits(&self) -> Vec<LimitNews> {
        self.limits().told(self.clock.now())
    }

    /// Answers an entry daemon that wants a token, if the replica leads; `term` is that of its
    /// lease.
    pub fn answer_token(&self, request: &TokenRequest, term: Option<u64>) -> Option<TokenVerdict> {
        let now = self.clock.now();
        Some(self.limits().ask(now, request, term?))
    }

    /// Back ends that have a rate limit, as far as this process knows.
    pub fn limited_backends(&self) -> usize {
        self.limits().issuer.limited()
    }

    /// The tokens, for the dump.
    pub fn token_views(&self) -> Vec<BucketView> {
        self.limits().issuer.views()
    }
}
