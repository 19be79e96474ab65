//! Requests that end the back ends which run them ("queries of death"): suspicion and
//! conviction by evidence, shared by all processes of the system.
//!
//! A back end that ends makes witnesses of the requests that were under way there. A
//! request that is witness to the ends of several incarnations, and never to an answer in
//! between, is convicted and rejected for a time. Three things speak for the innocent:
//! - An answer, by any daemon, to a run that began after the first end closes the case. An
//!   object that is often asked for is under way at every end, and is answered as often.
//! - Ends that are seen within a moment may have a cause in common (a rack, a zone): the
//!   ends of a case must lie further apart than it takes daemons to learn of one.
//! - The ends that convict one request are explained, and count against no other any more.
//!   Of several that are witness to as many ends none is convicted before there are more of
//!   them.
//!
//! A request with two ends, or a conviction that is over, runs as a trial: one in the whole
//! system, granted by the control process that leads, and paid for when it is granted. So
//! what becomes of the daemon that tries it doesn't matter, nor how many daemons there are.
//!
//! A life of a process begins without any of this. Control processes keep the cases and
//! hand them to each daemon that connects, and daemons hand theirs to control processes:
//! without that, daemons that started again by turns ran one request into 20 back ends.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

use coursestand_model::Millis;
use lru::LruCache;
use serde::{Deserialize, Serialize};

use crate::findings::{Finding, SeenFindings, SharedFinding};

use answers::RecentAnswers;
use case::{CONVICTING_ENDS_OF_USUAL, Case, EVIDENCE_MS, End};
pub use case::{SharedCase, SharedEnd};
use known_ends::KnownEnds;
use permits::Permits;
pub use verdicts::{CaseNews, CaseView, Held, TrialVerdict};

mod answers;
mod case;
mod known_ends;
mod permits;
mod verdicts;

/// When a caller may come back whose request waits for another one's fate: two runs.
const LANE_PAUSE_MS: Millis = 300;
/// Cases, ends and reports that are remembered, each. A case takes about 200 bytes.
const MOST_REMEMBERED: usize = 1_024;
/// Requests of which it is remembered that they were cleared.
const MOST_CLEARED: NonZeroUsize = NonZeroUsize::new(MOST_REMEMBERED).unwrap();
/// Cases that are told to a process that connects: the convicted and the newest ones.
const MOST_TOLD_CASES: usize = 48;
/// Witnesses of one end that are looked at: more than a back end has slots.
pub const MOST_WITNESSES: usize = 64;

/// What makes two requests the same to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// The cases as one process knows them.
#[derive(Clone, Debug)]
pub struct FatalRequests {
    /// Hash of this daemon's name.
    own: u64,
    cases: BTreeMap<Fingerprint, Case>,
    /// Requests under way from this daemon.
    running: BTreeMap<Fingerprint, u32>,
    known_ends: KnownEnds,
    seen: SeenFindings,
    answers: RecentAnswers,
    permits: Permits,
    /// When requests were cleared, so that older news of them changes nothing.
    cleared: LruCache<Fingerprint, Millis>,
}

impl FatalRequests {
    /// Nothing known; `own` is the hash of this daemon's name.
    pub fn new(own: u64) -> FatalRequests {
        FatalRequests {
            own,
            cases: BTreeMap::new(),
            running: BTreeMap::new(),
            known_ends: KnownEnds::default(),
            seen: SeenFindings::default(),
            answers: RecentAnswers::default(),
            permits: Permits::default(),
            cleared: LruCache::new(MOST_CLEARED),
        }
    }

    /// Hash of this daemon's name.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Whether there are any cases.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// What is known of a request, if back ends ended under it.
    pub fn view(&self, now: Millis, request: Fingerprint) -> Option<CaseView> {
        let case = self.cases.get(&request)?;
        Some(CaseView {
            request,
            ends: case.ends.len(),
            convictions: case.convictions,
            rejected_ms: case.convicted_until.saturating_sub(now),
        })
    }

    /// All requests under which back ends ended.
    pub fn views(&self, now: Millis) -> Vec<CaseView> {
        let requests = self.cases.keys();
        requests
            .filter_map(|request| self.view(now, *request))
            .collect()
    }

