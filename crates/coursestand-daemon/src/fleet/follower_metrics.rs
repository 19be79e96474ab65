//! Metrics of an entry daemon's connections to the control group.

use coursestand_model::Millis;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::fleet::wire::ToEdge;

/// Upper bounds of the round trip histogram in seconds. A round trip between regions takes
/// about 40 ms; from 0.5 s on, changes are late.
const ROUND_TRIP_BUCKETS: [f64; 8] = [0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0];
/// Kinds of messages from control processes.
const CATALOG: &str = "catalog";
const BACKENDS: &str = "backends";
const DAEMONS: &str = "daemons";
const OTHER: &str = "other";
/// Reported as the age of a catalog that was never proven to be the newest.
const UNKNOWN_AGE: i64 = -1;

/// Metrics of the connections to control processes.
pub struct FollowerMetrics {
    /// Connected control processes.
    pub followed: IntGauge,
    /// Milliseconds since the time as of which the catalog is proven to be the newest.
    pub catalog_age: IntGauge,
    /// Lost connections to control processes.
    pub lost: IntCounter,
    /// Time from a ping to its answer, in seconds.
    pub round_trip: Histogram,
    /// Bytes of messages from control processes, by kind.
    received: IntCounterVec,
}

impl FollowerMetrics {
    /// Creates the metrics and registers them with `registry`; fails if a name is taken.
    pub fn new(registry: &Registry) -> Result<FollowerMetrics, prometheus::Error> {
        let followed = IntGauge::new("coursestand_edge_followed", "Control processes followed")?;
        let catalog_age = IntGauge::new(
            "coursestand_edge_catalog_age_ms",
            "Milliseconds since the catalog was proven to be the newest",
        )?;
        let lost = IntCounter::new(
            "coursestand_edge_control_lost_total",
            "Lost connections to control processes",
        )?;
        let options = HistogramOpts::new(
            "coursestand_edge_control_round_trip_seconds",
            "Time from a ping to its answer",
        );
        let round_trip = Histogram::with_opts(options.buckets(ROUND_TRIP_BUCKETS.to_vec()))?;
        let received = IntCounterVec::new(
            Opts::new(
                "coursestand_edge_control_bytes_total",
                "Bytes of messages from control processes, by kind",
            ),
            &["kind"],
        )?;
        // Creates every series at the start, with the value 0.
        for kind in [CATALOG, BACKENDS, DAEMONS, OTHER] {
            received.with_label_values(&[kind]);
        }
        registry.register(Box::new(received.clone()))?;
        registry.register(Box::new(followed.clone()))?;
        registry.register(Box::new(catalog_age.clone()))?;
        registry.register(Box::new(lost.clone()))?;
        registry.register(Box::new(round_trip.clone()))?;
        Ok(FollowerMetrics {
            followed,
            catalog_age,
            lost,
            round_trip,
            received,
        })
    }

    /// Counts a message of this length in bytes.
    pub fn count_received(&self, message: &ToEdge, length: usize) {
        let kind = match message {
            ToEdge::Catalog(_) | ToEdge::CatalogPart(_) | ToEdge::CatalogVersion(_) => CATALOG,
            ToEdge::Instances(..)
            | ToEdge::Findings(_)
            | ToEdge::CrashRecords(_)
            | ToEdge::Trial(_)
            | ToEdge::Limits(_)
            | ToEdge::Token { .. } => BACKENDS,
            ToEdge::Edges(_) | ToEdge::Relays(_) => DAEMONS,
            ToEdge::Pong { .. } | ToEdge::Controls(_) | ToEdge::Probe(_) => OTHER,
        };
        let counter = self.received.with_label_values(&[kind]);
        counter.inc_by(length as u64);
    }

    /// Updates the gauges.
    pub fn update(&self, followed: usize, catalog_age_ms: Option<Millis>) {
        self.followed.set(followed as i64);
        let age = catalog_age_ms.map_or(UNKNOWN_AGE, |age| age as i64);
        self.catalog_age.set(age);
    }
}
