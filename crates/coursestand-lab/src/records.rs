//! What the back ends saw: the ground truth for every check. Never taken from
//! counters of the system under test.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use coursestand_model::{BackendId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

/// How a request ended at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// Still runs.
    Running,
    /// Ran to its end.
    Completed,
    /// Was cancelled, or its connection was closed.
    Cancelled,
    /// Passed its deadline.
    Expired,
    /// Was shed and did not start: more came than there are slots.
    Shed,
}

/// One request at one back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The caller's unique text for the request; the same when sent again.
    pub token: String,
    /// Identifies the dispatch and the daemon that made it.
    pub request_id: String,
    /// Service.
    pub service: ServiceId,
    /// The back end.
    pub backend: BackendId,
    /// Zone of the back end.
    pub zone: ZoneId,
    /// Zone of the client, as the gateway told it.
    pub origin: ZoneId,
    /// Milliseconds since the records began.
    pub started_ms: u64,
    /// Milliseconds since the records began, once it ended.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub ending: Ending,
    /// Requests that ran on the back end, with this one.
    pub running: u32,
    /// Connections that the back end had.
    pub connections: u32,
    /// Whether the back end had said that it is leaving, and how long ago.
    pub leaving_for_ms: Option<u64>,
}

/// Records of all back ends of a deployment.
#[derive(Clone, Debug)]
pub struct Records {
    began: Instant,
    rows: Arc<Mutex<Vec<Record>>>,
}

impl Default for Records {
    fn default() -> Self {
        Records {
            began: Instant::now(),
            rows: Arc::default(),
        }
    }
}

impl Records {
    /// Milliseconds since the records began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a record; returns its position.
    pub fn add(&self, record: Record) -> usize {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.push(record);
        rows.len() - 1
    }

    /// Notes how a request ended.
    pub fn end(&self, position: usize, ending: Ending) {
        let now = self.now_ms();
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(record) = rows.get_mut(position) {
            record.ending = ending;
            record.ended_ms = Some(now);
        }
    }

    /// A copy of all records.
    pub fn all(&self) -> Vec<Record> {
        self.rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
