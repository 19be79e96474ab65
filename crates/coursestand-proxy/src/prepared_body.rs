//! Request bodies, buffered for several attempts or streamed in one.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::{Either, Full};
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use crate::answer::Reason;
use crate::caller_limits::CallerLimits;
use crate::collect::{Collected, MAX_BUFFERED_BYTES, charged, collect};
use crate::discard::discard;
use crate::guarded_body::CallerBody;
use crate::headers::text_of;
use crate::memory_budget::{MemoryBudget, MemoryKind, MemoryPermit, NoRoom};
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
    /// Reads a body within `limits` until `deadline`, or as much of it as is buffered. What is kept
    /// is charged to `memory`.
    pub(crate) async fn read(
        headers: &HeaderMap,
        mut body: CallerBody,
        limits: &CallerLimits,
        deadline: Instant,
        memory: &Arc<MemoryBudget>,
    ) -> Result<PreparedBody, Reason> {
        let length: Option<u64> =
            text_of(headers, &CONTENT_LENGTH).and_then(|text| text.parse().ok());
        if length.is_some_and(|length| length > limits.body_bytes) {
            discard(body);
            return Err(Reason::BodyTooLong);
        }
        if length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) {
            return stream(Bytes::new(), body, limits, memory);
        }
        let head = body.take_memory();
        if body.is_end_stream() {
            return Ok(PreparedBody::Buffered(without_body(head)?));
        }
        let permit =
            head.unwrap_or_else(|| memory.receive(MemoryKind::RequestBody, Instant::now()));
        let buffered_limit = limits.body_bytes.min(MAX_BUFFERED_BYTES as u64) as usize;
        let reader_bytes = limits.read_buffer_cost();
        let reception = body.begin_reception();
        let collecting = collect(&mut body, buffered_limit, permit, reader_bytes);
        let collected = tokio::select! {
            biased;
            collected = timeout_at(deadline, collecting) => collected,
            () = reception.evicted() => Ok(Ok(Collected::NoRoom([Bytes::new(), Bytes::new()]))),
        };
        drop(reception);
        match collected {
            Ok(Ok(Collected::Complete(bytes))) => Ok(PreparedBody::Buffered(bytes)),
            Ok(Ok(Collected::Partial(first))) if first.len() as u64 > limits.body_bytes => {
                Err(Reason::BodyTooLong)
            }
            Ok(Ok(Collected::Partial(first))) => stream(first, body, limits, memory),
            Ok(Ok(Collected::NoRoom(_))) => {
                discard(body);
                Err(Reason::Overloaded)
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

/// Returns the empty body of a request that keeps what `head` permits.
fn without_body(head: Option<MemoryPermit>) -> Result<Bytes, Reason> {
    let Some(mut head) = head else {
        return Ok(Bytes::new());
    };
    head.keep().map_err(|NoRoom| Reason::Overloaded)?;
    Ok(charged(Bytes::new(), head))
}

/// Streams a body of which `first` has been read.
fn stream(
    first: Bytes,
    mut body: CallerBody,
    limits: &CallerLimits,
    memory: &Arc<MemoryBudget>,
) -> Result<PreparedBody, Reason> {
    let mut head = body.take_memory();
    let kept = head.as_mut().map_or(Ok(()), MemoryPermit::keep);
    let reserved = kept.and_then(|()| memory.stream());
    let body = body.with_memory(head);
    match reserved {
        Ok(permit) => {
            let streamed = StreamedRequestBody::new(first, body, limits.body_bytes, permit);
            Ok(PreparedBody::Streamed(Some(streamed)))
        }
        Err(NoRoom) => {
            discard(body);
            Err(Reason::Overloaded)
        }
    }
}
