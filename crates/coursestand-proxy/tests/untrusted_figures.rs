//! Figures that back ends and operators may send and that no clock or counter holds.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_catalog::Limits;
use coursestand_proxy::caller_limits::CallerLimits;
use coursestand_proxy::headers::keep_alive_of;
use googletest::prelude::*;
use http::HeaderMap;
use http::header::HeaderValue;
use tokio::time::Instant;

fn can_be_waited_for(time: Duration) -> bool {
    Instant::now().checked_add(time).is_some()
}

#[gtest]
fn a_keep_alive_without_end_is_borne() {
    let mut headers = HeaderMap::new();
    let longest = format!("timeout={}", u64::MAX);
    headers.insert("keep-alive", HeaderValue::from_str(&longest).expect("text"));
    let kept = keep_alive_of(&headers).expect("a time");
    expect_that!(can_be_waited_for(kept), eq(true));
}

#[gtest]
fn an_idle_time_without_end_is_borne() {
    let limits = Limits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout_ms: u64::MAX,
        idle_timeout_ms: u64::MAX,
        notation: String::new(),
    };
    let idle = CallerLimits::of(&limits).idle;
    expect_that!(can_be_waited_for(idle), eq(true));
}
