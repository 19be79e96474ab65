//! Judges what came back from a back end: whether it is the answer, and whether
//! the request may have run.

use http::header::CONTENT_ENCODING;
use http::{HeaderMap, StatusCode};

use crate::header_names::HeaderNames;
use crate::headers::text_of;

/// What an answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the back end's answer to this request, to be passed on unchanged.
    Genuine,
    /// The back end did not run the request because it is full or late.
    Shed,
    /// Another instance has the address, and did not run the request.
    Misdirected,
    /// It is not the answer to this request; the request may have run.
    Foreign(&'static str),
}

/// Statuses that promise the caller that nothing was run. Only the back end's
/// own word allows to pass them on.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Judges the head of an answer to the request with identity `request_id`.
pub fn judge(
    names: &HeaderNames,
    request_id: Option<&str>,
    status: StatusCode,
    headers: &HeaderMap,
) -> Verdict {
    let echoed = text_of(headers, &names.request_id);
    if echoed.is_some() && echoed != request_id {
        return Verdict::Foreign("another request's identity");
    }
    let says_not_run = headers.contains_key(&names.not_executed);
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Misdirected;
    }
    if says_not_run && !status.is_success() {
        return Verdict::Shed;
    }
    if PROMISES.contains(&status) {
        return Verdict::Foreign("a promise without its proof");
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Verdict::Foreign("an encoding nobody asked for");
    }
    let is_signed = headers.contains_key(&names.signature);
    if status.is_success() && (!is_signed || echoed.is_none()) {
        return Verdict::Foreign("a success without signature or identity");
    }
    if !is_signed && !status.is_server_error() {
        return Verdict::Foreign("a status without signature");
    }
    Verdict::Genuine
}
