//! The background tasks of a service.

use std::future::Future;
use std::sync::{Mutex, PoisonError};

use tokio::task::JoinHandle;

/// Tasks that run until they end or their service ends them.
#[derive(Default)]
pub struct Tasks {
    running: Mutex<Vec<JoinHandle<()>>>,
}

impl Tasks {
    /// Starts a task.
    pub fn start(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|task| !task.is_finished());
        running.push(tokio::spawn(task));
    }

    /// Ends all tasks at their next wait.
    pub fn abort(&self) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        for task in running.drain(..) {
            task.abort();
        }
    }
}
