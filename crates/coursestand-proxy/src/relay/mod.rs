//! Relays requests to other entry daemons while this daemon is partitioned from back ends.
//!
//! The daemon that receives a relayed request decides everything about it: the back end, retries
//! and limits. The relaying daemon passes on what is left of the deadline and of the attempts, and
//! forwards the answer unchanged. A relayed request is never relayed again.

mod headers;
mod peers;

pub use headers::{RelayOutcome, RelayedRequest, mark_outcome};
pub use peers::{PeerChoice, RelayPeers};
