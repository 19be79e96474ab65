//! State of an entry daemon: the catalog, the back ends and the other entry daemons. The
//! follower updates it and the router reads it.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use coursestand_catalog::{AdoptedChanges, Catalog, CatalogDelta};
use coursestand_discovery::{InstanceUpdate, RelayEndpoint};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{Millis, ServiceId, ZoneId};
use coursestand_routing::cold::OwnerViews;
use coursestand_routing::fatal_requests::CrashRecordUpdate;
use coursestand_routing::findings::BackendReporters;
use coursestand_routing::hash::hash_of;
use coursestand_routing::paths::PathChange;
use coursestand_routing::picker::PickerConfig;
use coursestand_routing::rate_limit::TokenVerdict;
use coursestand_routing::split::SplitState;
use coursestand_routing::{
    Backends, FatalRequests, Finding, Fingerprint, PathScope, Paths, Picker, Rate, RateLimitUpdate,
    RetryAllowance, RetryBudget, RetryLimits, RouteTable, SharedCrashRecord, SharedFinding,
    TrialVerdict,
};
use tokio::sync::{broadcast, oneshot, watch};

use crate::relay::RelayPeers;
use crate::tokens::{RateLimitMessage, TokenRequests, answer_of};
use crate::trials::{CrashRecordMessage, TrialRequests};

const LOG: &str = "proxy";
/// Findings queued for a slow connection to control; further ones replace the oldest.
const FINDING_QUEUE_LENGTH: usize = 256;

/// Limits of the deployment that an entry daemon applies.
#[derive(Clone, Debug)]
pub struct EdgeBounds {
    /// Limits on retries.
    pub retries: RetryLimits,
    /// After an evacuation ends, back ends of the zone get no requests for this long: by then
    /// their heartbeats report whether they are cold.
    pub settle_ms: Millis,
    /// How long a daemon waits before it takes over a cold back end from another daemon.
    pub hand_over_ms: Millis,
}

/// The state that routing decisions read, all under one lock: a decision takes microseconds.
pub struct RoutingState {
    /// Configuration in force.
    pub catalog: Catalog,
    /// Routes of the catalog.
    pub routes: Arc<RouteTable>,
    /// Back ends.
    pub backends: Backends,
    /// Paths to back ends.
    pub paths: Paths,
    /// Picks back ends.
    pub picker: Picker,
    /// Names of the connected entry daemons, including this one.
    pub daemons: BTreeSet<String>,
    /// Owners of cold back ends.
    pub owners: OwnerViews,
    /// Retry budgets by service.
    pub budgets: HashMap<ServiceId, RetryBudget>,
    /// This daemon's share of the deployment's fixed retry allowance.
    pub allowance: RetryAllowance,
    /// Requests that crash back ends.
    pub fatal: FatalRequests,
    /// Whether the daemon has been connected to a majority of the control processes since it
    /// started, and so has received the crash records.
    pub is_synced: bool,
    /// Reports of other daemons on draining back ends.
    pub draining: BackendReporters,
    /// Reports of other daemons on rate limits that back ends announced to them.
    pub limit_reports: BackendReporters,
    /// State of the weighted splits by route name.
    pub splits: HashMap<String, SplitState>,
    /// Whether the daemon is connected to a majority of the control processes.
    is_following: bool,
}

/// Shared state of an entry daemon.
pub struct EdgeState {
    clock: MonotonicClock,
    bounds: EdgeBounds,
    routing: Mutex<RoutingState>,
    /// Findings about back ends to send to other daemons.
    findings: broadcast::Sender<SharedFinding>,
    /// Number of changes of crash records.
    crash_record_changes: watch::Sender<u64>,
    trials: TrialRequests,
    tokens: TokenRequests,
    /// Number of changes of the paths to back ends.
    path_changes: watch::Sender<u64>,
    /// Whether this daemon is partitioned from all back ends, or returns after that.
    is_partitioned: watch::Sender<bool>,
    relay_peers: Arc<RelayPeers>,
    relay_endpoint: OnceLock<RelayEndpoint>,
}

