//! The crash record of one request: the back ends that crashed while it was in flight there.

use std::collections::BTreeSet;

use coursestand_model::Millis;
use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// Crashes of different incarnations after which a request is quarantined. One crash has many
/// possible causes, and two may be an unrelated crash and another that the retry meets.
pub(super) const QUARANTINE_CRASHES: usize = 3;
/// The same for a frequently answered request, and for several requests with equally many
/// crashes: these may reach three by chance.
pub(super) const QUARANTINE_CRASHES_IF_FREQUENT: usize = 5;
/// Time after its first crash within which a harmless request that is frequently answered gets an
/// answer to a later run, which clears it. Until then it is no evidence that no answer arrived.
const FREQUENT_ANSWER_MS: Millis = 3_000;
/// Crashes from which a request runs only as a trial, one at a time in the whole system.
const TRIAL_CRASHES: usize = 2;
/// The same for a frequently answered request.
const TRIAL_CRASHES_IF_FREQUENT: usize = 3;
/// Reporters required for a quarantine, unless this daemon observed all crashes itself: a
/// single faulty daemon quarantines nothing at others.
const MIN_QUARANTINE_REPORTERS: usize = 2;
/// Crashes closer together than this may have a common cause. Longer than the latency from one
/// daemon through control to another.
pub const COMMON_CAUSE_MS: Millis = 100;
/// How long a crash counts as evidence. An answer usually clears the record long before.
pub(super) const EVIDENCE_MS: Millis = 600_000;
/// How long a request that was in flight at one crash runs only at its owner.
const SUSPICION_MS: Millis = 1_000;
/// Durations of a quarantine or of the lease of a trial, by the number of back ends that the
/// request has crashed or may have crashed in trials. Up to three crashes may happen before the
/// first report has reached all daemons; each further one must buy more time.
const QUARANTINE_MS: Millis = 30_000;
const QUARANTINE_AFTER_FOUR_CRASHES_MS: Millis = 60_000;
const MAX_QUARANTINE_MS: Millis = 3_600_000;
/// Daemons start and end a quarantine at times that differ by the latency between them: a
/// trial may crash its back end before the quarantine is over at other daemons.
const QUARANTINE_SKEW_MS: Millis = 500;
/// Crashes of a record that are shared, the newest ones.
const MAX_SHARED_CRASHES: usize = 8;
/// Reporters of a crash that are shared: as many as a quarantine requires.
const MAX_SHARED_REPORTERS: usize = MIN_QUARANTINE_REPORTERS;

/// The crash of a back end, as sent to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedCrash {
    /// Identifies the incarnation of the back end.
    pub backend: u64,
    /// Time since the crash was reported, in milliseconds.
    pub age_ms: Millis,
    /// Hashes of the names of the daemons that observed it.
    pub reporters: Vec<u64>,
}

/// The crash record of a request, as sent to another process. Times are ages, since clocks
/// differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedCrashRecord {
    /// The request.
    pub request: Fingerprint,
    /// Crashes that count against the request.
    pub ends: Vec<SharedCrash>,
    /// Number of quarantines so far.
    pub convictions: u32,
    /// Remaining time for which the request is rejected, in milliseconds.
    pub rejected_ms: Millis,
    /// Time since the last crash or trial, in milliseconds.
    pub idle_ms: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) backend: u64,
    pub(super) at: Millis,
    pub(super) reporters: BTreeSet<u64>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct CrashRecord {
    pub(super) crashes: Vec<Crash>,
    pub(super) suspected_until: Millis,
    pub(super) quarantined_until: Millis,
    pub(super) quarantines: u32,
    /// Crashes that led to its quarantines, and earlier trials without a result.
    counted_crashes: u32,
    /// Trials that were granted and that neither an answer nor a crash has followed.
    pending_trials: u32,
    /// Changes whenever the record gets new evidence.
    pub(super) revision: u64,
    /// Time of the last crash or trial.
    pub(super) last_event_at: Millis,
    /// Whether this daemon answered the request frequently at the time of the last crash.
    pub(super) is_frequent: bool,
}

