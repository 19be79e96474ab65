//! Metrics of the gateway.

use coursestand_model::Outcome;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, Registry};

/// Counters and histograms of the gateway.
#[derive(Clone)]
pub struct GatewayMetrics {
    requests: IntCounterVec,
    /// Time from the head of a request to the head of its answer, in seconds.
    pub duration: Histogram,
    /// Requests sent again to another back end.
    pub retries: IntCounter,
    /// Look-ups received.
    pub lookups: IntCounter,
}

impl GatewayMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &Registry) -> Result<GatewayMetrics, prometheus::Error> {
        let metrics = GatewayMetrics {
            requests: IntCounterVec::new(
                Opts::new("gateway_requests_total", "Requests by outcome"),
                &["outcome"],
            )?,
            duration: Histogram::with_opts(HistogramOpts::new(
                "gateway_request_seconds",
                "Time to the head of the answer",
            ))?,
            retries: IntCounter::new("gateway_retries_total", "Retries on other back ends")?,
            lookups: IntCounter::new("gateway_lookups_total", "Look-ups answered")?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.duration.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.lookups.clone()))?;
        Ok(metrics)
    }

    /// Counts an answered request.
    pub fn count(&self, outcome: Outcome) {
        self.requests.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Returns the number of requests answered with this outcome.
    pub fn request_count(&self, outcome: Outcome) -> u64 {
        self.requests.with_label_values(&[outcome.as_str()]).get()
    }
}
