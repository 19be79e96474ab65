//! The request path of an entry daemon over HTTP/1.1: takes requests from
//! callers, sends each to a back end, and passes the answer on whole or not at
//! all.
//!
//! [`phases::RequestPhases`] is the documented sequence of decisions;
//! [`router::Router`] takes them by the catalog, and [`exchange::Exchange`] runs
//! them and does the I/O.

pub mod answer;
mod answer_times;
pub mod caller_limits;
mod callers;
mod collect;
pub mod connect;
pub mod connect_times;
mod discard;
pub mod edge_state;
mod end_watch;
pub mod exchange;
pub mod header_names;
pub mod headers;
pub mod link_gate;
pub mod link_watch;
pub mod metrics;
pub mod passing_body;
pub mod phases;
pub mod pool;
mod prepared_body;
mod rest;
pub mod retry;
pub mod router;
pub mod server;
mod smoothed_time;
mod story;
pub mod streamed_body;
pub mod tokens;
pub mod told;
pub mod trials;
pub mod unread_headers;
pub mod verdict;

pub use edge_state::EdgeState;
pub use exchange::Exchange;
pub use header_names::HeaderNames;
pub use link_watch::LinkWatch;
pub use server::ProxyServer;
