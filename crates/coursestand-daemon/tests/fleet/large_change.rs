//! A fleet answered nothing for five seconds after an operator had added 1,400 routes in
//! one change, and nothing for 20 s after all its processes had lost power with 4,232
//! items in the catalog: each of five control processes told each entry daemon all of it,
//! with the operator's own text, and kept a copy for each. The daemons' links of 2 Mbit/s
//! took five seconds for a change; control processes ran out of memory and began anew.

use coursestand_catalog::Patch;
use coursestand_lab::items;
use googletest::prelude::*;

use crate::deployment::{Deployment, first_items};
use crate::{ALL, EDGE, formed};

/// Bytes that a link of 2 Mbit/s passes in half a second. Requests and orders to leave
/// share it, and the change has to be in force after 2 s.
const HALF_A_SECOND: u64 = 125_000;
/// Routes of one change, as was seen.
const ROUTES: usize = 1_400;
/// Time in which a copy that is told late would come.
const LATE_COPIES: std::time::Duration = std::time::Duration::from_millis(2_500);

/// Bytes that an entry daemon got from control so far.
async fn received(deployment: &Deployment, host: u8) -> u64 {
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
async fn a_change_of_many_routes_is_told_once() {
    let mut deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    wait_for_catalog(&deployment, 0).await;
    tokio::time::sleep(LATE_COPIES).await;
    let before = (
        received(&deployment, EDGE).await,
        deployment.catalog_version_at(EDGE),
    );
    add_routes(&deployment, 0).await;
    wait_for_catalog(&deployment, before.1).await;
    tokio::time::sleep(LATE_COPIES).await;
    let told = received(&deployment, EDGE).await - before.0;
    expect_that!(told, lt(HALF_A_SECOND));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_catalog_of_many_routes_is_told_once() {
    let mut deployment = formed(&ALL).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    for change in 0..3 {
        add_routes(&deployment, change * ROUTES).await;
    }
    deployment.start_edge(EDGE).await;
    wait_for_catalog(&deployment, 0).await;
    tokio::time::sleep(LATE_COPIES).await;
    // Three changes of the half second that each may take.
    let told = received(&deployment, EDGE).await;
    expect_that!(told, lt(3 * HALF_A_SECOND));
}
