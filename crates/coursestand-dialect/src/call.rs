//! Calls, replies, and the trait that translates them.

use std::net::SocketAddr;

use coursestand_catalog::{Catalog, Patch};
use coursestand_discovery::InstanceUpdate;
use coursestand_model::{BackendId, Millis, RegionId, ZoneId};
use coursestand_proxy::HeaderNames;
use http::{Method, StatusCode, Uri};
use snafu::Snafu;

/// What a process is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Change items of the catalog.
    PatchCatalog(Patch),
    /// Read all items that stand.
    ReadCatalog,
    /// A back end says that it lives, and what it is.
    Heartbeat(InstanceUpdate),
    /// An incarnation of a back end says that it ends.
    Deregister {
        /// The back end.
        id: BackendId,
        /// When the incarnation started, in milliseconds since the Unix epoch; none where
        /// it doesn't tell: then it is the one that is known.
        born: Option<Millis>,
    },
    /// Evacuate a zone, or take that back.
    Evacuate {
        /// The zone.
        zone: ZoneId,
        /// Whether nothing may be sent to its back ends.
        is_active: bool,
    },
    /// Which entry daemons a client should use.
    Lookup {
        /// The client's region.
        region: RegionId,
        /// The client's zone.
        zone: ZoneId,
    },
    /// Whether this process is ready.
    Ready,
}

/// Why a call can't be understood. Nothing of it takes effect.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// There is no such call.
    #[snafu(display("there is no call {method} {path}"))]
    Unknown {
        /// Its method.
        method: String,
        /// Its path.
        path: String,
    },
    /// The body is not what the call takes.
    #[snafu(display("body, field `{field}`: {reason}"))]
    Body {
        /// The field.
        field: String,
        /// What was found and what is allowed.
        reason: String,
    },
}

impl CallError {
    /// An error in `field` of a body.
    pub fn body(field: impl Into<String>, reason: impl ToString) -> CallError {
        CallError::Body {
            field: field.into(),
            reason: reason.to_string(),
        }
    }

    /// The status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            CallError::Unknown { .. } => StatusCode::NOT_FOUND,
            CallError::Body { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// The body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Media type.
    pub content_type: &'static str,
    /// Content.
    pub body: Vec<u8>,
}

impl Reply {
    /// A JSON reply.
    pub fn json(value: &serde_json::Value) -> Reply {
        Reply {
            content_type: "application/json",
            body: value.to_string().into_bytes(),
        }
    }
}

/// The value of a query's parameter; empty when it is not there.
pub fn query_value(uri: &Uri, name: &str) -> String {
    let pairs = uri.query().unwrap_or_default().split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
        .unwrap_or_default()
}

/// How a deployment words calls and replies. It translates only: it decides
/// nothing and holds no state.
pub trait Dialect: Send + Sync {
    /// Names of the headers of requests and answers.
    fn header_names(&self) -> HeaderNames;

    /// Understands a call.
    fn parse(&self, method: &Method, uri: &Uri, body: &[u8]) -> Result<Call, CallError>;

    /// Words all items that stand.
    fn catalog(&self, catalog: &Catalog) -> Reply;

    /// Words the answer to a heartbeat. `home` is where later ones should go.
    fn heartbeat_taken(&self, home: Option<SocketAddr>) -> Reply;

    /// Words the answer to a look-up.
    fn lookup(&self, addresses: &[SocketAddr], ttl: Millis) -> Reply;
}
