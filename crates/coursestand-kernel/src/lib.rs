//! The micro-kernel of a coursestand process: services register under a name,
//! find each other by name, and are started, drained, stopped and dumped in
//! order. Logging, metrics and the admin interface are part of it.

pub mod admin;
pub mod clock;
pub mod http;
pub mod kernel;
pub mod logging;
pub mod registry;
pub mod service;
pub mod tasks;

pub use clock::MonotonicClock;
pub use kernel::Kernel;
pub use registry::Registry;
pub use service::{Health, Service, ServiceError};
pub use tasks::Tasks;
