//! Saves and syncs the log of a replica on a thread of its own, so that a slow disk does
//! not hold up what needs none: answers to the leader, and the leader's heartbeats.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use coursestand_consensus::{Batch, Entry, HardState, Snapshot, Storage, StorageError};
use snafu::ResultExt;

use crate::control::error::{ControlError, LogSnafu};

/// What the storage is asked to do.
pub enum Job {
    /// Save a batch.
    Save(Batch),
    /// Put a snapshot in the place of the entries that it covers.
    Compact {
        /// The snapshot.
        snapshot: Snapshot,
        /// The hard state.
        hard_state: HardState,
        /// The entries after it.
        rest: Vec<Entry>,
    },
}

/// Storage with its thread. One job at a time.
pub struct LogWriter {
    /// Gone once the writer is dropped.
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

    /// Begins a job; the one before has to be finished.
    pub fn begin(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            // A thread that has ended gives no result: `wait` tells.
            let _ = jobs.send(job);
        }
    }

    /// Waits up to `limit` for the job to end. Returns its result, or `None` while it is
    /// under way.
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
    /// Returns once the storage is closed: its folder may be opened again.
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // One that panicked has closed the storage as well.
            let _ = thread.join();
        }
    }
}
