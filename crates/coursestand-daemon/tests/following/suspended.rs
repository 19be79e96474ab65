//! Guards against treating answers to pings that were sent before a suspension as proof of a
//! current connection. A machine may be suspended for seconds, which its monotonic clock
//! doesn't count; a daemon that derives the sending time of a ping from the round trip on
//! that clock is wrong by the length of the suspension.

use std::time::Duration;

use coursestand_kernel::MonotonicClock;
use googletest::prelude::*;
use tokio::time::Instant;

use crate::daemon::{CONTROLS, Daemon, POLL_INTERVAL, addresses, start_controls};

/// Time from a ping to its answer.
const DELAY: Duration = Duration::from_millis(400);
const SUSPENDED_MS: u64 = 10_000;
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_ping_sent_before_a_suspension_proves_no_connection() {
    let controls = start_controls(DELAY).await;
    let (clock, suspension) = MonotonicClock::with_simulated_suspensions();
    let daemon = Daemon::start_with(clock, &addresses(&controls));
    let started = Instant::now();
    while daemon.follower.connected_count() < CONTROLS && started.elapsed() < TEST_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    expect_that!(daemon.follower.connected_count(), eq(CONTROLS));
    for _ in 0..5 {
        suspension.suspend_ms(SUSPENDED_MS);
        let resumed = Instant::now();
        // Answers that arrive this early belong to pings sent before the suspension.
        while resumed.elapsed() < DELAY * 3 / 4 {
            expect_that!(daemon.follower.connected_count(), eq(0));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        while daemon.follower.connected_count() < CONTROLS && resumed.elapsed() < TEST_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        expect_that!(daemon.follower.connected_count(), eq(CONTROLS));
    }
}
