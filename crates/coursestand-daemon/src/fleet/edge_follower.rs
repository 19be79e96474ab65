//! Follows the control processes: maintains connections to a majority of them, and applies what
//! they send to the state of the entry daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_discovery::{EdgePhase, EdgeRecord, LinkUse};
use coursestand_model::Millis;
use coursestand_proxy::tokens::RateLimitMessage;
use coursestand_proxy::trials::CrashRecordMessage;
use coursestand_proxy::{EdgeState, LinkWatch};
use coursestand_routing::hash::{combine, hash_of};
use coursestand_routing::{SharedCrashRecord, SharedFinding, TrialVerdict};
use coursestand_transport::stream::StreamError;
use log::info;
use serde_json::{Value, json};
use tokio::sync::{Notify, broadcast, watch};
use tokio::task::JoinHandle;

use crate::control::shared::LogExtent;
use crate::fleet::catalog_follower::CatalogFollower;
use crate::fleet::control_link::follow_control;
use crate::fleet::dumps;
use crate::fleet::follower_metrics::FollowerMetrics;
use crate::fleet::prober::Prober;
use crate::fleet::wire::{ControlGroup, ToEdge};

const LOG: &str = "follower";
/// Up to this number of control processes, all of them are followed.
const MAX_FULLY_FOLLOWED_CONTROLS: usize = 5;
/// Time between two pings to one control process.
const PING_INTERVAL_MS: Millis = 1_000;
/// Ping interval while the daemon starts: it becomes ready at the first answer after the newest
/// commit.
const STARTING_PING_INTERVAL_MS: Millis = 150;
/// A control process counts as connected for this long after the newest ping that it answered
/// was sent. The time does not depend on the link, because other daemons take over
/// cold back ends when it is over.
const CONNECTION_LEASE_MS: Millis = 2_500;
/// Maximum age of the proof of the newest catalog at which a starting daemon becomes ready:
/// more than twice the round trip of 1.9 s that a full link can take.
const MAX_PROOF_AGE_MS: Millis = 5_000;
/// Time that a starting daemon waits, once its catalog is proven, for the member lists of most
/// seeds. The first list may come from a process that has been partitioned for long and that
/// proves an outdated catalog by itself. The time exceeds a connection and a round trip between
/// the farthest regions, and delays the start where seeds are down.
const SEED_LISTS_WAIT_MS: Millis = 1_000;
/// Time until all other daemons learn that a daemon was lost: changes are sent at most every
/// 200 ms, with the latency between the farthest regions.
const EDGE_CHANGE_LAG: Duration = Duration::from_millis(1_000);
/// Time after which a daemon that was partitioned owns no cold back ends.
pub const HAND_OVER_MS: Millis = CONNECTION_LEASE_MS + EDGE_CHANGE_LAG.as_millis() as Millis;
/// Longer round trips to a control process are logged: changes are delayed by as much.
const SLOW_ROUND_TRIP: Duration = Duration::from_millis(500);
/// Time between two checks of which control processes to follow.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// State of the connection with one control process.
#[derive(Clone, Debug, Default)]
struct FollowedControl {
    /// When the newest ping that was answered on the current connection was sent.
    answered_ping_sent_at: Option<Millis>,
    edges: BTreeSet<String>,
}

impl FollowedControl {
    fn is_connected(&self, now: Millis) -> bool {
        self.answered_ping_sent_at
            .is_some_and(|sent_at| now.saturating_sub(sent_at) < CONNECTION_LEASE_MS)
    }
}

/// Follows the control processes.
pub struct EdgeFollower {
    state: Arc<EdgeState>,
    record: EdgeRecord,
    phase: watch::Sender<EdgePhase>,
    /// Utilization of this machine's link, sent with each ping.
    link_use: AtomicU8,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Members of the control group, as the group itself reports them.
    controls: Mutex<BTreeSet<SocketAddr>>,
    catalog: CatalogFollower,
    metrics: FollowerMetrics,
    /// Receives the round trip times to control processes.
    link: Arc<LinkWatch>,
    followed_controls: Mutex<BTreeMap<SocketAddr, FollowedControl>>,
    /// Progress of a starting daemon.
    starting: Mutex<Starting>,
    changed: Notify,
    prober: Prober,
}

/// Progress of a starting daemon.
#[derive(Debug, Default)]
struct Starting {
    /// Control processes that have sent a member list.
    lists_received_from: BTreeSet<SocketAddr>,
    /// When the catalog was first proven to be the newest.
    proven_since: Option<Millis>,
}

