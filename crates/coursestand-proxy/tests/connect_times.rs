//! The timeout for connecting adapts to the round-trip time of each zone.
#![allow(missing_docs)]

use std::io::ErrorKind;
use std::time::Duration;

use coursestand_model::ZoneId;
use coursestand_proxy::connect_times::{ConnectTimes, connect_failure};
use coursestand_proxy::phases::AttemptFailure;
use googletest::prelude::*;

const MILLISECOND: Duration = Duration::from_millis(1);

#[gtest]
fn a_distant_zone_gets_a_longer_connect_timeout_than_a_near_one() {
    let times = ConnectTimes::default();
    let [near, far, unknown] = ["near", "far", "unknown"].map(ZoneId::from);
    for round in 0..50 {
        times.note(&near, 2 * MILLISECOND);
        // A round trip of half a second; every fifth takes 200 ms more.
        let extra = if round % 5 == 0 { 200 } else { 0 };
        times.note(&far, (500 + extra) * MILLISECOND);
    }
    expect_that!(times.limit(&near, Duration::ZERO), eq(400 * MILLISECOND));
    expect_that!(times.limit(&far, Duration::ZERO), gt(700 * MILLISECOND));
    expect_that!(times.limit(&far, Duration::ZERO), lt(1_500 * MILLISECOND));
    expect_that!(
        times.limit(&unknown, Duration::ZERO),
        eq(1_000 * MILLISECOND)
    );
}

#[gtest]
fn a_connection_behind_a_full_link_gets_more_time() {
    let times = ConnectTimes::default();
    let near = ZoneId::from("near");
    for _ in 0..50 {
        times.note(&near, 2 * MILLISECOND);
    }
    // Packets wait in the queue in both directions, and the delay is known late.
    let limit = times.limit(&near, 400 * MILLISECOND);
    expect_that!(limit, ge(800 * MILLISECOND));
}

#[gtest]
fn only_a_timeout_behind_a_full_link_is_no_failure_of_the_back_end() {
    let failure = |kind, delay_ms| connect_failure(kind, delay_ms * MILLISECOND);
    expect_that!(
        failure(ErrorKind::TimedOut, 300),
        eq(AttemptFailure::Congested)
    );
    expect_that!(
        failure(ErrorKind::TimedOut, 0),
        eq(AttemptFailure::Unreachable)
    );
    expect_that!(
        failure(ErrorKind::ConnectionRefused, 300),
        eq(AttemptFailure::Refused)
    );
}
