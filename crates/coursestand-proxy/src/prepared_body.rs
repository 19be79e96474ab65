//! The body of a request as it waits for its attempts.

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::answer::Reason;
use crate::collect::{Collected, HELD_BYTES, collect};
use crate::discard::discard;
use crate::headers::text_of;
use crate::passing_body::PassingBody;
use crate::pool::RequestBody;

/// A request's body between its caller and its back end.
pub(crate) enum PreparedBody {
    /// All of it is here, and can be sent again.
    Held(Bytes),
    /// Too long to be held; sent at most once, and `None` once it was.
    Passing(Option<PassingBody>),
}

impl PreparedBody {
    /// Reads a body of `longest` bytes at most until `deadline`, or as much of it as
    /// is held.
    pub(crate) async fn read(
        headers: &HeaderMap,
        body: Incoming,
        longest: u64,
        deadline: Instant,
    ) -> Result<PreparedBody, Reason> {
        let length: Option<u64> =
            text_of(headers, &CONTENT_LENGTH).and_then(|text| text.parse().ok());
        if length.is_some_and(|length| length > longest) {
            discard(body);
            return Err(Reason::BodyTooLong);
        }
        if length.is_some_and(|length| length > HELD_BYTES as u64) {
            let passing = PassingBody::new(Bytes::new(), body, longest);
            return Ok(PreparedBody::Passing(Some(passing)));
        }
        if body.is_end_stream() {
            return Ok(PreparedBody::Held(Bytes::new()));
        }
        let held = longest.min(HELD_BYTES as u64) as usize;
        let collected = timeout_at(deadline, collect(body, held)).await;
        match collected {
            Ok(Ok(Collected::Whole(bytes))) => Ok(PreparedBody::Held(bytes)),
            Ok(Ok(Collected::Part(first, _))) if first.len() as u64 > longest => {
                Err(Reason::BodyTooLong)
            }
            Ok(Ok(Collected::Part(first, rest))) => {
                let passing = PassingBody::new(first, rest, longest);
                Ok(PreparedBody::Passing(Some(passing)))
            }
            Ok(Err(_)) => Err(Reason::BodyBroken),
            Err(_) => Err(Reason::DeadlinePassed),
        }
    }

    /// Whether it went to a back end and can't be sent again.
    pub(crate) fn is_spent(&self) -> bool {
        matches!(self, PreparedBody::Passing(None))
    }

    /// The body for one attempt, if there is one.
    pub(crate) fn take(&mut self) -> Option<RequestBody> {
        match self {
            PreparedBody::Held(bytes) => Some(Either::Left(Full::new(bytes.clone()))),
            PreparedBody::Passing(body) => body.take().map(Either::Right),
        }
    }

    /// A body that was taken and not sent can be sent to another back end.
    pub(crate) fn give_back(&mut self, unsent: RequestBody) {
        if let Either::Right(body) = unsent {
            *self = PreparedBody::Passing(Some(body));
        }
    }
}
