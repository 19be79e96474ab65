//! A request's body that is too long to be held, on its way through.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;

/// Why a body was broken off on its way.
#[derive(Debug, Snafu)]
pub enum PassingError {
    /// The caller broke off.
    #[snafu(display("the caller broke off: {source}"))]
    Caller {
        /// Cause.
        source: hyper::Error,
    },
    /// It is longer than allowed.
    #[snafu(display("the body is longer than allowed"))]
    TooLong,
}

/// What has been read of a body, and its rest.
pub struct PassingBody {
    first: Option<Bytes>,
    rest: Incoming,
    /// Bytes that may still come.
    allowance: u64,
}

impl PassingBody {
    /// A body of `longest` bytes at most, of which `first` was read.
    pub fn new(first: Bytes, rest: Incoming, longest: u64) -> PassingBody {
        PassingBody {
            first: (!first.is_empty()).then_some(first),
            rest,
            allowance: longest,
        }
    }

    fn count(&mut self, data: &Bytes) -> Result<(), PassingError> {
        let left = self.allowance.checked_sub(data.len() as u64);
        self.allowance = left.ok_or(PassingError::TooLong)?;
        Ok(())
    }
}

impl Body for PassingBody {
    type Data = Bytes;
    type Error = PassingError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PassingError>>> {
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
                Poll::Ready(Some(Err(PassingError::Caller { source })))
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
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
