//! Persists the log of a replica on a dedicated thread, so that a slow disk does not delay
//! work without disk access: answers to the leader, and the leader's heartbeats.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use coursestand_consensus::{Batch, Entry, HardState, Snapshot, Storage, StorageError};
use snafu::ResultExt;

use crate::control::error::{ControlError, LogSnafu};

/// An operation on the storage.
pub enum Job {
    /// Saves a batch.
    Save(Batch),
    /// Replaces the entries that a snapshot covers by the snapshot.
    Compact {
        /// The snapshot.
        snapshot: Snapshot,
        /// The hard state.
        hard_state: HardState,
        /// The entries after the snapshot.
        rest: Vec<Entry>,
    },
}

/// Runs storage jobs on a dedicated thread, one at a time.
pub struct LogWriter {
    /// `None` once the writer is being dropped.
    jobs: Option<Sender<Job>>,
    results: Receiver<Result<(), StorageError>>,
    thread: Option<JoinHandle<()>>,
}

impl LogWriter {
    /// Starts the thread.
    pub fn start(storage: Box<dyn Storage + Send>) -> std::io::Result<LogWriter> {
        let (jobs, incoming) = channel();
        let (outgoing, results) = channel();
        let thread = std::thread::Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || run(storage, &incoming, &outgoing))?;
        Ok(LogWriter {
            jobs: Some(jobs),
            results,
            thread: Some(thread),
        })
    }

    /// Starts a job. The previous one must have completed.
    pub fn begin(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            // If the thread has ended, `wait` returns an error.
            let _ = jobs.send(job);
        }
    }

    /// Waits up to `limit` for the job to complete. Returns its result, or `None` while it is
    /// running.
    pub fn wait(&self, limit: Duration) -> Option<Result<(), ControlError>> {
        match self.results.recv_timeout(limit) {
            Ok(result) => Some(result.context(LogSnafu)),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => Some(Err(ControlError::Stopped)),
        }
    }
}

fn run(
    mut storage: Box<dyn Storage + Send>,
    jobs: &Receiver<Job>,
    results: &Sender<Result<(), StorageError>>,
) {
    while let Ok(job) = jobs.recv() {
        let result = match job {
            Job::Save(batch) => storage.save(&batch),
            Job::Compact {
                snapshot,
                hard_state,
                rest,
            } => storage.compact(&snapshot, hard_state, &rest),
        };
        if results.send(result).is_err() {
            return;
        }
    }
}

impl Drop for LogWriter {
    /// Blocks until the storage is closed, so that its folder can be opened again.
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // A panicked thread has closed the storage, too.
            let _ = thread.join();
        }
    }
}
