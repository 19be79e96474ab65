//! Checks the outcomes that callers received against the records of the back ends.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::callers::{FinishedRequest, RequestOutcome};
use crate::records::{Ending, Record};

/// Maximum time in milliseconds for which a leaving back end still receives new requests.
pub const LEAVING_GRACE_MS: u64 = 2_000;

/// Number of violations of each guarantee; all should be zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Answers that belong to another request, or are incomplete.
    pub wrong_answers: usize,
    /// Requests with an idempotency key that ran more than once.
    pub ran_twice: usize,
    /// Requests reported as not run that ran.
    pub false_not_run: usize,
    /// Requests reported as answered that never ran.
    pub answered_unrun: usize,
    /// Requests that arrived at a back end whose slots were all in use.
    pub over_slots: usize,
    /// Requests that arrived at a leaving back end after [`LEAVING_GRACE_MS`].
    pub to_leaving: usize,
}

impl Verdict {
    /// Returns whether all guarantees were kept.
    pub fn has_no_violations(&self) -> bool {
        *self == Verdict::default()
    }
}

/// Counts the violations of one run.
pub fn check(finished: &[FinishedRequest], records: &[Record]) -> Verdict {
    let mut starts: HashMap<&str, Vec<&Record>> = HashMap::new();
    for record in records
        .iter()
        .filter(|record| record.ending != Ending::Shed)
    {
        starts.entry(&record.token).or_default().push(record);
    }
    let mut verdict = Verdict {
        over_slots: records
            .iter()
            .filter(|record| record.ending == Ending::Shed)
            .count(),
        to_leaving: records
            .iter()
            .filter(|record| {
                record
                    .leaving_for_ms
                    .is_some_and(|ms| ms > LEAVING_GRACE_MS)
            })
            .count(),
        ..Verdict::default()
    };
    for finished_request in finished {
        let runs = starts
            .get(finished_request.request.token.as_str())
            .map_or(0, |runs| runs.len());
        match &finished_request.outcome {
            RequestOutcome::WrongAnswer(_) => verdict.wrong_answers += 1,
            RequestOutcome::NotRun if runs > 0 => verdict.false_not_run += 1,
            RequestOutcome::Answered if runs == 0 => verdict.answered_unrun += 1,
            _ => {}
        }
        if finished_request.request.key.is_some() && runs > 1 {
            verdict.ran_twice += 1;
        }
    }
    verdict
}

/// Counts the starts of the requests of one service and client zone, by bucket of
/// `bucket_ms` and zone of the back end.
pub fn starts_by_zone(
    records: &[Record],
    service: &str,
    origin: &str,
    bucket_ms: u64,
) -> BTreeMap<u64, BTreeMap<String, usize>> {
    let mut buckets: BTreeMap<u64, BTreeMap<String, usize>> = BTreeMap::new();
    for record in records {
        if record.service.0 == service && record.origin.0 == origin {
            let bucket = buckets.entry(record.started_ms / bucket_ms).or_default();
            *bucket.entry(record.zone.0.clone()).or_default() += 1;
        }
    }
    buckets
}
