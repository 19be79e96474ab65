//! Detects that this daemon is partitioned from back ends, as opposed to back ends that have
//! failed.
//!
//! A daemon that has lost its own connections sees what many crashed back ends would look like.
//! What sets it apart is that back ends fail together, and that none answers in between. The
//! evidence is collected for all back ends, for each service and for each zone, so that a
//! partition from one of them does not affect the others.
//!
//! Evidence only raises a suspicion. Connections without a request to further back ends of the
//! scope, which the daemon makes at once, confirm or refute it; see `docs/design/0019`.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_discovery::Instance;
use coursestand_model::{Millis, ServiceId, ZoneId};

use scope::{
    FAILURES_TO_SUSPECT, FIRST_PROBE_INTERVAL_MS, MAX_HOLD_OFF_MS, MAX_PROBE_INTERVAL_MS,
    RETURNING, Scope, State,
};

mod scope;

/// Age at which a failure stops counting.
const FAILURE_LIFETIME_MS: Millis = 2_000;
/// Shortest time without any answer after which probes are made while requests wait.
const MIN_SILENCE_MS: Millis = 200;
/// Factor on the mean time between two answers that gives the time without any answer after
/// which probes are made.
const SILENCE_GAPS: f64 = 8.0;
/// Gain of the mean time between two answers.
const GAP_GAIN: f64 = 0.1;
/// Shortest time between two rounds of probes because of silence.
const SILENCE_PROBE_INTERVAL_MS: Millis = 1_000;
/// Time that a trial request has before another one may be made.
const TRIAL_LIFETIME_MS: Millis = 1_000;
/// Back ends that must fail without an answer in between to end the return of a path.
const FAILURES_IN_RETURN: usize = 2;
/// Successful rounds of probes after which a request that can't be retried may be the trial.
const PROBES_BEFORE_ANY_TRIAL: u32 = 6;
/// Successful rounds of probes after which a path opens without a trial: no request uses it.
const PROBES_TO_OPEN: u32 = 8;
/// Time after which a suspicion that probes have not confirmed ends.
const SUSPICION_LIFETIME_MS: Millis = 10_000;

/// A set of back ends that may be unreachable together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathScope {
    /// All back ends.
    All,
    /// The back ends of a service.
    Service(ServiceId),
    /// The back ends in a zone.
    Zone(ZoneId),
}

impl PathScope {
    /// Returns the scopes that contain a back end.
    pub fn of(instance: &Instance) -> [PathScope; 3] {
        [
            PathScope::All,
            PathScope::Service(instance.service.clone()),
            PathScope::Zone(instance.zone.clone()),
        ]
    }

    /// Returns whether the scope contains a back end.
    pub fn contains(&self, instance: &Instance) -> bool {
        match self {
            PathScope::All => true,
            PathScope::Service(service) => *service == instance.service,
            PathScope::Zone(zone) => *zone == instance.zone,
        }
    }

    /// Returns the kind and the name in logs.
    pub fn label(&self) -> String {
        match self {
            PathScope::All => "all".to_owned(),
            PathScope::Service(service) => format!("service {service}"),
            PathScope::Zone(zone) => format!("zone {zone}"),
        }
    }
}

/// The connection on which a back end answered or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAge {
    /// Opened for this request, or not opened at all.
    New,
    /// Kept from an earlier request.
    Kept,
}

/// How a request may use the path to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathUse {
    /// Not at all.
    Closed,
    /// On a connection that is open already.
    KeptConnections,
    /// Without restriction.
    Open,
}

/// A round of probes that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueProbe {
    /// The scope to probe.
    pub scope: PathScope,
    /// Whether a partition is suspected; otherwise its end is awaited.
    pub is_suspected: bool,
    /// Back ends of the scope that have failed.
    pub failed: BTreeSet<u64>,
}

/// Result of a round of probes in a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathProbeOutcome {
    /// At least one back end accepted a connection and kept it open.
    Reached,
    /// No back end could be reached.
    Unreached,
    /// The daemon's own link is congested, or there was nothing to probe.
    Inconclusive,
}

/// A change of a scope that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// The scope.
    pub scope: PathScope,
    /// Name of its new state.
    pub state: &'static str,
    /// Back ends that had failed.
    pub failed: usize,
    /// Time since the last answer of any back end, in milliseconds.
    pub silent_ms: Millis,
}

