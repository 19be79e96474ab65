//! Counts the open connections of an emulated back end, refuses those above its
//! limit, and lets each take its time to open.

use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Sleep;

/// Open connections.
pub type ConnectionCount = Arc<AtomicU32>;

/// Accepts up to `limit` connections at the same time; closes others at once.
pub struct CountedAcceptor {
    inner: TcpAcceptor,
    open: ConnectionCount,
    limit: u32,
    open_time: Duration,
    killed: watch::Receiver<bool>,
}

impl CountedAcceptor {
    /// Counts the connections of `inner` in `open`; each can be read from after
    /// `open_time`.
    pub fn new(
        inner: TcpAcceptor,
        open: ConnectionCount,
        limit: u32,
        open_time: Duration,
        killed: watch::Receiver<bool>,
    ) -> CountedAcceptor {
        CountedAcceptor {
            inner,
            open,
            limit,
            open_time,
            killed,
        }
    }
}

impl Acceptor for CountedAcceptor {
    type Io = CountedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, local, remote, scheme) = self.inner.accept().await?;
            if self.open.fetch_add(1, Ordering::SeqCst) >= self.limit {
                self.open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let open = Arc::clone(&self.open);
            let mut killed = self.killed.clone();
            let killed = Box::pin(async move {
                // A back end that is gone counts as killed.
                let _ = killed.wait_for(|killed| *killed).await;
            });
            let opening = Some(Box::pin(tokio::time::sleep(self.open_time)));
            let counted = CountedStream {
                stream,
                open,
                opening,
                killed,
            };
            return Ok((counted, local, remote, scheme));
        }
    }
}

/// A connection that is counted while it is open.
pub struct CountedStream {
    stream: TcpStream,
    open: ConnectionCount,
    opening: Option<Pin<Box<Sleep>>>,
    /// Done once the back end is killed: its connections break with it.
    killed: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.killed.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if let Some(opening) = &mut self.opening {
            ready!(opening.as_mut().poll(context));
            self.opening = None;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
