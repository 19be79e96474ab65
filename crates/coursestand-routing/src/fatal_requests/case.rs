//! What is known of one request under which back ends ended.

use std::collections::BTreeSet;

use coursestand_model::Millis;
use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// Ends of different incarnations that convict: one is any crash, and two may be a crash
/// and the next one that its repeat meets.
pub(super) const CONVICTING_ENDS: usize = 3;
/// The same for a request that is answered often, and for several that are witness to as
/// many ends: chance may bring them to three.
pub(super) const CONVICTING_ENDS_OF_USUAL: usize = 5;
/// Ends from which on a request runs only as a trial, one at a time in the whole system.
const TRIAL_ENDS: usize = 2;
/// The same for a request that is answered often.
const TRIAL_ENDS_OF_USUAL: usize = 3;
/// Reporters that it takes, unless this daemon saw all of the ends itself: one daemon that
/// errs convicts nothing at others.
const CONVICTING_REPORTERS: usize = 2;
/// Ends closer together than this may have one cause: longer than the way from a daemon by
/// control to another.
pub(super) const COMMON_CAUSE_MS: Millis = 100;
/// For how long an end counts. An answer ends the case long before.
pub(super) const EVIDENCE_MS: Millis = 600_000;
/// For how long a witness of one end runs at its owner only.
const SUSPICION_MS: Millis = 1_000;
/// For how long a request is rejected by its first conviction, and by the next ones, which
/// each trial without an answer brings.
const CONVICTIONS_MS: [Millis; 4] = [15_000, 30_000, 60_000, 3_600_000];
/// Daemons convict at moments that differ by the ways between them, and end a conviction as
/// much apart: a trial may end its back end before others have it end.
const CONVICTION_SKEW_MS: Millis = 500;
/// Ends of a case that are told, the newest ones.
const MOST_TOLD_ENDS: usize = 8;
/// Reporters of an end that are told: as many as make a difference.
const MOST_TOLD_REPORTERS: usize = CONVICTING_REPORTERS;

/// The end of a back end, as a process tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedEnd {
    /// Tells its incarnation from all others.
    pub backend: u64,
    /// Milliseconds since it became known.
    pub age_ms: Millis,
    /// Hashes of the names of daemons that saw it.
    pub reporters: Vec<u64>,
}

/// What a process knows of a request under which back ends ended, as it tells it to
/// another. Times are ages, since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedCase {
    /// The request.
    pub request: Fingerprint,
    /// Ends that count against it.
    pub ends: Vec<SharedEnd>,
    /// How often it was convicted.
    pub convictions: u32,
    /// For how long it is rejected yet, in milliseconds.
    pub rejected_ms: Millis,
    /// Milliseconds since its last end or trial.
    pub idle_ms: Millis,
}

#[derive(Clone, Debug)]
pub(super) struct End {
    pub(super) backend: u64,
    pub(super) at: Millis,
    pub(super) reporters: BTreeSet<u64>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Case {
    pub(super) ends: Vec<End>,
    pub(super) suspected_until: Millis,
    pub(super) convicted_until: Millis,
    pub(super) convictions: u32,
    /// When it was last witness to an end, or tried.
    pub(super) last_at: Millis,
    /// Whether it was answered often here when it was last witness to an end.
    pub(super) is_usual: bool,
}

impl Case {
    /// One more back end ended under it.
    pub(super) fn add_end(&mut self, end: End) {
        self.last_at = self.last_at.max(end.at);
        self.suspected_until = self.suspected_until.max(end.at + SUSPICION_MS);
        self.ends.push(end);
    }

    /// It is rejected from now on, longer than the last time. Returns for how long.
    pub(super) fn convict(&mut self, now: Millis) -> Millis {
        let longest = CONVICTIONS_MS.len() - 1;
        let lasts_ms = CONVICTIONS_MS[longest.min(self.convictions as usize)];
        self.convictions += 1;
        self.convicted_until = now + lasts_ms;
        lasts_ms
    }

    /// Whether an end now is of a request that was under way before the conviction.
    pub(super) fn is_convicted(&self, now: Millis) -> bool {
        now.saturating_add(CONVICTION_SKEW_MS) < self.convicted_until
    }

