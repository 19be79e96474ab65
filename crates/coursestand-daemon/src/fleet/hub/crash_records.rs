//! What a control process keeps of requests under which back ends ended: it passes
//! findings on, hands the cases to each daemon that connects, and grants trials.

use std::net::SocketAddr;
use std::sync::{MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::fatal_requests::CaseView;
use coursestand_routing::hash::hash_of;
use coursestand_routing::{FatalRequests, SharedCase, SharedFinding, TrialVerdict};
use log::info;

use super::{Hub, LOG};
use crate::fleet::wire::ToEdge;

/// A leader grants no trial before it has led for this long: by then the daemons have told
/// it what it may not know, and a trial that its predecessor granted.
const SETTLING_MS: Millis = 3_000;

/// The cases, and since when this replica leads.
pub(super) struct CaseDesk {
    fatal: FatalRequests,
    /// Term of the lease, and when it was first seen.
    leading: Option<(u64, Millis)>,
}

impl CaseDesk {
    /// Knows nothing; `own` is the address of the process.
    pub(super) fn new(own: SocketAddr) -> CaseDesk {
        CaseDesk {
            fatal: FatalRequests::new(hash_of(&own.to_string())),
            leading: None,
        }
    }

    /// The replica leads with a lease of this term, or doesn't.
    fn note_lease(&mut self, now: Millis, term: Option<u64>) {
        self.leading = term.map(|term| match self.leading {
            Some((known, since)) if known == term => (term, since),
            _ => (term, now),
        });
    }

    /// Whether this replica has led for long enough.
    fn is_settled(&self, now: Millis) -> bool {
        let since = self.leading.map(|(_, since)| since);
        since.is_some_and(|since| now.saturating_sub(since) >= SETTLING_MS)
    }
}

impl Hub {
    fn cases(&self) -> MutexGuard<'_, CaseDesk> {
        self.cases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes on what the entry daemon with this queue found out of back ends, and
    /// remembers it for daemons that connect later.
    pub fn pass_findings(&self, from: u64, findings: Vec<SharedFinding>) {
        if findings.is_empty() {
            return;
        }
        let now = self.clock.now();
        {
            let mut cases = self.cases();
            for finding in &findings {
                cases.fatal.take(now, finding);
            }
        }
        let message = ToEdge::Findings(findings);
        self.pass_to_others(from, &message, |follower| follower.reads.findings);
    }

    /// Part of the regular work: this replica leads with a lease of this term, or doesn't.
    pub fn note_lease(&self, term: Option<u64>) {
        self.cases().note_lease(self.clock.now(), term);
    }

    /// The cases, for the dump.
    pub fn case_views(&self) -> Vec<CaseView> {
        self.cases().fatal.views(self.clock.now())
    }

    /// What a daemon has to know that connects.
    pub fn told_cases(&self) -> Vec<SharedCase> {
        self.cases().fatal.told(self.clock.now())
    }

    /// Takes in what the entry daemon with this queue knows, and passes on what is news.
    pub fn take_cases(&self, from: u64, told: &[SharedCase]) {
        let now = self.clock.now();
        let news: Vec<SharedCase> = {
            let fatal = &mut self.cases().fatal;
            let told = told.iter();
            let news = told.filter(|case| !fatal.merge(now, case).is_empty());
            let news: Vec<_> = news.map(|case| case.request).collect();
            let news = news.into_iter();
            news.filter_map(|request| fatal.shared(now, request))
                .collect()
        };
        self.pass_cases(from, news);
    }

    /// Answers the entry daemon with this queue, which wants to try a request and knows this
    /// of it. `term` is that of the replica's lease, if it leads.
    pub fn answer_trial(
        &self,
        from: u64,
        case: &SharedCase,
        term: Option<u64>,
    ) -> Option<TrialVerdict> {
        let now = self.clock.now();
        let verdict = {
            let mut cases = self.cases();
            cases.note_lease(now, term);
            cases.fatal.merge(now, case);
            cases
                .is_settled(now)
                .then(|| cases.fatal.grant_trial(now, case.request))?
        };
        if let TrialVerdict::Granted(case) = &verdict {
            info!(target: LOG, fingerprint = case.request.0, convictions = case.convictions,
                rejected_ms = case.rejected_ms; "a trial of a request was granted");
            self.pass_cases(from, vec![case.clone()]);
        }
        Some(verdict)
    }

    fn pass_cases(&self, from: u64, cases: Vec<SharedCase>) {
        if !cases.is_empty() {
            let message = ToEdge::Cases(cases);
            self.pass_to_others(from, &message, |follower| follower.reads.cases);
        }
    }
}
