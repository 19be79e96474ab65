//! Request bodies, buffered for several attempts or streamed in one.

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::{Either, Full};
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use crate::answer::Reason;
use crate::collect::{Collected, MAX_BUFFERED_BYTES, collect};
use crate::discard::discard;
use crate::guarded_body::CallerBody;
use crate::headers::text_of;
use crate::pool::RequestBody;
use crate::streamed_request_body::StreamedRequestBody;

/// The body of a request that is to be sent to a back end.
pub(crate) enum PreparedBody {
    /// Buffered completely, and can be sent again.
    Buffered(Bytes),
    /// Too long to be buffered. Sent at most once, and `None` afterwards.
    Streamed(Option<StreamedRequestBody>),
}

impl PreparedBody {
    /// Reads a body of at most `max_bytes` bytes until `deadline`, or as much of it as is
    /// buffered.
    pub(crate) async fn read(
        headers: &HeaderMap,
        body: CallerBody,
        max_bytes: u64,
        deadline: Instant,
    ) -> Result<PreparedBody, Reason> {
        let length: Option<u64> =
            text_of(headers, &CONTENT_LENGTH).and_then(|text| text.parse().ok());
        if length.is_some_and(|length| length > max_bytes) {
            discard(body);
            return Err(Reason::BodyTooLong);
        }
        if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
            let streamed = StreamedRequestBody::new(Bytes::new(), body, max_bytes);
            return Ok(PreparedBody::Streamed(Some(streamed)));
        }
        if body.is_end_stream() {
            return Ok(PreparedBody::Buffered(Bytes::new()));
        }
        let buffered_limit = max_bytes.min(MAX_BUFFERED_BYTES as u64) as usize;
        let collected = timeout_at(deadline, collect(body, buffered_limit)).await;
        match collected {
            Ok(Ok(Collected::Complete(bytes))) => Ok(PreparedBody::Buffered(bytes)),
            Ok(Ok(Collected::Partial(first, _))) if first.len() as u64 > max_bytes => {
                Err(Reason::BodyTooLong)
            }
            Ok(Ok(Collected::Partial(first, rest))) => {
                let streamed = StreamedRequestBody::new(first, rest, max_bytes);
                Ok(PreparedBody::Streamed(Some(streamed)))
            }
            Ok(Err(_)) => Err(Reason::BodyBroken),
            Err(_) => Err(Reason::DeadlinePassed),
        }
    }

    /// Returns whether the body has been sent to a back end and can't be sent again.
    pub(crate) fn is_spent(&self) -> bool {
        matches!(self, PreparedBody::Streamed(None))
    }

    /// Takes the body for one attempt, if it is available.
    pub(crate) fn take(&mut self) -> Option<RequestBody> {
        match self {
            PreparedBody::Buffered(bytes) => Some(Either::Left(Full::new(bytes.clone()))),
            PreparedBody::Streamed(body) => body.take().map(Either::Right),
        }
    }

    /// Returns a body that was taken and not sent, for the next attempt.
    pub(crate) fn give_back(&mut self, unsent: RequestBody) {
        if let Either::Right(body) = unsent {
            *self = PreparedBody::Streamed(Some(body));
        }
    }
}
