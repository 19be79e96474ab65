//! The phases by the catalog: routes, splits, affinity, bounded retries.

use std::sync::Arc;
use std::time::Duration;

use coursestand_model::BackendId;
use coursestand_routing::hash::{combine, hash_of};
use coursestand_routing::picker::SentRequest;
use coursestand_routing::rate_limit::{
    AccessMode, FallbackShare, LimitChange, RateLimitSignal, Reading, TOKEN_LIFETIME_MS,
    TokenRequest,
};
use coursestand_routing::split::SplitState;
use coursestand_routing::{
    Backend, BackendReport, Finding, Fingerprint, LimitAccess, Pick, PickRequest, Refusal,
    WithholdReason,
};

use coursestand_model::Millis;
use http::Method;
use tokio::sync::oneshot;

use crate::answer::Reason;
use crate::edge_state::{Beliefs, EdgeState};
use crate::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, RequestHead, RequestPhases, Target, TokenWait,
};
use crate::retry::{BudgetView, RetryDenial, RetryVerdict};

const LOG: &str = "proxy";
/// Attempts that may end without reaching a back end.
const MAX_UNREACHABLE: u32 = 3;
/// With less time left than this, another attempt is of no use.
const LEAST_TIME_TO_RETRY: Duration = Duration::from_millis(20);

/// A daemon that starts hears within this time which requests end back ends.
const STARTING_PAUSE_MS: Millis = 1_000;

/// Decides by what the daemon believes.
pub struct Router {
    state: Arc<EdgeState>,
}

impl Router {
    /// Decides by `state`.
    pub fn new(state: Arc<EdgeState>) -> Router {
        Router { state }
    }

    /// Picks the back end of the next attempt.
    fn pick(
        &self,
        beliefs: &mut Beliefs,
        now: Millis,
        matched: &Matched,
        attempts: &Attempts,
        limits: LimitAccess,
    ) -> Result<Pick, Refusal> {
        let request = PickRequest {
            service: &matched.service,
            key: matched.key,
            has_object: matched.has_object,
            objective_ms: matched.route.route.target_latency_ms,
            allowed_regions: &matched.route.route.allowed_regions,
            excluded: &attempts.tried,
            limits,
            now,
        };
        beliefs.picker.pick(
            &beliefs.backends,
            &beliefs.catalog,
            &beliefs.owners,
            &request,
        )
    }

    /// Whether control can be asked for tokens: one that goes without it has a part of its own.
    fn issues_tokens(&self, beliefs: &Beliefs, now: Millis) -> bool {
        beliefs.owners.current().is_some() && !self.state.tokens().is_silent(now)
    }

    /// How the next attempt may reach rate-limited back ends.
    fn access(&self, beliefs: &Beliefs, now: Millis, attempts: &Attempts) -> LimitAccess {
        if beliefs.backends.limited_count() == 0 {
            return LimitAccess::default();
        }
        let daemons = beliefs.allowance.daemons(now);
        let fallback_share = FallbackShare {
            daemon: beliefs.fatal.own_hash(),
            daemons,
        };
        let is_alone = !self.issues_tokens(beliefs, now);
        let mode = AccessMode::Send {
            token: attempts.token,
            fallback_share: is_alone.then_some(fallback_share),
        };
        LimitAccess { daemons, mode }
    }

    /// The back end's answer says something of its rate limit.
    fn note_rate(&self, now: Millis, target: &Target, report: &BackendReport, is_whole: bool) {
        let id = target.id();
        let mut beliefs = self.state.beliefs();
        if !is_current(&beliefs, target) {
            return;
        }
        let reading = Reading {
            signal: report.rate,
            sent_at: target.chosen_at,
            is_whole,
        };
        let Some(change) = beliefs.backends.note_rate(now, id, reading) else {
            return;
        };
        if change == LimitChange::Lifted {
            beliefs.limit_reports.forget(target.memory);
        }
        drop(beliefs);
        let rate = match change {
            LimitChange::Limited(rate) => Some(rate),
            LimitChange::Lifted => None,
        };
        log::info!(target: LOG, instance = id.as_str(), service = target.service.as_str(),
            limit_per_second = rate.map(|rate| rate.as_per_second());
            "a back end changed: its rate limit");
        self.state.tell_limit(target.memory, rate);
    }

