//! State shared by the parts of a control replica.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use coursestand_consensus::{LogIndex, Membership};
use coursestand_coordination::{ControlState, ControlVersion, Delta};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{DaemonId, Millis};
use serde::Serialize;
use tokio::sync::watch;

use crate::control::identity::Identity;
use crate::control::leaderless::LeaderlessSince;
use crate::fleet::catalog_updates::CatalogUpdates;

/// Status of a replica.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ReplicaStatus {
    /// Its identity, once it has joined a group.
    pub identity: Option<IdentityStatus>,
    /// Current term.
    pub term: u64,
    /// `leader`, `follower`, `candidate`, `blank` or `failed`.
    pub role: &'static str,
    /// The leader, if this replica has learned of one.
    pub leader: Option<u64>,
    /// Address of the leader, if it is known.
    pub leader_address: Option<SocketAddr>,
    /// Highest committed index.
    pub commit: u64,
    /// Last index of the log.
    pub last: u64,
    /// Index that the newest snapshot covers.
    pub snapshot: u64,
    /// Size of the log entries after the newest snapshot in bytes.
    pub log_bytes: usize,
    /// Size of the state in the newest snapshot in bytes.
    pub snapshot_bytes: usize,
    /// Members of the group.
    pub members: Vec<MemberStatus>,
    /// Index of the log entry that made them members.
    pub members_at: u64,
    /// Consensus messages that were not sent, since this replica knew no address of the receiver.
    pub unaddressed_messages: u64,
    /// Why the replica stopped, if it failed.
    pub failure: Option<String>,
}

/// A replica's identity as operators see it.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct IdentityStatus {
    /// The control group.
    pub cluster: u64,
    /// The replica.
    pub replica: u64,
}

impl From<Identity> for IdentityStatus {
    fn from(identity: Identity) -> Self {
        IdentityStatus {
            cluster: identity.cluster,
            replica: identity.replica,
        }
    }
}

/// A member of the group as the replica sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its identity.
    pub replica: u64,
    /// Its address.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
    /// Last index known to match the leader's log; set on the leader only.
    pub matched: Option<u64>,
    /// Milliseconds since its last message; set on the leader only.
    pub silent_ms: Option<u64>,
}

/// A member that was silent for less than this is alive.
const ALIVE_WITHIN_MS: Millis = 1_000;
/// Maximum lag of a complete log, in entries: changes may be under way.
const MAX_LAG_ENTRIES: u64 = 16;

impl MemberStatus {
    /// Returns whether the member was heard from lately. The leader reports no silence for itself.
    pub fn is_alive(&self) -> bool {
        self.silent_ms.is_none_or(|silent| silent < ALIVE_WITHIN_MS)
    }

    /// Returns whether the member's log has caught up with `commit`, except for changes under way.
    pub fn has_caught_up(&self, commit: u64) -> bool {
        self.matched
            .is_some_and(|matched| matched > 0 && matched + MAX_LAG_ENTRIES >= commit)
    }

    /// Returns whether the member is alive and has caught up with `commit`; so is the leader
    /// itself.
    pub fn is_complete(&self, commit: u64) -> bool {
        let is_leader = self.silent_ms.is_none();
        is_leader || (self.is_alive() && self.has_caught_up(commit))
    }

    /// Describes the member in one line of a log.
    pub fn describe(&self) -> String {
        let kind = if self.voter { "voter" } else { "learner" };
        let matched = self.matched.unwrap_or_default();
        let silent_ms = self.silent_ms.unwrap_or_default();
        format!(
            "{kind} {} at {}: matched {matched}, silent for {silent_ms} ms",
            self.replica, self.address
        )
    }
}

/// The extent of a voter's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct LogExtent {
    /// Last index that is synced to disk. Raised before the replica acknowledges it to the
    /// leader, so that no entry that it helped to commit lies above.
    pub end: LogIndex,
    /// Last index that the applied state includes.
    pub applied: LogIndex,
}

/// The replicated clock as the leader advances it: it starts with its value in the log when
/// the replica becomes leader, and advances with the clock of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadingClock {
    /// The replicated clock when this replica became leader.
    replicated: Millis,
    /// The clock of the process at that moment.
    local: Millis,
}

impl LeadingClock {
    /// Returns a clock that shows `replicated` when the clock of the process shows `local`.
    pub(crate) fn new(replicated: Millis, local: Millis) -> LeadingClock {
        LeadingClock { replicated, local }
    }

    /// Returns the replicated clock at `now` on the clock of the process.
    pub(crate) fn at(self, now: Millis) -> Millis {
        self.replicated + now.saturating_sub(self.local)
    }
}

/// State shared by the parts of a control replica.
pub struct ControlShared {
    /// Clock of the process.
    pub clock: MonotonicClock,
    state: RwLock<ControlState>,
    status: RwLock<ReplicaStatus>,
    /// Members, and the log index of the change that made them current.
    membership: RwLock<(LogIndex, Membership)>,
    leading_clock: RwLock<Option<LeadingClock>>,
    lease_end: AtomicU64,
    term: AtomicU64,
    leaderless_since: LeaderlessSince,
    log_extent: Mutex<Option<LogExtent>>,
    version: watch::Sender<ControlVersion>,
    catalog_version: watch::Sender<ControlVersion>,
    departures_version: watch::Sender<ControlVersion>,
    /// The newest delta by the version that it starts from. Most followers request the same
    /// one, and reading it for each of them would block the driver.
    deltas: Mutex<HashMap<ControlVersion, Arc<Delta>>>,
    /// Encoded changes of the catalog for entry daemons.
    catalog_updates: CatalogUpdates,
}

