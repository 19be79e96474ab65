//! The micro-kernel of a coursestand process: it starts, drains and stops services in
//! order, dumps their state, and lets them find each other by name. It also provides
//! logging, metrics and the admin interface.

pub mod admin;
pub mod clock;
pub mod connections;
pub mod http;
pub mod kernel;
pub mod logging;
pub mod memory_limit;
pub mod registry;
pub mod service;
pub mod suspension;
pub mod tasks;

pub use clock::MonotonicClock;
pub use kernel::Kernel;
pub use memory_limit::memory_limit_bytes;
pub use registry::Registry;
pub use service::{Health, Service, ServiceError};
pub use tasks::Tasks;
