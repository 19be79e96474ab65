//! What every service of a process implements.

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
    /// What went wrong, turned into text by the service.
    pub reason: String,
}

impl ServiceError {
    /// Turns an error of the layer below into one of this layer.
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
    /// It can.
    Ready,
    /// It can't, for this reason.
    NotReady {
        /// The reason.
        reason: String,
    },
}

/// A part of a process with a life cycle.
#[async_trait]
pub trait Service: Send + Sync {
    /// Fixed name, unique in the process.
    fn name(&self) -> &'static str;

    /// Starts the work; services registered earlier have started already.
    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError>;

    /// Finishes work in flight and takes no new work. Returns when done.
    async fn drain(&self) {}

    /// Ends at once what still runs.
    async fn stop(&self) {}

    /// The service's part of the state dump.
    fn dump(&self) -> Value;

    /// Whether the service can do its work.
    fn health(&self) -> Health {
        Health::Ready
    }
}
