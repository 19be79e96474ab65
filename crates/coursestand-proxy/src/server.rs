//! Accepts connections of callers, and stops without aborting a request.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_kernel::Tasks;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use crate::answer::close_after;
use crate::caller_connections::{
    CallerConnections, ConnectionGuard, max_connections_by_descriptors,
};
use crate::caller_stream::CallerStream;
use crate::connect::configure;
use crate::exchange::Exchange;
use crate::guarded_body::{CallerBody, WrittenBody};
use crate::idle_timer::{Expired, Expiry};

/// A caller that acknowledges no bytes for this long counts as disconnected.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Divisor of the maximum number of caller connections that gives that of other daemons.
const RELAY_CONNECTIONS_DIVISOR: usize = 4;
/// Pause after the system failed to accept a connection, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The listening socket could not be opened.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Who opens the connections of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peers {
    /// Callers.
    Callers,
    /// Other daemons, which relay requests.
    Daemons,
}

/// How the server treats connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Keeps connections open.
    Serving,
    /// Continues to serve, and asks callers to close the connection with each answer.
    Draining,
    /// Closes each connection once it has no request in flight.
    Closing,
}

/// Serves callers on one address.
pub struct ProxyServer {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    caller_connections: Arc<CallerConnections>,
    tasks: Arc<Tasks>,
    /// Closed once no connection is open.
    connections_closed: tokio::sync::Mutex<mpsc::Receiver<()>>,
}

impl ProxyServer {
    /// Listens on `address` and answers with `exchange`. Caller connections may take half of
    /// the descriptors and a quarter of the memory of the process.
    pub async fn start(
        address: SocketAddr,
        exchange: Arc<Exchange>,
    ) -> Result<ProxyServer, ListenError> {
        let max_connections = max_connections(&exchange);
        ProxyServer::start_bounded(address, exchange, max_connections).await
    }

    /// Listens on `address` for requests that other daemons relay, and answers with `exchange`.
    pub async fn start_for_daemons(
        address: SocketAddr,
        exchange: Arc<Exchange>,
    ) -> Result<ProxyServer, ListenError> {
        let max_connections = max_connections(&exchange) / RELAY_CONNECTIONS_DIVISOR;
        ProxyServer::listen(address, exchange, max_connections, Peers::Daemons).await
    }

    /// Listens on `address` and answers with `exchange`, with at most `max_connections` caller
    /// connections.
    pub async fn start_bounded(
        address: SocketAddr,
        exchange: Arc<Exchange>,
        max_connections: usize,
    ) -> Result<ProxyServer, ListenError> {
        ProxyServer::listen(address, exchange, max_connections, Peers::Callers).await
    }