    /// Refuses a request under which back ends ended, unless this is where it is tried.
    fn may_go(
        &self,
        beliefs: &Beliefs,
        now: Millis,
        fingerprint: Fingerprint,
        attempts: &Attempts,
    ) -> Result<(), Reason> {
        let looked_at = look_at(beliefs, now, fingerprint, attempts);
        if let Some(case) = beliefs.fatal.view(now, fingerprint) {
            let verdict = looked_at.map_or_else(Reason::name, |()| "sent");
            log::info!(target: LOG, fingerprint = fingerprint.0, ends = case.ends,
                convictions = case.convictions, attempt = attempts.arrived + 1,
                is_owner = is_owner(beliefs, now, fingerprint),
                is_following = beliefs.owners.current().is_some(),
                up_ms = now, outcome = verdict; "a request under which back ends ended was looked at");
        }
        looked_at
    }

    /// The back end has read what was sent to it before the request that it answered.
    fn resolve_up_to(&self, beliefs: &mut Beliefs, now: Millis, target: &Target) {
        let limits = self.state.bounds().retries;
        if let Some(budget) = beliefs.budgets.get_mut(&target.service) {
            let newest = target.copy();
            budget.unresolved().resolve_up_to(now, limits, newest);
        }
    }

    fn take_retry(&self, beliefs: &mut Beliefs, matched: &Matched) -> RetryVerdict {
        let limits = self.state.bounds().retries;
        let now = self.state.now();
        let allowance = &beliefs.allowance;
        let budget = beliefs.budgets.entry(matched.service.clone()).or_default();
        let is_paid = budget.spend(now, limits, allowance);
        let view = BudgetView {
            left: budget.left(now, limits, allowance),
            daemons: allowance.daemons(now),
            held: budget.withheld(now, limits),
        };
        if is_paid {
            RetryVerdict::Paid(view)
        } else {
            RetryVerdict::Denied(RetryDenial::BudgetSpent(view))
        }
    }
}

/// Whether a request under which back ends may have ended is sent.
fn look_at(
    beliefs: &Beliefs,
    now: Millis,
    fingerprint: Fingerprint,
    attempts: &Attempts,
) -> Result<(), Reason> {
    // The back end may have ended under it, and others may know it for that.
    if !attempts.broken_backends.is_empty() && !beliefs.is_informed {
        let again_in_ms = STARTING_PAUSE_MS;
        return Err(Reason::Suspected { again_in_ms });
    }
    if beliefs.fatal.view(now, fingerprint).is_none() {
        return Ok(());
    }
    let may_go = if attempts.arrived > 0 {
        let broken_backends = &attempts.broken_backends;
        beliefs.fatal.may_repeat(now, fingerprint, broken_backends)
    } else {
        let is_owner = is_owner(beliefs, now, fingerprint);
        beliefs.fatal.may_run(now, fingerprint, is_owner)
    };
    may_go.map_err(|held| match held {
        WithholdReason::Suspected { again_in_ms } | WithholdReason::NeedsTrial { again_in_ms } => {
            Reason::Suspected { again_in_ms }
        }
        WithholdReason::Quarantined { again_in_ms } => Reason::Convicted { again_in_ms },
    })
}

/// Whether suspects with this fingerprint run at this daemon. Each has one owner among the
/// daemons that are connected; a daemon that is cut off goes by what it sees itself.
fn is_owner(beliefs: &Beliefs, now: Millis, fingerprint: Fingerprint) -> bool {
    let owners = &beliefs.owners;
    if owners.current().is_none() {
        return true;
    }
    let name = BackendId(format!("{:016x}", fingerprint.0));
    owners.is_owner(now, beliefs.picker.daemon(), &name)
}

/// What a request has in common with those that do the same to a back end: all of its head
/// but the caller and the time. Where a request with a body names no object, its head
/// doesn't tell. The route is no part of it: operators change routes, and the back ends of the
/// service get the same request as before.
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

