//! Figures of a run.

use std::collections::BTreeMap;
use std::fmt;

use coursestand_model::Bundle;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::callers::{FinishedRequest, RequestOutcome};
use crate::records::{Ending, Record};
use crate::verdict::{Verdict, check};

/// Upper bound of the latency histogram in microseconds.
const MAX_LATENCY_US: u64 = 300_000_000;

/// Latencies of answered requests, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// Figures of a region.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RegionFigures {
    /// Share of all requests that ran in the region.
    pub share: f64,
    /// Maximum number of concurrent requests.
    pub peak: u32,
    /// Share of the capacity that was free at the peak.
    pub headroom: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Number of requests.
    pub requests: usize,
    /// Requests that were answered.
    pub answered: usize,
    /// Requests that were not run, after all attempts.
    pub not_run: usize,
    /// Requests that may have run.
    pub unknown: usize,
    /// Latencies of answered requests.
    pub latency_ms: Latency,
    /// Figures by region.
    pub regions: BTreeMap<String, RegionFigures>,
    /// Violations of guarantees.
    pub verdict: Verdict,
}

/// Computes the figures of a run.
pub fn figures(bundle: &Bundle, finished: &[FinishedRequest], records: &[Record]) -> Figures {
    let count = |outcome: &RequestOutcome| {
        finished
            .iter()
            .filter(|request| request.outcome == *outcome)
            .count()
    };
    Figures {
        requests: finished.len(),
        answered: count(&RequestOutcome::Answered),
        not_run: count(&RequestOutcome::NotRun),
        unknown: count(&RequestOutcome::Unknown),
        latency_ms: latency(finished),
        regions: regions(bundle, records),
        verdict: check(finished, records),
    }
}

fn latency(finished: &[FinishedRequest]) -> Latency {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3) else {
        return Latency::default();
    };
    for request in finished
        .iter()
        .filter(|request| request.outcome == RequestOutcome::Answered)
    {
        histogram.saturating_record(request.elapsed.as_micros() as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Latency {
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
    }
}

fn regions(bundle: &Bundle, records: &[Record]) -> BTreeMap<String, RegionFigures> {
    let started: Vec<&Record> = records
        .iter()
        .filter(|record| record.ending != Ending::Shed)
        .collect();
    bundle
        .regions
        .iter()
        .map(|region| {
            let in_region: Vec<&Record> = started
                .iter()
                .copied()
                .filter(|record| region.zones.contains(&record.zone))
                .collect();
            let peak = peak_running(&in_region);
            let figures = RegionFigures {
                share: in_region.len() as f64 / started.len().max(1) as f64,
                peak,
                headroom: 1.0 - f64::from(peak) / f64::from(region.capacity.max(1)),
            };
            (region.id.0.clone(), figures)
        })
        .collect()
}

/// Returns the maximum number of requests that ran concurrently.
pub fn peak_running(records: &[&Record]) -> u32 {
    let mut changes: Vec<(u64, i32)> = Vec::with_capacity(records.len() * 2);
    for record in records {
        changes.push((record.started_ms, 1));
        changes.push((record.ended_ms.unwrap_or(u64::MAX), -1));
    }
    // Within a millisecond, ends sort before starts.
    changes.sort_unstable();
    let mut running = 0;
    let mut peak = 0;
    for (_, change) in changes {
        running += change;
        peak = peak.max(running);
    }
    peak.max(0) as u32
}

impl fmt::Display for Figures {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "requests {}   answered {}   not run {}   unknown {}",
            self.requests, self.answered, self.not_run, self.unknown
        )?;
        writeln!(
            out,
            "latency ms   p50 {:.1}   p99 {:.1}   p99.9 {:.1}",
            self.latency_ms.p50, self.latency_ms.p99, self.latency_ms.p999
        )?;
        writeln!(
            out,
            "{:<14} {:>7} {:>6} {:>9}",
            "region", "share", "peak", "headroom"
        )?;
        for (region, figures) in &self.regions {
            writeln!(
                out,
                "{:<14} {:>6.1}% {:>6} {:>8.1}%",
                region,
                figures.share * 100.0,
                figures.peak,
                figures.headroom * 100.0
            )?;
        }
        let verdict = &self.verdict;
        writeln!(
            out,
            "violations: wrong answers {}, ran twice {}, false not-run {}, \
             answered unrun {}, over slots {}, to leaving {}",
            verdict.wrong_answers,
            verdict.ran_twice,
            verdict.false_not_run,
            verdict.answered_unrun,
            verdict.over_slots,
            verdict.to_leaving
        )
    }
}
