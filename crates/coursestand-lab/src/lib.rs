//! Testbed: emulated back ends, links and platform list, load generation, example
//! deployments, and checks against what the back ends recorded.

pub mod address;
pub mod backend;
pub mod callers;
pub mod counting_acceptor;
pub mod demo;
pub mod deployment;
pub mod items;
pub mod latencies;
pub mod load;
pub mod operator;
pub mod platform;
pub mod process;
pub mod rate_limits;
pub mod records;
pub mod repeats;
pub mod report;
pub mod scale;
pub mod scripted;
pub mod silent_relay;
pub mod verdict;

pub use deployment::Deployment;
