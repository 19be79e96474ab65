//! Pool of connections to back ends. A connection is kept while it is sound, and closed after
//! any unexpected event.
//!
//! A connection rarely falls silent alone: the cause (a firewall that lost its state, a link
//! that moved) usually affects other connections that were open at the time. So as soon as one
//! connection is suspected to be silent, the connections to the same back end that have
//! brought no answer since are closed; and once two back ends have proved to be reachable
//! while older connections to them are silent, those to all back ends are closed. This bounds
//! the number of requests that run into silent connections by those of two back ends, however
//! many connections are pooled.

use std::collections::HashMap;
use std::hash::Hash;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coursestand_discovery::Incarnation;
use http::{Request, Response};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::carried_requests::CarriedRequests;
use crate::connect::connect;
use crate::open_request::OpenRequest;
use crate::phases::SilentConnection;
use crate::read_limit::{LimitedStream, ReadLimit};
use crate::streamed_request_body::StreamedRequestBody;

/// Body of a request to a back end: buffered or streamed.
pub type RequestBody = Either<Full<Bytes>, StreamedRequestBody>;

/// Keep-alive time assumed for a back end that announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Fraction of the keep-alive time after which a connection is not reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// A connection whose peer acknowledges nothing for this long is lost. This bounds the time
/// that a silent connection stays open if it is idle, or if it carries a request that may not
/// be repeated. If the silence shows only as a missing answer, `AnswerTimes` bounds it.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest read buffer of a connection, and most that waits to be written on it. Bounds the head of
/// an answer too.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Time within which a connection must be ready again after an exchange; otherwise it is
/// closed.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a connection that the network resets at once has been reset.
const HOLD_TIME: Duration = Duration::from_millis(50);

/// Silent connections to two back ends within this time have the same cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(5);

/// No connection could be made; nothing of the request was sent.
#[derive(Debug, Snafu)]
#[snafu(display("no connection to {address}: {reason}"))]
pub struct ConnectError {
    /// Address of the back end.
    pub address: SocketAddr,
    /// Kind of the underlying error.
    pub kind: io::ErrorKind,
    /// Text of the underlying error.
    pub reason: String,
}

/// Aborts the task that drives a connection when dropped, which closes the connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a back end. Dropping it closes it at once; with a request whose answer is not
/// complete, it is reset.
pub struct Connection {
    /// Shows the state of the connection.
    pub sender: SendRequest<RequestBody>,
    /// Whether it has carried an earlier request.
    pub is_reused: bool,
    carried: CarriedRequests,
    read_limit: Arc<ReadLimit>,
    open_request: Arc<OpenRequest>,
    driver: Driver,
}

impl Connection {
    /// Sends a request. The returned future resolves with the head of the answer.
    pub fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>> + use<>
    {
        let read_limit = Arc::clone(&self.read_limit);
        read_limit.expect_head();
        self.open_request.begin();
        let sending = self.sender.try_send_request(request);
        async move {
            let response = sending.await?;
            read_limit.head_received();
            Ok(response)
        }
    }

    /// Records that the request with this id may be sent again until `ends_at`, which must then be
    /// done on another connection.
    pub fn note_repeatable(&mut self, request_id: Option<&str>, ends_at: Instant) {
        self.carried.note(request_id, ends_at);
    }

    /// Records that the answer to the request is complete: from now on the connection may be closed
    /// in the ordinary way.
    pub fn answer_completed(&self) {
        self.open_request.end();
    }
}

struct Idle {
    connection: Connection,
    /// When its last answer was complete.
    answered_at: Instant,
    expires_at: Instant,
}

/// Idle connections by peer. Those to back ends are kept by incarnation: a connection to an
/// earlier incarnation is dead, or leads to another process at the same address.
pub struct Pool<K = Incarnation> {
    idle: Mutex<HashMap<K, Vec<Idle>>>,
    last_silent: Mutex<Option<SilentConnection>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Pool {
            idle: Mutex::default(),
            last_silent: Mutex::default(),
        }
    }
}