impl PathChange {
    /// Returns whether the scope can be reached again after a partition.
    pub fn is_returning(&self) -> bool {
        self.state == RETURNING
    }
}

/// What a request may do, decided once per attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathTicket {
    /// Number in `0.0..1.0` that is compared with the share of requests that a returning path
    /// takes.
    pub draw: f64,
    /// Whether the request is the trial of a returning path.
    pub is_trial: bool,
    /// Whether the request has failed to reach a back end already.
    pub has_failed: bool,
}

/// The paths from this daemon to the back ends.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    scopes: BTreeMap<PathScope, Scope>,
    last_answer_at: Millis,
    /// Mean time between two answers.
    mean_gap_ms: f64,
    /// Back ends to which requests were sent since the last answer, and when.
    sent_since_answer: Vec<(Millis, u64)>,
    silence_probed_at: Option<Millis>,
}

impl Paths {
    /// Returns whether all scopes are open.
    pub fn are_open(&self) -> bool {
        self.scopes.values().all(|scope| scope.state == State::Open)
    }

    /// Returns whether the daemon is partitioned from all back ends.
    pub fn is_partitioned_from_all(&self) -> bool {
        let all = self.scopes.get(&PathScope::All);
        all.is_some_and(|scope| matches!(scope.state, State::Partitioned { .. }))
    }

    /// Returns whether the daemon is partitioned from all back ends, or returns after that.
    pub fn is_all_affected(&self) -> bool {
        let all = self.scopes.get(&PathScope::All);
        all.is_some_and(|scope| scope.state.partitioned_at().is_some())
    }

    /// Returns whether an attempt at a back end has no chance.
    pub fn is_closed(&self, now: Millis, instance: &Instance) -> bool {
        let scopes = PathScope::of(instance);
        let mut known = scopes.iter().filter_map(|scope| self.scopes.get(scope));
        known.any(|scope| match scope.state {
            State::Partitioned { since, .. } => !scope.are_kept_working(now, since),
            _ => false,
        })
    }

    /// Returns the scopes that are not open, with the names of their states.
    pub fn views(&self) -> Vec<(String, &'static str)> {
        let scopes = self.scopes.iter();
        scopes
            .filter(|(_, scope)| scope.state != State::Open)
            .map(|(name, scope)| (name.label(), scope.state.name()))
            .collect()
    }

    /// Returns how a request may use the path to a back end.
    pub fn path_use(&self, now: Millis, instance: &Instance, ticket: PathTicket) -> PathUse {
        if self.scopes.is_empty() {
            return PathUse::Open;
        }
        let scopes = PathScope::of(instance);
        let known = scopes.iter().filter_map(|scope| self.scopes.get(scope));
        known
            .map(|scope| scope.path_use(now, ticket))
            .min()
            .unwrap_or(PathUse::Open)
    }

    /// Returns whether the request may be the trial of a returning path, and reserves the trial.
    /// `can_retry` tells whether the request can be sent again if the trial fails.
    pub fn take_trial(&mut self, now: Millis, can_retry: impl Fn() -> bool) -> bool {
        let mut is_taken = false;
        for scope in self.scopes.values_mut() {
            if let State::Returning {
                answered_at: None,
                trial_until,
                probed,
                ..
            } = &mut scope.state
                && now >= *trial_until
                && (*probed >= PROBES_BEFORE_ANY_TRIAL || can_retry())
            {
                *trial_until = now + TRIAL_LIFETIME_MS;
                is_taken = true;
            }
        }
        is_taken
    }

    /// Records that a request is sent to a back end.
    pub fn note_sent(&mut self, now: Millis, backend: u64) {
        let is_known = self
            .sent_since_answer
            .iter()
            .any(|(_, sent)| *sent == backend);
        if !is_known && self.sent_since_answer.len() < FAILURES_TO_SUSPECT {
            self.sent_since_answer.push((now, backend));
        }
    }

