//! Counters and latencies of the request path.

use coursestand_model::ServiceId;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};

use crate::memory_budget::MemoryKind;
use crate::retry::RetryVerdict;
use crate::unread_headers::OTHER;

/// Metrics of the request path.
#[derive(Clone)]
pub struct ProxyMetrics {
    /// Requests by outcome: `served`, or the reason of an answer that this daemon generated.
    pub requests: IntCounterVec,
    /// Attempts that failed, by kind.
    pub failures: IntCounterVec,
    /// Signals of back ends in answers, by kind: `backoff`, `draining` or `rate-limit`.
    pub backend_signals: IntCounterVec,
    /// Token requests for rate-limited back ends, by the answer of control, and requests that
    /// were sent within the daemon's own share.
    pub rate_tokens: IntCounterVec,
    /// Answers with a header that this version does not read, by header name.
    pub unread_headers: IntCounterVec,
    /// Attempts after the first.
    pub retries: IntCounter,
    /// Attempts after the first, by service and by whether they were `paid` from its budget or
    /// `free`.
    pub service_retries: IntCounterVec,
    /// Failed attempts after which a request was not sent again, by service and reason.
    pub denied_retries: IntCounterVec,
    /// Connections opened to back ends.
    pub connections: IntCounter,
    /// Requests that were relayed to other daemons, by outcome.
    pub relays: IntCounterVec,
    /// Requests that other daemons relayed to this one, by outcome.
    pub relayed: IntCounterVec,
    /// Bytes that are kept for connections, by what they are kept for.
    pub memory_bytes: IntGaugeVec,
    /// Requests, bodies and answers for which there was no memory, by whether they were `evicted`
    /// while they were received, or `refused`.
    pub memory_refusals: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Seconds that requests were queued before they were read, as far as it is known.
    pub waited: Histogram,
    /// Seconds from a request's head to its answer.
    pub duration: Histogram,
}

impl ProxyMetrics {
    /// Creates the metrics and registers them with `registry`.
    pub fn new(registry: &Registry) -> Result<ProxyMetrics, prometheus::Error> {
        let metrics = ProxyMetrics {
            requests: IntCounterVec::new(
                Opts::new("coursestand_requests_total", "Requests by outcome"),
                &["outcome"],
            )?,
            failures: IntCounterVec::new(
                Opts::new(
                    "coursestand_attempt_failures_total",
                    "Attempts that failed, by kind",
                ),
                &["kind"],
            )?,
            backend_signals: IntCounterVec::new(
                Opts::new(
                    "coursestand_backend_words_total",
                    "Answers by which a back end asked for a back-off or said that it drains",
                ),
                &["kind"],
            )?,
            rate_tokens: IntCounterVec::new(
                Opts::new(
                    "coursestand_rate_limit_tokens_total",
                    "Tokens for rate-limited back ends that were asked for, by answer",
                ),
                &["answer"],
            )?,
            unread_headers: IntCounterVec::new(
                Opts::new(
                    "coursestand_unread_answer_headers_total",
                    "Answers of back ends with a header that this version does not read",
                ),
                &["header"],
            )?,
            retries: IntCounter::new(
                "coursestand_retries_total",
                "Attempts after a request's first",
            )?,
            service_retries: IntCounterVec::new(
                Opts::new(
                    "coursestand_service_retries_total",
                    "Attempts after a request's first, by service and cost",
                ),
                &["service", "cost"],
            )?,
            denied_retries: IntCounterVec::new(
                Opts::new(
                    "coursestand_denied_retries_total",
                    "Failed attempts after which a request was not sent again",
                ),
                &["service", "reason"],
            )?,
            connections: IntCounter::new(
                "coursestand_backend_connections_total",
                "Connections opened to back ends",
            )?,
            relays: IntCounterVec::new(
                Opts::new(
                    "coursestand_relays_total",
                    "Requests that were relayed to other daemons, by outcome",
                ),
                &["outcome"],
            )?,
            relayed: IntCounterVec::new(
                Opts::new(
                    "coursestand_relayed_requests_total",
                    "Requests that other daemons relayed to this one, by outcome",
                ),
                &["outcome"],
            )?,
            memory_bytes: IntGaugeVec::new(
                Opts::new(
                    "coursestand_kept_bytes",
                    "Bytes that are kept for connections, by what they are kept for",
                ),
                &["kind"],
            )?,
            memory_refusals: IntCounterVec::new(
                Opts::new(
                    "coursestand_memory_refusals_total",
                    "Requests, bodies and answers for which there was no memory",
                ),
                &["outcome"],
            )?,
            in_flight: IntGauge::new("coursestand_requests_in_flight", "Requests in flight")?,
            waited: Histogram::with_opts(HistogramOpts::new(
                "coursestand_request_waited_seconds",
                "Seconds that requests had waited before they were read, as far as it is known",
            ))?,
            duration: Histogram::with_opts(HistogramOpts::new(
                "coursestand_request_seconds",
                "Seconds from a request's head to its answer",
            ))?,
        };
        // Exported from the start with the value 0.
        metrics.requests.with_label_values(&["served"]);
        metrics.failures.with_label_values(&["unreachable"]);
        metrics.backend_signals.with_label_values(&["backoff"]);
        metrics.backend_signals.with_label_values(&["draining"]);
        metrics.unread_headers.with_label_values(&[OTHER]);
        metrics.rate_tokens.with_label_values(&["issued"]);
        metrics.backend_signals.with_label_values(&["rate-limit"]);
        metrics.relays.with_label_values(&["forwarded"]);
        metrics.relayed.with_label_values(&["forwarded"]);
        for kind in MemoryKind::ALL {
            metrics.memory_bytes.with_label_values(&[kind.name()]);
        }
        metrics.memory_refusals.with_label_values(&["evicted"]);
        metrics.memory_refusals.with_label_values(&["refused"]);
        registry.register(Box::new(metrics.memory_bytes.clone()))?;
        registry.register(Box::new(metrics.memory_refusals.clone()))?;
        registry.register(Box::new(metrics.relays.clone()))?;
        registry.register(Box::new(metrics.relayed.clone()))?;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.failures.clone()))?;
        registry.register(Box::new(metrics.backend_signals.clone()))?;
        registry.register(Box::new(metrics.rate_tokens.clone()))?;
        registry.register(Box::new(metrics.unread_headers.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.service_retries.clone()))?;
        registry.register(Box::new(metrics.denied_retries.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.waited.clone()))?;
        registry.register(Box::new(metrics.duration.clone()))?;
        Ok(metrics)
    }

    /// Creates the retry counters of `service` with the value 0.
    pub fn init_retry_counters(&self, service: &ServiceId) {
        let service = service.as_str();
        self.service_retries.with_label_values(&[service, "paid"]);
        self.denied_retries
            .with_label_values(&[service, "budget-spent"]);
    }

    /// Counts a retry decision for `service`.
    pub fn count_retry(&self, service: &ServiceId, verdict: RetryVerdict) {
        let labels = [service.as_str(), verdict.name()];
        if verdict.is_granted() {
            self.retries.inc();
            self.service_retries.with_label_values(&labels).inc();
        } else {
            self.denied_retries.with_label_values(&labels).inc();
        }
    }
}