/// Until when a request may be sent to the back end that was picked for it, if that has a rate
/// limit.
fn admitted_until(backend: &Backend, now: Millis, attempts: &Attempts) -> Option<Millis> {
    backend.limit()?;
    let token = attempts.token;
    let token = token.filter(|token| token.is_valid(now, backend.incarnation_hash));
    Some(token.map_or(now + TOKEN_LIFETIME_MS, |token| token.valid_until))
}

/// Whether the rate limit of the back end, which may be newer than the choice, still allows the
/// request.
fn is_admitted(backend: &Backend, now: Millis, target: &Target) -> bool {
    let is_in_time = target.admitted_until.is_some_and(|until| now <= until);
    backend.limit().is_none() || is_in_time
}

/// Whether the back end is still the incarnation that got the request. What becomes of
/// the request says nothing of a later one.
fn is_current(beliefs: &Beliefs, target: &Target) -> bool {
    let backend = beliefs.backends.get(target.id());
    backend.is_some_and(|backend| backend.instance.is_of(&target.incarnation))
}

impl RequestPhases for Router {
    fn match_request(&self, head: &RequestHead) -> Result<Matched, Reason> {
        let limits = self.state.bounds().retries;
        let mut beliefs = self.state.beliefs();
        if beliefs.catalog.is_empty() {
            return Err(Reason::NoCatalog);
        }
        let entry = beliefs.routes.find(&head.host, &head.path).cloned();
        let route = entry.ok_or(Reason::NoRoute)?;
        let parts = route.route.target.services();
        let index = if parts.len() > 1 {
            let weights: Vec<u32> = parts.iter().map(|(_, weight)| *weight).collect();
            let split = beliefs.splits.entry(route.name.clone());
            let split = split.or_insert_with(|| SplitState::at_offset(&weights, rand::random()));
            split.next(&weights)
        } else {
            0
        };
        let service = parts[index].0.clone();
        let budget = beliefs.budgets.entry(service.clone()).or_default();
        budget.earn(self.state.now(), limits);
        let object = head
            .affinity_key
            .as_ref()
            .filter(|_| route.route.affinity)
            .map(|key| hash_of(key));
        let timeout = Duration::from_millis(route.route.timeout_ms);
        let limit = head
            .patience
            .map_or(timeout, |patience| patience.min(timeout));
        drop(parts);
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
        let held = {
            let beliefs = self.state.beliefs();
            // Control grants trials, so without it there is none.
            beliefs.owners.current()?;
            beliefs.fatal.may_run(now, request, false)
        };
        match held {
            Err(WithholdReason::NeedsTrial { .. }) => self.state.ask_for_trial(request),
            _ => None,
        }
    }

    fn ask_for_token(&self, matched: &Matched, attempts: &Attempts) -> Option<TokenWait> {
        let now = self.state.now();
        let mut guard = self.state.beliefs();
        let beliefs = &mut *guard;
        if beliefs.backends.limited_count() == 0 {
            return None;
        }
        // A daemon that is cut off has its own part only.
        beliefs.owners.current()?;
        if let Some(fingerprint) = matched.fingerprint {
            look_at(beliefs, now, fingerprint, attempts).ok()?;
        }
        let priority = matched.route.route.priority;
        let daemons = beliefs.allowance.daemons(now);
        let mode = AccessMode::RequestToken { priority };
        let access = LimitAccess { daemons, mode };
        let pick = self.pick(beliefs, now, matched, attempts, access).ok()?;
        let backend = beliefs.backends.get(&pick.id)?;
        let limit = backend.limit().filter(|limit| !limit.is_divided(daemons))?;
        let request = TokenRequest {
            backend: backend.incarnation_hash,
            rate: limit.rate(),
            age_ms: now.saturating_sub(limit.reported_at()),
            priority,
        };
        drop(guard);
        let answer = self.state.tokens().ask(now, request)?;
        Some(TokenWait {
            instance: pick.id,
            answer,
        })
    }