impl ControlShared {
    /// Returns the state of a blank replica.
    pub fn new(clock: MonotonicClock) -> ControlShared {
        ControlShared {
            clock,
            state: RwLock::default(),
            status: RwLock::default(),
            membership: RwLock::default(),
            leading_clock: RwLock::default(),
            lease_end: AtomicU64::new(0),
            term: AtomicU64::new(0),
            leaderless_since: LeaderlessSince::default(),
            log_extent: Mutex::default(),
            version: watch::Sender::new(0),
            catalog_version: watch::Sender::new(0),
            departures_version: watch::Sender::new(0),
            deltas: Mutex::default(),
            catalog_updates: CatalogUpdates::default(),
        }
    }

    /// Returns the applied control state.
    pub fn state(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn state_mut(&self) -> RwLockWriteGuard<'_, ControlState> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.status
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_status(&self, status: ReplicaStatus) {
        self.leaderless_since
            .note(self.clock.now(), status.leader.is_some());
        *self.status.write().unwrap_or_else(PoisonError::into_inner) = status;
    }

    /// Returns whether a call that needs the leader should wait for one, see
    /// [`LeaderlessSince::may_wait`].
    pub fn may_wait_for_leader(&self) -> bool {
        self.leaderless_since.may_wait(self.clock.now())
    }

    /// Returns the members of the group.
    pub fn membership(&self) -> Membership {
        self.membership_and_index().1
    }

    /// Returns the address of the leader, if this replica has learned of one.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        self.status().leader_address
    }

    /// Returns the members of the group, and the log index of the change that made them
    /// current.
    pub fn membership_and_index(&self) -> (LogIndex, Membership) {
        self.membership
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_membership(&self, index: LogIndex, membership: Membership) {
        *self
            .membership
            .write()
            .unwrap_or_else(PoisonError::into_inner) = (index, membership);
    }

    /// Returns the extent of this replica's log, or `None` unless it is a voter according
    /// to its own log: a replica that lost its disk has no record of what its predecessor
    /// acknowledged.
    pub fn log_extent(&self) -> Option<LogExtent> {
        *self
            .log_extent
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_log_extent(&self, extent: Option<LogExtent>) {
        *self
            .log_extent
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = extent;
    }

    /// Returns the clock that this replica advances, or `None` unless it leads.
    pub(crate) fn leading_clock(&self) -> Option<LeadingClock> {
        *self
            .leading_clock
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_leading_clock(&self, clock: Option<LeadingClock>) {
        *self
            .leading_clock
            .write()
            .unwrap_or_else(PoisonError::into_inner) = clock;
    }

    /// Returns the replicated clock with which a command is stamped at this moment, or
    /// `None` while this replica doesn't lead.
    pub fn replicated_clock(&self) -> Option<Millis> {
        let now = self.clock.now();
        self.leading_clock().map(|clock| clock.at(now))
    }

    /// Publishes the leader lease: the term first, so that a reader that sees the lease sees
    /// its term or a later one.
    pub(crate) fn set_lease(&self, term: u64, end: Option<Millis>) {
        self.term.store(term, Ordering::SeqCst);
        self.lease_end.store(end.unwrap_or(0), Ordering::SeqCst);
    }

    /// Returns the term in which this replica holds the leader lease at this moment. The
    /// lease is compared with the clock, so a process that was suspended sees that it has
    /// expired even before the driver runs again.
    pub fn leading_term(&self) -> Option<u64> {
        let end = self.lease_end.load(Ordering::SeqCst);
        let term = self.term.load(Ordering::SeqCst);
        (self.clock.now() < end).then_some(term)
    }

    /// Returns the rows that changed after `since`, with the slots of `daemon`.
    pub fn delta(&self, since: ControlVersion, daemon: &DaemonId) -> Delta {
        let mut deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.state();
        let tables = state.tables();
        let slots = tables.slots_delta(since, daemon);
        let known = deltas.get(&since).cloned();
        let common = known.filter(|delta| delta.version == tables.version);
        let common = common.unwrap_or_else(|| {
            let fresh = Arc::new(tables.common_delta(since));
            deltas.retain(|_, delta| delta.version == fresh.version);
            deltas.insert(since, Arc::clone(&fresh));
            fresh
        });
        drop(state);
        drop(deltas);
        common.with_slots(slots)
    }

    /// Returns the encoded changes of the catalog for entry daemons.
    pub fn catalog_updates(&self) -> &CatalogUpdates {
        &self.catalog_updates
    }

    /// Subscribes to versions of the followers' tables.
    pub fn versions(&self) -> watch::Receiver<ControlVersion> {
        self.version.subscribe()
    }

    /// Subscribes to versions of the catalog.
    pub fn catalog_versions(&self) -> watch::Receiver<ControlVersion> {
        self.catalog_version.subscribe()
    }

    /// Subscribes to versions of the departures of back ends.
    pub fn departures_versions(&self) -> watch::Receiver<ControlVersion> {
        self.departures_version.subscribe()
    }

    /// Publishes the versions of the applied state to the subscribers.
    pub(crate) fn publish_versions(&self) {
        let (tables, catalog, departures) = {
            let state = self.state();
            (
                state.tables().version,
                state.catalog().version(),
                state.departures().version(),
            )
        };
        publish(&self.version, tables);
        publish(&self.catalog_version, catalog);
        publish(&self.departures_version, departures);
    }
}

fn publish(sender: &watch::Sender<ControlVersion>, version: ControlVersion) {
    sender.send_if_modified(|known| {
        let changed = *known != version;
        *known = version;
        changed
    });
}
