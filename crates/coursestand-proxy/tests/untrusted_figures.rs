//! Numbers from back ends and operators that exceed the range of clocks and counters.
#![allow(missing_docs)]

use std::time::Duration;

use coursestand_catalog::Limits;
use coursestand_proxy::HeaderNames;
use coursestand_proxy::caller_limits::CallerLimits;
use coursestand_proxy::headers::keep_alive_of;
use coursestand_proxy::response_metadata::ResponseMetadata;
use coursestand_routing::{Rate, RateLimitSignal};
use googletest::prelude::*;
use http::header::HeaderValue;
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

fn is_valid_timeout(time: Duration) -> bool {
    Instant::now().checked_add(time).is_some()
}

#[gtest]
fn an_unbounded_keep_alive_is_a_valid_timeout() {
    let mut headers = HeaderMap::new();
    let header = format!("timeout={}", u64::MAX);
    headers.insert("keep-alive", HeaderValue::from_str(&header).expect("text"));
    let kept = keep_alive_of(&headers).expect("a time");
    expect_that!(is_valid_timeout(kept), eq(true));
}

#[gtest]
fn an_unbounded_idle_timeout_is_a_valid_timeout() {
    let limits = Limits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout_ms: u64::MAX,
        idle_timeout_ms: u64::MAX,
        notation: String::new(),
    };
    let idle = CallerLimits::of(&limits).idle;
    expect_that!(is_valid_timeout(idle), eq(true));
}

fn metadata(status: u16, lines: &[(&'static str, &'static str)]) -> ResponseMetadata {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    ResponseMetadata::read(&HeaderNames::default(), status, &headers)
}

#[gtest]
fn a_backoff_is_read_only_from_a_positive_decimal_number() {
    let backoff = |value| metadata(503, &[("retry-after", value)]).report.backoff_ms;
    for (text, millis) in [
        ("3", 3_000),
        (" 0.25 ", 250),
        ("1.", 1_000),
        ("0.0001", 1),
        ("31536000", 31_536_000_000),
        ("99999999999999999999999999", u64::MAX),
    ] {
        expect_that!(backoff(text), some(eq(millis)), "{text}");
    }
    for text in [
        "",
        "0",
        "0.0",
        "-3",
        "+3",
        "1e3",
        "inf",
        "NaN",
        ".",
        "1.2.3",
        "3 s",
        "3, 5",
        "Thu, 03 Dec 2026 03:00:00 GMT",
    ] {
        expect_that!(backoff(text), none(), "{text}");
    }
}

#[gtest]
fn the_longest_of_several_backoffs_applies() {
    let lines = [
        ("retry-after", "2"),
        ("retry-after", "nonsense"),
        ("retry-after", "5"),
    ];
    expect_that!(metadata(503, &lines).report.backoff_ms, some(eq(5_000)));
}

#[gtest]
fn only_a_503_of_the_back_end_requests_a_backoff() {
    for status in [200, 301, 429, 500, 504] {
        let metadata = metadata(status, &[("retry-after", "3")]);
        expect_that!(metadata.report.backoff_ms, none(), "{status}");
    }
}

#[gtest]
fn draining_is_read_from_an_answer_of_any_status() {
    for status in [200, 404, 500, 503] {
        let metadata = metadata(status, &[("x-draining", "1")]);
        expect_that!(metadata.report.is_draining, eq(true), "{status}");
    }
    for value in ["0", "", "no", "11"] {
        expect_that!(
            metadata(200, &[("x-draining", value)]).report.is_draining,
            eq(false)
        );
    }
}

/// Guards against rate limits guessed from text that isn't a decimal number.
#[gtest]
fn a_rate_limit_is_read_only_from_a_decimal_number() {
    let rate_limit = |value| metadata(200, &[("x-rate-limit", value)]).report.rate;
    for (text, per_second) in [
        ("5", 5.0),
        ("5.1", 5.1),
        (" 0.2 ", 0.2),
        ("0", 0.0),
        ("0.0001", 0.0),
        ("1.", 1.0),
    ] {
        let rate = Rate::per_second(per_second);
        expect_that!(
            rate_limit(text),
            eq(RateLimitSignal::Limited(rate)),
            "{text}"
        );
    }
    for text in [
        "",
        "-1",
        "+5",
        "NaN",
        "inf",
        "1e300",
        "5,1",
        "5 a second",
        ".",
        "1.2.3",
    ] {
        expect_that!(rate_limit(text), eq(RateLimitSignal::NotReported), "{text}");
    }
    let digits: &'static str = "9".repeat(400).leak();
    let highest = Rate::per_second(f64::INFINITY);
    expect_that!(rate_limit(digits), eq(RateLimitSignal::Limited(highest)));
}

/// Guards against a limit that is lifted by an unreadable header or by a failure.
#[gtest]
fn only_an_answer_without_the_header_lifts_the_limit() {
    let lines = [
        ("x-rate-limit", "nonsense"),
        ("x-rate-limit", "7"),
        ("x-rate-limit", "3"),
    ];
    let lowest = RateLimitSignal::Limited(Rate::per_second(3.0));
    expect_that!(metadata(200, &lines).report.rate, eq(lowest));
    expect_that!(metadata(503, &lines).report.rate, eq(lowest));
    for status in [200, 204, 404] {
        expect_that!(
            metadata(status, &[]).report.rate,
            eq(RateLimitSignal::Unlimited),
            "{status}"
        );
    }
    for status in [500, 503, 504] {
        expect_that!(
            metadata(status, &[]).report.rate,
            eq(RateLimitSignal::NotReported),
            "{status}"
        );
    }
}
