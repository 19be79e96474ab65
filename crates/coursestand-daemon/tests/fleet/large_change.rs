//! Guards against each of five control processes sending every change to each entry daemon,
//! with the operator's original text, and buffering a copy per daemon. A change of 1,400
//! routes then occupies the daemons' links of 2 Mbit/s for five seconds, in which they answer
//! nothing. After a power loss of the whole fleet with 4,232 items in the catalog, control
//! processes run out of memory and restart, and the fleet answers nothing for 20 s.

use coursestand_catalog::Patch;
use coursestand_lab::items;
use googletest::prelude::*;

use crate::deployment::{Deployment, first_items};
use crate::{ALL_CONTROLS, EDGE, form_group};

/// Bytes that a link of 2 Mbit/s carries in half a second. Requests and updates of back ends
/// share the link, and the change must be in force after 2 s.
const HALF_SECOND_BYTES: u64 = 125_000;
/// Number of routes in one change.
const ROUTES: usize = 1_400;
/// Time within which a superfluous copy would arrive.
const LATE_COPY_WAIT: std::time::Duration = std::time::Duration::from_millis(2_500);

/// Returns the bytes that an entry daemon has received from control.
async fn received_bytes(deployment: &Deployment, host: u8) -> u64 {
    let metrics = deployment.metrics(host).await;
    metrics
        .lines()
        .filter(|line| line.starts_with("coursestand_edge_control_bytes_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

async fn add_routes(deployment: &Deployment, first: usize) {
    let patch = Patch {
        upserts: items::realistic_routes("s", first, ROUTES, 2),
        removals: Vec::new(),
    };
    expect_that!(deployment.patch(&[1], &patch).await, eq(200));
}

async fn wait_for_catalog(deployment: &Deployment, newer_than: u64) {
    deployment
        .wait_until("the daemon has the change", || {
            deployment.catalog_version_at(EDGE) > newer_than
        })
        .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_many_routes_is_sent_once() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    wait_for_catalog(&deployment, 0).await;
    tokio::time::sleep(LATE_COPY_WAIT).await;
    let before = (
        received_bytes(&deployment, EDGE).await,
        deployment.catalog_version_at(EDGE),
    );
    add_routes(&deployment, 0).await;
    wait_for_catalog(&deployment, before.1).await;
    tokio::time::sleep(LATE_COPY_WAIT).await;
    let bytes = received_bytes(&deployment, EDGE).await - before.0;
    expect_that!(bytes, lt(HALF_SECOND_BYTES));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_catalog_of_many_routes_is_sent_once() {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    for change in 0..3 {
        add_routes(&deployment, change * ROUTES).await;
    }
    deployment.start_edge(EDGE).await;
    wait_for_catalog(&deployment, 0).await;
    tokio::time::sleep(LATE_COPY_WAIT).await;
    // Three changes, each of which may take half a second.
    let bytes = received_bytes(&deployment, EDGE).await;
    expect_that!(bytes, lt(3 * HALF_SECOND_BYTES));
}