impl RoutingState {
    /// Updates the owners of cold back ends and the lease of the retry allowance. The other
    /// daemons take over from a partitioned daemon, so it does not count itself.
    fn update_ownership(&mut self, now: Millis) {
        let is_partitioned = self.paths.is_all_affected();
        let view = self.is_following.then(|| {
            let mut daemons = self.daemons.clone();
            if is_partitioned {
                daemons.remove(self.picker.daemon());
            }
            daemons
        });
        self.owners.set(now, view);
        if self.is_following && !is_partitioned {
            self.allowance.renew(now);
        }
    }

    /// Applies a finding of another daemon: a back end crashed or is draining.
    fn apply_remote_finding(&mut self, now: Millis, shared: &SharedFinding) {
        match shared.finding {
            Finding::Ended { backend, .. } => self.backends.note_remote_crash(now, backend),
            Finding::Drains { backend } => {
                let is_confirmed = self.draining.record(backend, shared.reporter);
                if is_confirmed && self.backends.note_remote_draining(now, backend) {
                    self.picker.invalidate(now);
                }
            }
            Finding::Answered(_) => {}
        }
    }
}

impl EdgeState {
    /// Creates the state of a daemon with picker settings `config`, without catalog or back ends.
    pub fn new(clock: MonotonicClock, config: PickerConfig, bounds: EdgeBounds) -> EdgeState {
        let daemons = BTreeSet::from([config.daemon.clone()]);
        let own_hash = hash_of(&config.daemon);
        let owners = OwnerViews::new(bounds.hand_over_ms);
        let allowance = RetryAllowance::new(&config.daemon, bounds.retries, bounds.hand_over_ms);
        EdgeState {
            clock,
            bounds,
            routing: Mutex::new(RoutingState {
                catalog: Catalog::default(),
                routes: Arc::default(),
                backends: Backends::default(),
                paths: Paths::default(),
                picker: Picker::new(config),
                daemons,
                owners,
                budgets: HashMap::new(),
                allowance,
                splits: HashMap::new(),
                fatal: FatalRequests::new(own_hash),
                is_synced: false,
                draining: BackendReporters::default(),
                limit_reports: BackendReporters::default(),
                is_following: false,
            }),
            findings: broadcast::Sender::new(FINDING_QUEUE_LENGTH),
            crash_record_changes: watch::Sender::new(0),
            trials: TrialRequests::default(),
            tokens: TokenRequests::default(),
            path_changes: watch::Sender::new(0),
            is_partitioned: watch::Sender::new(false),
            relay_peers: Arc::default(),
            relay_endpoint: OnceLock::new(),
        }
    }

    /// Returns the daemons that requests may be relayed to.
    pub fn relay_peers(&self) -> &Arc<RelayPeers> {
        &self.relay_peers
    }

    /// Sets where this daemon accepts relayed requests; called once.
    pub fn set_relay_endpoint(&self, endpoint: RelayEndpoint) {
        // Fails only if it is set already.
        let _ = self.relay_endpoint.set(endpoint);
    }

    /// Returns where this daemon accepts relayed requests, if it does.
    pub fn relay_endpoint(&self) -> Option<RelayEndpoint> {
        self.relay_endpoint.get().copied()
    }

    /// Watches whether this daemon is partitioned from all back ends, or returns after that.
    pub fn partitions(&self) -> watch::Receiver<bool> {
        self.is_partitioned.subscribe()
    }

    /// Subscribes to changes of the paths to back ends.
    pub fn path_changes(&self) -> watch::Receiver<u64> {
        self.path_changes.subscribe()
    }

