//! Checks what callers were told against what back ends recorded.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::callers::{Finding, Finished};
use crate::records::{Ending, Record};

/// New work reaches a back end that is leaving for this long at most.
pub const LEAVING_WITHIN_MS: u64 = 2_000;

/// Counts of broken promises; all should be zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Answers that were not the caller's own, or not whole.
    pub wrong_answers: usize,
    /// Requests that must not be repeated and ran more than once.
    pub ran_twice: usize,
    /// Requests told as not run that ran.
    pub false_not_run: usize,
    /// Requests told as answered that never ran.
    pub answered_unrun: usize,
    /// Requests that reached a back end whose slots were all in use.
    pub over_slots: usize,
    /// Requests that came later to a back end that was leaving.
    pub to_leaving: usize,
}

impl Verdict {
    /// Whether every promise was kept.
    pub fn is_good(&self) -> bool {
        *self == Verdict::default()
    }
}

/// Checks one run.
pub fn check(finished: &[Finished], records: &[Record]) -> Verdict {
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
                    .is_some_and(|ms| ms > LEAVING_WITHIN_MS)
            })
            .count(),
        ..Verdict::default()
    };
    for one in finished {
        let runs = starts
            .get(one.errand.token.as_str())
            .map_or(0, |runs| runs.len());
        match &one.finding {
            Finding::WrongAnswer(_) => verdict.wrong_answers += 1,
            Finding::NotRun if runs > 0 => verdict.false_not_run += 1,
            Finding::Answered if runs == 0 => verdict.answered_unrun += 1,
            _ => {}
        }
        if one.errand.key.is_some() && runs > 1 {
            verdict.ran_twice += 1;
        }
    }
    verdict
}

/// Starts by zone and second of the requests of one service and client zone.
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
