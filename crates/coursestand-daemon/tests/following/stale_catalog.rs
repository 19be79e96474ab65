//! Guards against entry daemons that route by an old catalog while control confirms changes.
//! When a large part of the fleet fails, the remaining daemons' narrow links are full of
//! requests, and an answer of control takes over a second. A daemon with a shorter time-out
//! for silence reconnects again and again and never receives the change. A daemon that
//! becomes ready with any catalog received from a majority may lack changes that this
//! majority has committed since.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;

use crate::daemon::{CONTROLS, Daemon, POLL_INTERVAL, addresses, start_controls, time_until};
use crate::scripted_control::{FIRST_CHANGE, ScriptedControl};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_behind_a_slow_link_gets_every_change() {
    // The round trip is longer than any time-out for silence that suits an idle link.
    let delay = Duration::from_millis(1_600);
    let controls = start_controls(delay).await;
    let daemon = Daemon::start(&addresses(&controls));
    time_until("the daemon is ready", || daemon.is_ready()).await;
    for change in FIRST_CHANGE + 1..FIRST_CHANGE + 6 {
        for control in &controls {
            control.apply(change);
        }
        let elapsed = time_until("the daemon has the change", || {
            daemon.catalog_version() >= change
        })
        .await;
        expect_that!(elapsed, lt(delay + Duration::from_millis(500)));
    }
    let accepted: u64 = controls.iter().map(ScriptedControl::accepted).sum();
    // The daemon may reconnect a few times until its time-out fits the link.
    expect_that!(accepted, lt(4 * CONTROLS as u64));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_delay_a_change() {
    // The delay between regions.
    let controls = start_controls(Duration::from_millis(20)).await;
    let daemon = Daemon::start(&addresses(&controls));
    time_until("the daemon is ready", || daemon.is_ready()).await;
    for change in FIRST_CHANGE + 1..FIRST_CHANGE + 6 {
        for control in &controls {
            control.silence_connections();
        }
        for control in &controls {
            control.apply(change);
        }
        let elapsed = time_until("the daemon has the change", || {
            daemon.catalog_version() >= change
        })
        .await;
        // Half a second less than the shortest time in which a change must be in force.
        expect_that!(elapsed, lt(Duration::from_millis(1_500)), "change {change}");
        // The connections fall silent at another phase of the ping interval each time.
        tokio::time::sleep(Duration::from_millis(1_130)).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_with_a_possibly_old_catalog_is_not_ready() {
    let controls = start_controls(Duration::ZERO).await;
    // The first three hold a change that this majority may have acknowledged.
    let change = FIRST_CHANGE + 1;
    for control in &controls[..3] {
        control.append(change);
    }
    let daemon = Daemon::start(&addresses(&controls[..3]));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    // None of the three has applied it, and the two without it are no majority.
    expect_that!(daemon.is_ready(), eq(false));
    controls[0].apply(change);
    time_until("the daemon is ready", || daemon.is_ready()).await;
    expect_that!(daemon.catalog_version(), eq(change));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_old_member_list_makes_no_majority() {
    let controls = start_controls(Duration::ZERO).await;
    // The last process was partitioned when it was the only member of the group.
    let last = &controls[CONTROLS - 1];
    last.set_group(&[last.address], FIRST_CHANGE);
    for control in &controls[..CONTROLS - 1] {
        control.set_group(&addresses(&controls), FIRST_CHANGE + 1);
        control.append(FIRST_CHANGE + 2);
    }
    let daemon = Daemon::start(&addresses(&controls));
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    expect_that!(daemon.is_ready(), eq(false));
    controls[0].apply(FIRST_CHANGE + 2);
    time_until("the daemon is ready", || daemon.is_ready()).await;
}

/// Guards against a daemon that receives the old list first, closes its connections to the
/// other processes, and becomes ready by the answer of this one process.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_old_member_list_that_arrives_first_makes_no_majority() {
    let last = ScriptedControl::start(Duration::ZERO).await;
    last.set_group(&[last.address], FIRST_CHANGE);
    let others = start_controls(Duration::from_millis(200)).await;
    let mut all = addresses(&others);
    all.push(last.address);
    for control in &others {
        control.set_group(&all, FIRST_CHANGE + 1);
        control.append(FIRST_CHANGE + 2);
    }
    let daemon = Daemon::start(&all);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    expect_that!(daemon.is_ready(), eq(false));
    others[0].apply(FIRST_CHANGE + 2);
    time_until("the daemon is ready", || daemon.is_ready()).await;
    expect_that!(daemon.catalog_version(), ge(FIRST_CHANGE + 2));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_table_that_takes_longer_than_the_answer_timeout_is_received() {
    let controls = start_controls(Duration::from_millis(50)).await;
    for control in &controls {
        control.set_table(Duration::from_millis(2_000), vec!["other".to_owned()]);
    }
    let daemon = Daemon::start(&addresses(&controls));
    time_until("the daemon is ready", || daemon.is_ready()).await;
    let accepted: u64 = controls.iter().map(ScriptedControl::accepted).sum();
    // Up to two connections per control process, since a second one may be opened while the
    // table is being sent on the first, and a margin.
    expect_that!(accepted, le(4 * CONTROLS as u64));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_list_of_daemons_does_not_shrink_during_reconnects() {
    let controls = start_controls(Duration::from_millis(300)).await;
    let names: Vec<String> = (0..64).map(|number| format!("other-{number}")).collect();
    for control in &controls {
        control.set_table(Duration::ZERO, names.clone());
    }
    let daemon = Daemon::start(&addresses(&controls));
    let count = || daemon.state.routing().daemons.len();
    time_until("the daemon has the list", || count() == 65).await;
    time_until("the daemon is ready", || daemon.is_ready()).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for control in &controls {
        control.silence_connections();
    }
    let started = Instant::now();
    let mut min_count = 65;
    while started.elapsed() < Duration::from_secs(6) {
        min_count = min_count.min(count());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // Daemons compute their shares of the retry budgets from this count.
    expect_that!(min_count, eq(65));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_old_member_list_that_arrives_last_is_ignored() {
    let mut controls = start_controls(Duration::ZERO).await;
    let late = ScriptedControl::start(Duration::from_millis(300)).await;
    controls[CONTROLS - 1] = late;
    let controls = controls;
    let all = addresses(&controls);
    let last = &controls[CONTROLS - 1];
    last.set_group(&[last.address], FIRST_CHANGE);
    for control in &controls[..CONTROLS - 1] {
        control.set_group(&all, FIRST_CHANGE + 1);
    }
    let daemon = Daemon::start(&all);
    tokio::time::sleep(Duration::from_secs(4)).await;
    expect_that!(daemon.follower.connected_count(), ge(3));
    controls[0].apply(FIRST_CHANGE + 2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(daemon.catalog_version(), eq(FIRST_CHANGE + 2));
}