    /// Suspects a partition if no back end has answered for far longer than usual although
    /// requests wait at several. `usual_ms` returns how long an answer takes at most, if that is
    /// known: at the start of the traffic every object is new to its back end.
    pub fn check_silence(
        &mut self,
        now: Millis,
        usual_ms: impl FnOnce() -> Option<Millis>,
    ) -> Option<PathChange> {
        let (waiting_since, _) = *self.sent_since_answer.get(FAILURES_TO_SUSPECT - 1)?;
        let silent_ms = now.saturating_sub(waiting_since);
        let limit_ms = MIN_SILENCE_MS.max((self.mean_gap_ms * SILENCE_GAPS) as Millis);
        if silent_ms < limit_ms {
            return None;
        }
        let scope = self.scopes.entry(PathScope::All).or_default();
        match scope.state {
            State::Open => {
                let probed_at = self.silence_probed_at;
                let is_due = probed_at.is_none_or(|at| now >= at + SILENCE_PROBE_INTERVAL_MS);
                if !is_due {
                    return None;
                }
                self.silence_probed_at = Some(now);
                scope.suspect(now);
            }
            State::Suspected {
                was_reached: true, ..
            } if usual_ms().is_some_and(|usual_ms| silent_ms >= usual_ms.max(2 * limit_ms)) => {
                self.partition_all(now, true);
            }
            _ => return None,
        }
        Some(self.change(now, PathScope::All))
    }

    fn partition_all(&mut self, now: Millis, by_silence: bool) {
        self.scopes.retain(|scope, _| *scope == PathScope::All);
        self.scopes
            .entry(PathScope::All)
            .or_default()
            .partition(now, by_silence);
    }

    fn change(&self, now: Millis, scope: PathScope) -> PathChange {
        let known = self.scopes.get(&scope);
        PathChange {
            state: known.map_or(State::Open, |known| known.state).name(),
            failed: known.map_or(0, |known| known.failed.len()),
            silent_ms: now.saturating_sub(self.last_answer_at),
            scope,
        }
    }

