//! Requests that crash the back ends which run them ("queries of death"): crash records and
//! quarantine, shared by all processes of the system.
//!
//! When a back end crashes, the crash is recorded for each request that was in flight there. A
//! request that was in flight at the crashes of several incarnations, without an answer in
//! between, is quarantined: it is rejected for a time. Three rules protect harmless requests:
//! - An answer, by any daemon, to a run that began after the first crash clears the record. An
//!   object that is often requested is in flight at every crash, and is answered as often.
//! - Crashes at nearly the same time may have a common cause (a rack, a zone): the crashes of a
//!   record must be further apart than the time in which the report of one reaches all daemons.
//! - The crashes for which one request is quarantined are attributed to it, and count against
//!   no other. Of several requests with equally many crashes none is quarantined before there
//!   are more crashes.
//!
//! A request with two crashes, or one whose quarantine is over, runs as a trial: one at a time
//! in the whole system, granted by the leading control process under a lease. Until the lease
//! ends the request is rejected everywhere, so the limit holds even if the daemon that runs the
//! trial stops, and with any number of daemons.
//!
//! Runs that are in flight when a crash becomes known are closed, before they crash their back
//! ends as well: they are most of the crashes of a request that is sent several times a second.
//! A daemon that is disconnected from control withholds requests with a crash record, since it
//! does not learn what the others observe.
//!
//! A process starts without crash records. Control processes keep them and send them to each
//! daemon that connects, and daemons send theirs to control processes. Without that exchange,
//! daemons that restarted one after another sent one request to 20 back ends.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

use coursestand_model::Millis;
use lru::LruCache;
use serde::{Deserialize, Serialize};

use crate::findings::{Finding, SeenFindings, SharedFinding};

use answers::RecentAnswers;
pub use crash_record::{COMMON_CAUSE_MS, SharedCrash, SharedCrashRecord};
use crash_record::{Crash, CrashRecord, EVIDENCE_MS, QUARANTINE_CRASHES_IF_FREQUENT};
use known_crashes::KnownCrashes;
use permits::Permits;
pub use verdicts::{CrashRecordUpdate, CrashRecordView, TrialVerdict, WithholdReason};

mod answers;
mod crash_record;
mod known_crashes;
mod permits;
mod verdicts;

/// Retry delay of a caller whose request is withheld while another run of it is in progress:
/// the duration of two runs.
const SUSPECT_RETRY_MS: Millis = 300;
/// Limit on crash records, on known crashes and on cleared requests, each. A record takes about
/// 200 bytes.
const MAX_RECORDS: usize = 1_024;
const MAX_CLEARED: NonZeroUsize = NonZeroUsize::new(MAX_RECORDS).unwrap();
/// Records that are sent to a process that connects: the quarantined and the newest ones.
const MAX_SHARED_RECORDS: usize = 48;
/// In-flight requests that are considered for one crash: more than a back end has slots.
pub const MAX_IN_FLIGHT_REQUESTS: usize = 64;

/// Identity of a request; equal for requests that are the same to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// The crash records of one process.
#[derive(Clone, Debug)]
pub struct FatalRequests {
    /// Hash of this daemon's name.
    own_hash: u64,
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// Requests in flight from this daemon.
    running: BTreeMap<Fingerprint, u32>,
    known_crashes: KnownCrashes,
    seen: SeenFindings,
    answers: RecentAnswers,
    permits: Permits,
    /// Times at which requests were cleared, so that older reports of them change nothing.
    cleared: LruCache<Fingerprint, Millis>,
    /// Number of changes of all records.
    revision: u64,
    /// Whether reports of other daemons arrive.
    is_connected: bool,
}

impl FatalRequests {
    /// Starts without records; `own_hash` is the hash of this daemon's name.
    pub fn new(own_hash: u64) -> FatalRequests {
        FatalRequests {
            own_hash,
            records: BTreeMap::new(),
            running: BTreeMap::new(),
            known_crashes: KnownCrashes::default(),
            seen: SeenFindings::default(),
            answers: RecentAnswers::default(),
            permits: Permits::default(),
            cleared: LruCache::new(MAX_CLEARED),
            revision: 0,
            is_connected: true,
        }
    }