    /// Whether a request may be sent that was not sent before. A suspect runs one at a time:
    /// at its owner where daemons know each other (`is_owner`), and else at each daemon.
    pub fn may_run(&self, now: Millis, request: Fingerprint, is_owner: bool) -> Result<(), Held> {
        let Some(case) = self.cases.get(&request) else {
            return Ok(());
        };
        if self.permits.is_granted(now, request) {
            return Ok(());
        }
        if now < case.convicted_until {
            let again_in_ms = case.convicted_until - now;
            return Err(Held::Convicted { again_in_ms });
        }
        let again_in_ms = LANE_PAUSE_MS;
        if case.needs_trial() {
            return Err(Held::NeedsTrial { again_in_ms });
        }
        if !case.is_suspect(now) {
            return Ok(());
        }
        let is_running = self.running.contains_key(&request);
        if is_running || !is_owner || case.is_too_soon(now) {
            return Err(Held::Suspected { again_in_ms });
        }
        Ok(())
    }

    /// Whether a request that was sent before may be sent again: a second back end shows
    /// whether the first one's end was chance, and no third one is risked. The back ends in
    /// `broken_backends`, to which the connection broke while they had this request, count as
    /// ended even if their ends have not been reported yet.
    pub fn may_repeat(
        &self,
        now: Millis,
        request: Fingerprint,
        broken_backends: &[u64],
    ) -> Result<(), Held> {
        match self.cases.get(&request) {
            Some(case) if now < case.convicted_until => Err(Held::Convicted {
                again_in_ms: case.convicted_until - now,
            }),
            Some(case) if case.needs_trial_if_ended(broken_backends) => Err(Held::Suspected {
                again_in_ms: LANE_PAUSE_MS,
            }),
            _ => Ok(()),
        }
    }

    /// Whether news that came after `chosen_at` holds back a request which was to be sent
    /// then, and is not sent yet.
    pub fn is_held_since(&self, now: Millis, request: Fingerprint, chosen_at: Millis) -> bool {
        let case = self.cases.get(&request);
        case.is_some_and(|case| {
            case.last_at >= chosen_at && (case.needs_trial() || now < case.convicted_until)
        })
    }

    /// Control grants this daemon a trial.
    pub fn permit(&mut self, now: Millis, request: Fingerprint) {
        self.permits.grant(now, request);
    }

    /// Uses the leave to try a request, if there is one.
    pub fn use_permit(&mut self, now: Millis, request: Fingerprint) -> bool {
        self.permits.take(now, request)
    }

    /// A request goes to a back end.
    pub fn start(&mut self, request: Fingerprint) {
        *self.running.entry(request).or_default() += 1;
    }