    async fn listen(
        address: SocketAddr,
        exchange: Arc<Exchange>,
        max_connections: usize,
        peers: Peers,
    ) -> Result<ProxyServer, ListenError> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (mode, mode_receiver) = watch::channel(Mode::Serving);
        let (connection_alive, connections_closed) = mpsc::channel(1);
        let tasks = Arc::new(Tasks::default());
        let caller_connections = Arc::new(CallerConnections::new(max_connections));
        let acceptor = Acceptor {
            listener,
            exchange,
            peers,
            caller_connections: Arc::clone(&caller_connections),
            connection_alive,
            tasks: Arc::clone(&tasks),
        };
        tasks.start(acceptor.accept(mode_receiver));
        Ok(ProxyServer {
            address,
            mode,
            caller_connections,
            tasks,
            connections_closed: tokio::sync::Mutex::new(connections_closed),
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether new connections are accepted. While they are not, for lack of
    /// descriptors or because the connection limit is reached, the daemon isn't ready.
    pub fn is_accepting(&self) -> bool {
        self.caller_connections.is_accepting()
    }

    /// Continues to serve, and asks callers to close their connections.
    pub fn announce_stop(&self) {
        self.mode.send_replace(Mode::Draining);
    }

    /// Closes all connections at once.
    pub fn abort(&self) {
        self.tasks.abort();
    }

    /// Stops accepting connections, closes idle ones, and waits for requests in flight.
    pub async fn close(&self) {
        self.mode.send_replace(Mode::Closing);
        let mut connections_closed = self.connections_closed.lock().await;
        // Nothing is ever sent: `recv` returns once all connections are closed.
        let _ = connections_closed.recv().await;
    }
}

/// Returns the maximum number of caller connections, by the descriptors and the memory of the
/// process.
fn max_connections(exchange: &Exchange) -> usize {
    max_connections_by_descriptors().min(exchange.memory().max_connections())
}

/// Accepts connections.
struct Acceptor {
    listener: TcpListener,
    exchange: Arc<Exchange>,
    peers: Peers,
    caller_connections: Arc<CallerConnections>,
    connection_alive: mpsc::Sender<()>,
    tasks: Arc<Tasks>,
}

impl Acceptor {
    async fn accept(self, mut mode: watch::Receiver<Mode>) {
        let mut limits = self.exchange.limits().subscribe();
        loop {
            let accepted = tokio::select! {
                Ok(()) = limits.changed() => {
                    let bytes = limits.borrow_and_update().read_buffer_bytes();
                    self.caller_connections.close_with_smaller_buffers(bytes);
                    continue;
                }
                accepted = self.accept_connection() => accepted,
                _ = mode.wait_for(|mode| *mode == Mode::Closing) => return,
            };
            match accepted {
                Ok(stream) => {
                    let exchange = Arc::clone(&self.exchange);
                    let read_buffer_bytes = limits.borrow().read_buffer_bytes();
                    let guard = self.caller_connections.register(read_buffer_bytes);
                    let connection = serve(
                        stream,
                        guard,
                        read_buffer_bytes,
                        exchange,
                        self.peers,
                        mode.clone(),
                        self.connection_alive.clone(),
                    );
                    self.tasks.start(connection);
                }
                Err(error) => {
                    log::warn!(target: "proxy", "accepting a connection failed: {error}");
                    self.caller_connections.note_accept_failure();
                    self.exchange.close_idle();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn accept_connection(&self) -> std::io::Result<TcpStream> {
        self.caller_connections.wait_for_capacity().await;
        let (stream, _) = self.listener.accept().await?;
        Ok(stream)
    }
}

async fn serve(
    stream: TcpStream,
    guard: ConnectionGuard,
    read_buffer_bytes: usize,
    exchange: Arc<Exchange>,
    peers: Peers,
    mut mode: watch::Receiver<Mode>,
    _connection_alive: mpsc::Sender<()>,
) {
    if configure(&stream, ACKNOWLEDGEMENT_TIMEOUT).is_err() {
        return;
    }
    let response_mode = mode.clone();
    let idle_timer = Arc::clone(&guard.idle_timer);
    let stream = CallerStream::new(
        stream,
        Arc::clone(&idle_timer),
        Arc::clone(exchange.memory()),
    );
    let service_state = (Arc::clone(&exchange), Arc::clone(&idle_timer));
    let service = service_fn(move |request: Request<Incoming>| {
        let (exchange, idle_timer) = service_state.clone();
        let mode = response_mode.clone();
        async move {
            let (busy, memory) = idle_timer.begin_request();
            let body_busy = busy.another();
            let request = request.map(|body| CallerBody::new(body, body_busy, memory));
            // Yields so that the connection is read once more before anything is forwarded: if
            // the caller closed the connection while the daemon was suspended, the close
            // follows the request in the socket buffer, and no back end then works on a
            // request whose caller has disconnected. Costs one scheduling turn of the task.
            tokio::task::yield_now().await;
            let mut response = match peers {
                Peers::Callers => exchange.serve(request).await,
                Peers::Daemons => exchange.serve_relayed(request).await,
            };
            let is_led_away = peers == Peers::Callers && exchange.leads_callers_away();
            if is_led_away || *mode.borrow() != Mode::Serving {
                close_after(&mut response);
            }
            Ok::<_, Infallible>(response.map(|body| WrittenBody::new(body, busy)))
        }
    });
    let connection = http1::Builder::new()
        // See `Expiry`.
        .header_read_timeout(None)
        .max_buf_size(read_buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut expiry = Expiry::new(&idle_timer, exchange.limits());
    // What has arrived is read before the connection is judged.
    tokio::select! {
        biased;
        // A caller that closes its connection is no error of this daemon.
        _ = connection.as_mut() => return,
        _ = mode.wait_for(|mode| *mode == Mode::Closing) => {}
        expired = poll_fn(|context| expiry.poll(context)) => {
            if expired == Expired::Stopped {
                return;
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    expiry.begin_closing();
    // The HTTP library waits without end for the rest of a head that has begun.
    tokio::select! {
        biased;
        _ = connection => {}
        _ = poll_fn(|context| expiry.poll(context)) => {}
    }
}
