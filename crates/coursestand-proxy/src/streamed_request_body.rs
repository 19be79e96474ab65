//! Streams a request body that is too long to be buffered.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;

use crate::guarded_body::CallerBody;
use crate::memory_budget::MemoryPermit;

/// Error that aborts a request body.
#[derive(Debug, Snafu)]
pub enum RequestBodyError {
    /// The caller closed the connection.
    #[snafu(display("the caller closed the connection: {source}"))]
    Caller {
        /// Cause.
        source: hyper::Error,
    },
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than allowed"))]
    TooLong,
}

/// The part of a body that has been read, followed by the remaining stream.
pub struct StreamedRequestBody {
    first: Option<Bytes>,
    rest: CallerBody,
    /// Bytes that may still be received.
    bytes_left: u64,
    _memory: MemoryPermit,
}

impl StreamedRequestBody {
    /// Creates a body of at most `max_bytes` bytes, of which `first` has been read. Its buffers are
    /// charged to `memory`.
    pub(crate) fn new(
        first: Bytes,
        rest: CallerBody,
        max_bytes: u64,
        memory: MemoryPermit,
    ) -> StreamedRequestBody {
        StreamedRequestBody {
            first: (!first.is_empty()).then_some(first),
            rest,
            bytes_left: max_bytes,
            _memory: memory,
        }
    }

    fn count(&mut self, data: &Bytes) -> Result<(), RequestBodyError> {
        let left = self.bytes_left.checked_sub(data.len() as u64);
        self.bytes_left = left.ok_or(RequestBodyError::TooLong)?;
        Ok(())
    }
}

impl Body for StreamedRequestBody {
    type Data = Bytes;
    type Error = RequestBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestBodyError>>> {
        if let Some(first) = self.first.take() {
            let counted = self.count(&first);
            return Poll::Ready(Some(counted.map(|()| Frame::data(first))));
        }
        match Pin::new(&mut self.rest).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let counted = match frame.data_ref() {
                    Some(data) => self.count(data),
                    None => Ok(()),
                };
                Poll::Ready(Some(counted.map(|()| frame)))
            }
            Poll::Ready(Some(Err(source))) => {
                Poll::Ready(Some(Err(RequestBodyError::Caller { source })))
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first_length = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let mut hint = self.rest.size_hint();
        if let Some(exact) = hint.exact() {
            hint.set_exact(exact + first_length);
        }
        hint
    }
}
