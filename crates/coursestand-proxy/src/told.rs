//! What a back end says of itself in the head of an answer, read in one place.

use std::time::Duration;

use coursestand_routing::backends::{BackendReport, LoadReport};
use coursestand_routing::rate_limit::{Rate, RateLimitSignal};
use http::header::{HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};

use crate::header_names::HeaderNames;
use crate::headers::{closes_connection, keep_alive_of, text_of};

/// What a back end says that it drains by.
const DRAINS: &str = "1";

/// What the head of an answer tells of its back end and of the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// What it says of the back end.
    pub report: BackendReport,
    /// How long the back end keeps the connection while it rests.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends after this answer.
    pub closes: bool,
}

impl Told {
    /// Reads the head of an answer.
    pub fn read(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> Told {
        Told {
            report: BackendReport {
                load: load_of(names, headers),
                backoff_ms: backoff_of(status, headers),
                is_draining: text_of(headers, &names.drains).map(str::trim) == Some(DRAINS),
                rate: rate_of(names, status, headers),
            },
            keep_alive: keep_alive_of(headers),
            closes: closes_connection(headers),
        }
    }
}

/// A load report: `running,waiting,slots`.
fn load_of(names: &HeaderNames, headers: &HeaderMap) -> Option<LoadReport> {
    let mut parts = text_of(headers, &names.server_load)?.split(',');
    let running = parts.next()?.trim().parse().ok()?;
    let waiting = parts.next()?.trim().parse().ok()?;
    Some(LoadReport { running, waiting })
}

/// For how long the back end wants no requests, in milliseconds: the longest time that a
/// 503 gives. A 429 concerns who asked, and other statuses nothing but their request.
fn backoff_of(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let told = headers.get_all(RETRY_AFTER).iter();
    told.filter_map(millis_of_seconds).max()
}

/// What the answer says of the back end's rate limit: the lowest that it names. One that
/// names none tells that there is none, unless it is a failure: that need not come from where
/// the limit is kept.
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

/// A decimal number without sign or exponent.
fn decimal_of(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_decimal)
}

/// Milliseconds of decimal seconds. Dates are not read: clocks differ between machines.
fn millis_of_seconds(value: &HeaderValue) -> Option<u64> {
    let seconds = decimal_of(value)?;
    let millis = (seconds * 1_000.0).ceil();
    // Conversion keeps to the bounds of the type, whatever was told.
    (millis > 0.0).then_some(millis as u64)
}
