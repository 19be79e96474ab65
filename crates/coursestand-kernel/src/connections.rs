//! Open connections of an HTTP server, so that a handler can ask about the caller that it serves:
//! whether it has closed the connection, and how long ago it opened it.

use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::clock::MonotonicClock;
use crate::suspension::SuspensionWatch;

/// Both ends of a connection: the address of the server, then that of the caller.
type Endpoints = (SocketAddr, SocketAddr);

/// An open connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    stream: TcpStream,
    clock: MonotonicClock,
    opened_at: u64,
}

impl CallerConnection {
    /// Returns whether the caller has neither closed nor reset the connection, as far as the
    /// system knows. Asks the system directly, so that a close that lies unread in the socket is
    /// seen.
    pub fn is_open(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(length) => length > 0,
            Err(error) => !is_disconnection(&error),
        }
    }

    /// Returns the milliseconds since the connection was opened, including suspensions of the
    /// process.
    pub fn age_ms(&self) -> u64 {
        self.clock.now().saturating_sub(self.opened_at)
    }
}

fn is_disconnection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::NotConnected
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::TimedOut
    )
}

/// The open connections of one or more servers.
#[derive(Debug)]
pub struct CallerConnections {
    clock: MonotonicClock,
    suspensions: Arc<SuspensionWatch>,
    open: Mutex<HashMap<Endpoints, Arc<CallerConnection>>>,
}

impl CallerConnections {
    /// Returns an empty set. `suspensions` dates connections that were opened while the process
    /// was suspended.
    pub fn new(clock: MonotonicClock, suspensions: Arc<SuspensionWatch>) -> CallerConnections {
        CallerConnections {
            clock,
            suspensions,
            open: Mutex::default(),
        }
    }

    /// Returns the open connection between these addresses.
    pub fn find(&self, local: SocketAddr, remote: SocketAddr) -> Option<Arc<CallerConnection>> {
        self.lock().get(&(local, remote)).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Endpoints, Arc<CallerConnection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, endpoints: Endpoints, stream: TcpStream) -> Arc<CallerConnection> {
        let connection = Arc::new(CallerConnection {
            stream,
            clock: self.clock,
            opened_at: self.suspensions.running_since(),
        });
        self.lock().insert(endpoints, Arc::clone(&connection));
        connection
    }

    fn remove(&self, endpoints: &Endpoints, connection: &Arc<CallerConnection>) {
        let mut open = self.lock();
        // The addresses may be in use by a new connection already.
        let is_current = open
            .get(endpoints)
            .is_some_and(|current| Arc::ptr_eq(current, connection));
        if is_current {
            open.remove(endpoints);
        }
    }
}

/// Accepts connections and enters them into a [`CallerConnections`].
pub struct TrackingAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    connections: Arc<CallerConnections>,
}

impl TrackingAcceptor {
    /// Accepts the connections of `listener`. Fails if its address can't be read.
    pub fn new(
        listener: TcpListener,
        connections: Arc<CallerConnections>,
    ) -> io::Result<TrackingAcceptor> {
        Ok(TrackingAcceptor {
            address: listener.local_addr()?,
            listener,
            connections,
        })
    }
}

impl Acceptor for TrackingAcceptor {
    type Io = TrackedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(TrackedStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, remote) = self.listener.accept().await?;
        let local = stream.local_addr()?;
        let endpoints = (local, remote);
        let tracked = TrackedStream {
            connection: self.connections.add(endpoints, stream),
            endpoints,
            connections: Arc::clone(&self.connections),
        };
        let local = LocalAddr(local.into());
        Ok((tracked, local, RemoteAddr(remote.into()), Scheme::HTTP))
    }
}

/// A connection as the HTTP server reads and writes it.
#[derive(Debug)]
pub struct TrackedStream {
    connection: Arc<CallerConnection>,
    endpoints: Endpoints,
    connections: Arc<CallerConnections>,
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.connections.remove(&self.endpoints, &self.connection);
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_write_ready(context))?;
            match stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = &self.connection.stream;
        loop {
            ready!(stream.poll_write_ready(context))?;
            match stream.try_write_vectored(parts) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Responses are written from where they are: many callers share the body of some.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.connection.stream).shutdown(Shutdown::Write))
    }
}
