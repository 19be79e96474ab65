//! Operators that change many routes at once and read the whole catalog over and over, and the
//! checks of what they see.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_catalog::{ItemKey, Patch};
use coursestand_lab::items;
use serde_json::Value;

use crate::callers::RequestLog;
use crate::deployment::key_of;
use crate::{CONTROLS, System};

/// Readers at each control process.
const READERS: usize = 2;
/// Limit of one read, after which its reader tries again.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Number of routes in a large change.
const ROUTES: usize = 1_400;
/// Peak memory that a control process may reach, in bytes.
const MEMORY_BOUND: u64 = 96 * 1024 * 1024;

/// Newest acknowledged version of each route.
#[derive(Clone, Default)]
pub struct Acknowledged(Arc<Mutex<BTreeMap<String, u64>>>);

impl Acknowledged {
    fn versions(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add(&self, route: String, version: u64) {
        self.versions().insert(route, version);
    }

    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        self.versions().clone()
    }
}

/// Returns an error if the catalog that was read lacks an acknowledged version.
pub fn check_catalog(
    acknowledged: &BTreeMap<String, u64>,
    read: &BTreeMap<String, u64>,
) -> Result<(), String> {
    for (route, version) in acknowledged {
        let found = read.get(&key_of(route)).copied().unwrap_or_default();
        if found < *version {
            return Err(format!(
                "route {route} has version {found}, {version} was acknowledged"
            ));
        }
    }
    Ok(())
}

/// Returns an error if the memory of a control process exceeds its bound.
pub fn check_memory(peaks: &[u64]) -> Result<(), String> {
    match peaks.iter().max() {
        Some(peak) if *peak > MEMORY_BOUND => Err(format!(
            "a control process took {peak} bytes, {MEMORY_BOUND} are allowed"
        )),
        _ => Ok(()),
    }
}

impl System {
    /// Returns the peak memory in bytes of each control process that runs.
    pub fn control_memory_peaks(&self) -> Vec<u64> {
        let hosts = CONTROLS.iter();
        hosts
            .filter_map(|host| self.processes.peak_memory(*host))
            .collect()
    }

    /// Sets many routes to `version` in one change, sent once to one control process. Only
    /// status 200 counts as acknowledged.
    pub async fn change_many_routes(&self, host: u8, version: u64) {
        let patch = Patch {
            upserts: items::realistic_routes("s", 0, ROUTES, version),
            removals: Vec::new(),
        };
        let body = serde_json::to_string(&patch).expect("JSON");
        if self.deployment.try_patch(host, &body).await == 200 {
            for upsert in patch.upserts {
                if let ItemKey::Route(name) = upsert.key {
                    self.acknowledged.add(name, version);
                }
            }
        }
    }
}

/// Reads the catalog until the log is closed. Returns the number of successful reads, or an error
/// if one lacked what was acknowledged before it began.
async fn read_repeatedly(
    log: Arc<RequestLog>,
    url: String,
    acknowledged: Acknowledged,
) -> Result<usize, String> {
    let client = reqwest::Client::builder()
        .timeout(READ_TIMEOUT)
        .build()
        .expect("a client");
    let mut successes = 0;
    while !log.is_closed() {
        let before = acknowledged.snapshot();
        if let Ok(answer) = client.get(&url).send().await
            && answer.status() == 200
            && let Ok(text) = answer.text().await
        {
            check_catalog(&before, &versions_in(&text)?)?;
            successes += 1;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    Ok(successes)
}

/// Returns the keys and versions in the answer to a read.
pub fn versions_in(text: &str) -> Result<BTreeMap<String, u64>, String> {
    let value: Value =
        serde_json::from_str(text).map_err(|error| format!("a read is not JSON: {error}"))?;
    let items = value["items"].as_array().ok_or("a read has no items")?;
    let versions = items.iter().map(|item| {
        let version = item["version"].as_u64().unwrap_or_default();
        (item["key"].to_string(), version)
    });
    Ok(versions.collect())
}

/// Readers of the catalog at all control processes.
pub struct Readers(Vec<tokio::task::JoinHandle<Result<usize, String>>>);

impl Readers {
    pub fn start(system: &System, log: &Arc<RequestLog>) -> Readers {
        let count = if system.shape.has_operators {
            READERS
        } else {
            0
        };
        let readers = CONTROLS
            .iter()
            .flat_map(|host| std::iter::repeat_n(*host, count));
        let tasks = readers.map(|host| {
            let url = format!("{}/v1/catalog", system.deployment.control_url(host));
            let reading = read_repeatedly(Arc::clone(log), url, system.acknowledged.clone());
            tokio::spawn(reading)
        });
        Readers(tasks.collect())
    }

    /// Waits for the readers after the log is closed. Returns the number of successful reads.
    pub async fn finish(self) -> Result<usize, String> {
        let mut successes = 0;
        for task in self.0 {
            successes += task.await.expect("no panic in a reader")?;
        }
        Ok(successes)
    }
}
