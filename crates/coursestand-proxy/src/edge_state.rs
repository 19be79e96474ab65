//! What an entry daemon believes: the catalog, the back ends and the other entry
//! daemons. It is fed by the follower and read by the router.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_catalog::{Catalog, CatalogDelta};
use coursestand_discovery::InstanceUpdate;
use coursestand_kernel::MonotonicClock;
use coursestand_model::{Millis, ServiceId, ZoneId};
use coursestand_routing::cold::OwnerViews;
use coursestand_routing::fatal_requests::CaseNews;
use coursestand_routing::findings::BackendReports;
use coursestand_routing::hash::hash_of;
use coursestand_routing::picker::Place;
use coursestand_routing::rate_limit::TokenVerdict;
use coursestand_routing::split::SplitState;
use coursestand_routing::{
    Backends, FatalRequests, Finding, Fingerprint, LimitNews, Picker, Rate, RetryAllowance,
    RetryBudget, RetryLimits, RouteTable, SharedCase, SharedFinding, TrialVerdict,
};
use tokio::sync::{broadcast, oneshot};

use crate::tokens::{LimitNote, TokenRequests, answer_of};
use crate::trials::{CaseNote, TrialRequests};

const LOG: &str = "proxy";
/// Findings that wait for a slow connection to control; further ones replace the oldest.
const FINDINGS_QUEUE: usize = 256;

/// Bounds of the deployment that an entry daemon keeps.
#[derive(Clone, Debug)]
pub struct EdgeBounds {
    /// Bound on requests that are sent again.
    pub retries: RetryLimits,
    /// After an evacuation ends, back ends of the zone get nothing for this
    /// long: their heartbeats tell by then whether they have turned cold.
    pub settle_ms: Millis,
    /// How long a daemon waits before it takes a cold back end over from another.
    pub hand_over_ms: Millis,
}

/// The beliefs, all under one lock: decisions take microseconds.
pub struct Beliefs {
    /// Configuration in force.
    pub catalog: Catalog,
    /// Routes of the catalog.
    pub routes: Arc<RouteTable>,
    /// Back ends.
    pub backends: Backends,
    /// Picks back ends.
    pub picker: Picker,
    /// Names of the entry daemons that are connected, this one among them.
    pub daemons: BTreeSet<String>,
    /// Who owns cold back ends.
    pub owners: OwnerViews,
    /// Retry budgets by service.
    pub budgets: HashMap<ServiceId, RetryBudget>,
    /// This daemon's part of the retries that the deployment may make besides.
    pub allowance: RetryAllowance,
    /// Requests that ended back ends.
    pub fatal: FatalRequests,
    /// Whether the daemon has been connected with a majority of the control processes
    /// since it started: it knows by then which requests end back ends.
    pub is_informed: bool,
    /// Other daemons that say which back ends drain.
    pub draining: BackendReports,
    /// Other daemons that were told rate limits.
    pub limit_reports: BackendReports,
    /// Where the routes stand in dividing requests, by name.
    pub splits: HashMap<String, SplitState>,
}

/// Shared beliefs of an entry daemon.
pub struct EdgeState {
    clock: MonotonicClock,
    bounds: EdgeBounds,
    beliefs: Mutex<Beliefs>,
    /// What other daemons are to hear of back ends.
    findings: broadcast::Sender<SharedFinding>,
    trials: TrialRequests,
    tokens: TokenRequests,
}

impl Beliefs {
    /// Another daemon saw a back end end, or say that it drains.
    fn hear_of_back_end(&mut self, now: Millis, shared: &SharedFinding) {
        match shared.finding {
            Finding::Ended { backend, .. } => self.backends.note_ended_elsewhere(now, backend),
            Finding::Drains { backend } => {
                let is_enough = self.draining.take(backend, shared.reporter);
                if is_enough && self.backends.note_draining_elsewhere(now, backend) {
                    self.picker.invalidate(now);
                }
            }
            Finding::Answered(_) => {}
        }
    }
}

impl EdgeState {
    /// Beliefs of a daemon at `place` that knows nothing yet.
    pub fn new(clock: MonotonicClock, place: Place, bounds: EdgeBounds) -> EdgeState {
        let daemons = BTreeSet::from([place.daemon.clone()]);
        let own = hash_of(&place.daemon);
        let owners = OwnerViews::new(bounds.hand_over_ms);
        let allowance = RetryAllowance::new(&place.daemon, bounds.retries, bounds.hand_over_ms);
        EdgeState {
            clock,
            bounds,
            beliefs: Mutex::new(Beliefs {
                catalog: Catalog::default(),
                routes: Arc::default(),
                backends: Backends::default(),
                picker: Picker::new(place),
                daemons,
                owners,
                budgets: HashMap::new(),
                allowance,
                splits: HashMap::new(),
                fatal: FatalRequests::new(own),
                is_informed: false,
                draining: BackendReports::default(),
                limit_reports: BackendReports::default(),
            }),
            findings: broadcast::Sender::new(FINDINGS_QUEUE),
            trials: TrialRequests::default(),
            tokens: TokenRequests::default(),
        }
    }