    /// Applies and logs changes of the paths to back ends.
    pub fn apply_path_changes(&self, changes: &[PathChange]) {
        if changes.is_empty() {
            return;
        }
        let now = self.now();
        let mut routing = self.routing();
        for change in changes.iter().filter(|change| change.is_returning()) {
            let scope = &change.scope;
            routing
                .backends
                .forgive_failures(|instance| scope.contains(instance));
        }
        let is_partitioned = routing.paths.is_all_affected();
        routing.update_ownership(now);
        drop(routing);
        for change in changes {
            log::warn!(target: LOG, scope = change.scope.label(), state = change.state,
                failed = change.failed, silent_ms = change.silent_ms,
                peers = self.relay_peers.count(); "the path to back ends changed");
        }
        self.is_partitioned.send_if_modified(|current| {
            let has_changed = *current != is_partitioned;
            *current = is_partitioned;
            has_changed
        });
        self.path_changes.send_modify(|count| *count += 1);
    }

    /// Returns the number of back ends of a scope.
    pub(crate) fn size_of(backends: &Backends, scope: &PathScope) -> usize {
        let backends = backends.iter();
        backends
            .filter(|backend| scope.contains(&backend.instance))
            .count()
    }

    /// Returns the time on the daemon's clock, in milliseconds.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the limits of the deployment.
    pub fn bounds(&self) -> &EdgeBounds {
        &self.bounds
    }

    /// Locks the routing state. The guard must not be held across an await point, and no other
    /// lock may be acquired while it is held: the follower acquires it while holding its lock
    /// on the state of control.
    pub fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies configuration changes. Returns those that were not applied before.
    pub fn adopt_catalog(&self, delta: CatalogDelta) -> AdoptedChanges {
        let now = self.now();
        let mut routing = self.routing();
        let ended_evacuations: Vec<ZoneId> = delta
            .evacuations
            .iter()
            .filter(|(zone, change)| !change.is_active && routing.catalog.is_evacuated(zone))
            .map(|(zone, _)| zone.clone())
            .collect();
        let changes = routing.catalog.adopt(delta);
        if changes.is_empty() {
            return changes;
        }
        if changes.items > 0 {
            routing.routes = Arc::new(RouteTable::new(&routing.catalog));
        }
        if !ended_evacuations.is_empty() {
            let until = now + self.bounds.settle_ms;
            routing
                .backends
                .treat_as_cold(until, |instance| ended_evacuations.contains(&instance.zone));
        }
        routing.picker.invalidate(now);
        changes
    }

    /// Applies updates of back ends.
    pub fn adopt_instances(&self, updates: Vec<InstanceUpdate>) {
        let now = self.now();
        let mut routing = self.routing();
        let mut changed = false;
        for update in updates {
            changed |= routing.backends.merge(now, update);
        }
        if changed {
            routing.picker.invalidate(now);
        }
    }

    /// Applies a daemon's finding about a back end.
    pub fn adopt_finding(&self, shared: &SharedFinding) {
        let now = self.now();
        let mut routing = self.routing();
        if shared.reporter != routing.fatal.own_hash() {
            routing.apply_remote_finding(now, shared);
        }
        if let Finding::Ended { backend, .. } = shared.finding {
            let budgets = routing.budgets.values_mut();
            budgets.for_each(|budget| budget.unresolved().forget(backend));
        }
        let changes = routing.fatal.apply_finding(now, shared);
        drop(routing);
        self.announce_crash_record_changes(changes, Some(shared));
    }