    /// Sets whether this daemon is connected to control, so that it receives the reports of
    /// other daemons and can be granted trials.
    pub fn set_connected(&mut self, is_connected: bool) {
        self.is_connected = is_connected;
    }

    /// Returns the hash of this daemon's name.
    pub fn own_hash(&self) -> u64 {
        self.own_hash
    }

    /// Returns whether there are no crash records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns a summary of the crash record of a request, if there is one.
    pub fn view(&self, now: Millis, request: Fingerprint) -> Option<CrashRecordView> {
        let record = self.records.get(&request)?;
        Some(CrashRecordView {
            request,
            ends: record.crashes.len(),
            convictions: record.quarantines,
            rejected_ms: record.quarantined_until.saturating_sub(now),
        })
    }

    /// Returns summaries of all crash records.
    pub fn views(&self, now: Millis) -> Vec<CrashRecordView> {
        let requests = self.records.keys();
        requests
            .filter_map(|request| self.view(now, *request))
            .collect()
    }

    /// Decides whether a request may be sent for the first time. A suspect request runs one at
    /// a time, and only at its owner. `is_owner` is true at the owner, and at each daemon
    /// without control.
    pub fn may_run(
        &self,
        now: Millis,
        request: Fingerprint,
        is_owner: bool,
    ) -> Result<(), WithholdReason> {
        let Some(record) = self.records.get(&request) else {
            return Ok(());
        };
        if self.permits.is_granted(now, request) {
            return Ok(());
        }
        if now < record.quarantined_until {
            let again_in_ms = record.quarantined_until - now;
            return Err(WithholdReason::Quarantined { again_in_ms });
        }
        let again_in_ms = SUSPECT_RETRY_MS;
        if record.needs_trial() {
            return Err(WithholdReason::NeedsTrial { again_in_ms });
        }
        if !self.is_connected && !record.is_frequent {
            return Err(WithholdReason::Suspected { again_in_ms });
        }
        if !record.is_suspect(now) {
            return Ok(());
        }
        let is_running = self.running.contains_key(&request);
        if is_running || !is_owner || record.may_share_cause(now) {
            return Err(WithholdReason::Suspected { again_in_ms });
        }
        Ok(())
    }

    /// Decides whether a request that was sent before may be sent again: a second back end
    /// shows whether the first crash was a coincidence, and no third one is risked. The back
    /// ends in `broken_backends`, to which the connection broke while they had this request,
    /// count as crashed even if their crashes have not been reported yet.
    pub fn may_repeat(
        &self,
        now: Millis,
        request: Fingerprint,
        broken_backends: &[u64],
    ) -> Result<(), WithholdReason> {
        // Others may have observed crashes that this daemon can't hear of.
        let may_be_second = !self.is_connected && !broken_backends.is_empty();
        if may_be_second && !self.answers.is_frequent(now, request) {
            let again_in_ms = SUSPECT_RETRY_MS;
            return Err(WithholdReason::Suspected { again_in_ms });
        }
        match self.records.get(&request) {
            Some(record) if now < record.quarantined_until => Err(WithholdReason::Quarantined {
                again_in_ms: record.quarantined_until - now,
            }),
            Some(record) if record.needs_trial_with(broken_backends) => {
                Err(WithholdReason::Suspected {
                    again_in_ms: SUSPECT_RETRY_MS,
                })
            }
            _ => Ok(()),
        }
    }

