//! Bounds what is read of a peer's answer before its head is complete.
//!
//! The HTTP library skips interim answers however many there are, so that a faulty back end could
//! keep a connection, and the processor, busy without ever answering.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::open_request::OpenRequest;

/// Bytes that may arrive before the head of an answer is complete: its headers and interim
/// answers.
const MAX_HEAD_BYTES: u64 = 512 * 1024;

/// The number of bytes that may still be read from a connection.
#[derive(Debug)]
pub(crate) struct ReadLimit(AtomicU64);

impl ReadLimit {
    /// Returns the limit of a connection on which no answer has begun.
    pub(crate) fn for_head() -> Arc<ReadLimit> {
        Arc::new(ReadLimit(AtomicU64::new(MAX_HEAD_BYTES)))
    }

    /// Begins to wait for the head of an answer.
    pub(crate) fn expect_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit, since the head is complete: the body is bounded where it is read.
    pub(crate) fn head_received(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }

    fn take(&self, bytes: u64) {
        // Only the task that reads the connection decreases the limit.
        let left = self.0.load(Ordering::Relaxed);
        if left != u64::MAX {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connection that fails to read once the limit is reached, and that is reset when it is dropped
/// while a request is open on it.
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: Arc<ReadLimit>,
    open_request: Arc<OpenRequest>,
}

impl LimitedStream {
    pub(crate) fn new(
        stream: TcpStream,
        limit: Arc<ReadLimit>,
        open_request: Arc<OpenRequest>,
    ) -> LimitedStream {
        LimitedStream {
            stream,
            limit,
            open_request,
        }
    }
}

impl Drop for LimitedStream {
    fn drop(&mut self) {
        if self.open_request.is_open() {
            // Fails if the connection has failed already: then nothing is delivered any more.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.0.load(Ordering::Relaxed) == 0 {
            let reason = "the head of the answer does not end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.take((buffer.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
