//! A back end's answer that is too long to be held, on its way through.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::pool::Connection;

/// A long answer on its way through. An end that is not whole breaks the caller's
/// connection off, so that it never looks complete.
pub struct StreamedBody {
    first: Option<Bytes>,
    rest: Incoming,
    /// Closed with the body: its state after a long answer is not looked into.
    _connection: Connection,
}

impl StreamedBody {
    /// The body of which `first` has come on `connection`.
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
        let held = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let mut hint = self.rest.size_hint();
        if let Some(exact) = hint.exact() {
            hint.set_exact(exact + held);
        }
        hint
    }
}