impl CrashRecord {
    /// Adds the crash of a back end where the request was in flight.
    pub(super) fn add_crash(&mut self, crash: Crash) {
        self.pending_trials = self.pending_trials.saturating_sub(1);
        self.last_event_at = self.last_event_at.max(crash.at);
        self.suspected_until = self.suspected_until.max(crash.at + SUSPICION_MS);
        self.crashes.push(crash);
    }

    /// Quarantines the request, for longer than the last time. Returns the duration in
    /// milliseconds.
    pub(super) fn quarantine(&mut self, now: Millis) -> Millis {
        self.quarantines += 1;
        self.counted_crashes += self.crashes.len() as u32 + self.pending_trials;
        self.pending_trials = 0;
        self.crashes.clear();
        self.reject(now)
    }

    /// Leases a trial: the request is rejected until it is answered or the lease ends, since the
    /// daemon that runs the trial may stop before it reports the result. A trial is no evidence,
    /// so that a harmless request is not quarantined because the result was lost.
    pub(super) fn lease_trial(&mut self, now: Millis) {
        self.pending_trials += 1;
        self.last_event_at = now;
        self.reject(now);
    }

    /// Records a crash during the quarantine or the lease of a trial.
    pub(super) fn count_late_crash(&mut self, now: Millis) {
        self.pending_trials = self.pending_trials.saturating_sub(1);
        self.counted_crashes += 1;
        self.reject(now);
    }

    /// Rejects the request for as long as its crashes warrant. Returns the duration in
    /// milliseconds.
    fn reject(&mut self, now: Millis) -> Millis {
        let lasts_ms = self.quarantine_ms();
        self.quarantined_until = self.quarantined_until.max(now + lasts_ms);
        lasts_ms
    }

    fn quarantine_ms(&self) -> Millis {
        match self.counted_crashes + self.crashes.len() as u32 + self.pending_trials {
            0..=3 => QUARANTINE_MS,
            4 => QUARANTINE_AFTER_FOUR_CRASHES_MS,
            _ => MAX_QUARANTINE_MS,
        }
    }

    /// Returns whether the request is quarantined, or a trial of it is leased, for longer than
    /// `QUARANTINE_SKEW_MS` after `now`. A crash at such a time is due to the trial, or to a run
    /// that began before, and is no evidence against another request: trials of two requests may
    /// run at the same back end.
    pub(super) fn is_quarantined(&self, now: Millis) -> bool {
        now.saturating_add(QUARANTINE_SKEW_MS) < self.quarantined_until
    }

    /// Returns whether a run that began before the latest evidence has to be closed.
    /// `may_repeat` is true for the first run of a request that may run twice; other runs are
    /// closed only from the evidence that makes the request run as a trial.
    pub(super) fn recalls(&self, may_repeat: bool) -> bool {
        !self.is_frequent && (may_repeat || self.needs_trial())
    }

    /// Returns whether the request runs only as a trial.
    pub(super) fn needs_trial(&self) -> bool {
        self.needs_trial_with(&[])
    }

    /// Returns the number of crashes from which the request runs only as a trial.
    fn trial_threshold(&self) -> usize {
        if self.is_frequent {
            TRIAL_CRASHES_IF_FREQUENT
        } else {
            TRIAL_CRASHES
        }
    }

    /// Returns whether the request runs only as a trial if `broken_backends` count as crashed
    /// too. A back end whose crash is already recorded is counted once.
    pub(super) fn needs_trial_with(&self, broken_backends: &[u64]) -> bool {
        let is_unrecorded =
            |backend: &&u64| self.crashes.iter().all(|crash| crash.backend != **backend);
        let crashes = self.crashes.len() + broken_backends.iter().filter(is_unrecorded).count();
        self.quarantines > 0 || crashes >= self.trial_threshold()
    }

    /// Returns whether the request runs only at its owner.
    pub(super) fn is_suspect(&self, now: Millis) -> bool {
        !self.is_frequent && now < self.suspected_until
    }

