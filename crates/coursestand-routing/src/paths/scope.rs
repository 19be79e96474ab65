//! The path to the back ends of one scope, as a state machine: open, suspected, partitioned,
//! returning.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::Millis;

use super::{PathTicket, PathUse};

/// Name of the state of a path that can be reached again.
pub(super) const RETURNING: &str = "returning";
/// Back ends that must fail without an answer in between before a partition is suspected, if the
/// scope has as many.
pub(super) const FAILURES_TO_SUSPECT: usize = 3;
/// First and longest time between two rounds of probes during a partition.
pub(super) const FIRST_PROBE_INTERVAL_MS: Millis = 250;
pub(super) const MAX_PROBE_INTERVAL_MS: Millis = 2_000;
/// Share of the requests that use the path at first, once a trial request was answered.
const FIRST_SHARE: f64 = 0.125;
/// Time in which that share doubles.
const SHARE_DOUBLING_MS: f64 = 200.0;
/// Kept connections count as working for this long after an answer on one of them.
const KEPT_LIFETIME_MS: Millis = 1_500;
/// First and longest time after a refuted suspicion in which no further one is raised: back ends
/// that reset new connections under load look like a partition again and again.
const FIRST_HOLD_OFF_MS: Millis = 500;
pub(super) const MAX_HOLD_OFF_MS: Millis = 2_000;

/// State of the path to the back ends of a scope.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    /// Works, as far as is known.
    Open,
    /// May be partitioned; probes decide.
    Suspected {
        since: Millis,
        is_probed: bool,
        /// Whether probes reached a back end, so that only continued silence is evidence.
        was_reached: bool,
    },
    /// Partitioned.
    Partitioned {
        since: Millis,
        /// Whether only silence showed the partition, so that any answer refutes it.
        by_silence: bool,
        next_probe_at: Millis,
        interval: Millis,
    },
    /// Probes have succeeded; requests return step by step.
    Returning {
        /// Start of the partition.
        partitioned_at: Millis,
        /// First successful probe.
        since: Millis,
        /// When the trial request was answered.
        answered_at: Option<Millis>,
        trial_until: Millis,
        probed: u32,
        next_probe_at: Millis,
        interval: Millis,
    },
}

impl State {
    /// Returns the name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            State::Open => "open",
            State::Suspected { .. } => "suspected",
            State::Partitioned { .. } => "partitioned",
            State::Returning { .. } => RETURNING,
        }
    }

    /// Returns the share of requests that may open connections.
    pub(super) fn share(self, now: Millis) -> f64 {
        match self {
            State::Open | State::Suspected { .. } => 1.0,
            State::Partitioned { .. } => 0.0,
            State::Returning { answered_at, .. } => answered_at.map_or(0.0, |at| {
                let doublings = now.saturating_sub(at) as f64 / SHARE_DOUBLING_MS;
                (FIRST_SHARE * doublings.exp2()).min(1.0)
            }),
        }
    }

    /// Returns since when the path is partitioned or returning.
    pub(super) fn partitioned_at(self) -> Option<Millis> {
        match self {
            State::Partitioned { since, .. } => Some(since),
            State::Returning { partitioned_at, .. } => Some(partitioned_at),
            _ => None,
        }
    }
}

/// The path to the back ends of a scope.
#[derive(Clone, Debug)]
pub(super) struct Scope {
    pub(super) state: State,
    /// Back ends that failed since one of the scope last answered on a new connection, with the
    /// time of the last failure.
    pub(super) failed: BTreeMap<u64, Millis>,
    /// Last answer on a kept connection.
    pub(super) kept_answer_at: Option<Millis>,
    /// Back ends that failed on kept connections since then.
    pub(super) kept_failed: BTreeSet<u64>,
    /// Probe interval of the next partition: it grows while partitions follow each other.
    next_interval: Millis,
    /// Until when no suspicion is raised, and the time that follows the next refuted one.
    pub(super) no_suspicion_before: Millis,
    hold_off_ms: Millis,
}

impl Default for Scope {
    fn default() -> Self {
        Scope {
            state: State::Open,
            failed: BTreeMap::new(),
            kept_answer_at: None,
            kept_failed: BTreeSet::new(),
            next_interval: FIRST_PROBE_INTERVAL_MS,
            no_suspicion_before: 0,
            hold_off_ms: FIRST_HOLD_OFF_MS,
        }
    }
}

impl Scope {
    /// Raises a suspicion, unless one was refuted a short time ago.
    pub(super) fn suspect(&mut self, now: Millis) {
        if now < self.no_suspicion_before {
            return;
        }
        self.state = State::Suspected {
            since: now,
            is_probed: false,
            was_reached: false,
        };
    }

    /// Ends a suspicion that probes have refuted.
    pub(super) fn refute(&mut self, now: Millis) {
        self.open();
        self.no_suspicion_before = now + self.hold_off_ms;
        self.hold_off_ms = (self.hold_off_ms * 2).min(MAX_HOLD_OFF_MS);
    }

    /// Closes the path; `by_silence` if only silence showed the partition.
    pub(super) fn partition(&mut self, now: Millis, by_silence: bool) {
        self.hold_off_ms = FIRST_HOLD_OFF_MS;
        let since = self.state.partitioned_at().unwrap_or(now);
        let interval = self.next_interval;
        self.next_interval = (interval * 2).min(MAX_PROBE_INTERVAL_MS);
        self.state = State::Partitioned {
            since,
            by_silence,
            next_probe_at: now + interval,
            interval,
        };
    }

    /// Opens the path.
    pub(super) fn open(&mut self) {
        self.state = State::Open;
        self.failed.clear();
        self.next_interval = FIRST_PROBE_INTERVAL_MS;
    }

    /// Returns whether connections that were open before the partition still work.
    pub(super) fn are_kept_working(&self, now: Millis, partitioned_at: Millis) -> bool {
        self.kept_failed.len() < FAILURES_TO_SUSPECT
            && self
                .kept_answer_at
                .is_some_and(|at| at >= partitioned_at && now < at + KEPT_LIFETIME_MS)
    }

    /// Returns how a request may use the path.
    pub(super) fn path_use(&self, now: Millis, ticket: PathTicket) -> PathUse {
        if ticket.has_failed && matches!(self.state, State::Suspected { .. }) {
            return PathUse::Closed;
        }
        let Some(partitioned_at) = self.state.partitioned_at() else {
            return PathUse::Open;
        };
        let is_trial = ticket.is_trial && matches!(self.state, State::Returning { .. });
        if is_trial || ticket.draw < self.state.share(now) {
            PathUse::Open
        } else if self.are_kept_working(now, partitioned_at) {
            PathUse::KeptConnections
        } else {
            PathUse::Closed
        }
    }
}
