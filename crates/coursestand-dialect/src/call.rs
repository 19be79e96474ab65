//! Calls, replies, and the trait that parses and encodes them.

use std::net::SocketAddr;

use coursestand_catalog::{Catalog, Patch};
use coursestand_discovery::InstanceUpdate;
use coursestand_model::{BackendId, Millis, RegionId, ZoneId};
use coursestand_proxy::HeaderNames;
use http::{Method, StatusCode, Uri};
use serde::Serialize;
use snafu::Snafu;

/// A call to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Changes items of the catalog.
    PatchCatalog(Patch),
    /// Reads all current items of the catalog.
    ReadCatalog,
    /// A back end reports that it is alive, with its address, service and state.
    Heartbeat(InstanceUpdate),
    /// An incarnation of a back end reports that it is shutting down.
    Deregister {
        /// The back end.
        id: BackendId,
        /// Start of the incarnation in milliseconds since the Unix epoch. `None` refers to
        /// the incarnation that is currently registered.
        born: Option<Millis>,
    },
    /// Evacuates a zone or ends its evacuation.
    Evacuate {
        /// The zone.
        zone: ZoneId,
        /// Whether the zone is evacuated: its back ends receive no requests.
        is_active: bool,
        /// Revision for which the caller confirms the order, from [`Dialect::evacuation_path`].
        revision: Option<u64>,
    },
    /// Asks which entry daemons a client should use.
    Lookup {
        /// The client's region.
        region: RegionId,
        /// The client's zone.
        zone: ZoneId,
    },
    /// Asks whether the process is ready.
    Ready,
}

/// Why a call can't be parsed. An invalid call has no effect.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// No call has this method and path.
    #[snafu(display("unknown call {method} {path}"))]
    Unknown {
        /// The method.
        method: String,
        /// The path.
        path: String,
    },
    /// The body is invalid.
    #[snafu(display("body, field `{field}`: {reason}"))]
    Body {
        /// The field.
        field: String,
        /// What was found and what is allowed.
        reason: String,
    },
}

impl CallError {
    /// Returns an error about `field` of a body.
    pub fn body(field: impl Into<String>, reason: impl ToString) -> CallError {
        CallError::Body {
            field: field.into(),
            reason: reason.to_string(),
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::Unknown { .. } => StatusCode::NOT_FOUND,
            CallError::Body { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

const JSON: &str = "application/json";

/// The body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Media type.
    pub content_type: &'static str,
    /// Content.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns a JSON reply.
    pub fn json(value: &serde_json::Value) -> Reply {
        Reply {
            content_type: JSON,
            body: value.to_string().into_bytes(),
        }
    }

    /// Returns a JSON reply without building a tree of values; fails if `value` can't be
    /// written as JSON.
    pub fn stream_json<T: Serialize>(value: &T) -> Result<Reply, serde_json::Error> {
        Ok(Reply {
            content_type: JSON,
            body: serde_json::to_vec(value)?,
        })
    }
}

/// Returns the value of a query parameter, or an empty string if it is missing. The value is
/// not percent-decoded.
pub fn query_value(uri: &Uri, name: &str) -> String {
    let pairs = uri.query().unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
        .unwrap_or_default()
}

/// Returns the number in a query parameter, or `None` if it is missing. Fails if it is not a number.
pub fn query_number(uri: &Uri, name: &str) -> Result<Option<u64>, CallError> {
    let value = query_value(uri, name);
    if value.is_empty() {
        return Ok(None);
    }
    let number = value.parse();
    number
        .map(Some)
        .map_err(|error| CallError::body(name, error))
}

/// Maps the HTTP interface of a deployment to calls and replies. A dialect only translates:
/// it makes no decisions and holds no state.
pub trait Dialect: Send + Sync {
    /// Returns the header names of requests and responses.
    fn header_names(&self) -> HeaderNames;

    /// Parses a call.
    fn parse(&self, method: &Method, uri: &Uri, body: &[u8]) -> Result<Call, CallError>;

    /// Returns the path and query of the call that confirms an order to evacuate a zone, or to end
    /// its evacuation, for `revision`.
    fn evacuation_path(&self, zone: &ZoneId, is_active: bool, revision: u64) -> String;

    /// Encodes all current items of the catalog; fails if an item can't be encoded.
    fn catalog(&self, catalog: &Catalog) -> Result<Reply, serde_json::Error>;

    /// Encodes the reply to an accepted heartbeat. `home` is the address to which the back end
    /// should send later heartbeats.
    fn heartbeat_accepted(&self, home: Option<SocketAddr>) -> Reply;

    /// Encodes the reply to a look-up. `ttl` is in milliseconds.
    fn lookup(&self, addresses: &[SocketAddr], ttl: Millis) -> Reply;
}
