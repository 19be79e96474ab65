//! The background tasks of a service.

use std::future::Future;
use std::sync::{Mutex, PoisonError};

use tokio::task::JoinHandle;

/// Tasks that run until they finish or their service aborts them.
#[derive(Default)]
pub struct Tasks {
    running: Mutex<Vec<JoinHandle<()>>>,
}

impl Tasks {
    /// Spawns a task.
    pub fn start(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|task| !task.is_finished());
        running.push(tokio::spawn(task));
    }

    /// Aborts all tasks at their next await point.
    pub fn abort(&self) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        for task in running.drain(..) {
            task.abort();
        }
    }
}
