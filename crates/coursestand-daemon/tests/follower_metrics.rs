//! A daemon's metrics were compared with the operators' page before control had told it
//! anything, and one was missing: a counter by kind is served only once a kind is counted.
#![allow(missing_docs)]

use coursestand_daemon::fleet::follower_metrics::FollowerMetrics;
use googletest::prelude::*;

#[gtest]
fn all_are_served_before_anything_was_counted() {
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
