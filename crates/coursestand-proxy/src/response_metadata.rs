//! Reads what the head of an answer reports about its back end.

use std::time::Duration;

use coursestand_routing::backends::{BackendReport, LoadReport};
use coursestand_routing::rate_limit::{Rate, RateLimitSignal};
use http::header::{HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};

use crate::header_names::HeaderNames;
use crate::headers::{closes_connection, keep_alive_of, text_of};

/// Header value that reports that the back end is draining.
const IS_DRAINING: &str = "1";

/// What the head of an answer reports about its back end and the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Report on the back end.
    pub report: BackendReport,
    /// How long the back end keeps the connection open while it is idle.
    pub keep_alive: Option<Duration>,
    /// Whether the back end closes the connection after this answer.
    pub closes: bool,
}

impl ResponseMetadata {
    /// Reads the head of an answer.
    pub fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
        ResponseMetadata {
            report: BackendReport {
                load: load_of(names, headers),
                backoff_ms: backoff_of(status, headers),
                is_draining: text_of(headers, &names.drains).map(str::trim) == Some(IS_DRAINING),
                rate: rate_of(names, status, headers),
            },
            keep_alive: keep_alive_of(headers),
            closes: closes_connection(headers),
        }
    }
}

/// Parses a load report: `running,waiting,slots`.
fn load_of(names: &HeaderNames, headers: &HeaderMap) -> Option<LoadReport> {
    let mut parts = text_of(headers, &names.server_load)?.split(',');
    let running = parts.next()?.trim().parse().ok()?;
    let waiting = parts.next()?.trim().parse().ok()?;
    Some(LoadReport { running, waiting })
}

/// Returns the back-off that the back end asks for, in milliseconds: the longest time that a
/// 503 gives. A 429 concerns the sender of the request only, and other statuses concern the
/// request only.
fn backoff_of(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values = headers.get_all(RETRY_AFTER).iter();
    values.filter_map(millis_of_seconds).max()
}

/// Returns the rate limit signal of the answer: the lowest limit that it names. An answer
/// without a limit means that there is none, unless it is a server error: that may have been
/// produced in front of the component that applies the limit.
fn rate_of(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> RateLimitSignal {
    let named = headers.get_all(&names.rate_limit);
    let rates = named.iter().filter_map(decimal_of).map(Rate::per_second);
    match rates.min() {
        Some(rate) => RateLimitSignal::Limited(rate),
        None if named.iter().next().is_some() || status.is_server_error() => {
            RateLimitSignal::NotReported
        }
        None => RateLimitSignal::Unlimited,
    }
}

/// Parses a decimal number without sign or exponent.
fn decimal_of(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_decimal)
}

/// Converts decimal seconds to milliseconds. Dates are not supported, since clocks differ
/// between machines.
fn millis_of_seconds(value: &HeaderValue) -> Option<u64> {
    let seconds = decimal_of(value)?;
    let millis = (seconds * 1_000.0).ceil();
    // The conversion saturates at the bounds of the type.
    (millis > 0.0).then_some(millis as u64)
}