    /// Milliseconds on the daemon's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Bounds of the deployment.
    pub fn bounds(&self) -> &EdgeBounds {
        &self.bounds
    }

    /// The beliefs. Never held over a wait, nor while anything else is locked: the
    /// follower locks them while it holds what it knows of control.
    pub fn beliefs(&self) -> MutexGuard<'_, Beliefs> {
        self.beliefs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in changes of the configuration. Returns whether anything changed.
    pub fn adopt_catalog(&self, delta: CatalogDelta) -> bool {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let ended: Vec<ZoneId> = delta
            .evacuations
            .iter()
            .filter(|(zone, change)| !change.is_active && beliefs.catalog.is_evacuated(zone))
            .map(|(zone, _)| zone.clone())
            .collect();
        let has_items = !delta.items.is_empty();
        let changed = beliefs.catalog.adopt(delta);
        if !changed {
            return false;
        }
        if has_items {
            beliefs.routes = Arc::new(RouteTable::new(&beliefs.catalog));
        }
        if !ended.is_empty() {
            let until = now + self.bounds.settle_ms;
            beliefs
                .backends
                .hold_back(until, |instance| ended.contains(&instance.zone));
        }
        beliefs.picker.invalidate(now);
        true
    }

    /// Takes in news of back ends.
    pub fn adopt_instances(&self, news: Vec<InstanceUpdate>) {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let mut changed = false;
        for one in news {
            changed |= beliefs.backends.merge(now, one);
        }
        if changed {
            beliefs.picker.invalidate(now);
        }
    }

    /// Takes in what a daemon found out of a back end.
    pub fn adopt_finding(&self, shared: &SharedFinding) {
        let now = self.now();
        let mut beliefs = self.beliefs();
        if shared.reporter != beliefs.fatal.own() {
            beliefs.hear_of_back_end(now, shared);
        }
        if let Finding::Ended { backend, .. } = shared.finding {
            let budgets = beliefs.budgets.values_mut();
            budgets.for_each(|budget| budget.unsettled().forget(backend));
        }
        let changes = beliefs.fatal.take(now, shared);
        drop(beliefs);
        tell_news(changes, Some(shared));
    }

    /// Takes in what a control process knows of requests under which back ends ended.
    pub fn adopt_cases(&self, cases: &[SharedCase]) {
        let now = self.now();
        for case in cases {
            let changes = self.beliefs().fatal.merge(now, case);
            tell_news(changes, None);
        }
    }

    /// What this daemon knows of such requests, for a control process.
    pub fn told_cases(&self) -> Vec<SharedCase> {
        self.beliefs().fatal.told(self.now())
    }

    /// Asks control for leave to try a request; what is returned ends with the answer.
    pub fn ask_for_trial(&self, request: Fingerprint) -> Option<oneshot::Receiver<()>> {
        let now = self.now();
        let case = self.beliefs().fatal.shared(now, request)?;
        self.trials.ask(now, case)
    }

    /// Control answered to a daemon that wants to try a request.
    pub fn take_verdict(&self, verdict: TrialVerdict) {
        let now = self.now();
        let request = match verdict {
            TrialVerdict::Granted(case) => {
                let request = case.request;
                log::info!(target: LOG, fingerprint = request.0, convictions = case.convictions;
                    "a request may be tried once");
                self.adopt_cases(std::slice::from_ref(&case));
                self.beliefs().fatal.permit(now, request);
                // A control process that leads next knows of the trial by this.
                self.trials.tell(case);
                request
            }
            TrialVerdict::Refused(case) => {
                self.adopt_cases(std::slice::from_ref(&case));
                case.request
            }
            TrialVerdict::Cleared(request) => {
                let changes = self.beliefs().fatal.clear(now, request);
                tell_news(changes, None);
                request
            }
        };
        self.trials.answered(request);
    }

    /// What control is told of such requests, from now on.
    pub fn case_notes(&self) -> broadcast::Receiver<CaseNote> {
        self.trials.notes()
    }

    /// Requests for tokens for rate-limited back ends.
    pub fn tokens(&self) -> &TokenRequests {
        &self.tokens
    }

    /// What control is told of rate limits, from now on.
    pub fn limit_notes(&self) -> broadcast::Receiver<LimitNote> {
        self.tokens.notes()
    }

    /// The rate limits that back ends named to this daemon, for a control process.
    pub fn told_limits(&self) -> Vec<LimitNews> {
        let now = self.now();
        let beliefs = self.beliefs();
        let own = beliefs.fatal.own();
        let limited = beliefs.backends.iter().filter_map(|backend| {
            let limit = backend.limit().filter(|limit| limit.is_own())?;
            Some(LimitNews {
                reporter: own,
                backend: backend.memory,
                rate: Some(limit.rate()),
                age_ms: now.saturating_sub(limit.named_at()),
            })
        });
        limited.collect()
    }

