//! A machine may be suspended for seconds. Its steady clock doesn't count that time, and a
//! daemon that woke took answers to signs of life which it had sent before for news of now:
//! it worked out when they were sent from the round trip, on the steady clock.

use std::time::Duration;

use coursestand_kernel::MonotonicClock;
use googletest::prelude::*;
use tokio::time::Instant;

use crate::daemon::{CONTROLS, Daemon, LOOK, addresses, controls};

/// From a sign of life to its answer.
const DELAY: Duration = Duration::from_millis(400);
const SUSPENDED_MS: u64 = 10_000;
const WITHIN: Duration = Duration::from_secs(10);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_what_was_sent_before_a_suspension_proves_no_connection() {
    let controls = controls(DELAY).await;
    let (clock, suspension) = MonotonicClock::with_simulated_suspensions();
    let daemon = Daemon::start_with(clock, &addresses(&controls));
    let started = Instant::now();
    while daemon.follower.followed_count() < CONTROLS && started.elapsed() < WITHIN {
        tokio::time::sleep(LOOK).await;
    }
    expect_that!(daemon.follower.followed_count(), eq(CONTROLS));
    for _ in 0..5 {
        suspension.suspend_ms(SUSPENDED_MS);
        let woken = Instant::now();
        // Answers that arrive this soon are to what was sent before.
        while woken.elapsed() < DELAY * 3 / 4 {
            expect_that!(daemon.follower.followed_count(), eq(0));
            tokio::time::sleep(LOOK).await;
        }
        while daemon.follower.followed_count() < CONTROLS && woken.elapsed() < WITHIN {
            tokio::time::sleep(LOOK).await;
        }
        expect_that!(daemon.follower.followed_count(), eq(CONTROLS));
    }
}
