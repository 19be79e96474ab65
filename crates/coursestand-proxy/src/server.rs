//! Listens for callers, and stops without cutting off a request.

use std::convert::Infallible;
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
use crate::callers::{Callers, Seat, most_by_limit};
use crate::connect::prepare;
use crate::exchange::Exchange;

/// Bytes that are read at most before headers are whole. What the catalog allows
/// less than this is checked once they are read.
const MAX_HEADER_BYTES: usize = 256 * 1024;
/// A caller that confirms no bytes for this long is gone.
const SILENCE: Duration = Duration::from_secs(10);
/// Pause after the system refused a connection, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why callers can't be listened for.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}"))]
pub struct ListenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// How the server treats callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Keeps connections.
    Serving,
    /// Serves on, and asks callers to leave with each answer.
    Draining,
    /// Ends each connection once it has no request.
    Closing,
}

/// Serves callers on one address.
pub struct ProxyServer {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    callers: Arc<Callers>,
    tasks: Arc<Tasks>,
    /// Closed once no connection is left.
    ended: tokio::sync::Mutex<mpsc::Receiver<()>>,
}

impl ProxyServer {
    /// Listens on `address` and answers with `exchange`. Callers may hold half of the
    /// descriptors of the process.
    pub async fn start(
        address: SocketAddr,
        exchange: Arc<Exchange>,
    ) -> Result<ProxyServer, ListenError> {
        ProxyServer::start_bounded(address, exchange, most_by_limit()).await
    }

    /// Listens on `address` and answers with `exchange`; callers may hold
    /// `most_connections`.
    pub async fn start_bounded(
        address: SocketAddr,
        exchange: Arc<Exchange>,
        most_connections: usize,
    ) -> Result<ProxyServer, ListenError> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (mode, watching) = watch::channel(Mode::Serving);
        let (alive, ended) = mpsc::channel(1);
        let tasks = Arc::new(Tasks::default());
        let callers = Arc::new(Callers::new(most_connections));
        let entrance = Entrance {
            listener,
            exchange,
            callers: Arc::clone(&callers),
            alive,
            tasks: Arc::clone(&tasks),
        };
        tasks.start(entrance.accept(watching));
        Ok(ProxyServer {
            address,
            mode,
            callers,
            tasks,
            ended: tokio::sync::Mutex::new(ended),
        })
    }

    /// The address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether new connections are taken. While they are not, for want of descriptors
    /// or of places, the daemon isn't ready.
    pub fn takes_callers(&self) -> bool {
        self.callers.are_taken()
    }

    /// Serves on, and asks callers to leave.
    pub fn announce_stop(&self) {
        self.mode.send_replace(Mode::Draining);
    }

    /// Ends all connections at once.
    pub fn abort(&self) {
        self.tasks.abort();
    }

    /// Takes no new connections, ends idle ones, and waits for requests in
    /// flight.
    pub async fn close(&self) {
        self.mode.send_replace(Mode::Closing);
        let mut ended = self.ended.lock().await;
        // Nothing is ever sent: this returns once all connections have ended.
        let _ = ended.recv().await;
    }
}

/// Where callers come in.
struct Entrance {
    listener: TcpListener,
    exchange: Arc<Exchange>,
    callers: Arc<Callers>,
    alive: mpsc::Sender<()>,
    tasks: Arc<Tasks>,
}

impl Entrance {
    async fn accept(self, mut mode: watch::Receiver<Mode>) {
        loop {
            let accepted = tokio::select! {
                accepted = self.accept_one() => accepted,
                _ = mode.wait_for(|mode| *mode == Mode::Closing) => return,
            };
            match accepted {
                Ok(stream) => {
                    let exchange = Arc::clone(&self.exchange);
                    let seat = self.callers.take();
                    let connection =
                        serve(stream, seat, exchange, mode.clone(), self.alive.clone());
                    self.tasks.start(connection);
                }
                Err(error) => {
                    log::warn!(target: "proxy", "no connection was accepted: {error}");
                    self.callers.refused();
                    self.exchange.close_idle();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn accept_one(&self) -> std::io::Result<TcpStream> {
        self.callers.have_place().await;
        let (stream, _) = self.listener.accept().await?;
        Ok(stream)
    }
}

async fn serve(
    stream: TcpStream,
    seat: Seat,
    exchange: Arc<Exchange>,
    mut mode: watch::Receiver<Mode>,
    _alive: mpsc::Sender<()>,
) {
    if prepare(&stream, SILENCE).is_err() {
        return;
    }
    let answering = mode.clone();
    let rest = Arc::clone(&seat.rest);
    let serving = (Arc::clone(&exchange), Arc::clone(&rest));
    let service = service_fn(move |request: Request<Incoming>| {
        let (exchange, rest) = serving.clone();
        let mode = answering.clone();
        async move {
            let _busy = rest.interrupt();
            // The connection is read once more before anything is sent on: a caller
            // that gave up while the daemon stood still left its end behind its
            // request, and then no back end works for it. Costs a turn of the task.
            tokio::task::yield_now().await;
            let mut response = exchange.serve(request).await;
            if *mode.borrow() != Mode::Serving {
                close_after(&mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        // The time that headers take counts as rest, see `Rest`.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A caller that broke off is nobody's fault here.
        _ = connection.as_mut() => return,
        _ = mode.wait_for(|mode| *mode == Mode::Closing) => {}
        () = rest.exceeds(&exchange) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
