//! Rate limits that back ends name in their answers: the requests a second that one of them
//! takes from all daemons together, for as long as it says so.
//!
//! The control process that leads issues a token for each request that is sent to such a
//! back end, from one bucket for all daemons ([`TokenIssuer`]). A daemon keeps what its back
//! ends named ([`KnownLimit`]) and decides by [`LimitAccess`] which of them a request may
//! reach. Without control it has a small part of its own.
//! A limit that is large for each daemon is divided among them instead.

mod access;
mod asks;
mod issuer;
mod known;
mod rate;

pub use access::{AccessBy, LimitAccess, OwnPart, SendToken};
pub use asks::{AskedToken, Asking, TokenAsks};
pub use issuer::{BucketView, TokenIssuer, TokenRequest, TokenVerdict};
pub use known::{KnownLimit, LimitChange, Reading};
pub use rate::{Rate, RateWord};

use coursestand_model::Millis;
use serde::{Deserialize, Serialize};

/// How long a token may be used after it was asked for. It bounds how much later than issued
/// a request can be sent, and so how many tokens of one window are used in the next.
pub const TOKEN_LIFETIME_MS: Millis = 120;

/// Part of a limit that is used. Requests arrive a little later than their tokens are issued,
/// so that those of one window may arrive in a shorter one.
const ISSUED_PART: f64 = 0.98;
/// Tokens that a bucket holds.
const MOST_TOKENS: f64 = 2.0;

/// What a daemon tells of the rate limit of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Hash of the daemon's name.
    pub reporter: u64,
    /// Tells the back end's incarnation from all others.
    pub backend: u64,
    /// The limit that it named; none once it names none.
    pub rate: Option<Rate>,
    /// For how long that has been known, in milliseconds.
    pub age_ms: Millis,
}