    /// Returns whether a report received after `chosen_at` forbids sending a request for which
    /// a back end was chosen then.
    pub fn is_withheld_since(&self, now: Millis, request: Fingerprint, chosen_at: Millis) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| {
            record.last_event_at >= chosen_at
                && (record.needs_trial() || now < record.quarantined_until)
        })
    }

    /// Returns the revision of a request's crash record; 0 without a record.
    pub fn revision(&self, request: Fingerprint) -> u64 {
        let record = self.records.get(&request);
        record.map_or(0, |record| record.revision)
    }

    /// Returns whether a run that began at `known_revision` has to be closed, because a crash
    /// has become known since. `may_repeat` is true for the first run of a request that may run
    /// twice. Trials are never closed.
    pub fn is_recalled(&self, request: Fingerprint, known_revision: u64, may_repeat: bool) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| record.revision != known_revision && record.recalls(may_repeat))
    }

    /// Records that control has granted this daemon a trial.
    pub fn grant_permit(&mut self, now: Millis, request: Fingerprint) {
        self.permits.grant(now, request);
    }

    /// Consumes the permit to run a trial of a request. Returns whether there was a valid one.
    pub fn take_permit(&mut self, now: Millis, request: Fingerprint) -> bool {
        self.permits.take(now, request)
    }

    /// Records that a request is sent to a back end.
    pub fn start(&mut self, request: Fingerprint) {
        *self.running.entry(request).or_default() += 1;
    }

    /// Records that a request that was started is finished.
    pub fn finish(&mut self, request: Fingerprint) {
        if let Some(count) = self.running.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&request);
            }
        }
    }

    /// Records that this daemon forwarded an answer. Returns whether the answer has to be
    /// reported to others: it clears a crash record if its run began, at `began_at`, after the
    /// first crash.
    pub fn note_answer(&mut self, now: Millis, request: Fingerprint, began_at: Millis) -> bool {
        self.answers.record(now, request);
        self.is_cleared_by(request, began_at)
    }

    /// Returns whether an answer to a run that began at `began_at` clears the request.
    fn is_cleared_by(&self, request: Fingerprint, began_at: Millis) -> bool {
        let record = self.records.get(&request);
        let crashes = record.into_iter().flat_map(|record| &record.crashes);
        let first = crashes.map(|crash| crash.at).min();
        record.is_some() && first.is_none_or(|first| first < began_at)
    }

    /// Applies a report of this daemon or of another one. Further copies of the same report
    /// change nothing, whichever path they take.
    pub fn apply_finding(&mut self, now: Millis, report: &SharedFinding) -> Vec<CrashRecordUpdate> {
        if !self.seen.is_first(report.number) {
            return Vec::new();
        }
        self.evict_expired(now);
        match &report.finding {
            Finding::Answered(request) => self.clear(now, *request),
            Finding::Drains { .. } => Vec::new(),
            Finding::Ended {
                backend,
                in_flight_requests,
            } => {
                let in_flight_requests =
                    &in_flight_requests[..in_flight_requests.len().min(MAX_IN_FLIGHT_REQUESTS)];
                let new_requests =
                    self.apply_crash(now, *backend, in_flight_requests, report.reporter);
                let views = new_requests
                    .iter()
                    .filter_map(|request| self.view(now, *request));
                let crashes = views.map(CrashRecordUpdate::Crash).collect();
                [crashes, self.quarantine_proven(now)].concat()
            }
        }
    }

    /// Records a crash. Returns the requests that were not yet known to be in flight at it.
    fn apply_crash(
        &mut self,
        now: Millis,
        backend: u64,
        in_flight: &[Fingerprint],
        reporter: u64,
    ) -> Vec<Fingerprint> {
        let is_quarantined = |request: &Fingerprint| {
            let record = self.records.get(request);
            record.is_some_and(|record| record.is_quarantined(now))
        };
        let is_quarantined = in_flight.iter().any(is_quarantined);
        let mut new_requests: Vec<Fingerprint> = in_flight.to_vec();
        new_requests.retain(|request| self.known_crashes.add(backend, now, *request));
        if is_quarantined || self.known_crashes.is_attributed(backend) {
            if !self.known_crashes.is_attributed(backend) {
                self.count_late_crash(now, in_flight);
            }
            self.attribute(now, &[backend]);
            return Vec::new();
        }
        let reporters = BTreeSet::from([reporter]);
        for request in new_requests.iter().copied() {
            let at = now;
            let reporters = reporters.clone();
            self.add_crash(
                now,
                request,
                Crash {
                    backend,
                    at,
                    reporters,
                },
            );
        }
        for request in in_flight {
            self.add_reporters(*request, backend, &reporters);
        }
        new_requests
    }

    /// Counts the crash of a trial, or of a run that began before its request was quarantined.
    fn count_late_crash(&mut self, now: Millis, in_flight: &[Fingerprint]) {
        for request in in_flight {
            if let Some(record) = self.records.get_mut(request)
                && record.is_quarantined(now)
            {
                record.count_late_crash(now);
            }
        }
    }

    /// Adds daemons that observed the crash.
    fn add_reporters(&mut self, request: Fingerprint, backend: u64, reporters: &BTreeSet<u64>) {
        let record = self.records.get_mut(&request);
        let mut crashes = record.into_iter().flat_map(|record| &mut record.crashes);
        if let Some(crash) = crashes.find(|crash| crash.backend == backend) {
            crash.reporters.extend(reporters);
        }
    }

    /// Adds the crash of a back end where the request was in flight.
    fn add_crash(&mut self, now: Millis, request: Fingerprint, crash: Crash) {
        let is_frequent = self.answers.is_frequent(now, request);
        self.revision += 1;
        let record = self.records.entry(request).or_default();
        if !record.is_quarantined(now) {
            record.is_frequent = is_frequent;
            record.revision = self.revision;
            record.add_crash(crash);
        }
    }

    /// Removes the crash record of the request.
    pub fn clear(&mut self, now: Millis, request: Fingerprint) -> Vec<CrashRecordUpdate> {
        let Some(record) = self.records.remove(&request) else {
            return Vec::new();
        };
        self.cleared.put(request, now);
        let was_quarantined = record.quarantines > 0;
        Vec::from_iter(was_quarantined.then_some(CrashRecordUpdate::Cleared { request }))
    }

    /// Returns the crash record of a request in the form that is sent to other processes.
    pub fn shared(&self, now: Millis, request: Fingerprint) -> Option<SharedCrashRecord> {
        let record = self.records.get(&request)?;
        Some(record.shared(now, request))
    }

    /// Returns the records that are sent to a process that connects.
    pub fn snapshot(&self, now: Millis) -> Vec<SharedCrashRecord> {
        let records = self.records.iter();
        let mut records: Vec<SharedCrashRecord> = records
            .map(|(request, record)| record.shared(now, *request))
            .collect();
        records.sort_by_key(|shared| (std::cmp::Reverse(shared.convictions), shared.idle_ms));
        records.truncate(MAX_SHARED_RECORDS);
        records
    }

    /// Merges the crash record of another process. The result does not depend on the order,
    /// delay or repetition of merges: crashes are identified by their back ends, and of several
    /// quarantines the longest counts. Returns the changes.
    pub fn merge(&mut self, now: Millis, shared: &SharedCrashRecord) -> Vec<CrashRecordUpdate> {
        let request = shared.request;
        let newest = now.saturating_sub(shared.idle_ms);
        let is_older = |cleared_at: &Millis| newest <= *cleared_at;
        if self.cleared.peek(&request).is_some_and(is_older) {
            return Vec::new();
        }
        self.evict_expired(now);
        let mut changes = Vec::new();
        for crash in &shared.ends {
            if self.merge_crash(now, request, crash) {
                changes.extend(self.view(now, request).map(CrashRecordUpdate::Crash));
            }
        }
        if shared.convictions > 0 || shared.rejected_ms > 0 {
            self.revision += 1;
            let record = self.records.entry(request).or_default();
            if record.merge_quarantine(now, shared) {
                record.revision = self.revision;
                changes.push(CrashRecordUpdate::Quarantined {
                    request,
                    ends: record.crashes.len(),
                    lasts_ms: record.quarantined_until.saturating_sub(now),
                });
            }
        }
        changes.extend(self.quarantine_proven(now));
        changes
    }

    /// Merges a crash. Returns whether it was added to the record.
    fn merge_crash(&mut self, now: Millis, request: Fingerprint, crash: &SharedCrash) -> bool {
        if crash.age_ms >= EVIDENCE_MS {
            return false;
        }
        let at = now.saturating_sub(crash.age_ms);
        let backend = crash.backend;
        let reporters: BTreeSet<u64> = crash.reporters.iter().copied().collect();
        let is_new = self.known_crashes.add(backend, at, request);
        if !is_new || self.known_crashes.is_attributed(backend) {
            self.add_reporters(request, backend, &reporters);
            return false;
        }
        self.add_crash(
            now,
            request,
            Crash {
                backend,
                at,
                reporters,
            },
        );
        true
    }

    /// Decides, for all daemons, whether one of them may run a trial of a request. The request
    /// is rejected for the duration of a lease, or until an answer is reported, since the daemon
    /// that runs the trial may stop before it reports the result.
    pub fn grant_trial(&mut self, now: Millis, request: Fingerprint) -> TrialVerdict {
        // A quarantine may have been deferred until all reports of a crash had arrived.
        self.quarantine_proven(now);
        let Some(record) = self.records.get_mut(&request) else {
            return TrialVerdict::Cleared(request);
        };
        if !record.needs_trial() {
            return TrialVerdict::Cleared(request);
        }
        if now < record.quarantined_until || record.may_share_cause(now) {
            return TrialVerdict::Refused(record.shared(now, request));
        }
        record.lease_trial(now);
        TrialVerdict::Granted(record.shared(now, request))
    }

    /// Quarantines the requests with sufficient evidence, starting with the one with the most
    /// crashes: these crashes then count against no other request.
    fn quarantine_proven(&mut self, now: Millis) -> Vec<CrashRecordUpdate> {
        let mut changes = Vec::new();
        while let Some(request) = self.next_to_quarantine(now) {
            let Some(record) = self.records.get_mut(&request) else {
                break;
            };
            let crashes = record.crashes.clone();
            let lasts_ms = record.quarantine(now);
            self.revision += 1;
            record.revision = self.revision;
            changes.push(CrashRecordUpdate::Quarantined {
                request,
                ends: crashes.len(),
                lasts_ms,
            });
            let backends: Vec<u64> = crashes.iter().map(|crash| crash.backend).collect();
            self.attribute(now, &backends);
        }
        changes
    }

    /// Marks the crashes of these back ends as attributed and removes them from all records.
    fn attribute(&mut self, now: Millis, backends: &[u64]) {
        for backend in backends {
            self.known_crashes.attribute(*backend, now);
        }
        for record in self.records.values_mut() {
            record
                .crashes
                .retain(|crash| !backends.contains(&crash.backend));
        }
        self.records
            .retain(|_, record| !record.crashes.is_empty() || record.quarantines > 0);
    }

    /// Returns the request to quarantine next: one whose trial crashed a back end, otherwise
    /// the one with the most crashes among those with sufficient evidence. Requests that are not
    /// answered frequently come first.
    fn next_to_quarantine(&self, now: Millis) -> Option<Fingerprint> {
        let records = self.records.iter();
        let candidates =
            records.filter(|(_, record)| !record.is_quarantined(now) && !record.crashes.is_empty());
        if let Some((request, _)) = candidates
            .clone()
            .find(|(_, record)| record.quarantines > 0)
        {
            return Some(*request);
        }
        let rank = |record: &CrashRecord| (!record.is_frequent, record.crashes.len());
        let proven: Vec<_> = candidates
            .filter(|(_, record)| record.has_sufficient_evidence(now, self.own_hash))
            .collect();
        let best = proven.iter().map(|(_, record)| rank(record)).max()?;
        let equals = proven.iter().filter(|(_, record)| rank(record) == best);
        let is_tied = equals.clone().count() > 1 && best.1 < QUARANTINE_CRASHES_IF_FREQUENT;
        let first = equals.map(|(request, _)| **request).min();
        first.filter(|request| !is_tied && !self.may_be_tied(now, *request))
    }

    /// Returns whether pending reports may bring another request to as many crashes. Each daemon
    /// with requests at a back end reports its crash and names only its own requests, so the
    /// first report may name only a harmless one.
    fn may_be_tied(&self, now: Millis, request: Fingerprint) -> bool {
        let Some(record) = self.records.get(&request) else {
            return false;
        };
        let fully_reported = record.fully_reported_crashes(now);
        let mut others = self.records.iter().filter(|(other, _)| **other != request);
        fully_reported < record.crashes.len()
            && others.any(|(_, other)| other.crashes.len() >= fully_reported)
    }

    fn evict_expired(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.saturating_sub(at) < EVIDENCE_MS;
        self.known_crashes
            .evict_before(now.saturating_sub(EVIDENCE_MS));
        for record in self.records.values_mut() {
            record.crashes.retain(|crash| is_recent(crash.at));
        }
        self.records.retain(|_, record| {
            let has_recent_event = is_recent(record.quarantined_until.max(record.last_event_at));
            !record.crashes.is_empty() || record.quarantines > 0 && has_recent_event
        });
        while self.records.len() >= MAX_RECORDS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.last_event_at);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                break;
            };
            self.records.remove(&request);
        }
    }
}
