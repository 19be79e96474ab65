//! Logs one line and updates the metrics at the end of each request.

use std::sync::Arc;
use std::time::Duration;

use coursestand_model::BackendId;
use coursestand_routing::RouteEntry;
use http::StatusCode;
use tokio::time::Instant;

use crate::metrics::ProxyMetrics;
use crate::phases::{AttemptFailure, Matched, Target};

const LOG: &str = "proxy";
/// Outcome of a request whose caller disconnected before the answer.
const OUTCOME_CALLER_LEFT: &str = "caller-left";

/// Log record of one request. Dropping it before its end logs that the caller disconnected.
pub(crate) struct RequestLog<'a> {
    metrics: &'a ProxyMetrics,
    id: Option<String>,
    arrived: Instant,
    waited: Duration,
    route: Option<Arc<RouteEntry>>,
    limit_ms: u64,
    key: u64,
    instance: Option<BackendId>,
    rank: usize,
    load: f64,
    load_age_ms: u64,
    is_warm: bool,
    expected_ms: Option<u64>,
    attempts: u32,
    /// Names of the failures of its attempts, in order.
    failures: Vec<&'static str>,
    has_ended: bool,
    /// Daemon that relayed the request to this one.
    relayed_by: Option<String>,
    /// Daemons that the request was relayed to, in order.
    relayed_to: Vec<String>,
}

impl<'a> RequestLog<'a> {
    /// Starts the record of a request that was read at `arrived`, after it had been queued for
    /// about `waited`.
    pub(crate) fn begin(
        metrics: &'a ProxyMetrics,
        id: Option<String>,
        arrived: Instant,
        waited: Duration,
    ) -> Self {
        metrics.in_flight.inc();
        metrics.waited.observe(waited.as_secs_f64());
        RequestLog {
            metrics,
            id,
            arrived,
            waited,
            route: None,
            limit_ms: 0,
            key: 0,
            instance: None,
            rank: 0,
            load: 0.0,
            load_age_ms: 0,
            is_warm: false,
            expected_ms: None,
            attempts: 0,
            failures: Vec::new(),
            has_ended: false,
            relayed_by: None,
            relayed_to: Vec::new(),
        }
    }

    pub(crate) fn relayed_by(&mut self, daemon: &str) {
        self.relayed_by = Some(daemon.to_owned());
    }

    pub(crate) fn relayed_to(&mut self, daemon: &str) {
        self.relayed_to.push(daemon.to_owned());
    }

    pub(crate) fn matched(&mut self, matched: &Matched) {
        self.route = Some(Arc::clone(&matched.route));
        self.key = matched.key;
        self.limit_ms = matched.limit.as_millis() as u64;
    }

    pub(crate) fn sent_to(&mut self, target: &Target) {
        self.attempts += 1;
        self.instance = Some(target.sent_request.pick.id.clone());
        self.rank = target.sent_request.pick.rank;
        self.load = target.sent_request.pick.load;
        self.load_age_ms = target.sent_request.pick.load_age_ms;
        self.is_warm = target.sent_request.pick.is_warm;
        self.expected_ms = target.sent_request.pick.expected_ms.map(|time| time as u64);
    }

    pub(crate) fn failed(&mut self, failure: AttemptFailure) {
        self.failures.push(failure.name());
    }

    pub(crate) fn end(&mut self, outcome: &str, status: StatusCode) {
        self.has_ended = true;
        self.record(outcome, status.as_u16());
    }

    fn record(&self, outcome: &str, status: u16) {
        let took = self.arrived.elapsed();
        self.metrics.in_flight.dec();
        self.metrics.duration.observe(took.as_secs_f64());
        self.metrics.requests.with_label_values(&[outcome]).inc();
        let (route, version) = match &self.route {
            Some(route) => (Some(route.name.as_str()), Some(route.version)),
            None => (None, None),
        };
        log::info!(target: LOG,
            request = self.id,
            route = route,
            version = version,
            limit_ms = self.limit_ms,
            key = self.key,
            instance = self.instance.as_ref().map(BackendId::as_str),
            rank = self.rank,
            load = self.load,
            load_age_ms = self.load_age_ms,
            knows = self.is_warm,
            expected_ms = self.expected_ms,
            attempts = self.attempts,
            failures = (!self.failures.is_empty()).then(|| self.failures.join(" ")),
            relayed_by = self.relayed_by,
            relayed_to = (!self.relayed_to.is_empty()).then(|| self.relayed_to.join(" ")),
            waited_ms = self.waited.as_millis() as u64,
            took_ms = took.as_millis() as u64,
            status = status,
            outcome = outcome;
            "a request ended");
    }
}

impl Drop for RequestLog<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record(OUTCOME_CALLER_LEFT, 0);
        }
    }
}
