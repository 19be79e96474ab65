//! A connection that reports to its [`OpenConnection`] what is read and written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::open_connections::OpenConnection;

/// Maximum length of a read in bytes. The HTTP server enlarges its read buffer whenever a read
/// fills it, up to the limit on heads, and keeps that buffer for the connection.
const MAX_READ_BYTES: usize = 16 * 1024;

/// A connection as the HTTP server reads and writes it.
pub(crate) struct BoundedStream<S> {
    stream: S,
    connection: Arc<OpenConnection>,
}

impl<S> BoundedStream<S> {
    pub(crate) fn new(stream: S, connection: Arc<OpenConnection>) -> BoundedStream<S> {
        BoundedStream { stream, connection }
    }

    fn note_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(_)) => self.connection.note_written(),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.connection.note_blocked(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let length = part.filled().len();
        buffer.advance(length);
        if length > 0 {
            self.connection.note_read(length);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.note_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
