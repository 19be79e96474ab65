//! HTTP interfaces of an entry daemon: look-ups and requests from callers, and dispatch
//! to back ends.

pub mod answer;
pub mod backend_edge;
mod body;
pub mod callers;
mod claim;
pub mod gateway;
pub mod http_backend;
pub mod lease;
pub mod metrics;
pub mod once_edge;
pub mod request;
pub mod retry_budget;
pub mod shared;
pub mod slot_guard;

pub use gateway::Gateway;
pub use shared::Shared;
