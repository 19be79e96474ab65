//! Connections to back ends: few, kept while they are sound, and closed after
//! anything unexpected.
//!
//! A connection that fell silent seldom did so alone: what broke it (a firewall that
//! lost its state, a link that moved) broke others that were open then. So those to
//! the same back end that brought no answer since are closed as soon as one is
//! suspected, and those to all back ends once two of them are proven to be reachable
//! while older connections to them are silent. However many connections are kept, two
//! back ends' worth of requests then find out, instead of one request for each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coursestand_discovery::Incarnation;
use http_body_util::{Either, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::connect::connect;
use crate::passing_body::PassingBody;
use crate::phases::Silence;

/// Body of a request on its way to a back end: held whole, or passed on.
pub type RequestBody = Either<Full<Bytes>, PassingBody>;

/// How long a back end keeps an idle connection when it does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Part of the keep-alive time after which a connection is not used again.
const USED_PART_OF_KEEP_ALIVE: f64 = 0.7;
/// A connection whose peer confirms nothing for this long is lost: the bound within
/// which a silent one ends that rests, or that carries a request which may not be
/// repeated. Where the silence shows in a missing answer only, `AnswerTimes` bounds it.
const SILENCE: Duration = Duration::from_secs(2);
/// A connection whose exchange has not ended by then is closed.
const SETTLE: Duration = Duration::from_millis(500);

/// Silences at two back ends within this time have the same cause.
const COMMON_CAUSE: Duration = Duration::from_secs(5);

/// No connection could be made; no byte of a request left.
#[derive(Debug, Snafu)]
#[snafu(display("no connection to {address}: {reason}"))]
pub struct ConnectError {
    /// The back end.
    pub address: SocketAddr,
    /// Cause, as text of the layer below.
    pub reason: String,
}

/// Ends the task that drives a connection, and with it the connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a back end. Dropped, it closes at once.
pub struct Connection {
    /// Sends requests on it.
    pub sender: SendRequest<RequestBody>,
    /// Whether it carried a request before.
    pub is_reused: bool,
    driver: Driver,
}

struct Idle {
    connection: Connection,
    /// When its last answer was whole.
    answered_at: Instant,
    unused_from: Instant,
}

/// Idle connections by incarnation: one that a back end had in its life before leads
/// nowhere, or to whoever has the address now.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Incarnation, Vec<Idle>>>,
    last_silence: Mutex<Option<Silence>>,
}

impl Pool {
    /// A connection to the back end that a request was sent on at `sent_at` seems
    /// silent: closes those to it that brought no answer since.
    pub fn distrust(&self, id: &Incarnation, sent_at: Instant) {
        if let Some(known) = self.idle().get_mut(id) {
            known.retain(|idle| idle.answered_at >= sent_at);
        }
    }

    /// A connection proved to be silent: its back end answered on another one. After
    /// two back ends' silences, those to all back ends that brought no answer since
    /// the first of them are closed.
    pub fn note_silence(&self, silence: &Silence) {
        let last = self
            .last_silence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .replace(silence.clone());
        let Some(last) = last else {
            return;
        };
        let (earlier, later) = if last.sent_at < silence.sent_at {
            (last.sent_at, silence.sent_at)
        } else {
            (silence.sent_at, last.sent_at)
        };
        if last.backend == silence.backend || later - earlier > COMMON_CAUSE {
            return;
        }
        for known in self.idle().values_mut() {
            known.retain(|idle| idle.answered_at >= earlier);
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection to the instance, the one used last first.
    pub fn take(&self, id: &Incarnation) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle();
        let known = idle.get_mut(id)?;
        while let Some(candidate) = known.pop() {
            let is_usable = now < candidate.unused_from && candidate.connection.sender.is_ready();
            if is_usable {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// A new connection, made within `limit`.
    pub async fn open(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ConnectError> {
        let failed = |reason: String| ConnectError { address, reason };
        let stream = connect(address, limit, SILENCE)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // Its end shows at the sender; a fault of the peer is judged there.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            is_reused: false,
            driver: Driver(driver),
        })
    }

    /// Takes a connection back whose answer has ended, once its request has
    /// ended as well.
    pub async fn give_back(
        &self,
        id: Incarnation,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let answered_at = Instant::now();
        let settled = tokio::time::timeout(SETTLE, connection.sender.ready()).await;
        if !matches!(settled, Ok(Ok(()))) || connection.driver.0.is_finished() {
            return;
        }
        connection.is_reused = true;
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
        let idle = Idle {
            connection,
            answered_at,
            unused_from: Instant::now() + keep_alive.mul_f64(USED_PART_OF_KEEP_ALIVE),
        };
        self.idle().entry(id).or_default().push(idle);
    }

    /// Closes connections that rested too long, and those to instances that
    /// `is_known` does not hold for.
    pub fn close_idle(&self, is_known: impl Fn(&Incarnation) -> bool) {
        let now = Instant::now();
        self.idle().retain(|id, idle| {
            idle.retain(|one| now < one.unused_from && !one.connection.sender.is_closed());
            !idle.is_empty() && is_known(id)
        });
    }

    /// Idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle().values().map(Vec::len).sum()
    }
}