    /// A request that was started has ended.
    pub fn finish(&mut self, request: Fingerprint) {
        if let Some(count) = self.running.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&request);
            }
        }
    }

    /// This daemon passed an answer on. Returns whether others are to be told: it speaks
    /// for a witness, since its run began, at `began_at`, after the first end.
    pub fn note_answer(&mut self, now: Millis, request: Fingerprint, began_at: Millis) -> bool {
        self.answers.note(now, request);
        self.is_cleared_by(request, began_at)
    }

    /// Whether an answer to a run that began at `began_at` speaks for the request.
    fn is_cleared_by(&self, request: Fingerprint, began_at: Millis) -> bool {
        let case = self.cases.get(&request);
        let ends = case.into_iter().flat_map(|case| &case.ends);
        let first = ends.map(|end| end.at).min();
        case.is_some() && first.is_none_or(|first| first < began_at)
    }

    /// Takes a report in, of this daemon or of another one. The same report again, on
    /// whatever way, changes nothing.
    pub fn take(&mut self, now: Millis, report: &SharedFinding) -> Vec<CaseNews> {
        if !self.seen.is_first(report.number) {
            return Vec::new();
        }
        self.forget_old(now);
        match &report.finding {
            Finding::Answered(request) => self.clear(now, *request),
            Finding::Drains { .. } => Vec::new(),
            Finding::Ended {
                backend,
                in_flight_requests,
            } => {
                let in_flight_requests =
                    &in_flight_requests[..in_flight_requests.len().min(MOST_WITNESSES)];
                let news = self.take_end(now, *backend, in_flight_requests, report.reporter);
                let views = news.iter().filter_map(|request| self.view(now, *request));
                let witnesses = views.map(CaseNews::Witness).collect();
                [witnesses, self.convict(now)].concat()
            }
        }
    }

    /// Returns the witnesses that were not known to be under way at this end.
    fn take_end(
        &mut self,
        now: Millis,
        backend: u64,
        in_flight_requests: &[Fingerprint],
        reporter: u64,
    ) -> Vec<Fingerprint> {
        let is_convicted = |request: &Fingerprint| {
            let case = self.cases.get(request);
            case.is_some_and(|case| case.is_convicted(now))
        };
        let is_convicted = in_flight_requests.iter().any(is_convicted);
        let mut news: Vec<Fingerprint> = in_flight_requests.to_vec();
        news.retain(|request| self.known_ends.add(backend, now, *request));
        if is_convicted || self.known_ends.is_explained(backend) {
            self.explain(now, &[backend]);
            return Vec::new();
        }
        let reporters = BTreeSet::from([reporter]);
        for request in news.iter().copied() {
            let at = now;
            let reporters = reporters.clone();
            self.add_end(
                now,
                request,
                End {
                    backend,
                    at,
                    reporters,
                },
            );
        }
        for request in in_flight_requests {
            self.add_reporters(*request, backend, &reporters);
        }
        news
    }

    /// These daemons saw the end too.
    fn add_reporters(&mut self, request: Fingerprint, backend: u64, reporters: &BTreeSet<u64>) {
        let case = self.cases.get_mut(&request);
        let mut ends = case.into_iter().flat_map(|case| &mut case.ends);
        if let Some(end) = ends.find(|end| end.backend == backend) {
            end.reporters.extend(reporters);
        }
    }

    /// A back end ended under the request, which was under way there.
    fn add_end(&mut self, now: Millis, request: Fingerprint, end: End) {
        let is_usual = self.answers.is_usual(now, request);
        let case = self.cases.entry(request).or_default();
        if !case.is_convicted(now) {
            case.is_usual = is_usual;
            case.add_end(end);
        }
    }

    /// Nothing counts against the request any more.
    pub fn clear(&mut self, now: Millis, request: Fingerprint) -> Vec<CaseNews> {
        let Some(case) = self.cases.remove(&request) else {
            return Vec::new();
        };
        self.cleared.put(request, now);
        let was_convicted = case.convictions > 0;
        Vec::from_iter(was_convicted.then_some(CaseNews::Cleared { request }))
    }

    /// What is known of a request, for others.
    pub fn shared(&self, now: Millis, request: Fingerprint) -> Option<SharedCase> {
        let case = self.cases.get(&request)?;
        Some(case.shared(now, request))
    }

    /// What another process has to know that connects.
    pub fn told(&self, now: Millis) -> Vec<SharedCase> {
        let cases = self.cases.iter();
        let mut told: Vec<SharedCase> = cases
            .map(|(request, case)| case.shared(now, *request))
            .collect();
        told.sort_by_key(|case| (std::cmp::Reverse(case.convictions), case.idle_ms));
        told.truncate(MOST_TOLD_CASES);
        told
    }

    /// Takes in what another process knows of a request. In any order, late, or twice, it
    /// leads to the same: ends are told apart by their back ends, and of convictions the
    /// longest counts. Returns what was new.
    pub fn merge(&mut self, now: Millis, shared: &SharedCase) -> Vec<CaseNews> {
        let request = shared.request;
        let newest = now.saturating_sub(shared.idle_ms);
        let is_older = |cleared_at: &Millis| newest <= *cleared_at;
        if self.cleared.peek(&request).is_some_and(is_older) {
            return Vec::new();
        }
        self.forget_old(now);
        let mut news = Vec::new();
        for end in &shared.ends {
            if self.merge_end(now, request, end) {
                news.extend(self.view(now, request).map(CaseNews::Witness));
            }
        }
        if shared.convictions > 0 {
            let case = self.cases.entry(request).or_default();
            if case.merge_conviction(now, shared) {
                news.push(CaseNews::Convicted {
                    request,
                    ends: case.ends.len(),
                    lasts_ms: case.convicted_until.saturating_sub(now),
                });
            }
        }
        news.extend(self.convict(now));
        news
    }

    /// Returns whether the end is news here.
    fn merge_end(&mut self, now: Millis, request: Fingerprint, end: &SharedEnd) -> bool {
        if end.age_ms >= EVIDENCE_MS {
            return false;
        }
        let at = now.saturating_sub(end.age_ms);
        let backend = end.backend;
        let reporters: BTreeSet<u64> = end.reporters.iter().copied().collect();
        let is_news = self.known_ends.add(backend, at, request);
        if !is_news || self.known_ends.is_explained(backend) {
            self.add_reporters(request, backend, &reporters);
            return false;
        }
        self.add_end(
            now,
            request,
            End {
                backend,
                at,
                reporters,
            },
        );
        true
    }

    /// Decides, for all daemons, whether one of them may try a request. The trial counts
    /// as failed from now on, until an answer is reported: whoever tries it may end before
    /// it can tell.
    pub fn grant_trial(&mut self, now: Millis, request: Fingerprint) -> TrialVerdict {
        // A conviction may have been deferred until all reports of an end had arrived.
        self.convict(now);
        let Some(case) = self.cases.get_mut(&request) else {
            return TrialVerdict::Cleared(request);
        };
        if !case.needs_trial() {
            return TrialVerdict::Cleared(request);
        }
        if now < case.convicted_until || case.is_too_soon(now) {
            return TrialVerdict::Refused(case.shared(now, request));
        }
        case.convict(now);
        // They have brought the trial, and don't convict once more when it is over.
        case.ends.clear();
        case.last_at = now;
        TrialVerdict::Granted(case.shared(now, request))
    }

    /// Convicts whom the ends tell of, the one with the most ends first: these explain the
    /// ends of others.
    fn convict(&mut self, now: Millis) -> Vec<CaseNews> {
        let mut news = Vec::new();
        while let Some(request) = self.next_convict(now) {
            let Some(case) = self.cases.get_mut(&request) else {
                break;
            };
            let ends = std::mem::take(&mut case.ends);
            let lasts_ms = case.convict(now);
            news.push(CaseNews::Convicted {
                request,
                ends: ends.len(),
                lasts_ms,
            });
            let backends: Vec<u64> = ends.iter().map(|end| end.backend).collect();
            self.explain(now, &backends);
        }
        news
    }

    /// The ends of these back ends have an explanation: they count against nobody any more.
    fn explain(&mut self, now: Millis, backends: &[u64]) {
        for backend in backends {
            self.known_ends.explain(*backend, now);
        }
        for case in self.cases.values_mut() {
            case.ends.retain(|end| !backends.contains(&end.backend));
        }
        self.cases
            .retain(|_, case| !case.ends.is_empty() || case.convictions > 0);
    }

    /// The request that is convicted next: one whose trial ended a back end, else of those
    /// that the ends prove the one with the most, and one that is seldom answered first.
    fn next_convict(&self, now: Millis) -> Option<Fingerprint> {
        let cases = self.cases.iter();
        let open = cases.filter(|(_, case)| !case.is_convicted(now) && !case.ends.is_empty());
        if let Some((request, _)) = open.clone().find(|(_, case)| case.convictions > 0) {
            return Some(*request);
        }
        let rank = |case: &Case| (!case.is_usual, case.ends.len());
        let proven: Vec<_> = open.filter(|(_, case)| case.is_proven(self.own)).collect();
        let best = proven.iter().map(|(_, case)| rank(case)).max()?;
        let equals = proven.iter().filter(|(_, case)| rank(case) == best);
        let is_shared = equals.clone().count() > 1 && best.1 < CONVICTING_ENDS_OF_USUAL;
        let first = equals.map(|(request, _)| **request).min();
        first.filter(|request| !is_shared && !self.may_be_tied(now, *request))
    }

    /// Whether pending reports may bring another request to as many ends. Each daemon with
    /// requests at a back end reports its end and names only its own requests, so the first
    /// report may name only an innocent one.
    fn may_be_tied(&self, now: Millis, request: Fingerprint) -> bool {
        let Some(case) = self.cases.get(&request) else {
            return false;
        };
        let fully_reported = case.fully_reported_ends(now);
        let mut others = self.cases.iter().filter(|(other, _)| **other != request);
        fully_reported < case.ends.len()
            && others.any(|(_, other)| other.ends.len() >= fully_reported)
    }

    fn forget_old(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.saturating_sub(at) < EVIDENCE_MS;
        self.known_ends
            .forget_before(now.saturating_sub(EVIDENCE_MS));
        for case in self.cases.values_mut() {
            case.ends.retain(|end| is_recent(end.at));
        }
        self.cases.retain(|_, case| {
            let recent = is_recent(case.convicted_until.max(case.last_at));
            !case.ends.is_empty() || case.convictions > 0 && recent
        });
        while self.cases.len() >= MOST_REMEMBERED {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.last_at);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                break;
            };
            self.cases.remove(&request);
        }
    }
}