    fn choose(&self, matched: &Matched, attempts: &Attempts) -> Result<Target, Reason> {
        let now = self.state.now();
        let mut guard = self.state.beliefs();
        let beliefs = &mut *guard;
        if let Some(fingerprint) = matched.fingerprint {
            self.may_go(beliefs, now, fingerprint, attempts)?;
        }
        let access = self.access(beliefs, now, attempts);
        let pick = self.pick(beliefs, now, matched, attempts, access);
        let pick = pick.map_err(|refusal| match refusal {
            Refusal::NoBackend => Reason::NoBackend,
            Refusal::BackingOff { ends_in_ms } => Reason::BackingOff { ends_in_ms },
            Refusal::RateLimited { again_in_ms } => Reason::RateLimited { again_in_ms },
            Refusal::Busy { drained_in_ms } => Reason::Busy { drained_in_ms },
        })?;
        let Some(backend) = beliefs.backends.get(&pick.id) else {
            return Err(Reason::NoBackend);
        };
        let address = backend.instance.address;
        let zone = backend.instance.zone.clone();
        let incarnation = backend.instance.incarnation();
        let memory = backend.incarnation_hash;
        let admitted_until = admitted_until(backend, now, attempts);
        beliefs.picker.note_sent(now, backend);
        beliefs.backends.start(&pick.id);
        if admitted_until.is_some() && attempts.token.is_none() {
            let backends = &mut beliefs.backends;
            backends.note_sent_without_token(now, &pick.id, access.daemons);
        }
        let mut is_trial = false;
        if let Some(fingerprint) = matched.fingerprint {
            beliefs.fatal.start(fingerprint);
            is_trial = beliefs.fatal.take_permit(now, fingerprint);
        }
        let target = Target {
            asked: SentRequest {
                object: matched.has_object.then_some(matched.key),
                pick,
            },
            chosen_at: now,
            address,
            service: matched.service.clone(),
            zone,
            incarnation,
            fingerprint: matched.fingerprint,
            memory,
            is_repeat: attempts.arrived > 0,
            is_trial,
            admitted_until,
        };
        if target.is_repeat {
            let budget = beliefs.budgets.entry(target.service.clone()).or_default();
            budget.unresolved().send(target.copy());
        }
        Ok(target)
    }

    fn is_open(&self, target: &Target) -> bool {
        let now = self.state.now();
        let beliefs = self.state.beliefs();
        let is_held = target.fingerprint.is_some_and(|request| {
            !target.is_trial
                && beliefs
                    .fatal
                    .is_withheld_since(now, request, target.chosen_at)
        });
        let backend = beliefs.backends.get(target.id());
        backend.is_some_and(|backend| {
            !is_held
                && backend.instance.is_of(&target.incarnation)
                && backend.is_ready()
                && !backend.is_backing_off(now)
                && is_admitted(backend, now, target)
                && !beliefs.catalog.is_evacuated(&target.zone)
        })
    }

    fn told(&self, target: &Target, report: &BackendReport) {
        if matches!(report.rate, RateLimitSignal::Limited(_)) {
            self.note_rate(self.state.now(), target, report, false);
        }
        if report.backoff_ms.is_none() && !report.is_draining {
            return;
        }
        let now = self.state.now();
        let id = target.id();
        let mut beliefs = self.state.beliefs();
        if !is_current(&beliefs, target) {
            return;
        }
        if let Some(asked_ms) = report.backoff_ms
            && beliefs.backends.note_backoff(now, id, asked_ms)
        {
            log::info!(target: LOG, instance = id.as_str(), service = target.service.as_str(),
                backoff_ms = asked_ms; "a back end changed: it asks for a back-off");
        }
        let memory = beliefs
            .backends
            .get(id)
            .map(|backend| backend.incarnation_hash);
        if report.is_draining && beliefs.backends.note_draining(now, id) {
            beliefs.picker.invalidate(now);
            drop(beliefs);
            log::info!(target: LOG, instance = id.as_str(), service = target.service.as_str(),
                phase = "draining"; "a back end changed: it says with an answer that it drains");
            if let Some(backend) = memory {
                self.state.share(Finding::Drains { backend });
            }
        }
    }

    fn answered(&self, target: &Target, report: &BackendReport) {
        let now = self.state.now();
        self.note_rate(now, target, report, true);
        let id = target.id();
        let took_ms = now.saturating_sub(target.chosen_at) as f64;
        let mut guard = self.state.beliefs();
        let beliefs = &mut *guard;
        self.resolve_up_to(beliefs, now, target);
        if !is_current(beliefs, target) {
            return;
        }
        beliefs.backends.note_answer(now, id, report.load);
        let Some(backend) = beliefs.backends.get(id) else {
            return;
        };
        let picker = &mut beliefs.picker;
        picker.note_answer(now, backend, &target.asked, took_ms);
        let cleared = target
            .fingerprint
            .filter(|one| beliefs.fatal.note_answer(now, *one, target.chosen_at));
        drop(guard);
        if let Some(fingerprint) = cleared {
            self.state.share(Finding::Answered(fingerprint));
        }
    }

