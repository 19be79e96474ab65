//! Streams a back end's answer that is too long to be buffered.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::pool::Connection;

/// Body of a long answer. An incomplete answer aborts the caller's connection, so that it
/// never looks complete.
pub struct StreamedBody {
    first: Option<Bytes>,
    rest: Incoming,
    /// Closed together with the body: its state after a long answer is not checked.
    _connection: Connection,
}

impl StreamedBody {
    /// Creates a body of which `first` has been read on `connection`.
    pub(crate) fn new(first: Bytes, rest: Incoming, connection: Connection) -> StreamedBody {
        StreamedBody {
            first: Some(first),
            rest,
            _connection: connection,
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take()
            && !first.is_empty()
        {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
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