    /// Logs changes of crash records, caused by a finding of a daemon or by a message from
    /// control, and wakes the attempts that may have to be closed because of them.
    fn announce_crash_record_changes(
        &self,
        changes: Vec<CrashRecordUpdate>,
        finding: Option<&SharedFinding>,
    ) {
        if changes.is_empty() {
            return;
        }
        log_crash_record_changes(changes, finding);
        self.crash_record_changes.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of crash records.
    pub fn crash_record_changes(&self) -> watch::Receiver<u64> {
        self.crash_record_changes.subscribe()
    }

    /// Merges crash records that a control process sent.
    pub fn adopt_crash_records(&self, crash_records: &[SharedCrashRecord]) {
        let now = self.now();
        for crash_record in crash_records {
            let changes = self.routing().fatal.merge(now, crash_record);
            self.announce_crash_record_changes(changes, None);
        }
    }

    /// Returns this daemon's crash records, to be sent to a control process.
    pub fn crash_records(&self) -> Vec<SharedCrashRecord> {
        self.routing().fatal.snapshot(self.now())
    }

    /// Asks control to grant a trial of a request. The returned receiver resolves with the
    /// answer.
    pub fn ask_for_trial(&self, request: Fingerprint) -> Option<oneshot::Receiver<()>> {
        let now = self.now();
        let crash_record = self.routing().fatal.shared(now, request)?;
        self.trials.ask(now, crash_record)
    }

    /// Handles the verdict of control on a trial that this daemon asked for.
    pub fn handle_trial_verdict(&self, verdict: TrialVerdict) {
        let now = self.now();
        let request = match verdict {
            TrialVerdict::Granted(crash_record) => {
                let request = crash_record.request;
                log::info!(target: LOG, fingerprint = request.0, convictions = crash_record.convictions;
                    "a request may be tried once");
                self.adopt_crash_records(std::slice::from_ref(&crash_record));
                self.routing().fatal.grant_permit(now, request);
                // Reports the trial, so that a control process that becomes leader next has a
                // record of it.
                self.trials.report(crash_record);
                request
            }
            TrialVerdict::Refused(crash_record) => {
                self.adopt_crash_records(std::slice::from_ref(&crash_record));
                crash_record.request
            }
            TrialVerdict::Cleared(request) => {
                let changes = self.routing().fatal.clear(now, request);
                self.announce_crash_record_changes(changes, None);
                request
            }
        };
        self.trials.answered(request);
    }

    /// Subscribes to messages about crash records and trials for control.
    pub fn crash_record_messages(&self) -> broadcast::Receiver<CrashRecordMessage> {
        self.trials.messages()
    }

    /// Returns the token requests for rate-limited back ends.
    pub fn tokens(&self) -> &TokenRequests {
        &self.tokens
    }

    /// Subscribes to messages about rate limits for control.
    pub fn rate_limit_messages(&self) -> broadcast::Receiver<RateLimitMessage> {
        self.tokens.messages()
    }

    /// Returns the rate limits that back ends announced to this daemon, to be sent to a
    /// control process.
    pub fn local_rate_limits(&self) -> Vec<RateLimitUpdate> {
        let now = self.now();
        let routing = self.routing();
        let own_hash = routing.fatal.own_hash();
        let limited = routing.backends.iter().filter_map(|backend| {
            let limit = backend.limit().filter(|limit| limit.is_first_hand())?;
            Some(RateLimitUpdate {
                reporter: own_hash,
                backend: backend.incarnation_hash,
                rate: Some(limit.rate()),
                age_ms: now.saturating_sub(limit.reported_at()),
            })
        });
        limited.collect()
    }

    /// Reports to control the rate limit that a back end announced to this daemon; `None` when
    /// the limit was lifted.
    pub fn report_rate_limit(&self, backend: u64, rate: Option<Rate>) {
        self.tokens.report(RateLimitUpdate {
            reporter: self.routing().fatal.own_hash(),
            backend,
            rate,
            age_ms: 0,
        });
    }

    /// Applies rate limits that back ends announced to other daemons. A limit that only one
    /// daemon reports is not applied.
    pub fn adopt_rate_limits(&self, updates: &[RateLimitUpdate]) {
        let now = self.now();
        let mut routing = self.routing();
        let own_hash = routing.fatal.own_hash();
        for update in updates.iter().filter(|update| update.reporter != own_hash) {
            let Some(rate) = update.rate else {
                routing.limit_reports.forget(update.backend);
                continue;
            };
            let is_confirmed = routing
                .limit_reports
                .record(update.backend, update.reporter);
            let reported_at = now.saturating_sub(update.age_ms);
            if is_confirmed
                && routing
                    .backends
                    .note_remote_rate(reported_at, update.backend, rate)
                    .is_some()
            {
                let backend = routing.backends.find_incarnation(update.backend);
                log::info!(target: LOG,
                    instance = backend.map(|backend| backend.instance.id.as_str()),
                    limit_per_second = rate.as_per_second();
                    "a back end changed: its rate limit, as reported by other daemons");
            }
        }
    }

    /// Handles the verdict of control process `from` on token request `number`.
    pub fn handle_token_verdict(&self, from: SocketAddr, number: u64, verdict: &TokenVerdict) {
        let Some(answered) = self.tokens.answered(from, number) else {
            return;
        };
        let requested_at = answered.request.sent_at;
        let token_request = &answered.request.request;
        let backend = token_request.backend;
        match verdict {
            TokenVerdict::Issued => {}
            TokenVerdict::Denied { again_in_ms, .. } => {
                let backends = &mut self.routing().backends;
                backends.note_denied(requested_at, backend, *again_in_ms, token_request.priority);
            }
            TokenVerdict::Lifted { age_ms } => {
                // Uses the time of the token request: the limit was lifted by then at the
                // latest.
                let lifted_at = requested_at.saturating_sub(*age_ms);
                let mut routing = self.routing();
                routing.limit_reports.forget(backend);
                let change = routing
                    .backends
                    .note_remote_limit_lifted(lifted_at, backend);
                if change.is_some() {
                    let found = routing.backends.find_incarnation(backend);
                    log::info!(target: LOG,
                        instance = found.map(|found| found.instance.id.as_str()), age_ms = *age_ms;
                        "a back end changed: its rate limit was lifted, as reported by another daemon");
                }
            }
        }
        let answer = answer_of(verdict, &answered.request);
        answered.deliver(answer);
    }

    /// Applies a finding of this daemon and sends it to the other daemons.
    pub fn publish_finding(&self, finding: Finding) {
        let shared = SharedFinding {
            number: rand::random(),
            reporter: self.routing().fatal.own_hash(),
            finding,
        };
        self.adopt_finding(&shared);
        // The send fails when there is no connection to control; the finding is then dropped.
        let _ = self.findings.send(shared);
    }

    /// Subscribes to the findings of this daemon.
    pub fn findings(&self) -> broadcast::Receiver<SharedFinding> {
        self.findings.subscribe()
    }

    /// Sets whether this daemon is connected to a majority of the control processes. While it
    /// is not, it owns no cold back end: the other daemons divide them among themselves.
    pub fn set_following(&self, is_following: bool) {
        let now = self.now();
        let mut routing = self.routing();
        routing.is_following = is_following;
        routing.fatal.set_connected(is_following);
        if is_following {
            routing.is_synced = true;
            let RoutingState {
                allowance, daemons, ..
            } = &mut *routing;
            allowance.note_listed(now, daemons.iter().map(String::as_str));
        }
        routing.update_ownership(now);
    }

    /// Sets the entry daemons that are connected besides this one.
    pub fn set_daemons(&self, own_name: &str, others: impl Iterator<Item = String>) {
        let mut daemons: BTreeSet<String> = others.collect();
        daemons.insert(own_name.to_owned());
        let now = self.now();
        let mut routing = self.routing();
        let names = daemons.iter().map(String::as_str);
        routing.allowance.note_listed(now, names);
        routing.daemons = daemons;
    }
}

/// Logs changes of crash records.
fn log_crash_record_changes(changes: Vec<CrashRecordUpdate>, finding: Option<&SharedFinding>) {
    for change in changes {
        match change {
            CrashRecordUpdate::Crash(crash_record) => {
                log::info!(target: LOG, fingerprint = crash_record.request.0, ends = crash_record.ends,
                    convictions = crash_record.convictions, reporter = finding.map(|finding| finding.reporter),
                    finding = finding.map(|finding| finding.number); "a back end ended under a request")
            }
            CrashRecordUpdate::Quarantined {
                request,
                ends,
                lasts_ms,
            } => {
                log::warn!(target: LOG, fingerprint = request.0, ends = ends, lasts_ms = lasts_ms;
                    "a request is rejected: back ends ended under it")
            }
            CrashRecordUpdate::Cleared { request } => {
                log::info!(target: LOG, fingerprint = request.0;
                "a request is no longer rejected: it was answered")
            }
        }
    }
}
