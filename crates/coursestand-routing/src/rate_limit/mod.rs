//! Rate limits that back ends report in their answers: the requests per second that a back end
//! accepts from all daemons together, until it reports another limit or none.
//!
//! The leading control process issues a token for each request that is sent to such a back end,
//! from one bucket for all daemons ([`TokenIssuer`]). A daemon keeps the limits of its back ends
//! ([`KnownLimit`]) and decides by [`LimitAccess`] to which of them a request may be sent.
//! Without control it uses a small share of the limit. A limit that leaves each daemon a large
//! share is divided among the daemons instead.

mod access;
mod issuer;
mod known;
mod outstanding_requests;
mod rate;

pub use access::{AccessMode, FallbackShare, LimitAccess, SendToken};
pub use issuer::{BucketView, TokenIssuer, TokenRequest, TokenVerdict};
pub use known::{KnownLimit, LimitChange, Reading};
pub use outstanding_requests::{OutstandingTokenRequests, SentTokenRequest, TokenRequestMode};
pub use rate::{Rate, RateLimitSignal};

use coursestand_model::Millis;
use serde::{Deserialize, Serialize};

/// How long a token may be used after it was requested. Bounds the time between issue and use,
/// and so the number of tokens of one window that are used in the next.
pub const TOKEN_LIFETIME_MS: Millis = 120;

/// Share of a limit that is used. Requests arrive a little later than their tokens are issued,
/// so the requests of one window may arrive within a shorter one.
const USABLE_SHARE: f64 = 0.98;
/// Capacity of a bucket, in tokens.
const BUCKET_CAPACITY: f64 = 2.0;

/// Report of a daemon on the rate limit of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimitUpdate {
    /// Hash of the daemon's name.
    pub reporter: u64,
    /// Identifies the incarnation of the back end.
    pub backend: u64,
    /// The reported limit; `None` if the back end has none.
    pub rate: Option<Rate>,
    /// Time since the back end reported it, in milliseconds.
    pub age_ms: Millis,
}
