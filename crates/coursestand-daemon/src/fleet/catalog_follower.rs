//! An entry daemon's copy of the catalog: how new it is, what of it is missing, and which
//! control process is asked for that.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_catalog::CatalogDelta;
use coursestand_coordination::{CatchUp, Freshness};
use coursestand_model::Millis;
use coursestand_proxy::EdgeState;
use log::info;

use crate::control::shared::LogExtent;

const LOG: &str = "follower";

/// Follows the catalog.
pub struct CatalogFollower {
    state: Arc<EdgeState>,
    freshness: Mutex<Freshness<SocketAddr>>,
    catch_up: Mutex<CatchUp<SocketAddr>>,
}

impl CatalogFollower {
    /// Feeds what is told into `state`.
    pub fn new(state: Arc<EdgeState>) -> CatalogFollower {
        CatalogFollower {
            state,
            freshness: Mutex::default(),
            catch_up: Mutex::default(),
        }
    }

    fn freshness(&self) -> MutexGuard<'_, Freshness<SocketAddr>> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn catch_up(&self) -> MutexGuard<'_, CatchUp<SocketAddr>> {
        self.catch_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Newest change that is in force here.
    pub fn version(&self) -> u64 {
        self.state.routing().catalog.version()
    }

    /// Whether nothing was ever told.
    pub fn is_empty(&self) -> bool {
        self.state.routing().catalog.is_empty()
    }

    /// Milliseconds since the moment before which every acknowledged change is known
    /// to be in force here; `None` before that was proven once.
    pub fn age_ms(&self) -> Option<Millis> {
        let proven_at = self.freshness().proven_at();
        proven_at.map(|proven_at| self.state.now().saturating_sub(proven_at))
    }

    /// The voters of the control group, made so by the change at `changed_at`. Returns
    /// whether that is not older than what is known.
    pub fn set_voters(&self, voters: BTreeSet<SocketAddr>, changed_at: u64) -> bool {
        self.freshness().set_members(voters, changed_at)
    }

    /// Takes in changes that `from` sent.
    pub fn take(&self, from: SocketAddr, delta: CatalogDelta) {
        let version = delta.version;
        let items = delta.items.len();
        if delta.since > self.version() {
            info!(target: LOG, control:% = from, since = delta.since, catalog = version;
                "changes are left out: earlier ones are missing");
        }
        self.catch_up().note_available(from, version);
        if self.state.adopt_catalog(delta) {
            info!(target: LOG, control:% = from, catalog = version, items = items;
                "the catalog changed");
        }
        let held = self.version();
        self.catch_up().advance_version(held);
        self.freshness().advance_version(held);
    }

    /// `from` has the catalog up to this change.
    pub fn note_told(&self, from: SocketAddr, version: u64) {
        self.catch_up().note_available(from, version);
    }

    /// `from` was asked at `asked_at` how far its log reaches; its catalog is at `version`.
    pub fn note_reach(&self, from: SocketAddr, asked_at: Millis, reach: LogExtent, version: u64) {
        let mut freshness = self.freshness();
        freshness.note_applied(version, reach.applied);
        freshness.note_log_end(from, asked_at, reach.end);
    }

    /// Whether `from` is to be asked for what is missing. If another one is asked, it has
    /// been silent for `patience` then.
    pub fn should_fetch(&self, from: SocketAddr, patience: Duration) -> bool {
        let now = self.state.now();
        let patience_ms = patience.as_millis() as Millis;
        self.catch_up().should_request(&from, now, patience_ms)
    }

    /// A part of what `from` was asked for came.
    pub fn note_part(&self, from: SocketAddr) {
        let now = self.state.now();
        self.catch_up().note_progress(&from, now);
    }

    /// What `from` was asked for will not come: its connection is another one.
    pub fn forget(&self, from: SocketAddr) {
        self.catch_up().forget(&from);
    }
}
