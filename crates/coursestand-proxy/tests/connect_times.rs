//! The timeout for connecting adapts to the round-trip time of each zone.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_model::ZoneId;
use coursestand_proxy::connect_times::ConnectTimes;
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
    expect_that!(times.limit(&near), eq(400 * MILLISECOND));
    expect_that!(times.limit(&far), gt(700 * MILLISECOND));
    expect_that!(times.limit(&far), lt(1_500 * MILLISECOND));
    expect_that!(times.limit(&unknown), eq(1_000 * MILLISECOND));
}