    /// Whether it runs only as a trial.
    pub(super) fn needs_trial(&self) -> bool {
        self.needs_trial_if_ended(&[])
    }

    /// Number of ends from which the request runs only as a trial.
    fn trial_ends(&self) -> usize {
        if self.is_usual {
            TRIAL_ENDS_OF_USUAL
        } else {
            TRIAL_ENDS
        }
    }

    /// Whether the request runs only as a trial if the ends of `broken_backends` count as well.
    /// A back end whose end is already recorded is counted once.
    pub(super) fn needs_trial_if_ended(&self, broken_backends: &[u64]) -> bool {
        let is_unrecorded = |backend: &&u64| self.ends.iter().all(|end| end.backend != **backend);
        let ends = self.ends.len() + broken_backends.iter().filter(is_unrecorded).count();
        self.convictions > 0 || ends >= self.trial_ends()
    }

    /// Whether it runs at its owner only.
    pub(super) fn is_suspect(&self, now: Millis) -> bool {
        !self.is_usual && now < self.suspected_until
    }

    /// An end right after the last one could have its cause, and would prove nothing.
    pub(super) fn is_too_soon(&self, now: Millis) -> bool {
        now < self.last_at.saturating_add(COMMON_CAUSE_MS)
    }

    /// Number of ends whose reports have all had time to arrive.
    pub(super) fn fully_reported_ends(&self, now: Millis) -> usize {
        let is_fully_reported = |end: &&End| now >= end.at.saturating_add(COMMON_CAUSE_MS);
        self.ends.iter().filter(is_fully_reported).count()
    }

    /// Whether the ends convict it, as the daemon with this hash judges.
    pub(super) fn is_proven(&self, own: u64) -> bool {
        let needed = if self.is_usual {
            CONVICTING_ENDS_OF_USUAL
        } else {
            CONVICTING_ENDS
        };
        self.ends.len() >= needed && self.span_ms() >= COMMON_CAUSE_MS && self.is_attested(own)
    }

    /// Time between its first and its last end.
    fn span_ms(&self) -> Millis {
        let times = || self.ends.iter().map(|end| end.at);
        let (first, last) = (times().min(), times().max());
        first.zip(last).map_or(0, |(first, last)| last - first)
    }

    /// Whether this daemon saw all ends, or several daemons saw one each.
    fn is_attested(&self, own: u64) -> bool {
        let seen_here = self.ends.iter().all(|end| end.reporters.contains(&own));
        let reporters: BTreeSet<u64> = self
            .ends
            .iter()
            .flat_map(|end| end.reporters.iter().copied())
            .collect();
        seen_here || reporters.len() >= CONVICTING_REPORTERS
    }

    /// The case as others are told of it.
    pub(super) fn shared(&self, now: Millis, request: Fingerprint) -> SharedCase {
        let mut ends: Vec<SharedEnd> = self
            .ends
            .iter()
            .map(|end| SharedEnd {
                backend: end.backend,
                age_ms: now.saturating_sub(end.at),
                reporters: end
                    .reporters
                    .iter()
                    .copied()
                    .take(MOST_TOLD_REPORTERS)
                    .collect(),
            })
            .collect();
        ends.sort_by_key(|end| end.age_ms);
        ends.truncate(MOST_TOLD_ENDS);
        SharedCase {
            request,
            ends,
            convictions: self.convictions,
            rejected_ms: self.convicted_until.saturating_sub(now),
            idle_ms: now.saturating_sub(self.last_at),
        }
    }

    /// Takes over a conviction that another process knows. Returns whether it is news
    /// here.
    pub(super) fn merge_conviction(&mut self, now: Millis, shared: &SharedCase) -> bool {
        let longest = CONVICTIONS_MS[CONVICTIONS_MS.len() - 1];
        let until = now + shared.rejected_ms.min(longest);
        let is_later = until > self.convicted_until.saturating_add(CONVICTION_SKEW_MS);
        let is_news = shared.convictions > self.convictions || is_later && shared.rejected_ms > 0;
        if is_news {
            self.convictions = self.convictions.max(shared.convictions);
            self.convicted_until = self.convicted_until.max(until);
            self.ends.clear();
            self.last_at = self.last_at.max(now.saturating_sub(shared.idle_ms));
        }
        is_news
    }
}
