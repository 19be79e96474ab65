//! Figures of a run.

use std::collections::BTreeMap;
use std::fmt;

use coursestand_model::Bundle;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::callers::{Finding, Finished};
use crate::records::{Ending, Record};
use crate::verdict::{Verdict, check};

/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 300_000_000;

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

/// What a region did.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RegionFigures {
    /// Part of all requests that ran here.
    pub share: f64,
    /// Most requests at the same time.
    pub peak: u32,
    /// Part of the capacity that was free at the peak.
    pub headroom: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: usize,
    /// Answered.
    pub answered: usize,
    /// Told as not run, after all attempts.
    pub not_run: usize,
    /// May have run.
    pub unknown: usize,
    /// Latencies of answered requests.
    pub latency_ms: Latency,
    /// By region.
    pub regions: BTreeMap<String, RegionFigures>,
    /// Broken promises.
    pub verdict: Verdict,
}

/// Works the figures of a run out.
pub fn figures(bundle: &Bundle, finished: &[Finished], records: &[Record]) -> Figures {
    let count = |finding: &Finding| {
        finished
            .iter()
            .filter(|one| one.finding == *finding)
            .count()
    };
    Figures {
        requests: finished.len(),
        answered: count(&Finding::Answered),
        not_run: count(&Finding::NotRun),
        unknown: count(&Finding::Unknown),
        latency_ms: latency(finished),
        regions: regions(bundle, records),
        verdict: check(finished, records),
    }
}

fn latency(finished: &[Finished]) -> Latency {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3) else {
        return Latency::default();
    };
    for one in finished
        .iter()
        .filter(|one| one.finding == Finding::Answered)
    {
        histogram.saturating_record(one.took.as_micros() as u64);
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
            let here: Vec<&Record> = started
                .iter()
                .copied()
                .filter(|record| region.zones.contains(&record.zone))
                .collect();
            let peak = peak_running(&here);
            let figures = RegionFigures {
                share: here.len() as f64 / started.len().max(1) as f64,
                peak,
                headroom: 1.0 - f64::from(peak) / f64::from(region.capacity.max(1)),
            };
            (region.id.0.clone(), figures)
        })
        .collect()
}

/// Most requests that ran at the same time.
pub fn peak_running(records: &[&Record]) -> u32 {
    let mut changes: Vec<(u64, i32)> = Vec::with_capacity(records.len() * 2);
    for record in records {
        changes.push((record.started_ms, 1));
        changes.push((record.ended_ms.unwrap_or(u64::MAX), -1));
    }
    // At the same millisecond ends come first.
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
            "broken promises: wrong answers {}, ran twice {}, false not-run {}, \
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
