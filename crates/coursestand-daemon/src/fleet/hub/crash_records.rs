//! Crash records of requests: a control process relays findings, sends the records to each
//! daemon that connects, and grants trials while it leads.

use std::net::SocketAddr;
use std::sync::{MutexGuard, PoisonError};

use coursestand_model::Millis;
use coursestand_routing::fatal_requests::CrashRecordView;
use coursestand_routing::hash::hash_of;
use coursestand_routing::{FatalRequests, SharedCrashRecord, SharedFinding, TrialVerdict};
use log::info;

use super::{Hub, LOG};
use crate::fleet::wire::ToEdge;

/// A leader grants no trial before it has led for this long: by then the daemons have sent it
/// the crash records that it may lack, and any trial that its predecessor granted.
const MIN_LEADERSHIP_MS: Millis = 3_000;

/// Crash records, and the term and start of this replica's leadership.
pub(super) struct CrashRecords {
    fatal: FatalRequests,
    /// Term of the lease, and when it was first seen.
    leading: Option<(u64, Millis)>,
}

impl CrashRecords {
    /// Creates an empty set; `local_address` is the address of the process.
    pub(super) fn new(local_address: SocketAddr) -> CrashRecords {
        CrashRecords {
            fatal: FatalRequests::new(hash_of(&local_address.to_string())),
            leading: None,
        }
    }

    /// Records the term of the lease under which this replica leads, if it does.
    fn note_lease(&mut self, now: Millis, term: Option<u64>) {
        self.leading = term.map(|term| match self.leading {
            Some((known, since)) if known == term => (term, since),
            _ => (term, now),
        });
    }

    /// Returns whether this replica has led for long enough to grant trials.
    fn may_grant_trials(&self, now: Millis) -> bool {
        let since = self.leading.map(|(_, since)| since);
        since.is_some_and(|since| now.saturating_sub(since) >= MIN_LEADERSHIP_MS)
    }
}

impl Hub {
    fn crash_records(&self) -> MutexGuard<'_, CrashRecords> {
        self.crash_records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Relays findings about back ends from the subscriber `from`, and records them for daemons
    /// that connect later.
    pub fn relay_findings(&self, from: u64, findings: Vec<SharedFinding>) {
        if findings.is_empty() {
            return;
        }
        let now = self.clock.now();
        {
            let mut crash_records = self.crash_records();
            for finding in &findings {
                crash_records.fatal.apply_finding(now, finding);
            }
        }
        let message = ToEdge::Findings(findings);
        self.relay(from, &message, |subscriber| {
            subscriber.subscriptions.findings
        });
    }

    /// Periodic work: records the term of the lease under which this replica leads, if it does.
    pub fn note_lease(&self, term: Option<u64>) {
        self.crash_records().note_lease(self.clock.now(), term);
    }

    /// Returns the crash records for the dump.
    pub fn crash_record_views(&self) -> Vec<CrashRecordView> {
        self.crash_records().fatal.views(self.clock.now())
    }

    /// Returns the crash records for a daemon that connects.
    pub fn shared_crash_records(&self) -> Vec<SharedCrashRecord> {
        self.crash_records().fatal.snapshot(self.clock.now())
    }

    /// Merges crash records from the subscriber `from`, and relays those that changed.
    pub fn merge_crash_records(&self, from: u64, updates: &[SharedCrashRecord]) {
        let now = self.clock.now();
        let changed: Vec<SharedCrashRecord> = {
            let fatal = &mut self.crash_records().fatal;
            let updates = updates.iter();
            let changed = updates.filter(|record| !fatal.merge(now, record).is_empty());
            let changed: Vec<_> = changed.map(|record| record.request).collect();
            let changed = changed.into_iter();
            changed
                .filter_map(|request| fatal.shared(now, request))
                .collect()
        };
        self.relay_crash_records(from, changed);
    }

    /// Answers a trial request of the subscriber `from` for the request with the crash record
    /// `record`. `term` is that of the replica's lease, if it leads.
    pub fn answer_trial(
        &self,
        from: u64,
        record: &SharedCrashRecord,
        term: Option<u64>,
    ) -> Option<TrialVerdict> {
        let now = self.clock.now();
        let verdict = {
            let mut crash_records = self.crash_records();
            crash_records.note_lease(now, term);
            crash_records.fatal.merge(now, record);
            crash_records
                .may_grant_trials(now)
                .then(|| crash_records.fatal.grant_trial(now, record.request))?
        };
        if let TrialVerdict::Granted(record) = &verdict {
            info!(target: LOG, fingerprint = record.request.0, convictions = record.convictions,
                rejected_ms = record.rejected_ms; "a trial of a request was granted");
            self.relay_crash_records(from, vec![record.clone()]);
        }
        Some(verdict)
    }

    fn relay_crash_records(&self, from: u64, crash_records: Vec<SharedCrashRecord>) {
        if !crash_records.is_empty() {
            let message = ToEdge::CrashRecords(crash_records);
            self.relay(from, &message, |subscriber| {
                subscriber.subscriptions.crash_records
            });
        }
    }
}