    /// A back end named this limit to this daemon, or none any more.
    pub fn tell_limit(&self, backend: u64, rate: Option<Rate>) {
        self.tokens.tell(LimitNews {
            reporter: self.beliefs().fatal.own(),
            backend,
            rate,
            age_ms: 0,
        });
    }

    /// Takes in what other daemons were told of rate limits. A limit that one daemon tells
    /// alone is not believed.
    pub fn adopt_limits(&self, news: &[LimitNews]) {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let own = beliefs.fatal.own();
        for one in news.iter().filter(|one| one.reporter != own) {
            let Some(rate) = one.rate else {
                beliefs.limit_reports.forget(one.backend);
                continue;
            };
            let is_enough = beliefs.limit_reports.take(one.backend, one.reporter);
            let named_at = now.saturating_sub(one.age_ms);
            if is_enough
                && beliefs
                    .backends
                    .note_rate_elsewhere(named_at, one.backend, rate)
                    .is_some()
            {
                let backend = beliefs.backends.find(one.backend);
                log::info!(target: LOG,
                    instance = backend.map(|backend| backend.instance.id.as_str()),
                    limit_per_second = rate.as_per_second();
                    "a back end changed: its rate limit, as other daemons were told");
            }
        }
    }

    /// The control process `from` answered request `number` for a token.
    pub fn take_token_verdict(&self, from: SocketAddr, number: u64, verdict: &TokenVerdict) {
        let Some(answered) = self.tokens.answered(from, number) else {
            return;
        };
        let asked_at = answered.asked.asked_at;
        let request = &answered.asked.request;
        let backend = request.backend;
        match verdict {
            TokenVerdict::Issued => {}
            TokenVerdict::Denied { again_in_ms, .. } => {
                let backends = &mut self.beliefs().backends;
                backends.note_denied(asked_at, backend, *again_in_ms, request.priority);
            }
            TokenVerdict::Lifted { age_ms } => {
                // Dated by when it was asked for: the limit was lifted no later.
                let lifted_at = asked_at.saturating_sub(*age_ms);
                let mut beliefs = self.beliefs();
                beliefs.limit_reports.forget(backend);
                let change = beliefs.backends.note_lifted_elsewhere(lifted_at, backend);
                if change.is_some() {
                    let known = beliefs.backends.find(backend);
                    log::info!(target: LOG,
                        instance = known.map(|known| known.instance.id.as_str()), age_ms = *age_ms;
                        "a back end changed: its rate limit was lifted, as another daemon was told");
                }
            }
        }
        let answer = answer_of(verdict, &answered.asked);
        answered.tell(answer);
    }

    /// Takes in what this daemon found out itself, and tells others.
    pub fn share(&self, finding: Finding) {
        let shared = SharedFinding {
            number: rand::random(),
            reporter: self.beliefs().fatal.own(),
            finding,
        };
        self.adopt_finding(&shared);
        // Without a connection to control there is nobody to tell.
        let _ = self.findings.send(shared);
    }

    /// What this daemon finds out, as it does.
    pub fn findings(&self) -> broadcast::Receiver<SharedFinding> {
        self.findings.subscribe()
    }

    /// Whether this daemon is connected with a majority of the control processes.
    /// Without, it owns no cold back end: the others share them out among them.
    pub fn set_following(&self, is_following: bool) {
        let now = self.now();
        let mut beliefs = self.beliefs();
        let view = is_following.then(|| beliefs.daemons.clone());
        beliefs.owners.set(now, view);
        if is_following {
            beliefs.is_informed = true;
            let Beliefs {
                allowance, daemons, ..
            } = &mut *beliefs;
            allowance.note_listed(now, daemons.iter().map(String::as_str));
            allowance.renew(now);
        }
    }

    /// The entry daemons that are connected now, besides this one.
    pub fn set_daemons(&self, own: &str, others: impl Iterator<Item = String>) {
        let mut daemons: BTreeSet<String> = others.collect();
        daemons.insert(own.to_owned());
        let now = self.now();
        let mut beliefs = self.beliefs();
        let names = daemons.iter().map(String::as_str);
        beliefs.allowance.note_listed(now, names);
        beliefs.daemons = daemons;
    }
}

/// Logs what changed, by a finding of a daemon or by what control told.
fn tell_news(changes: Vec<CaseNews>, by: Option<&SharedFinding>) {
    for change in changes {
        match change {
            CaseNews::Witness(case) => {
                log::info!(target: LOG, fingerprint = case.request.0, ends = case.ends,
                    convictions = case.convictions, reporter = by.map(|by| by.reporter),
                    finding = by.map(|by| by.number); "a back end ended under a request")
            }
            CaseNews::Convicted {
                request,
                ends,
                lasts_ms,
            } => {
                log::warn!(target: LOG, fingerprint = request.0, ends = ends, lasts_ms = lasts_ms;
                    "a request is rejected: back ends ended under it")
            }
            CaseNews::Cleared { request } => log::info!(target: LOG, fingerprint = request.0;
                "a request is no longer rejected: it was answered"),
        }
    }
}
