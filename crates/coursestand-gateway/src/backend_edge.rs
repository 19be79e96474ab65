//! The edge towards back ends.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use coursestand_model::platform::BackendState;
use futures::stream::BoxStream;
use poem::http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What a back end sends or gets, piece by piece.
pub type ByteStream = BoxStream<'static, Result<Bytes, std::io::Error>>;

/// Body of a request.
pub enum RequestBody {
    /// Held in memory, so it can be sent again.
    Buffered(Bytes),
    /// Passed on as it arrives; can be sent once.
    Streamed(ByteStream),
}

/// One dispatch of a request.
pub struct Dispatch {
    /// `IP:port` of the back end.
    pub address: String,
    /// Names this dispatch; the back end echoes it.
    pub request_id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// Time left for the whole request.
    pub deadline: Duration,
}

/// Answer of a back end; its body follows.
pub struct BackendAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Length of the body, when the back end said it.
    pub length: Option<u64>,
    /// The body. It ends with an error when the answer is not complete.
    pub body: ByteStream,
}

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum DispatchError {
    /// No byte was sent, or the back end said that it did not start.
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

/// What a back end says of itself when probed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// The start of the back end that answers.
    pub epoch: u64,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Load report: requests that run now. It lags and may mislead.
    pub running: u32,
}

/// Sends requests to back ends.
#[async_trait]
pub trait BackendEdge: Send + Sync {
    /// Sends one request and returns once the head of the answer is there.
    async fn dispatch(&self, dispatch: Dispatch) -> Result<BackendAnswer, DispatchError>;

    /// Asks a back end to cancel a dispatch. True once it says that the request
    /// doesn't run (any more).
    async fn cancel(&self, address: &str, request_id: &str) -> bool;

    /// Asks a back end for its state.
    async fn probe(&self, address: &str) -> Option<ProbeAnswer>;
}
