//! Typed service handles, registered and looked up by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, RwLock};

use snafu::Snafu;

/// Why a handle was not found.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// No handle is registered under this name.
    #[snafu(display("no service is registered as {name}"))]
    UnknownName {
        /// The requested name.
        name: String,
    },
    /// The handle registered under this name has another type.
    #[snafu(display("the handle of service {name} has another type than requested"))]
    TypeMismatch {
        /// The requested name.
        name: String,
    },
}

/// Typed handles by name, and the identity and the metrics registry of the process.
pub struct Registry {
    /// Random number that identifies this run of the process.
    incarnation: u64,
    handles: RwLock<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
    metrics: prometheus::Registry,
}

impl Default for Registry {
    fn default() -> Self {
        Registry {
            incarnation: rand::random(),
            handles: RwLock::default(),
            metrics: prometheus::Registry::default(),
        }
    }
}

impl Registry {
    /// Returns the random number that identifies this run of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Registers `handle` under `name` and replaces an earlier handle of that name.
    pub fn publish<T: Any + Send + Sync>(&self, name: &'static str, handle: Arc<T>) {
        self.handles
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .insert(name, handle);
    }

    /// Returns the handle registered under `name`.
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
            .map_err(|_| RegistryError::TypeMismatch {
                name: name.to_owned(),
            })
    }

    /// Returns the metrics registry of this process.
    pub fn metrics(&self) -> &prometheus::Registry {
        &self.metrics
    }
}
