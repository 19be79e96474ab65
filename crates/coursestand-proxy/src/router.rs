//! Request phases driven by the catalog: routes, splits, affinity, limited retries.

use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::Instance;
use coursestand_model::{BackendId, ServiceId};
use coursestand_routing::backends::ProbeOutcome;
use coursestand_routing::hash::{combine, hash_of};
use coursestand_routing::picker::SentRequest;
use coursestand_routing::rate_limit::{
    AccessMode, FallbackShare, LimitChange, RateLimitSignal, Reading, TOKEN_LIFETIME_MS,
    TokenRequest,
};
use coursestand_routing::split::SplitState;
use coursestand_routing::{
    Backend, BackendReport, ConnectionAge, Finding, Fingerprint, LimitAccess, PathProbeOutcome,
    PathScope, PathTicket, PathUse, Pick, PickRequest, Refusal, WithholdReason,
};

use coursestand_model::Millis;
use http::Method;
use tokio::sync::{oneshot, watch};

use crate::answer::Reason;
use crate::edge_state::{EdgeState, RoutingState};
use crate::path_probing::{crash_references, instances_to_probe};
use crate::phases::{
    AttemptEnding, AttemptFailure, Attempts, CrashReferences, Matched, PathProbe, PendingToken,
    RequestHead, RequestPhases, Target,
};
use crate::retry::{BudgetView, RetryDenial, RetryVerdict};

const LOG: &str = "proxy";
/// Attempts that may fail before they reach a back end.
const MAX_UNREACHABLE_ATTEMPTS: u32 = 3;
/// A retry with less time left than this cannot succeed.
const MIN_TIME_TO_RETRY: Duration = Duration::from_millis(20);

/// Time within which a starting daemon receives the crash records.
const SYNC_RETRY_DELAY_MS: Millis = 1_000;

/// Makes the routing decisions from the daemon's state.
pub struct Router {
    state: Arc<EdgeState>,
}

impl Router {
    /// Creates a router that reads `state`.
    pub fn new(state: Arc<EdgeState>) -> Router {
        Router { state }
    }

    /// Picks the back end for the next attempt.
    fn pick(
        &self,
        routing: &mut RoutingState,
        now: Millis,
        matched: &Matched,
        attempts: &Attempts,
        limits: LimitAccess,
        ticket: PathTicket,
    ) -> Result<Pick, Refusal> {
        let request = PickRequest {
            service: &matched.service,
            key: matched.key,
            has_object: matched.has_object,
            objective_ms: matched.route.route.target_latency_ms,
            allowed_regions: &matched.route.route.allowed_regions,
            excluded: &attempts.excluded,
            limits,
            now,
        };
        let paths = &routing.paths;
        routing.picker.pick_reachable(
            &routing.backends,
            &routing.catalog,
            &routing.owners,
            &request,
            |backend| {
                attempts.ignores_partition
                    || paths.path_use(now, &backend.instance, ticket) > PathUse::Closed
            },
        )
    }

    /// Returns what a request may do on paths that are not open. It is the trial of a returning path
    /// only if it can be sent again should the trial fail.
    fn path_ticket(
        &self,
        routing: &mut RoutingState,
        now: Millis,
        matched: &Matched,
        attempts: &Attempts,
    ) -> PathTicket {
        let limits = self.state.bounds().retries;
        let can_retry = || {
            let budget = routing.budgets.get(&matched.service);
            let left = budget.map(|budget| budget.left(now, limits, &routing.allowance));
            let route = &matched.route.route;
            route.kind.is_repeatable()
                && attempts.arrived + 1 < route.max_attempts
                && left.is_some_and(|left| left >= 1.0)
        };
        let is_trial = routing.paths.take_trial(now, can_retry);
        PathTicket {
            is_trial,
            ..ticket_without_trial(attempts)
        }
    }

    /// Returns whether control can be asked for tokens. A daemon without control uses its own
    /// share of the rate limit.
    fn can_request_tokens(&self, routing: &RoutingState, now: Millis) -> bool {
        routing.owners.current().is_some() && !self.state.tokens().is_silent(now)
    }