    fn ended(&self, target: &Target, in_flight_requests: Vec<Fingerprint>) {
        let now = self.state.now();
        let mut beliefs = self.state.beliefs();
        let Some(backend) = beliefs.backends.get(target.id()) else {
            return;
        };
        if !backend.instance.is_of(&target.incarnation) {
            return;
        }
        let memory = backend.incarnation_hash;
        beliefs.backends.note_unreachable(now, target.id());
        drop(beliefs);
        log::info!(target: LOG, instance = target.id().as_str(), service = target.service.as_str(),
            witnesses = in_flight_requests.len(); "a back end changed: it has ended");
        self.state.share(Finding::Ended {
            backend: memory,
            in_flight_requests,
        });
    }

    fn failed(&self, target: &Target, failure: AttemptFailure, report: &BackendReport) {
        let now = self.state.now();
        let id = target.id();
        let mut beliefs = self.state.beliefs();
        if failure == AttemptFailure::Silent {
            // It is sent again, and this copy may arrive as well.
            let budget = beliefs.budgets.entry(target.service.clone()).or_default();
            budget.unresolved().abandon(target.copy());
        }
        if let Some(request) = target.fingerprint
            && target.is_trial
            && failure.did_not_run()
        {
            beliefs.fatal.grant_permit(now, request);
        }
        if !is_current(&beliefs, target) {
            return;
        }
        match failure {
            AttemptFailure::Unreachable => beliefs.backends.note_unreachable(now, id),
            AttemptFailure::Misdirected => beliefs.backends.note_misdirected(now, id),
            AttemptFailure::Shed => {
                beliefs.backends.note_shed(now, id, report);
                self.resolve_up_to(&mut beliefs, now, target);
            }
            AttemptFailure::Lost | AttemptFailure::TimedOut => {
                beliefs.backends.note_failure(now, id);
            }
            // A silent connection says nothing of its back end.
            AttemptFailure::Failed | AttemptFailure::Silent | AttemptFailure::Withdrawn => {}
        }
    }

    fn finished(&self, target: &Target, ending: AttemptEnding) {
        let now = self.state.now();
        let limits = self.state.bounds().retries;
        let mut beliefs = self.state.beliefs();
        if target.is_repeat {
            let budget = beliefs.budgets.entry(target.service.clone()).or_default();
            match ending {
                AttemptEnding::Settled => budget.unresolved().resolve(now, limits, target.copy()),
                AttemptEnding::InDoubt => budget.unresolved().abandon(target.copy()),
            }
        }
        if let Some(fingerprint) = target.fingerprint {
            beliefs.fatal.finish(fingerprint);
        }
        if is_current(&beliefs, target) {
            beliefs.backends.finish(target.id());
        }
    }

    fn may_retry(
        &self,
        matched: &Matched,
        attempts: &Attempts,
        failure: AttemptFailure,
        left: Duration,
    ) -> RetryVerdict {
        let route = &matched.route.route;
        if left < LEAST_TIME_TO_RETRY {
            return RetryVerdict::Denied(RetryDenial::NoTime);
        }
        if failure.may_have_run() && !route.kind.is_repeatable() {
            return RetryVerdict::Denied(RetryDenial::MayHaveRun);
        }
        if !failure.reached_back_end() {
            // Nothing arrived anywhere, so this costs nothing of the budget.
            return if attempts.unreachable < MAX_UNREACHABLE {
                RetryVerdict::Free
            } else {
                RetryVerdict::Denied(RetryDenial::Unreachable)
            };
        }
        if attempts.arrived >= route.max_attempts.max(1) {
            return RetryVerdict::Denied(RetryDenial::AttemptsSpent);
        }
        self.take_retry(&mut self.state.beliefs(), matched)
    }
}
