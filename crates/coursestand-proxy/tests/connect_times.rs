//! How long a connection may take.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_model::ZoneId;
use coursestand_proxy::connect_times::ConnectTimes;
use googletest::prelude::*;

const MILLI: Duration = Duration::from_millis(1);

#[gtest]
fn a_zone_far_away_gets_more_time_than_a_near_one() {
    let times = ConnectTimes::default();
    let [near, far, unknown] = ["near", "far", "unknown"].map(ZoneId::from);
    for round in 0..50 {
        times.note(&near, 2 * MILLI);
        // Half a second to and fro, now and then more.
        let more = if round % 5 == 0 { 200 } else { 0 };
        times.note(&far, (500 + more) * MILLI);
    }
    expect_that!(times.limit(&near), eq(400 * MILLI));
    expect_that!(times.limit(&far), gt(700 * MILLI));
    expect_that!(times.limit(&far), lt(1_500 * MILLI));
    expect_that!(times.limit(&unknown), eq(1_000 * MILLI));
}