    /// Returns how the next attempt may use rate-limited back ends.
    fn limit_access(
        &self,
        routing: &RoutingState,
        now: Millis,
        attempts: &Attempts,
    ) -> LimitAccess {
        if routing.backends.limited_count() == 0 {
            return LimitAccess::default();
        }
        let daemons = routing.allowance.daemons(now);
        let fallback_share = FallbackShare {
            daemon: routing.fatal.own_hash(),
            daemons,
        };
        let needs_fallback = !self.can_request_tokens(routing, now);
        let mode = AccessMode::Send {
            token: attempts.token,
            fallback_share: needs_fallback.then_some(fallback_share),
        };
        LimitAccess { daemons, mode }
    }

    /// Applies the rate limit signal of a back end's answer.
    fn note_rate(&self, now: Millis, target: &Target, report: &BackendReport, is_whole: bool) {
        let id = target.id();
        let mut routing = self.state.routing();
        if !is_current(&routing, target) {
            return;
        }
        let reading = Reading {
            signal: report.rate,
            sent_at: target.chosen_at,
            is_whole,
        };
        let Some(change) = routing.backends.note_rate(now, id, reading) else {
            return;
        };
        if change == LimitChange::Lifted {
            routing.limit_reports.forget(target.incarnation_hash);
        }
        drop(routing);
        let rate = match change {
            LimitChange::Limited(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        log::info!(target: LOG, instance = id.as_str(), service = target.service.as_str(),
            limit_per_second = rate.map(|rate| rate.as_per_second());
            "a back end changed: its rate limit");
        self.state.report_rate_limit(target.incarnation_hash, rate);
    }

    /// Refuses a request that is suspected to crash back ends, unless it may run at this
    /// daemon, and logs the decision.
    fn check_suspect(
        &self,
        routing: &RoutingState,
        now: Millis,
        fingerprint: Fingerprint,
        attempts: &Attempts,
    ) -> Result<(), Reason> {
        let checked = suspect_verdict(routing, now, fingerprint, attempts);
        if let Some(crash_record) = routing.fatal.view(now, fingerprint) {
            let verdict = checked.map_or_else(Reason::name, |()| "sent");
            log::info!(target: LOG, fingerprint = fingerprint.0, ends = crash_record.ends,
                convictions = crash_record.convictions, attempt = attempts.arrived + 1,
                is_owner = is_owner(routing, now, fingerprint),
                is_following = routing.owners.current().is_some(),
                up_ms = now, outcome = verdict; "a request under which back ends ended was looked at");
        }
        checked
    }

    /// Resolves the copies that were sent to the back end before the request that it answered:
    /// it has read them.
    fn resolve_up_to(&self, routing: &mut RoutingState, now: Millis, target: &Target) {
        let limits = self.state.bounds().retries;
        if let Some(budget) = routing.budgets.get_mut(&target.service) {
            let newest = target.sent_copy();
            budget.unresolved().resolve_up_to(now, limits, newest);
        }
    }

    fn take_retry(&self, routing: &mut RoutingState, matched: &Matched) -> RetryVerdict {
        let limits = self.state.bounds().retries;
        let now = self.state.now();
        let allowance = &routing.allowance;
        let budget = routing.budgets.entry(matched.service.clone()).or_default();
        let is_paid = budget.spend(now, limits, allowance);
        let view = BudgetView {
            remaining: budget.left(now, limits, allowance),
            daemons: allowance.daemons(now),
            withheld: budget.withheld(now, limits),
        };
        if is_paid {
            RetryVerdict::Paid(view)
        } else {
            RetryVerdict::Denied(RetryDenial::BudgetSpent(view))
        }
    }
}

/// Returns what a request that is no trial may do on paths that are not open.
fn ticket_without_trial(attempts: &Attempts) -> PathTicket {
    PathTicket {
        draw: rand::random(),
        is_trial: false,
        has_failed: attempts.arrived + attempts.unreachable + attempts.refused > 0,
    }
}

/// Returns why a request that may have crashed back ends is refused, or `Ok` if it may be sent.
fn suspect_verdict(
    routing: &RoutingState,
    now: Millis,
    fingerprint: Fingerprint,
    attempts: &Attempts,
) -> Result<(), Reason> {
    // The request may have crashed the back end, and other daemons may have a crash record of
    // it that this daemon has not received.
    if !attempts.broken_backends.is_empty() && !routing.is_synced {
        let again_in_ms = SYNC_RETRY_DELAY_MS;
        return Err(Reason::Suspected { again_in_ms });
    }
    if attempts.arrived == 0 && routing.fatal.view(now, fingerprint).is_none() {
        return Ok(());
    }
    let allowed = if attempts.arrived > 0 && !attempts.is_recalled {
        let broken_backends = &attempts.broken_backends;
        routing.fatal.may_repeat(now, fingerprint, broken_backends)
    } else {
        let is_owner = is_owner(routing, now, fingerprint);
        routing.fatal.may_run(now, fingerprint, is_owner)
    };
    allowed.map_err(|refusal| match refusal {
        WithholdReason::Suspected { again_in_ms } | WithholdReason::NeedsTrial { again_in_ms } => {
            Reason::Suspected { again_in_ms }
        }
        WithholdReason::Quarantined { again_in_ms } => Reason::Quarantined { again_in_ms },
    })
}

/// Returns whether suspects with this fingerprint run at this daemon. Each has one owner among
/// the connected daemons; a daemon without control relies on its own observations.
fn is_owner(routing: &RoutingState, now: Millis, fingerprint: Fingerprint) -> bool {
    let owners = &routing.owners;
    if owners.current().is_none() {
        return true;
    }
    let name = BackendId(format!("{:016x}", fingerprint.0));
    owners.is_owner(now, routing.picker.daemon(), &name)
}

/// Returns the fingerprint of a request, which it shares with requests that have the same
/// effect on a back end: all of its head except the caller and the time. Returns none for a
/// request with a body that names no object, since its head does not determine the effect. The
/// route is left out: operators change routes, and the back ends of the service get the same
/// request as before.
fn fingerprint_of(head: &RequestHead, service: &str) -> Option<Fingerprint> {
    let has_body = head.method != Method::GET && head.method != Method::HEAD;
    if has_body && head.affinity_key.is_none() {
        return None;
    }
    let parts = [
        service,
        &head.host,
        head.method.as_str(),
        &head.path,
        head.query.as_deref().unwrap_or_default(),
        head.affinity_key.as_deref().unwrap_or_default(),
    ];
    let hashes = parts.into_iter().map(hash_of);
    hashes.reduce(combine).map(Fingerprint)
}

/// Returns until when a request may be sent to the picked back end, if that has a rate limit.
fn admitted_until(backend: &Backend, now: Millis, attempts: &Attempts) -> Option<Millis> {
    backend.limit()?;
    let token = attempts.token;
    let token = token.filter(|token| token.is_valid(now, backend.incarnation_hash));
    Some(token.map_or(now + TOKEN_LIFETIME_MS, |token| token.valid_until))
}

/// Returns whether the rate limit of the back end still allows the request. The limit may have
/// been reported after the back end was chosen.
fn is_admitted(backend: &Backend, now: Millis, target: &Target) -> bool {
    let is_in_time = target.admitted_until.is_some_and(|until| now <= until);
    backend.limit().is_none() || is_in_time
}

/// Returns whether the back end is still the incarnation that got the request. The outcome of
/// the request says nothing about a later incarnation.
fn is_current(routing: &RoutingState, target: &Target) -> bool {
    let backend = routing.backends.get(target.id());
    backend.is_some_and(|backend| backend.instance.is_of(&target.incarnation))
}

impl RequestPhases for Router {
    fn match_request(&self, head: &RequestHead) -> Result<Matched, Reason> {
        let limits = self.state.bounds().retries;
        let mut routing = self.state.routing();
        if routing.catalog.is_empty() {
            return Err(Reason::NoCatalog);
        }
        let entry = routing.routes.find(&head.host, &head.path).cloned();
        let route = entry.ok_or(Reason::NoRoute)?;
        let services = route.route.target.services();
        let index = if services.len() > 1 {
            let weights: Vec<u32> = services.iter().map(|(_, weight)| *weight).collect();
            let split = routing.splits.entry(route.name.clone());
            let split = split.or_insert_with(|| SplitState::at_offset(&weights, rand::random()));
            split.next(&weights)
        } else {
            0
        };
        let service = services[index].0.clone();
        let budget = routing.budgets.entry(service.clone()).or_default();
        budget.earn(self.state.now(), limits);
        let object = head
            .affinity_key
            .as_ref()
            .filter(|_| route.route.affinity)
            .map(|key| hash_of(key));
        let timeout = Duration::from_millis(route.route.timeout_ms);
        let limit = head
            .caller_timeout
            .map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
        drop(services);
        let fingerprint = fingerprint_of(head, service.as_str());
        Ok(Matched {
            fingerprint,
            route,
            service,
            key: object.unwrap_or_else(rand::random),
            has_object: object.is_some(),
            limit,
        })
    }

    fn ask_for_trial(&self, matched: &Matched) -> Option<oneshot::Receiver<()>> {
        let request = matched.fingerprint?;
        let now = self.state.now();
        let permission = {
            let routing = self.state.routing();
            // Trials are granted by control only. A partitioned daemon could not make one.
            routing.owners.current()?;
            if routing.paths.is_all_affected() {
                return None;
            }
            routing.fatal.may_run(now, request, false)
        };
        match permission {
            Err(WithholdReason::NeedsTrial { .. }) => self.state.ask_for_trial(request),
            _ => None,
        }
    }

    fn ask_for_token(&self, matched: &Matched, attempts: &Attempts) -> Option<PendingToken> {
        let now = self.state.now();
        let mut guard = self.state.routing();
        let routing = &mut *guard;
        if routing.backends.limited_count() == 0 {
            return None;
        }
        // A daemon without control can only use its own share.
        routing.owners.current()?;
        if let Some(fingerprint) = matched.fingerprint {
            suspect_verdict(routing, now, fingerprint, attempts).ok()?;
        }
        let priority = matched.route.route.priority;
        let daemons = routing.allowance.daemons(now);
        let mode = AccessMode::RequestToken { priority };
        let limit_access = LimitAccess { daemons, mode };
        let ticket = ticket_without_trial(attempts);
        let pick = self
            .pick(routing, now, matched, attempts, limit_access, ticket)
            .ok()?;
        let backend = routing.backends.get(&pick.id)?;
        let limit = backend.limit().filter(|limit| !limit.is_divided(daemons))?;
        let request = TokenRequest {
            backend: backend.incarnation_hash,
            rate: limit.rate(),
            age_ms: now.saturating_sub(limit.reported_at()),
            priority,
        };
        drop(guard);
        let answer = self.state.tokens().ask(now, request)?;
        Some(PendingToken {
            instance: pick.id,
            answer,
        })
    }

    fn choose(&self, matched: &Matched, attempts: &Attempts) -> Result<Target, Reason> {
        let now = self.state.now();
        let mut guard = self.state.routing();
        let routing = &mut *guard;
        let limit_access = self.limit_access(routing, now, attempts);
        let ticket = self.path_ticket(routing, now, matched, attempts);
        let pick = self.pick(routing, now, matched, attempts, limit_access, ticket);
        // The daemon that such a request is relayed to decides whether it may run.
        if pick == Err(Refusal::Partitioned) {
            return Err(Reason::Partitioned);
        }
        if let Some(fingerprint) = matched.fingerprint {
            self.check_suspect(routing, now, fingerprint, attempts)?;
        }
        let pick = pick.map_err(|refusal| match refusal {
            Refusal::NoBackend => Reason::NoBackend,
            Refusal::BackingOff { ends_in_ms } => Reason::BackingOff { ends_in_ms },
            Refusal::RateLimited { again_in_ms } => Reason::RateLimited { again_in_ms },
            Refusal::Busy { drained_in_ms } => Reason::Busy { drained_in_ms },
            Refusal::Partitioned => Reason::Partitioned,
        })?;
        let Some(backend) = routing.backends.get(&pick.id) else {
            return Err(Reason::NoBackend);
        };
        let address = backend.instance.address;
        let path_use = match attempts.ignores_partition {
            true => PathUse::Open,
            false => routing.paths.path_use(now, &backend.instance, ticket),
        };
        let zone = backend.instance.zone.clone();
        let incarnation = backend.instance.incarnation();
        let incarnation_hash = backend.incarnation_hash;
        let admitted_until = admitted_until(backend, now, attempts);
        routing.picker.note_sent(now, backend);
        routing.backends.start(&pick.id);
        if admitted_until.is_some() && attempts.token.is_none() {
            let backends = &mut routing.backends;
            backends.note_sent_without_token(now, &pick.id, limit_access.daemons);
        }
        let mut is_trial = false;
        let mut crash_revision = 0;
        if let Some(fingerprint) = matched.fingerprint {
            crash_revision = routing.fatal.revision(fingerprint);
            routing.fatal.start(fingerprint);
            is_trial = routing.fatal.take_permit(now, fingerprint);
        }
        let target = Target {
            sent_request: SentRequest {
                object: matched.has_object.then_some(matched.key),
                pick,
            },
            chosen_at: now,
            address,
            service: matched.service.clone(),
            zone,
            incarnation,
            fingerprint: matched.fingerprint,
            incarnation_hash,
            is_retry: attempts.arrived > 0,
            crash_revision,
            is_repeatable: matched.route.route.kind.is_repeatable(),
            is_trial,
            admitted_until,
            path_use,
            ignores_partition: attempts.ignores_partition,
            is_path_trial: ticket.is_trial,
        };
        if target.is_retry {
            let budget = routing.budgets.entry(target.service.clone()).or_default();
            budget.unresolved().send(target.sent_copy());
        }
        Ok(target)
    }

    fn take_due_probes(&self, service: &ServiceId) -> Vec<Instance> {
        let now = self.state.now();
        self.state.routing().backends.take_due_probes(now, service)
    }

    fn probed(&self, instance: &Instance, outcome: ProbeOutcome) {
        let now = self.state.now();
        let mut routing = self.state.routing();
        let backend = routing.backends.get(&instance.id);
        if backend.is_some_and(|backend| backend.instance.is_of(&instance.incarnation())) {
            routing.backends.note_probe(now, &instance.id, outcome);
        }
    }

    fn crash_record_changes(&self) -> watch::Receiver<u64> {
        self.state.crash_record_changes()
    }

    fn is_recalled(&self, target: &Target) -> bool {
        let Some(request) = target.fingerprint.filter(|_| !target.is_trial) else {
            return false;
        };
        let may_repeat = target.is_repeatable && !target.is_retry;
        let routing = self.state.routing();
        let known_revision = target.crash_revision;
        routing
            .fatal
            .is_recalled(request, known_revision, may_repeat)
    }

    fn may_still_send(&self, target: &Target) -> bool {
        let now = self.state.now();
        let routing = self.state.routing();
        let is_withheld = target.fingerprint.is_some_and(|request| {
            !target.is_trial
                && routing
                    .fatal
                    .is_withheld_since(now, request, target.chosen_at)
        });
        let backend = routing.backends.get(target.id());
        backend.is_some_and(|backend| {
            !is_withheld
                && backend.instance.is_of(&target.incarnation)
                && backend.is_ready()
                && !backend.is_backing_off(now)
                && is_admitted(backend, now, target)
                && !routing.catalog.is_evacuated(&target.zone)
        })
    }

    fn head_received(&self, target: &Target, report: &BackendReport) {
        if matches!(report.rate, RateLimitSignal::Limited(_)) {
            self.note_rate(self.state.now(), target, report, false);
        }
        if report.backoff_ms.is_none() && !report.is_draining {
            return;
        }
        let now = self.state.now();
        let id = target.id();
        let mut routing = self.state.routing();
        if !is_current(&routing, target) {
            return;
        }
        if let Some(backoff_ms) = report.backoff_ms
            && routing.backends.note_backoff(now, id, backoff_ms)
        {
            log::info!(target: LOG, instance = id.as_str(), service = target.service.as_str(),
                backoff_ms = backoff_ms; "a back end changed: it asks for a back-off");
        }
        let incarnation_hash = routing
            .backends
            .get(id)
            .map(|backend| backend.incarnation_hash);
        if report.is_draining && routing.backends.note_draining(now, id) {
            routing.picker.invalidate(now);
            drop(routing);
            log::info!(target: LOG, instance = id.as_str(), service = target.service.as_str(),
                phase = "draining"; "a back end changed: it reports in an answer that it is draining");
            if let Some(backend) = incarnation_hash {
                self.state.publish_finding(Finding::Drains { backend });
            }
        }
    }

    fn answered(&self, target: &Target, report: &BackendReport) {
        let now = self.state.now();
        self.note_rate(now, target, report, true);
        let id = target.id();
        let took_ms = now.saturating_sub(target.chosen_at) as f64;
        let mut guard = self.state.routing();
        let routing = &mut *guard;
        self.resolve_up_to(routing, now, target);
        if !is_current(routing, target) {
            return;
        }
        routing.backends.note_answer(now, id, report.load);
        let Some(backend) = routing.backends.get(id) else {
            return;
        };
        let picker = &mut routing.picker;
        picker.note_answer(now, backend, &target.sent_request, took_ms);
        let cleared = target.fingerprint.filter(|fingerprint| {
            routing
                .fatal
                .note_answer(now, *fingerprint, target.chosen_at)
        });
        drop(guard);
        if let Some(fingerprint) = cleared {
            self.state.publish_finding(Finding::Answered(fingerprint));
        }
    }

    fn crashed(&self, target: &Target, in_flight_requests: Vec<Fingerprint>) {
        let now = self.state.now();
        let mut routing = self.state.routing();
        let Some(backend) = routing.backends.get(target.id()) else {
            return;
        };
        if !backend.instance.is_of(&target.incarnation) {
            return;
        }
        let incarnation_hash = backend.incarnation_hash;
        routing.backends.note_unreachable(now, target.id());
        drop(routing);
        log::info!(target: LOG, instance = target.id().as_str(), service = target.service.as_str(),
            witnesses = in_flight_requests.len(); "a back end changed: it has ended");
        self.state.publish_finding(Finding::Ended {
            backend: incarnation_hash,
            in_flight_requests,
        });
    }

    fn failed(&self, target: &Target, failure: AttemptFailure, report: &BackendReport) {
        let now = self.state.now();
        let id = target.id();
        let mut routing = self.state.routing();
        if failure == AttemptFailure::Silent {
            // The request is sent again, and this copy may still arrive as well.
            let budget = routing.budgets.entry(target.service.clone()).or_default();
            budget.unresolved().abandon(target.sent_copy());
        }
        if let Some(request) = target.fingerprint
            && target.is_trial
            && failure.did_not_run()
        {
            routing.fatal.grant_permit(now, request);
        }
        if !is_current(&routing, target) {
            return;
        }
        match failure {
            AttemptFailure::Refused | AttemptFailure::Unreachable => {
                routing.backends.note_unreachable(now, id)
            }
            // A back end that is unreachable as well is ejected after a few attempts.
            AttemptFailure::Congested => routing.backends.note_failure(now, id),
            AttemptFailure::Misdirected => routing.backends.note_misdirected(now, id),
            AttemptFailure::Shed => {
                routing.backends.note_shed(now, id, report);
                self.resolve_up_to(&mut routing, now, target);
            }
            AttemptFailure::Lost | AttemptFailure::TimedOut => {
                routing.backends.note_failure(now, id);
            }
            // A silent connection says nothing about its back end.
            AttemptFailure::Failed
            | AttemptFailure::Silent
            | AttemptFailure::Partitioned
            | AttemptFailure::Withdrawn
            | AttemptFailure::Recalled => {}
        }
    }

    fn request_sent(&self, target: &Target) {
        let now = self.state.now();
        let mut routing = self.state.routing();
        routing.paths.note_sent(now, target.incarnation_hash);
    }

    fn path_answered(&self, target: &Target, connection: ConnectionAge) {
        let now = self.state.now();
        let mut guard = self.state.routing();
        let routing = &mut *guard;
        let Some(backend) = routing.backends.get(target.id()) else {
            return;
        };
        let changes =
            routing
                .paths
                .note_answered(now, target.chosen_at, &backend.instance, connection);
        drop(guard);
        self.state.apply_path_changes(&changes);
    }

    fn path_failed(&self, target: &Target, connection: ConnectionAge) {
        let now = self.state.now();
        let mut guard = self.state.routing();
        let routing = &mut *guard;
        let Some(backend) = routing.backends.get(target.id()) else {
            return;
        };
        let backends = &routing.backends;
        let changes = routing.paths.note_failed(
            now,
            target.chosen_at,
            &backend.instance,
            target.incarnation_hash,
            connection,
            |scope| EdgeState::size_of(backends, scope),
        );
        drop(guard);
        self.state.apply_path_changes(&changes);
    }

    fn check_silence(&self, usual_time: &dyn Fn() -> Option<Duration>) {
        let now = self.state.now();
        let mut routing = self.state.routing();
        let usual_ms = || usual_time().map(|time| time.as_millis() as Millis);
        let change = routing.paths.check_silence(now, usual_ms);
        drop(routing);
        self.state.apply_path_changes(change.as_slice());
    }

    fn are_paths_open(&self) -> bool {
        self.state.routing().paths.are_open()
    }

    fn is_partitioned(&self) -> bool {
        self.state.routing().paths.is_all_affected()
    }

    fn path_changes(&self) -> Option<watch::Receiver<u64>> {
        Some(self.state.path_changes())
    }

    fn is_path_closed(&self, target: &Target) -> bool {
        let now = self.state.now();
        let routing = self.state.routing();
        let backend = routing.backends.get(target.id());
        !target.ignores_partition
            && backend.is_some_and(|backend| routing.paths.is_closed(now, &backend.instance))
    }

    fn take_due_path_probes(&self) -> Vec<PathProbe> {
        let now = self.state.now();
        let mut routing = self.state.routing();
        let due = routing.paths.take_due_probes(now);
        let probes = due.into_iter().map(|due| PathProbe {
            instances: instances_to_probe(&routing, now, &due),
            scope: due.scope,
        });
        probes.collect()
    }

    fn path_probed(&self, scope: &PathScope, outcome: PathProbeOutcome) {
        let now = self.state.now();
        let change = self.state.routing().paths.note_probe(now, scope, outcome);
        self.state.apply_path_changes(change.as_slice());
    }

    fn crash_references(&self, target: &Target) -> CrashReferences {
        crash_references(&self.state.routing(), self.state.now(), target)
    }

    fn catalog_version(&self) -> u64 {
        self.state.routing().catalog.version()
    }

    fn relayed(&self, matched: &Matched) {
        let limits = self.state.bounds().retries;
        let mut routing = self.state.routing();
        if let Some(budget) = routing.budgets.get_mut(&matched.service) {
            budget.forgo(limits);
        }
    }

    fn finished(&self, target: &Target, ending: AttemptEnding) {
        let now = self.state.now();
        let limits = self.state.bounds().retries;
        let mut routing = self.state.routing();
        if target.is_retry {
            let budget = routing.budgets.entry(target.service.clone()).or_default();
            match ending {
                AttemptEnding::Resolved => {
                    budget.unresolved().resolve(now, limits, target.sent_copy())
                }
                AttemptEnding::Unresolved => budget.unresolved().abandon(target.sent_copy()),
            }
        }
        if let Some(fingerprint) = target.fingerprint {
            routing.fatal.finish(fingerprint);
        }
        if is_current(&routing, target) {
            routing.backends.finish(target.id());
        }
    }

    fn may_retry(
        &self,
        matched: &Matched,
        attempts: &Attempts,
        failure: AttemptFailure,
        time_left: Duration,
    ) -> RetryVerdict {
        let route = &matched.route.route;
        if time_left < MIN_TIME_TO_RETRY {
            return RetryVerdict::Denied(RetryDenial::NoTime);
        }
        if failure.may_have_run() && !route.kind.is_repeatable() {
            return RetryVerdict::Denied(RetryDenial::MayHaveRun);
        }
        if !failure.reached_back_end() {
            // No back end received the request, so the retry costs nothing of the budget.
            return if attempts.unreachable < MAX_UNREACHABLE_ATTEMPTS {
                RetryVerdict::Free
            } else {
                RetryVerdict::Denied(RetryDenial::Unreachable)
            };
        }
        if attempts.arrived >= route.max_attempts.max(1) {
            return RetryVerdict::Denied(RetryDenial::AttemptsSpent);
        }
        self.take_retry(&mut self.state.routing(), matched)
    }
}
