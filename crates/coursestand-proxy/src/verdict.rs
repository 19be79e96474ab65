//! Validates the answer of a back end: whether it belongs to the request, and whether the
//! request may have run.

use std::ops::RangeInclusive;

use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};

use crate::header_names::HeaderNames;
use crate::headers::text_of;

/// What the head of an answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the back end's answer to this request and is forwarded unchanged.
    Genuine,
    /// The back end did not run the request because it is overloaded or cannot meet the
    /// deadline.
    Shed,
    /// Another instance has the address and did not run the request.
    Misdirected,
    /// It is not the answer to this request; the request may have run.
    Foreign(&'static str),
}

/// Statuses that promise the caller that the request was not run. They are forwarded only with
/// the back end's own confirmation.
pub(crate) const STATUSES_THAT_PROMISE_NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Statuses that HTTP defines for final answers.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Validates the head of an answer to the request with id `request_id`.
pub fn judge(
    names: &HeaderNames,
    request_id: Option<&str>,
    status: StatusCode,
    headers: &HeaderMap,
) -> Verdict {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Verdict::Foreign("a status that HTTP does not define for an answer");
    }
    if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
        return Verdict::Foreign("both a length and a transfer coding");
    }
    let echoed = text_of(headers, &names.request_id);
    match (request_id, echoed) {
        (Some(_), None) => return Verdict::Foreign("no request id"),
        _ if echoed != request_id => return Verdict::Foreign("the id of another request"),
        _ => {}
    }
    let is_marked_not_run = headers.contains_key(&names.not_executed);
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Misdirected;
    }
    if is_marked_not_run && !status.is_success() {
        return Verdict::Shed;
    }
    if STATUSES_THAT_PROMISE_NOT_RUN.contains(&status) {
        return Verdict::Foreign(
            "a status that promises that the request was not run, without confirmation",
        );
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Verdict::Foreign("an unrequested content encoding");
    }
    let is_signed = headers.contains_key(&names.signature);
    if status.is_success() && (!is_signed || echoed.is_none()) {
        return Verdict::Foreign("a success without signature or request id");
    }
    if !is_signed && !status.is_server_error() {
        return Verdict::Foreign("a status without signature");
    }
    Verdict::Genuine
}
