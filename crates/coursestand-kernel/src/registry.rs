//! Finds handles of services by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};

use snafu::Snafu;

/// Why a handle was not found.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// Nothing has this name.
    #[snafu(display("no service has the name {name}"))]
    UnknownName {
        /// The name asked for.
        name: String,
    },
    /// The name belongs to a handle of another type.
    #[snafu(display("service {name} has a handle of another type"))]
    OtherType {
        /// The name asked for.
        name: String,
    },
}

/// Typed handles by name, and the metrics of the process.
#[derive(Default)]
pub struct Registry {
    handles: RwLock<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
    metrics: prometheus::Registry,
}

impl Registry {
    /// Makes `handle` known under `name`, in place of an earlier one.
    pub fn publish<T: Any + Send + Sync>(&self, name: &'static str, handle: Arc<T>) {
        self.handles
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .insert(name, handle);
    }

    /// The handle known under `name`.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Result<Arc<T>, RegistryError> {
        let handles = self
            .handles
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let handle = handles
            .get(name)
            .ok_or_else(|| RegistryError::UnknownName {
                name: name.to_owned(),
            })?;
        Arc::clone(handle)
            .downcast()
            .map_err(|_| RegistryError::OtherType {
                name: name.to_owned(),
            })
    }

    /// Metrics of this process.
    pub fn metrics(&self) -> &prometheus::Registry {
        &self.metrics
    }
}
