//! Judges the bound on repeats by what callers and back ends recorded.
//!
//! A repeat is an arrival of a request at any back end beyond its first. In every window,
//! wherever it begins, a service may get at most `ratio` repeats for each of its requests
//! and `extra` besides. Requests count by when their callers sent them, in the window, the
//! one before it or the one that begins half a window earlier, whichever holds most.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The bound on repeats to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides.
    pub extra: f64,
    /// Length of a window.
    pub window: Duration,
}

/// One request that reached a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identity of the request.
    pub id: String,
    /// When its head was read.
    pub at: Instant,
}

/// The window that exceeds the bound most, or comes nearest to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorstWindow {
    /// Repeats that arrived in it.
    pub repeats: usize,
    /// Requests that count for it.
    pub requests: usize,
    /// Repeats that the bound allows.
    pub allowed: f64,
}

impl WorstWindow {
    /// Whether more arrived than is allowed.
    pub fn is_over(&self) -> bool {
        self.excess() > 0.0
    }

    fn excess(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }
}

/// When each repeat arrived, earliest first.
pub fn repeats(arrivals: &[Arrival]) -> Vec<Instant> {
    let mut arrivals: Vec<&Arrival> = arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = HashSet::new();
    arrivals
        .into_iter()
        .filter(|arrival| !seen.insert(arrival.id.as_str()))
        .map(|arrival| arrival.at)
        .collect()
}

/// The worst of all windows. `asked` is when callers sent the requests to the service.
pub fn worst_window(bound: RepeatBound, arrivals: &[Arrival], asked: &[Instant]) -> WorstWindow {
    let repeats = repeats(arrivals);
    let mut asked = asked.to_vec();
    asked.sort();
    let starts = window_starts(bound.window, &repeats, &asked);
    let windows = starts
        .into_iter()
        .map(|start| judge_window(bound, start, &repeats, &asked));
    windows
        .max_by(|left, right| left.excess().total_cmp(&right.excess()))
        .unwrap_or(WorstWindow {
            repeats: 0,
            requests: 0,
            allowed: bound.extra,
        })
}

/// Starts at which any of the counts changes, so that every window has the counts of one
/// of these or of the moment just after it.
fn window_starts(window: Duration, repeats: &[Instant], asked: &[Instant]) -> Vec<Instant> {
    let events = repeats.iter().chain(asked);
    let just_after = Duration::from_nanos(1);
    let mut starts: Vec<Instant> = events
        .flat_map(|event| {
            let before = event.checked_sub(window);
            let shifted = [
                before,
                Some(*event),
                Some(*event + window / 2),
                Some(*event + window),
            ];
            shifted.into_iter().flatten()
        })
        .flat_map(|start| [start, start + just_after])
        .collect();
    starts.sort();
    starts.dedup();
    starts
}

fn judge_window(
    bound: RepeatBound,
    start: Instant,
    repeats: &[Instant],
    asked: &[Instant],
) -> WorstWindow {
    let window = bound.window;
    let counted = [Duration::ZERO, window / 2, window]
        .into_iter()
        .filter_map(|earlier| start.checked_sub(earlier))
        .map(|start| count_from(asked, start, window));
    let requests = counted.max().unwrap_or(0);
    WorstWindow {
        repeats: count_from(repeats, start, window),
        requests,
        allowed: bound.ratio * requests as f64 + bound.extra,
    }
}

/// How many of the sorted moments lie in a window, both ends included.
fn count_from(sorted: &[Instant], start: Instant, window: Duration) -> usize {
    let end = start + window;
    let first = sorted.partition_point(|at| *at < start);
    sorted.partition_point(|at| *at <= end) - first
}
