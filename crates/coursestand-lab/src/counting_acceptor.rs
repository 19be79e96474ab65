//! Counts the open connections of an emulated back end, closes those above its limit,
//! and delays the first read of each by an emulated connection set-up time.

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

/// Number of open connections.
pub type ConnectionCount = Arc<AtomicU32>;

/// Accepts up to `limit` concurrent connections and closes others at once.
pub struct CountingAcceptor {
    inner: TcpAcceptor,
    open: ConnectionCount,
    limit: u32,
    setup_time: Duration,
    killed: watch::Receiver<bool>,
}

impl CountingAcceptor {
    /// Counts the connections of `inner` in `open`; the first read of each waits for
    /// `setup_time`.
    pub fn new(
        inner: TcpAcceptor,
        open: ConnectionCount,
        limit: u32,
        setup_time: Duration,
        killed: watch::Receiver<bool>,
    ) -> CountingAcceptor {
        CountingAcceptor {
            inner,
            open,
            limit,
            setup_time,
            killed,
        }
    }
}

impl Acceptor for CountingAcceptor {
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
                // A dropped sender counts as killed.
                let _ = killed.wait_for(|killed| *killed).await;
            });
            let setup_timer = Some(Box::pin(tokio::time::sleep(self.setup_time)));
            let connection = CountedStream {
                stream,
                open,
                setup_timer,
                killed,
            };
            return Ok((connection, local, remote, scheme));
        }
    }
}

/// A connection, counted until it is dropped.
pub struct CountedStream {
    stream: TcpStream,
    open: ConnectionCount,
    setup_timer: Option<Pin<Box<Sleep>>>,
    /// Completes when the back end is killed, which resets its connections.
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
        if let Some(setup_timer) = &mut self.setup_timer {
            ready!(setup_timer.as_mut().poll(context));
            self.setup_timer = None;
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
