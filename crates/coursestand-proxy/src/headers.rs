//! Reads headers and removes hop-by-hop headers.

use std::time::Duration;

use http::Method;
use http::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop headers, besides those that `Connection` names.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Upper bound on the keep-alive time that a back end announces; keeps the value within the
/// range of every clock.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);

/// Removes hop-by-hop headers.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers of an answer that concern only the connection on which it was received:
/// the hop-by-hop headers and the length, which is stated again for the body that was read. The
/// length in an answer to HEAD describes a body that is not sent, and stays.
pub fn strip_answer_headers(method: &Method, headers: &mut HeaderMap) {
    strip_connection_headers(headers);
    if method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
}

/// Returns the value of a header as text.
pub fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a header in milliseconds; fractions are truncated.
pub fn millis_of(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = text_of(headers, name)?.trim();
    let whole = text.split('.').next().unwrap_or(text);
    whole.parse().ok().map(Duration::from_millis)
}

/// Returns how long the peer keeps an idle connection, as given by
/// `Keep-Alive: timeout=SECONDS`.
pub fn keep_alive_of(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        let seconds = value.trim().parse().ok()?;
        is_timeout.then(|| Duration::from_secs(seconds).min(MAX_KEEP_ALIVE))
    })
}

/// Returns whether the peer closes the connection after this message.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Returns the size of the headers on the wire in bytes: `name: value` and the line end.
pub fn size_of(headers: &HeaderMap) -> u64 {
    const SEPARATORS: usize = 4;
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS);
    sizes.sum::<usize>() as u64
}
