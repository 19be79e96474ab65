//! Streams a back end's answer that is too long to be buffered.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::memory_budget::MemoryPermit;
use crate::pool::Connection;

/// Error that aborts an answer.
#[derive(Debug, Snafu)]
pub enum AnswerBodyError {
    /// The back end broke off.
    #[snafu(display("the answer broke off: {source}"))]
    BackEnd {
        /// Cause.
        source: hyper::Error,
    },
    /// The time of the request was over before the end of the answer.
    #[snafu(display("the answer did not end in time"))]
    TimedOut,
}

/// Body of a long answer. An incomplete answer aborts the caller's connection, so that it
/// never looks complete.
pub struct StreamedBody {
    first: VecDeque<Bytes>,
    rest: Incoming,
    /// Ends an answer without end.
    time_limit: Pin<Box<Sleep>>,
    /// Closed together with the body: its state after a long answer is not checked.
    connection: Connection,
    _memory: MemoryPermit,
}

impl StreamedBody {
    /// Creates a body of which `first` has been read on `connection`, and which has to end by
    /// `ends_at`. Its buffers are charged to `memory`.
    pub(crate) fn new(
        first: impl IntoIterator<Item = Bytes>,
        rest: Incoming,
        connection: Connection,
        ends_at: Instant,
        memory: MemoryPermit,
    ) -> StreamedBody {
        StreamedBody {
            first: first.into_iter().filter(|part| !part.is_empty()).collect(),
            rest,
            time_limit: Box::pin(sleep_until(ends_at)),
            connection,
            _memory: memory,
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = AnswerBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBodyError>>> {
        if let Some(first) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if self.time_limit.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(AnswerBodyError::TimedOut)));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) {
            self.connection.answer_completed();
        }
        frame.map_err(|source| AnswerBodyError::BackEnd { source })
    }

    fn size_hint(&self) -> SizeHint {
        let first_length = self.first.iter().map(Bytes::len).sum::<usize>() as u64;
        let mut hint = self.rest.size_hint();
        if let Some(exact) = hint.exact() {
            hint.set_exact(exact + first_length);
        }
        hint
    }
}
