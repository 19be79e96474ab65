//! Connections to back ends: few, kept while they are sound, and closed after
//! anything unexpected.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coursestand_model::BackendId;
use http_body_util::{Either, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::connect::connect;
use crate::passing_body::PassingBody;

/// Body of a request on its way to a back end: held whole, or passed on.
pub type RequestBody = Either<Full<Bytes>, PassingBody>;

/// How long a back end keeps an idle connection when it does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Part of the keep-alive time after which a connection is not used again.
const USED_PART_OF_KEEP_ALIVE: f64 = 0.7;
/// A back end that confirms no bytes for this long is lost.
const SILENCE: Duration = Duration::from_secs(2);
/// A connection whose exchange has not ended by then is closed.
const SETTLE: Duration = Duration::from_millis(500);

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
    unused_from: Instant,
}

/// Idle connections by instance.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<BackendId, Vec<Idle>>>,
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, HashMap<BackendId, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection to the instance, the one used last first.
    pub fn take(&self, id: &BackendId) -> Option<Connection> {
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
        id: BackendId,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let settled = tokio::time::timeout(SETTLE, connection.sender.ready()).await;
        if !matches!(settled, Ok(Ok(()))) || connection.driver.0.is_finished() {
            return;
        }
        connection.is_reused = true;
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
        let idle = Idle {
            connection,
            unused_from: Instant::now() + keep_alive.mul_f64(USED_PART_OF_KEEP_ALIVE),
        };
        self.idle().entry(id).or_default().push(idle);
    }

    /// Closes connections that rested too long, and those to instances that
    /// `is_known` does not hold for.
    pub fn close_idle(&self, is_known: impl Fn(&BackendId) -> bool) {
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
