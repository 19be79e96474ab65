//! Guards against metrics that are missing until their first event: a labelled counter is
//! exported only once one of its labels exists.
#![allow(missing_docs)]

use coursestand_daemon::fleet::follower_metrics::FollowerMetrics;
use googletest::prelude::*;

#[gtest]
fn all_metrics_are_exported_before_the_first_event() {
    let registry = prometheus::Registry::new();
    let _metrics = FollowerMetrics::new(&registry).expect("metrics");
    let families = registry.gather();
    let names: Vec<&str> = families.iter().map(|family| family.name()).collect();
    expect_that!(
        names,
        unordered_elements_are![
            eq(&"coursestand_edge_catalog_age_ms"),
            eq(&"coursestand_edge_control_bytes_total"),
            eq(&"coursestand_edge_control_lost_total"),
            eq(&"coursestand_edge_control_round_trip_seconds"),
            eq(&"coursestand_edge_followed"),
        ]
    );
}
