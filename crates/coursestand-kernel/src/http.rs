//! An HTTP server with graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::combinators::BoxBody;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::bounded_stream::BoundedStream;
use crate::connections::{CallerConnections, TrackingAcceptor};
use crate::open_connections::{IncomingCall, OpenConnection, OpenConnections};
use crate::server_limits::ServerLimits;

/// Time between two searches for connections that have waited for their callers too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// While too many connections are open, time between two attempts to close some.
const MAKE_ROOM_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a server accepts again when the system refused a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a server could not start.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The listener could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

/// How a server treats its callers.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Time for requests in flight to finish at a planned stop.
    pub grace: Duration,
    /// Limits on connections.
    pub limits: ServerLimits,
}

impl From<Duration> for ServerOptions {
    /// Returns options with this grace and the default limits.
    fn from(grace: Duration) -> ServerOptions {
        ServerOptions {
            grace,
            limits: ServerLimits::default(),
        }
    }
}

/// A running HTTP server.
pub struct HttpServer {
    address: SocketAddr,
    shutdown: watch::Sender<bool>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Listens on `address` and serves `endpoint`. After [`HttpServer::drain`] is called,
    /// requests in flight have the grace of `options` to finish.
    pub async fn start<E>(
        address: SocketAddr,
        endpoint: E,
        options: impl Into<ServerOptions>,
    ) -> Result<HttpServer, HttpError>
    where
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let acceptor = TcpAcceptor::from_tokio(listener).context(ListenSnafu { address })?;
        Ok(HttpServer::serve(
            address,
            acceptor,
            endpoint,
            options.into(),
        ))
    }

    /// Like [`Self::start`], and enters each open connection into `connections`.
    pub async fn start_tracking<E>(
        address: SocketAddr,
        endpoint: E,
        options: impl Into<ServerOptions>,
        connections: Arc<CallerConnections>,
    ) -> Result<HttpServer, HttpError>
    where
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let acceptor =
            TrackingAcceptor::new(listener, connections).context(ListenSnafu { address })?;
        Ok(HttpServer::serve(
            address,
            acceptor,
            endpoint,
            options.into(),
        ))
    }

    fn serve<A, E>(
        address: SocketAddr,
        acceptor: A,
        endpoint: E,
        options: ServerOptions,
    ) -> HttpServer
    where
        A: Acceptor + 'static,
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let (shutdown, signal) = watch::channel(false);
        let endpoint = endpoint.into_endpoint();
        let task = tokio::spawn(serve(acceptor, endpoint, signal, options));
        HttpServer {
            address,
            shutdown,
            task: Mutex::new(Some(task)),
        }
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for requests in flight.
    pub async fn drain(&self) {
        self.shutdown.send_replace(true);
        let task = self.take_task();
        if let Some(task) = task {
            // If the server task panicked, no request is in flight.
            let _ = task.await;
        }
    }

    /// Aborts the server and every request in flight.
    pub fn abort(&self) {
        if let Some(task) = self.take_task() {
            task.abort();
        }
    }

    fn take_task(&self) -> Option<JoinHandle<()>> {
        self.task
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .take()
    }
}

/// Accepts connections until `signal` is set, and gives those in progress the grace to finish.
async fn serve<A, E>(
    mut acceptor: A,
    endpoint: E,
    mut signal: watch::Receiver<bool>,
    options: ServerOptions,
) where
    A: Acceptor,
    E: poem::Endpoint + 'static,
{
    let endpoint = Arc::new(endpoint);
    let connections = Arc::new(OpenConnections::new(options.limits));
    let mut tasks = JoinSet::new();
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    let connection_signal = signal.clone();
    let mut stop = pin!(async move {
        // The sender is dropped only with the server itself.
        let _ = signal.wait_for(|stop| *stop).await;
    });
    loop {
        let is_over_limit = connections.is_over_limit();
        tokio::select! {
            _ = &mut stop => break,
            _ = sweep.tick() => connections.close_expired(),
            () = connections.freed(), if is_over_limit => {}
            () = tokio::time::sleep(MAKE_ROOM_INTERVAL), if is_over_limit => {
                connections.close_oldest();
            }
            Some(_) = tasks.join_next() => {}
            accepted = acceptor.accept(), if !is_over_limit => match accepted {
                Ok((stream, local, remote, scheme)) => {
                    let connection = connections.register();
                    if connections.is_over_limit() {
                        connections.close_oldest();
                    }
                    let caller = Caller { local, remote, scheme };
                    tasks.spawn(serve_connection(
                        stream,
                        caller,
                        Arc::clone(&endpoint),
                        connection,
                        options.limits,
                        connection_signal.clone(),
                    ));
                }
                Err(error) => {
                    log::warn!(target: "kernel", "cannot accept a connection: {error}");
                    connections.close_oldest();
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
    drop(acceptor);
    let finishing = async { while tasks.join_next().await.is_some() {} };
    // Connections that remain are closed with the set of tasks.
    let _ = tokio::time::timeout(options.grace, finishing).await;
}

type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Both ends of a connection, and its scheme.
#[derive(Clone)]
struct Caller {
    local: LocalAddr,
    remote: RemoteAddr,
    scheme: Scheme,
}

async fn serve_connection<S, E>(
    stream: S,
    caller: Caller,
    endpoint: Arc<E>,
    connection: Arc<OpenConnection>,
    limits: ServerLimits,
    mut signal: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    E: poem::Endpoint + 'static,
{
    let stream = BoundedStream::new(stream, Arc::clone(&connection));
    let handler = Arc::clone(&connection);
    let service = service_fn(move |request| {
        handle(
            request,
            caller.clone(),
            Arc::clone(&endpoint),
            Arc::clone(&handler),
        )
    });
    let mut serving = pin!(
        http1::Builder::new()
            .max_buf_size(limits.max_head_bytes)
            .serve_connection(TokioIo::new(stream), service)
    );
    let mut is_stopping = false;
    loop {
        tokio::select! {
            result = &mut serving => {
                if let Err(error) = result {
                    log::debug!(target: "kernel", "connection closed: {error}");
                }
                return;
            }
            () = connection.closed() => return,
            _ = signal.wait_for(|stop| *stop), if !is_stopping => {
                is_stopping = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn handle<E: poem::Endpoint>(
    mut request: hyper::Request<Incoming>,
    caller: Caller,
    endpoint: Arc<E>,
    connection: Arc<OpenConnection>,
) -> Result<hyper::Response<ResponseBody>, Infallible> {
    connection.begin_handling();
    let call = IncomingCall(Arc::clone(&connection));
    request.extensions_mut().insert(call);
    let request = (request, caller.local, caller.remote, caller.scheme);
    let response = endpoint.get_response(request.into()).await;
    connection.end_handling();
    Ok(response.into())
}