impl EdgeFollower {
    /// Creates a follower for the daemon that `record` describes.
    pub fn new(
        state: Arc<EdgeState>,
        record: EdgeRecord,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        metrics: FollowerMetrics,
        link: Arc<LinkWatch>,
    ) -> EdgeFollower {
        EdgeFollower {
            catalog: CatalogFollower::new(Arc::clone(&state)),
            state,
            phase: watch::Sender::new(record.phase),
            record,
            link_use: AtomicU8::new(0),
            seeds,
            controls: Mutex::default(),
            metrics,
            link,
            followed_controls: Mutex::default(),
            starting: Mutex::default(),
            changed: Notify::new(),
            prober: Prober::default(),
        }
    }

    /// Returns the lifecycle phase of this daemon.
    pub fn phase(&self) -> EdgePhase {
        *self.phase.borrow()
    }

    /// Advances the daemon to a later phase and announces it; earlier phases are ignored.
    pub fn set_phase(&self, phase: EdgePhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    /// Sets the utilization of the machine's link.
    pub fn set_link_use(&self, link_use: LinkUse) {
        self.link_use.store(link_use, Ordering::Relaxed);
    }

    fn followed_controls(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, FollowedControl>> {
        self.followed_controls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time until the next ping to `control` in milliseconds. The pings to the
    /// control processes are spread evenly, so that the loss of all connections at once is
    /// detected by the first of them.
    pub(super) fn next_ping_in_ms(&self, control: SocketAddr) -> Millis {
        if self.phase() == EdgePhase::Starting {
            return STARTING_PING_INTERVAL_MS;
        }
        let controls = self.controls();
        let position = controls.iter().position(|address| *address == control);
        let position = position.unwrap_or(0) as Millis;
        let offset = PING_INTERVAL_MS * position / controls.len().max(1) as Millis;
        let since = (self.state.now() + PING_INTERVAL_MS - offset) % PING_INTERVAL_MS;
        PING_INTERVAL_MS - since
    }

    /// Returns the link utilization for the next ping.
    pub(super) fn link_use(&self) -> LinkUse {
        self.link_use.load(Ordering::Relaxed)
    }

    /// Watches the daemon's phase.
    pub(super) fn phases(&self) -> watch::Receiver<EdgePhase> {
        self.phase.subscribe()
    }

    /// Returns the daemon's copy of the catalog.
    pub(super) fn catalog(&self) -> &CatalogFollower {
        &self.catalog
    }

    pub(super) fn metrics(&self) -> &FollowerMetrics {
        &self.metrics
    }

    pub(super) fn prober(&self) -> &Prober {
        &self.prober
    }

    fn controls(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the gauges.
    pub fn update_metrics(&self) {
        self.metrics
            .update(self.connected_count(), self.catalog.age_ms());
    }

    /// Returns the time of the lease clock, which counts suspensions of the machine, in
    /// milliseconds.
    pub(super) fn now(&self) -> Millis {
        self.state.now()
    }

    /// Records the answer to the ping sent at `ping_sent_at`. That time is passed separately
    /// because the round trip does not include suspensions of the machine.
    pub(super) fn note_pong(
        &self,
        control: SocketAddr,
        round_trip: Duration,
        ping_sent_at: Millis,
        log_extent: Option<LogExtent>,
        catalog: u64,
    ) {
        self.metrics.round_trip.observe(round_trip.as_secs_f64());
        self.link.note_round_trip(&control.to_string(), round_trip);
        let round_trip_ms = round_trip.as_millis() as Millis;
        if round_trip > SLOW_ROUND_TRIP {
            info!(target: LOG, control:% = control, round_trip_ms = round_trip_ms,
                catalog_age_ms = self.catalog.age_ms(); "slow answer from a control process");
        }
        let now = self.state.now();
        self.catalog.note_version(control, catalog);
        if let Some(log_extent) = log_extent {
            self.catalog
                .note_log_extent(control, ping_sent_at, log_extent, catalog);
        }
        self.note_connected(control, now, ping_sent_at);
        self.become_ready();
    }

    fn note_connected(&self, control: SocketAddr, now: Millis, ping_sent_at: Millis) {
        let has_changed = {
            let mut followed_controls = self.followed_controls();
            let connection = followed_controls.entry(control).or_default();
            let was_connected = connection.is_connected(now);
            connection.answered_ping_sent_at =
                connection.answered_ping_sent_at.max(Some(ping_sent_at));
            connection.is_connected(now) != was_connected
        };
        if has_changed {
            info!(target: LOG, control:% = control, followed = self.connected_count();
                "control process followed");
            self.merge_edges();
        }
    }

    /// Records that a connection was lost, and drops the state that was received on it.
    pub(super) fn note_lost(&self, control: SocketAddr, error: &StreamError) {
        self.catalog.forget(control);
        let was_connected = {
            let mut followed_controls = self.followed_controls();
            let before = followed_controls.insert(control, FollowedControl::default());
            before.is_some_and(|connection| connection.answered_ping_sent_at.is_some())
        };
        self.update_is_following();
        if was_connected {
            info!(target: LOG, control:% = control, followed = self.connected_count(),
                catalog = self.catalog.version(),
                catalog_age_ms = self.catalog.age_ms();
                "control process lost: {error}");
            self.metrics.lost.inc();
            self.changed.notify_one();
        }
    }

    /// Records that a connection was replaced; the new one starts with the full state.
    pub(super) fn note_renewed(&self, control: SocketAddr) {
        self.catalog.forget(control);
        self.followed_controls()
            .insert(control, FollowedControl::default());
        self.update_is_following();
    }

    /// Runs until it is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut tasks: BTreeMap<SocketAddr, FollowTask> = BTreeMap::new();
        loop {
            let controls_to_follow = self.controls_to_follow();
            tasks.retain(|address, _| controls_to_follow.contains(address));
            self.followed_controls()
                .retain(|address, _| controls_to_follow.contains(address));
            for address in controls_to_follow {
                tasks.entry(address).or_insert_with(|| {
                    FollowTask(tokio::spawn(follow_control(Arc::clone(&self), address)))
                });
            }
            self.update_is_following();
            // Woken by a change or the end of the interval.
            let _ = tokio::time::timeout(CHECK_INTERVAL, self.changed.notified()).await;
        }
    }

    /// Returns the control processes to follow: all if they are few, otherwise a majority, so
    /// that every order that a majority has reaches this daemon directly.
    fn controls_to_follow(&self) -> BTreeSet<SocketAddr> {
        let controls = self.controls().clone();
        if controls.is_empty() {
            return self.seeds.borrow().iter().copied().collect();
        }
        let mut controls_to_follow: Vec<SocketAddr> = controls.iter().copied().collect();
        if controls_to_follow.len() > MAX_FULLY_FOLLOWED_CONTROLS {
            let daemon_hash = hash_of(&self.record.name);
            controls_to_follow
                .sort_by_key(|address| combine(daemon_hash, hash_of(&address.to_string())));
            controls_to_follow.truncate(controls.len() / 2 + 1);
        }
        let mut controls_to_follow: BTreeSet<SocketAddr> = controls_to_follow.into_iter().collect();
        // Without any connection, the seeds may have the current group; while the daemon
        // starts, they may have a newer one than it has received.
        let is_disconnected = self.connected_count() == 0;
        if is_disconnected || self.phase() == EdgePhase::Starting {
            controls_to_follow.extend(self.seeds.borrow().iter().copied());
        }
        controls_to_follow
    }

    /// Becomes ready once the catalog is proven to hold every acknowledged change. Answers of a
    /// majority alone are not enough: what one of them has applied may be older.
    fn become_ready(&self) {
        if self.phase() != EdgePhase::Starting || self.catalog.is_empty() {
            return;
        }
        let is_newest = self
            .catalog
            .age_ms()
            .is_some_and(|age_ms| age_ms < MAX_PROOF_AGE_MS);
        if is_newest && self.is_group_known() {
            info!(target: LOG, catalog = self.catalog.version(),
                catalog_age_ms = self.catalog.age_ms(); "this daemon is ready");
            self.set_phase(EdgePhase::Ready);
        }
    }

    fn starting(&self) -> MutexGuard<'_, Starting> {
        self.starting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether most seeds have sent a member list, or the time to wait for them is
    /// over.
    fn is_group_known(&self) -> bool {
        let seeds = self.seeds.borrow().clone();
        let now = self.state.now();
        let mut starting = self.starting();
        let since = *starting.proven_since.get_or_insert(now);
        let listed_seeds = seeds
            .iter()
            .filter(|seed| starting.lists_received_from.contains(*seed));
        listed_seeds.count() > seeds.len() / 2 || now.saturating_sub(since) >= SEED_LISTS_WAIT_MS
    }

    pub(super) fn record(&self) -> EdgeRecord {
        EdgeRecord {
            phase: self.phase(),
            ..self.record.clone()
        }
    }

    /// Subscribes to this daemon's findings about back ends.
    pub(super) fn findings(&self) -> broadcast::Receiver<SharedFinding> {
        self.state.findings()
    }

    /// Applies findings of other daemons about back ends.
    pub(super) fn apply_findings(&self, findings: &[SharedFinding]) {
        for finding in findings {
            self.state.adopt_finding(finding);
        }
    }

    /// Returns the daemon state that this follower updates.
    pub(super) fn state(&self) -> &EdgeState {
        &self.state
    }

    /// Subscribes to the rate limits and token requests of this daemon.
    pub(super) fn rate_limit_messages(&self) -> broadcast::Receiver<RateLimitMessage> {
        self.state.rate_limit_messages()
    }

    /// Subscribes to the crash records and trial requests of this daemon.
    pub(super) fn crash_record_messages(&self) -> broadcast::Receiver<CrashRecordMessage> {
        self.state.crash_record_messages()
    }

    /// Returns the crash records that this daemon has.
    pub(super) fn crash_records(&self) -> Vec<SharedCrashRecord> {
        self.state.crash_records()
    }

    /// Applies crash records of a control process.
    pub(super) fn apply_crash_records(&self, records: &[SharedCrashRecord]) {
        self.state.adopt_crash_records(records);
    }

    /// Applies the answer to a trial request.
    pub(super) fn apply_trial_verdict(&self, verdict: TrialVerdict) {
        self.state.handle_trial_verdict(verdict);
    }

    /// Applies a message from a control process.
    pub(super) fn apply(&self, from: SocketAddr, message: ToEdge) {
        match message {
            // Handled by the connection that received it.
            ToEdge::Probe(_)
            | ToEdge::Pong { .. }
            | ToEdge::CatalogPart(_)
            | ToEdge::Findings(_)
            | ToEdge::CrashRecords(_)
            | ToEdge::Trial(_)
            | ToEdge::Limits(_)
            | ToEdge::Relays(_)
            | ToEdge::Token { .. } => {}
            ToEdge::Catalog(delta) => {
                self.catalog.apply(from, delta);
                self.become_ready();
            }
            ToEdge::CatalogVersion(version) => self.catalog.note_version(from, version),
            ToEdge::Instances(changed, starts) => self.state.adopt_instances(starts.join(changed)),
            ToEdge::Edges(change) => {
                {
                    let mut followed_controls = self.followed_controls();
                    let connection = followed_controls.entry(from).or_default();
                    connection.edges.extend(change.added);
                    for name in &change.removed {
                        connection.edges.remove(name);
                    }
                }
                self.merge_edges();
            }
            ToEdge::Controls(group) => {
                self.apply_group(from, group);
                self.changed.notify_one();
            }
        }
    }

    fn apply_group(&self, from: SocketAddr, group: ControlGroup) {
        info!(target: LOG, control:% = from, members = group.members.len(),
            voters = group.voters.len(), changed_at = group.changed_at;
            "control group received");
        self.starting().lists_received_from.insert(from);
        let is_newest = self.catalog.set_voters(group.voters, group.changed_at);
        if is_newest && !group.members.is_empty() {
            *self.controls() = group.members;
        }
    }

    /// Updates whether this daemon is connected with more than half of the control processes.
    /// Any two daemons for which this holds have a control process in common, and learn of
    /// each other from it.
    fn update_is_following(&self) {
        let controls = self.controls().clone();
        // Locked until the end, so that an older result never replaces a newer one.
        let followed_controls = self.followed_controls();
        let now = self.state.now();
        let connected = followed_controls
            .iter()
            .filter(|(address, connection)| {
                connection.is_connected(now) && controls.contains(address)
            })
            .count();
        self.state.set_following(connected > controls.len() / 2);
    }

    fn merge_edges(&self) {
        // Without a connection, the last list of daemons is kept. Retry budgets are divided by
        // it: with a list of this daemon alone, it would take the whole budget.
        if self.connected_count() == 0 {
            self.update_is_following();
            return;
        }
        let now = self.state.now();
        let names: BTreeSet<String> = self
            .followed_controls()
            .values()
            .filter(|connection| connection.is_connected(now))
            .flat_map(|connection| connection.edges.iter().cloned())
            .collect();
        self.state.set_daemons(&self.record.name, names.into_iter());
        self.update_is_following();
    }

    /// Returns the number of connected control processes.
    pub fn connected_count(&self) -> usize {
        let now = self.state.now();
        let followed_controls = self.followed_controls();
        followed_controls
            .values()
            .filter(|connection| connection.is_connected(now))
            .count()
    }

    /// Returns the follower's state for the dump.
    pub fn dump(&self) -> Value {
        let now = self.state.now();
        let evacuations = dumps::evacuations(&self.state.routing().catalog);
        let followed_controls: BTreeMap<String, bool> = self
            .followed_controls()
            .iter()
            .map(|(address, connection)| (address.to_string(), connection.is_connected(now)))
            .collect();
        json!({
            "phase": format!("{:?}", self.phase()),
            "controls": *self.controls(),
            "catalog_age_ms": self.catalog.age_ms(),
            "evacuations": evacuations,
            "followed": followed_controls,
        })
    }
}

/// Aborts its task when it is dropped.
struct FollowTask(JoinHandle<()>);

impl Drop for FollowTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