    /// Returns whether a crash at `now` could share the cause of the last one, so that it would
    /// be no further evidence.
    pub(super) fn may_share_cause(&self, now: Millis) -> bool {
        now < self.last_event_at.saturating_add(COMMON_CAUSE_MS)
    }

    /// Returns the number of crashes whose reports have all had time to arrive.
    pub(super) fn fully_reported_crashes(&self, now: Millis) -> usize {
        let is_fully_reported = |crash: &&Crash| now >= crash.at.saturating_add(COMMON_CAUSE_MS);
        self.crashes.iter().filter(is_fully_reported).count()
    }

    /// Returns whether the crashes suffice for a quarantine by the daemon with this hash.
    pub(super) fn has_sufficient_evidence(&self, now: Millis, own_hash: u64) -> bool {
        let needed = if self.is_frequent {
            QUARANTINE_CRASHES_IF_FREQUENT
        } else {
            QUARANTINE_CRASHES
        };
        self.crashes.len() >= needed
            && !self.may_be_answered_soon(now)
            && self.span_ms() >= COMMON_CAUSE_MS
            && self.has_enough_reporters(own_hash)
    }

    /// Returns whether a frequently answered request may still be cleared by an answer.
    fn may_be_answered_soon(&self, now: Millis) -> bool {
        let first = self.crashes.iter().map(|crash| crash.at).min();
        let is_recent = first.is_some_and(|first| now < first + FREQUENT_ANSWER_MS);
        self.is_frequent && is_recent
    }

    /// Returns the time between the first and the last crash, in milliseconds.
    fn span_ms(&self) -> Millis {
        let times = || self.crashes.iter().map(|crash| crash.at);
        let (first, last) = (times().min(), times().max());
        first.zip(last).map_or(0, |(first, last)| last - first)
    }

    /// Returns whether this daemon observed all crashes, or enough daemons reported crashes.
    fn has_enough_reporters(&self, own_hash: u64) -> bool {
        let all_observed_here = self
            .crashes
            .iter()
            .all(|crash| crash.reporters.contains(&own_hash));
        let reporters: BTreeSet<u64> = self
            .crashes
            .iter()
            .flat_map(|crash| crash.reporters.iter().copied())
            .collect();
        all_observed_here || reporters.len() >= MIN_QUARANTINE_REPORTERS
    }

    /// Returns the record in the form that is sent to other processes.
    pub(super) fn shared(&self, now: Millis, request: Fingerprint) -> SharedCrashRecord {
        let mut ends: Vec<SharedCrash> = self
            .crashes
            .iter()
            .map(|crash| SharedCrash {
                backend: crash.backend,
                age_ms: now.saturating_sub(crash.at),
                reporters: crash
                    .reporters
                    .iter()
                    .copied()
                    .take(MAX_SHARED_REPORTERS)
                    .collect(),
            })
            .collect();
        ends.sort_by_key(|crash| crash.age_ms);
        ends.truncate(MAX_SHARED_CRASHES);
        SharedCrashRecord {
            request,
            ends,
            convictions: self.quarantines,
            rejected_ms: self.quarantined_until.saturating_sub(now),
            idle_ms: now.saturating_sub(self.last_event_at),
        }
    }

    /// Merges a quarantine that another process reports. Returns whether it changed the
    /// record.
    pub(super) fn merge_quarantine(&mut self, now: Millis, shared: &SharedCrashRecord) -> bool {
        let until = now + shared.rejected_ms.min(MAX_QUARANTINE_MS);
        let is_later = until > self.quarantined_until.saturating_add(QUARANTINE_SKEW_MS);
        let is_quarantine = shared.convictions > self.quarantines;
        let is_new = is_quarantine || is_later && shared.rejected_ms > 0;
        if is_new {
            self.quarantined_until = self.quarantined_until.max(until);
            self.last_event_at = self.last_event_at.max(now.saturating_sub(shared.idle_ms));
        }
        if is_quarantine {
            self.quarantines = shared.convictions;
            self.counted_crashes += self.crashes.len() as u32;
            self.crashes.clear();
        }
        is_new
    }
}
