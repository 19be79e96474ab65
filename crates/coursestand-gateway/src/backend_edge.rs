//! Interface towards back ends.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coursestand_model::platform::BackendState;
use futures::stream::BoxStream;
use poem::http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Body of a request or an answer, in chunks.
pub type ByteStream = BoxStream<'static, Result<Bytes, std::io::Error>>;

/// Body of a request.
pub enum RequestBody {
    /// Buffered in memory, so that it can be sent again.
    Buffered(Bytes),
    /// Forwarded as it arrives; can be sent only once.
    Streamed(ByteStream),
}

/// One dispatch of a request.
pub struct Dispatch {
    /// `IP:port` of the back end.
    pub address: String,
    /// Unique identifier of this dispatch, which the back end echoes.
    pub request_id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// Remaining time for the whole request.
    pub deadline: Duration,
}

/// Head of a back end's answer, with its body as a stream.
pub struct BackendAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Length of the body in bytes, if the back end sent it.
    pub length: Option<u64>,
    /// Body. The stream ends with an error if the answer is incomplete.
    pub body: ByteStream,
}

/// Reason for which a dispatch has no answer.
#[derive(Debug, Snafu)]
pub enum DispatchError {
    /// No byte was sent, or the back end reported that it did not start the request.
    #[snafu(display("not run: {reason}"))]
    NotRun {
        /// What happened.
        reason: String,
    },
    /// The request may have run.
    #[snafu(display("may have run: {reason}"))]
    Unknown {
        /// What happened.
        reason: String,
    },
    /// The deadline passed; the request may have run.
    #[snafu(display("no answer before the deadline"))]
    Deadline,
}

/// Answer of a back end to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Epoch of the back end, which grows with each of its starts.
    pub epoch: u64,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// Number of running requests. The count may be outdated or wrong.
    pub running: u32,
}

/// Sends requests to back ends.
#[async_trait]
pub trait BackendEdge: Send + Sync {
    /// Sends one request and returns once the head of the answer has arrived.
    async fn dispatch(&self, dispatch: Dispatch) -> Result<BackendAnswer, DispatchError>;

    /// Asks a back end to cancel a dispatch. Returns whether it confirmed that the request
    /// is not running.
    async fn cancel(&self, address: &str, request_id: &str) -> bool;

    /// Returns the state of a back end; `None` if it does not answer.
    async fn probe(&self, address: &str) -> Option<ProbeAnswer>;
}
