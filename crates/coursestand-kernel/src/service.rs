//! The trait that every service of a process implements.

use std::sync::Arc;

use async_trait::async_trait;
use serde::Serialize;
use serde_json::Value;
use snafu::Snafu;

use crate::registry::Registry;

/// Why a service could not start.
#[derive(Debug, Snafu)]
#[snafu(display("service {service}: {reason}"))]
pub struct ServiceError {
    /// Name of the service.
    pub service: &'static str,
    /// The cause, as text.
    pub reason: String,
}

impl ServiceError {
    /// Wraps an error of `service` as text.
    pub fn new(service: &'static str, reason: impl ToString) -> ServiceError {
        ServiceError {
            service,
            reason: reason.to_string(),
        }
    }
}

/// Whether a service can do its work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "health", rename_all = "kebab-case")]
pub enum Health {
    /// The service works.
    Ready,
    /// The service can't do its work.
    NotReady {
        /// The reason.
        reason: String,
    },
}

/// A component of a process with a lifecycle.
#[async_trait]
pub trait Service: Send + Sync {
    /// Returns the fixed name, unique within the process.
    fn name(&self) -> &'static str;

    /// Starts the service. Services registered earlier are already started.
    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError>;

    /// Accepts no new work and returns when the work in flight is finished.
    async fn drain(&self) {}

    /// Stops at once and aborts the work in flight.
    async fn stop(&self) {}

    /// Returns the service's part of the state dump.
    fn dump(&self) -> Value;

    /// Returns whether the service can do its work.
    fn health(&self) -> Health {
        Health::Ready
    }
}
