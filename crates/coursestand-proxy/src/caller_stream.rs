//! A caller's connection that tells its idle timer what was read and written, and that reads a
//! head only as long as there is memory for it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::idle_timer::IdleTimer;
use crate::memory_budget::MemoryBudget;

/// A caller's connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    idle_timer: Arc<IdleTimer>,
    memory: Arc<MemoryBudget>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        idle_timer: Arc<IdleTimer>,
        memory: Arc<MemoryBudget>,
    ) -> CallerStream {
        CallerStream {
            stream,
            idle_timer,
            memory,
        }
    }
}

impl Drop for CallerStream {
    /// Resets the connection if its answer is incomplete: the orderly end of a connection is the
    /// end of a body without a length (RFC 9112, section 6.3), so that it would look complete.
    fn drop(&mut self) {
        if self.idle_timer.has_broken_answer() {
            // Fails if the connection has failed already: then nothing is delivered any more.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self
            .idle_timer
            .reserve(buffer.remaining(), &self.memory)
            .is_err()
        {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.idle_timer.note_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.idle_timer.note_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.idle_timer.note_write(written.is_pending());
        written
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
