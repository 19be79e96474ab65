//! Guards against look-ups that name an entry daemon which has long ended: a control process that
//! was connected with it is killed before it notices, and restarts before the others count it as
//! silent. Its new run does not report the daemon, and nothing takes the old report back.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use crate::deployment::{Deployment, first_items};
use crate::silent_edge::SilentEdge;
use crate::{ALL_CONTROLS, EDGE, form_group};

/// Time after the end of a daemon until no look-up names it.
const MAX_TIME_NAMED: Duration = Duration::from_secs(6);

/// Starts a group with a sound daemon and one that is about to end without a sign.
async fn group_with_two_daemons() -> (Deployment, SilentEdge) {
    let mut deployment = form_group(&ALL_CONTROLS).await;
    expect_that!(deployment.patch(&[1], &first_items()).await, eq(200));
    deployment.start_edge(EDGE).await;
    let controls = ALL_CONTROLS.map(|host| deployment.internal(host));
    let ending = SilentEdge::start(controls).await;
    ending.set_ready(false);
    let address = ending.record().address.to_string();
    for host in ALL_CONTROLS {
        let has_both = |addresses: &[String]| addresses.contains(&address) && addresses.len() == 2;
        deployment
            .wait_for_lookup(host, "both daemons are in look-ups", has_both)
            .await;
    }
    (deployment, ending)
}

/// Restarts these control processes, after the daemon has ended and before they notice.
async fn restart_after_the_end_of_a_daemon(restarted: &[u8]) {
    let (mut deployment, ending) = group_with_two_daemons().await;
    let address = ending.record().address.to_string();
    let front = deployment.front(EDGE).to_string();
    ending.fall_silent();
    let ended_at = Instant::now();
    for host in restarted {
        deployment.stop(*host).await;
    }
    for host in restarted {
        deployment.start_control(*host, false).await;
    }
    tokio::time::sleep(MAX_TIME_NAMED.saturating_sub(ended_at.elapsed())).await;
    for host in ALL_CONTROLS {
        let addresses = deployment.lookup(host).await;
        expect_that!(addresses, not(contains(eq(&address))), "at {host}");
        expect_that!(addresses, contains(eq(&front)), "at {host}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_ended_daemon_leaves_the_look_ups_after_a_control_process_restarted() {
    restart_after_the_end_of_a_daemon(&[2]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_ended_daemon_leaves_the_look_ups_after_two_control_processes_restarted() {
    restart_after_the_end_of_a_daemon(&[4, 5]).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_ended_daemon_leaves_the_look_ups_after_all_control_processes_restarted() {
    restart_after_the_end_of_a_daemon(&ALL_CONTROLS).await;
}
