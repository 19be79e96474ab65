//! What processes tell about evacuated zones: an operator who finds requests in an evacuated zone
//! must see which process does not have the order.

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::deployment::{Deployment, first_items};
use crate::{EDGE, SEEDS, form_group};

const ZONE: &str = "z-1";

fn evacuations(deployment: &Deployment, host: u8, part: &str) -> Value {
    let dump = deployment.nodes[&host].kernel().dump();
    dump.pointer(part).cloned().unwrap_or_default()
}

/// Guards against a daemon whose copy of the evacuations differs from the group's without a sign.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_and_replicas_tell_which_zones_they_hold_evacuated() {
    let mut deployment = form_group(&SEEDS).await;
    expect_that!(deployment.patch(&SEEDS, &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    expect_that!(deployment.evacuate(1, ZONE).await, eq(200));
    let of_group = evacuations(&deployment, 1, "/hub/evacuations");
    expect_that!(of_group[0]["zone"], eq(&json!(ZONE)));
    expect_that!(of_group[0]["is_active"], eq(&json!(true)));
    deployment
        .wait_until("the daemon has the evacuation", || {
            evacuations(&deployment, EDGE, "/edge/follower/evacuations") == of_group
        })
        .await;
    for (host, gauge) in [
        (1, "coursestand_evacuated_zones 1"),
        (EDGE, "coursestand_edge_evacuated_zones 1"),
    ] {
        let started = std::time::Instant::now();
        while !deployment.metrics(host).await.contains(gauge) {
            assert!(
                started.elapsed() < crate::deployment::TEST_TIMEOUT,
                "{gauge}"
            );
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    }
}
