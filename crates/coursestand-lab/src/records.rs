//! Requests that the back ends recorded: the ground truth of all checks, independent of
//! the counters of the system under test.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use coursestand_model::{BackendId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

/// State in which a request ended at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// It is still running.
    Running,
    /// It completed.
    Completed,
    /// It was cancelled, or its connection was closed.
    Cancelled,
    /// It exceeded its deadline.
    Expired,
    /// It was shed without being started, because all slots were in use.
    Shed,
}

/// One request at one back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The caller's unique token of the request; retries have the same.
    pub token: String,
    /// Identifies the dispatch and the daemon that dispatched it.
    pub request_id: String,
    /// Service.
    pub service: ServiceId,
    /// The back end.
    pub backend: BackendId,
    /// Zone of the back end.
    pub zone: ZoneId,
    /// Zone of the client, as reported by the gateway.
    pub origin: ZoneId,
    /// Start, in milliseconds since the records were created.
    pub started_ms: u64,
    /// End, in milliseconds since the records were created; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// State in which it ended.
    pub ending: Ending,
    /// Number of requests running on the back end at the start, including this one.
    pub running: u32,
    /// Number of connections of the back end at the start.
    pub connections: u32,
    /// Time since the back end reported that it is leaving, if it did, in milliseconds.
    pub leaving_for_ms: Option<u64>,
}

/// Records of all back ends of a deployment.
#[derive(Clone, Debug)]
pub struct Records {
    created_at: Instant,
    rows: Arc<Mutex<Vec<Record>>>,
}

impl Default for Records {
    fn default() -> Self {
        Records {
            created_at: Instant::now(),
            rows: Arc::default(),
        }
    }
}

impl Records {
    /// Returns the milliseconds since the records were created.
    pub fn now_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    /// Adds a record and returns its position.
    pub fn add(&self, record: Record) -> usize {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.push(record);
        rows.len() - 1
    }

    /// Records the end of a request.
    pub fn end(&self, position: usize, ending: Ending) {
        let now = self.now_ms();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(record) = rows.get_mut(position) {
            record.ending = ending;
            record.ended_ms = Some(now);
        }
    }

    /// Returns a copy of all records.
    pub fn all(&self) -> Vec<Record> {
        self.rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