impl Pool {
    /// Handles a connection that seems silent since a request was sent on it at `sent_at`:
    /// closes the idle connections to the same back end that have brought no answer since.
    pub fn close_unanswered_since(&self, id: &Incarnation, sent_at: Instant) {
        if let Some(connections) = self.idle().get_mut(id) {
            connections.retain(|idle| idle.answered_at >= sent_at);
        }
    }

    /// Handles a connection that proved to be silent, because its back end answered on another
    /// one. After silent connections to two back ends, the connections to all back ends that
    /// have brought no answer since the first of them are closed.
    pub fn note_silent_connection(&self, silent: &SilentConnection) {
        let last = self
            .last_silent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .replace(silent.clone());
        let Some(last) = last else {
            return;
        };
        let (earlier, later) = if last.sent_at < silent.sent_at {
            (last.sent_at, silent.sent_at)
        } else {
            (silent.sent_at, last.sent_at)
        };
        if last.backend == silent.backend || later - earlier > COMMON_CAUSE_WINDOW {
            return;
        }
        for connections in self.idle().values_mut() {
            connections.retain(|idle| idle.answered_at >= earlier);
        }
    }
}

impl<K: Clone + Eq + Hash> Pool<K> {
    fn idle(&self) -> MutexGuard<'_, HashMap<K, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to the peer, the most recently used one first, which has not
    /// carried the request with this id.
    pub fn take(&self, id: &K, request_id: Option<&str>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(id)?;
        for position in (0..connections.len()).rev() {
            let candidate = &connections[position];
            if candidate.connection.carried.include(request_id) {
                continue;
            }
            let is_usable = now < candidate.expires_at && candidate.connection.sender.is_ready();
            let candidate = connections.remove(position);
            if is_usable {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a new connection within `limit`.
    pub async fn open(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ConnectError> {
        let connect_error = |kind, reason| ConnectError {
            address,
            kind,
            reason,
        };
        let stream = connect(address, limit, ACKNOWLEDGEMENT_TIMEOUT)
            .await
            .map_err(|error| connect_error(error.kind(), error.to_string()))?;
        let read_limit = ReadLimit::for_head();
        let open_request = OpenRequest::none();
        let stream = LimitedStream::new(stream, Arc::clone(&read_limit), Arc::clone(&open_request));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(io::ErrorKind::Other, error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The sender observes the end of the connection and handles errors of the peer.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            is_reused: false,
            carried: CarriedRequests::default(),
            read_limit,
            open_request,
            driver: Driver(driver),
        })
    }

    /// Opens a new connection within `limit`, and checks that the peer does not close it at once:
    /// some networks accept connections and reset them when nothing is behind them.
    pub async fn open_and_hold(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ConnectError> {
        let connection = self.open(address, limit).await?;
        tokio::time::sleep(HOLD_TIME).await;
        if connection.sender.is_closed() {
            return Err(ConnectError {
                address,
                kind: io::ErrorKind::ConnectionReset,
                reason: "closed at once".to_owned(),
            });
        }
        Ok(connection)
    }

    /// Returns a connection to the pool after its answer has ended, once its request has been
    /// sent completely as well.
    pub async fn give_back(&self, id: K, mut connection: Connection, keep_alive: Option<Duration>) {
        connection.answer_completed();
        let answered_at = Instant::now();
        let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
        let is_usable = matches!(ready, Ok(Ok(()))) && !connection.driver.0.is_finished();
        if !is_usable || connection.carried.is_full() {
            return;
        }
        connection.is_reused = true;
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
        let idle = Idle {
            connection,
            answered_at,
            expires_at: Instant::now() + keep_alive.mul_f64(KEEP_ALIVE_FRACTION),
        };
        self.idle().entry(id).or_default().push(idle);
    }

    /// Closes connections that have been idle for too long, and those to peers for which
    /// `is_known` returns false.
    pub fn close_idle(&self, is_known: impl Fn(&K) -> bool) {
        let now = Instant::now();
        self.idle().retain(|id, idle| {
            idle.retain(|entry| now < entry.expires_at && !entry.connection.sender.is_closed());
            !idle.is_empty() && is_known(id)
        });
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle().values().map(Vec::len).sum()
    }
}
