//! An entry daemon's copy of the catalog: tracks its freshness, the changes that it lacks, and
//! the control process that they are fetched from.

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

/// Follows the catalog of the control group.
pub struct CatalogFollower {
    state: Arc<EdgeState>,
    freshness: Mutex<Freshness<SocketAddr>>,
    catch_up: Mutex<CatchUp<SocketAddr>>,
}

impl CatalogFollower {
    /// Creates a follower that applies catalog changes to `state`.
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

    /// Returns the newest catalog version in force in this daemon.
    pub fn version(&self) -> u64 {
        self.state.routing().catalog.version()
    }

    /// Returns whether no catalog has been received.
    pub fn is_empty(&self) -> bool {
        self.state.routing().catalog.is_empty()
    }

    /// Returns the age of the catalog in milliseconds: every change acknowledged before that
    /// time is known to be in force here. `None` until that has been proven once.
    pub fn age_ms(&self) -> Option<Millis> {
        let proven_at = self.freshness().proven_at();
        proven_at.map(|proven_at| self.state.now().saturating_sub(proven_at))
    }

    /// Sets the voters of the control group after the membership change at log index
    /// `changed_at`. Returns whether this is at least as new as the known group.
    pub fn set_voters(&self, voters: BTreeSet<SocketAddr>, changed_at: u64) -> bool {
        self.freshness().set_members(voters, changed_at)
    }

    /// Applies changes that `from` sent.
    pub fn apply(&self, from: SocketAddr, delta: CatalogDelta) {
        let version = delta.version;
        let items = delta.items.len();
        if delta.since > self.version() {
            info!(target: LOG, control:% = from, since = delta.since, catalog = version;
                "catalog changes ignored: earlier changes are missing");
        }
        self.catch_up().note_available(from, version);
        let changes = self.state.adopt_catalog(delta);
        if !changes.is_empty() {
            info!(target: LOG, control:% = from, catalog = version, items = items;
                "the catalog changed");
        }
        for (zone, evacuation) in &changes.evacuations {
            info!(target: LOG, control:% = from, catalog = version, zone = zone.as_str(),
                is_active = evacuation.is_active, index = evacuation.changed;
                "the evacuation of a zone changed in this daemon");
        }
        let version = self.version();
        self.catch_up().advance_version(version);
        self.freshness().advance_version(version);
    }

    /// Records that `from` has the catalog up to this version.
    pub fn note_version(&self, from: SocketAddr, version: u64) {
        self.catch_up().note_available(from, version);
    }

    /// Records the log extent that `from` reported in answer to the ping sent at `ping_sent_at`,
    /// and that its catalog is at `version`.
    pub fn note_log_extent(
        &self,
        from: SocketAddr,
        ping_sent_at: Millis,
        log_extent: LogExtent,
        version: u64,
    ) {
        let mut freshness = self.freshness();
        freshness.note_applied(version, log_extent.applied);
        freshness.note_log_end(from, ping_sent_at, log_extent.end);
    }

    /// Returns whether to fetch missing changes from `from`. This also replaces a control
    /// process that has sent nothing for `answer_timeout` after a request.
    pub fn should_fetch(&self, from: SocketAddr, answer_timeout: Duration) -> bool {
        let now = self.state.now();
        let timeout_ms = answer_timeout.as_millis() as Millis;
        self.catch_up().should_request(&from, now, timeout_ms)
    }

    /// Records that a part of the changes fetched from `from` arrived.
    pub fn note_part(&self, from: SocketAddr) {
        let now = self.state.now();
        self.catch_up().note_progress(&from, now);
    }

    /// Drops the fetch from `from`, whose connection was replaced.
    pub fn forget(&self, from: SocketAddr) {
        self.catch_up().forget(&from);
    }
}
