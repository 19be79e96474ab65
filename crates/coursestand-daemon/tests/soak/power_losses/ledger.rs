//! What operators sent and what was acknowledged, and the check of what is read back.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_catalog::Patch;
use tokio::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard, watch};

use super::disks::{Disks, Lengths};

/// Versions of items by key.
pub type Versions = BTreeMap<String, u64>;

#[derive(Debug, Default)]
struct Entries {
    sent: Versions,
    acknowledged: Versions,
    /// Segments when the last acknowledgement arrived.
    lengths: Lengths,
}

/// Numbers of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub acknowledged: u64,
}

/// The changes of all operators.
#[derive(Debug)]
pub struct Ledger {
    disks: Disks,
    entries: Mutex<Entries>,
    counts: watch::Sender<Counts>,
    /// Held for reading by each call in progress.
    calls: RwLock<()>,
}

fn versions_of(patch: &Patch) -> impl Iterator<Item = (String, u64)> {
    patch.upserts.iter().map(|upsert| {
        let key = serde_json::to_value(&upsert.key).expect("JSON");
        (key.to_string(), upsert.version)
    })
}

fn raise(versions: &mut Versions, patch: &Patch) {
    for (key, version) in versions_of(patch) {
        let newest = versions.entry(key).or_default();
        *newest = version.max(*newest);
    }
}

impl Ledger {
    pub fn new(disks: Disks) -> Arc<Ledger> {
        Arc::new(Ledger {
            disks,
            entries: Mutex::default(),
            counts: watch::Sender::default(),
            calls: RwLock::new(()),
        })
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn send(&self, patch: &Patch) {
        raise(&mut self.entries().sent, patch);
        self.counts.send_modify(|counts| counts.sent += 1);
    }

    /// Notes an acknowledgement that has just arrived. Whatever the disks hold now stays.
    pub fn acknowledge(&self, patch: &Patch) {
        let mut entries = self.entries();
        entries.lengths = self.disks.lengths();
        raise(&mut entries.acknowledged, patch);
        drop(entries);
        self.counts.send_modify(|counts| counts.acknowledged += 1);
    }

    pub fn sent(&self) -> Versions {
        self.entries().sent.clone()
    }

    pub fn acknowledged(&self) -> Versions {
        self.entries().acknowledged.clone()
    }

    pub fn acknowledged_lengths(&self) -> Lengths {
        self.entries().lengths.clone()
    }

    /// Returns the counts of changes and their updates.
    pub fn counts(&self) -> watch::Receiver<Counts> {
        self.counts.subscribe()
    }

    /// Begins a call, which ends when the guard is dropped.
    pub async fn begin_call(&self) -> RwLockReadGuard<'_, ()> {
        self.calls.read().await
    }

    /// Waits until no call is in progress. None begins until the guard is dropped.
    pub async fn suspend_calls(&self) -> RwLockWriteGuard<'_, ()> {
        self.calls.write().await
    }
}

/// Checks a read: `acknowledged` before it began, `sent` by its end.
pub fn check_read(acknowledged: &Versions, sent: &Versions, read: &Versions) -> Result<(), String> {
    for (key, version) in acknowledged {
        match read.get(key) {
            None => return Err(format!("{key} is missing, {version} was acknowledged")),
            Some(found) if found < version => {
                return Err(format!(
                    "{key} has version {found}, {version} was acknowledged"
                ));
            }
            Some(_) => {}
        }
    }
    for (key, version) in read {
        let newest = sent.get(key).copied().unwrap_or_default();
        if *version > newest {
            return Err(format!("{key} has version {version}, {newest} was sent"));
        }
    }
    Ok(())
}
