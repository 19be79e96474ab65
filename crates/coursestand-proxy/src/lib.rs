//! The request path of an entry daemon over HTTP/1.1: accepts requests from callers, sends
//! each to a back end, and forwards the answer completely or not at all.
//!
//! [`phases::RequestPhases`] defines the sequence of decisions; [`router::Router`] makes them
//! from the catalog, and [`exchange::Exchange`] runs them and does the I/O.

pub mod answer;
mod answer_times;
mod caller_connections;
pub mod caller_limits;
mod caller_stream;
mod carried_requests;
mod collect;
pub mod connect;
pub mod connect_times;
mod crash_detector;
mod discard;
pub mod edge_state;
pub mod exchange;
pub mod guarded_body;
pub mod header_names;
pub mod headers;
mod idle_timer;
pub mod link_gate;
pub mod link_watch;
pub mod memory_budget;
pub mod metrics;
mod open_request;
mod path_probing;
pub mod phases;
pub mod pool;
mod prepared_body;
mod read_limit;
pub mod relay;
mod request_log;
pub mod response_metadata;
pub mod retry;
pub mod router;
pub mod server;
mod smoothed_time;
pub mod streamed_body;
pub mod streamed_request_body;
pub mod tokens;
pub mod trials;
pub mod unread_headers;
pub mod verdict;

pub use edge_state::EdgeState;
pub use exchange::Exchange;
pub use header_names::HeaderNames;
pub use link_watch::LinkWatch;
pub use server::ProxyServer;