    /// Records an answer of a back end to an attempt that was made at `started_at`.
    pub fn note_answered(
        &mut self,
        now: Millis,
        started_at: Millis,
        instance: &Instance,
        connection: ConnectionAge,
    ) -> Vec<PathChange> {
        let gap = now.saturating_sub(self.last_answer_at) as f64;
        self.mean_gap_ms += (gap.min(1_000.0) - self.mean_gap_ms) * GAP_GAIN;
        self.last_answer_at = now;
        self.sent_since_answer.clear();
        if self.scopes.is_empty() {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for name in PathScope::of(instance) {
            let Some(scope) = self.scopes.get_mut(&name) else {
                continue;
            };
            let before = scope.state.name();
            // A connection that was new before the partition is a kept one since then.
            let is_kept = connection == ConnectionAge::Kept
                || scope
                    .state
                    .partitioned_at()
                    .is_some_and(|at| started_at < at);
            if is_kept {
                scope.kept_answer_at = Some(now);
                scope.kept_failed.clear();
            } else {
                scope.failed.clear();
            }
            match &mut scope.state {
                State::Suspected { was_reached, .. } if !is_kept || *was_reached => {
                    scope.refute(now);
                }
                State::Partitioned {
                    by_silence: true, ..
                } => scope.open(),
                State::Returning { answered_at, .. } => {
                    answered_at.get_or_insert(now);
                    if scope.state.share(now) >= 1.0 {
                        scope.open();
                    }
                }
                _ => {}
            }
            if scope.state.name() != before {
                changed.push(name);
            }
        }
        let changes = changed.into_iter().map(|name| self.change(now, name));
        let changes = changes.collect();
        self.scopes.retain(|_, scope| {
            let is_held_off =
                scope.no_suspicion_before > 0 && now < scope.no_suspicion_before + MAX_HOLD_OFF_MS;
            scope.state != State::Open || !scope.failed.is_empty() || is_held_off
        });
        changes
    }

    /// Records that a back end could not be reached, or that a connection to it brought no
    /// answer. The attempt was made at `started_at`. `sizes` returns the number of back ends of a
    /// scope.
    pub fn note_failed(
        &mut self,
        now: Millis,
        started_at: Millis,
        instance: &Instance,
        backend: u64,
        connection: ConnectionAge,
        sizes: impl Fn(&PathScope) -> usize,
    ) -> Vec<PathChange> {
        let mut changes = Vec::new();
        for name in PathScope::of(instance) {
            let is_covered = name != PathScope::All
                && self
                    .scopes
                    .get(&PathScope::All)
                    .is_some_and(|all| all.state.partitioned_at().is_some());
            if is_covered {
                continue;
            }
            let scope = self.scopes.entry(name.clone()).or_default();
            if connection == ConnectionAge::Kept {
                scope.kept_failed.insert(backend);
            }
            scope.failed.retain(|_, at| now < *at + FAILURE_LIFETIME_MS);
            scope.failed.insert(backend, now);
            let before = scope.state.name();
            match scope.state {
                State::Open => {
                    let needed = FAILURES_TO_SUSPECT.min(sizes(&name)).max(1);
                    if scope.failed.len() >= needed {
                        scope.suspect(now);
                    }
                }
                State::Returning {
                    answered_at, since, ..
                } if started_at >= since => {
                    let is_half_open = answered_at.is_none();
                    if is_half_open || scope.failed.len() >= FAILURES_IN_RETURN {
                        scope.partition(now, false);
                    }
                }
                _ => {}
            }
            if scope.state.name() != before {
                changes.push(self.change(now, name));
            }
        }
        changes
    }

    /// Returns the probes that have to be made now. [`Paths::note_probe`] must be called for each.
    pub fn take_due_probes(&mut self, now: Millis) -> Vec<DueProbe> {
        let mut due = Vec::new();
        // Parts are probed once it is known whether all back ends are lost.
        let is_all_pending = self.scopes.get(&PathScope::All).is_some_and(|all| {
            matches!(
                all.state,
                State::Suspected {
                    was_reached: false,
                    ..
                }
            )
        });
        for (name, scope) in &mut self.scopes {
            if let State::Suspected { since, .. } = scope.state
                && now >= since + SUSPICION_LIFETIME_MS
            {
                scope.refute(now);
            }
            let is_due = match &mut scope.state {
                _ if is_all_pending && *name != PathScope::All => false,
                State::Suspected { is_probed, .. } => !std::mem::replace(is_probed, true),
                State::Partitioned {
                    next_probe_at,
                    interval,
                    ..
                } if now >= *next_probe_at => {
                    *interval = (*interval * 2).min(MAX_PROBE_INTERVAL_MS);
                    *next_probe_at = now + *interval;
                    true
                }
                State::Returning {
                    answered_at: None,
                    next_probe_at,
                    interval,
                    ..
                } if now >= *next_probe_at => {
                    *interval = (*interval * 2).min(MAX_PROBE_INTERVAL_MS);
                    *next_probe_at = now + *interval;
                    true
                }
                _ => false,
            };
            if is_due {
                due.push(DueProbe {
                    scope: name.clone(),
                    is_suspected: matches!(scope.state, State::Suspected { .. }),
                    failed: scope.failed.keys().copied().collect(),
                });
            }
        }
        due
    }

    /// Records the outcome of a round of probes.
    pub fn note_probe(
        &mut self,
        now: Millis,
        name: &PathScope,
        outcome: PathProbeOutcome,
    ) -> Option<PathChange> {
        let scope = self.scopes.get_mut(name)?;
        let before = scope.state;
        match (scope.state, outcome) {
            (State::Suspected { .. }, PathProbeOutcome::Unreached) => match name {
                PathScope::All => self.partition_all(now, false),
                _ => scope.partition(now, false),
            },
            (State::Suspected { since, .. }, PathProbeOutcome::Reached) => {
                scope.failed.clear();
                let is_waiting = !self.sent_since_answer.is_empty();
                if *name == PathScope::All && is_waiting {
                    // Only continued silence is evidence from now on.
                    scope.state = State::Suspected {
                        since,
                        is_probed: true,
                        was_reached: true,
                    };
                } else {
                    scope.refute(now);
                }
            }
            (State::Suspected { .. }, PathProbeOutcome::Inconclusive) => scope.open(),
            (State::Partitioned { since, .. }, PathProbeOutcome::Reached) => {
                scope.failed.clear();
                scope.state = State::Returning {
                    partitioned_at: since,
                    since: now,
                    answered_at: None,
                    trial_until: now,
                    probed: 1,
                    next_probe_at: now + FIRST_PROBE_INTERVAL_MS,
                    interval: FIRST_PROBE_INTERVAL_MS,
                };
            }
            (State::Returning { .. }, PathProbeOutcome::Unreached) => scope.partition(now, false),
            (State::Returning { .. }, PathProbeOutcome::Reached) => {
                if let State::Returning { probed, .. } = &mut scope.state {
                    *probed += 1;
                    if *probed >= PROBES_TO_OPEN {
                        scope.open();
                    }
                }
            }
            _ => {}
        }
        let after = self.scopes.get(name)?.state;
        (after.name() != before.name()).then(|| self.change(now, name.clone()))
    }
}
