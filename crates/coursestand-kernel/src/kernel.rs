//! Starts services in the order of their registration; drains and stops them in
//! reverse order.

use std::sync::Arc;

use log::info;
use serde_json::{Map, Value};

use crate::registry::Registry;
use crate::service::{Health, Service, ServiceError};

const LOG: &str = "kernel";

/// The services of one process.
#[derive(Clone, Default)]
pub struct Kernel {
    registry: Arc<Registry>,
    services: Vec<Arc<dyn Service>>,
}

impl Kernel {
    /// Returns a kernel without services.
    pub fn new() -> Kernel {
        Kernel::default()
    }

    /// Adds a service, which starts after the services added earlier.
    pub fn add(&mut self, service: Arc<dyn Service>) {
        self.services.push(service);
    }

    /// Returns the registry of service handles and metrics.
    pub fn registry(&self) -> &Arc<Registry> {
        &self.registry
    }

    /// Starts all services. If one fails, those already started are stopped.
    pub async fn start(&self) -> Result<(), ServiceError> {
        for (index, service) in self.services.iter().enumerate() {
            if let Err(error) = service.start(&self.registry).await {
                for started in self.services[..index].iter().rev() {
                    started.stop().await;
                }
                return Err(error);
            }
            info!(target: LOG, "service {} started", service.name());
        }
        Ok(())
    }

    /// Drains all services, then stops them.
    pub async fn drain_and_stop(&self) {
        for service in self.services.iter().rev() {
            service.drain().await;
            info!(target: LOG, "service {} drained", service.name());
        }
        self.stop().await;
    }

    /// Stops all services without draining them.
    pub async fn stop(&self) {
        for service in self.services.iter().rev() {
            service.stop().await;
        }
        info!(target: LOG, "all services stopped");
    }

    /// Returns the state dump of every service, by name.
    pub fn dump(&self) -> Value {
        let dumps: Map<String, Value> = self
            .services
            .iter()
            .map(|service| (service.name().to_owned(), service.dump()))
            .collect();
        Value::Object(dumps)
    }

    /// Returns the health of every service, by name.
    pub fn health(&self) -> Vec<(&'static str, Health)> {
        self.services
            .iter()
            .map(|service| (service.name(), service.health()))
            .collect()
    }
}
