//! The use of the link as the meter tells it.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_proxy::link_meter::LinkMeter;
use googletest::prelude::*;

#[tokio::test(start_paused = true)]
async fn the_rate_follows_the_bytes_smoothly() {
    let meter = LinkMeter::default();
    let mut rates = Vec::new();
    for _ in 0..6 {
        // Ten requests of 12,100 bytes and a head of 400: one megabit.
        for _ in 0..10 {
            meter.count(12_100);
        }
        tokio::time::advance(Duration::from_secs(1)).await;
        rates.push(meter.sample());
    }
    assert_that!(rates[0], near(0.5, 0.001));
    assert_that!(rates[5], near(1.0, 0.02));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_that!(meter.sample(), near(0.5, 0.02));
}
