//! Checks the bound on repeats against the records of callers and back ends.
//!
//! A repeat is an arrival of a request at any back end after its first arrival. In every
//! window, at any start time, a service may receive at most `ratio` repeats per request plus
//! `extra`. Requests count by the time at which their callers sent them. The request count of
//! a window is the maximum of the counts in the window itself, the previous window and the
//! window that begins half a window earlier.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Bound on the repeats to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats that are allowed per request.
    pub ratio: f64,
    /// Repeats that are allowed in addition.
    pub extra: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Arrival of a request at a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identity of the request.
    pub id: String,
    /// Time at which its head was read.
    pub at: Instant,
}

/// The window that exceeds the bound by the most, or comes closest to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorstWindow {
    /// Number of repeats that arrived in it.
    pub repeats: usize,
    /// Number of requests that count for it.
    pub requests: usize,
    /// Number of repeats that the bound allows.
    pub allowed: f64,
}

impl WorstWindow {
    /// Returns whether more repeats arrived than the bound allows.
    pub fn exceeds_bound(&self) -> bool {
        self.excess() > 0.0
    }

    fn excess(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }
}

/// Returns the arrival time of each repeat, earliest first.
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

/// Returns the worst of all windows. `sent_at` holds the times at which callers sent the
/// requests to the service.
pub fn worst_window(bound: RepeatBound, arrivals: &[Arrival], sent_at: &[Instant]) -> WorstWindow {
    let repeats = repeats(arrivals);
    let mut sent_at = sent_at.to_vec();
    sent_at.sort();
    let starts = window_starts(bound.window, &repeats, &sent_at);
    let windows = starts
        .into_iter()
        .map(|start| check_window(bound, start, &repeats, &sent_at));
    windows
        .max_by(|left, right| left.excess().total_cmp(&right.excess()))
        .unwrap_or(WorstWindow {
            repeats: 0,
            requests: 0,
            allowed: bound.extra,
        })
}

/// Returns the window starts to check. The counts change only at these starts or 1 ns after
/// them, so they cover the counts of every possible window.
fn window_starts(window: Duration, repeats: &[Instant], sent_at: &[Instant]) -> Vec<Instant> {
    let events = repeats.iter().chain(sent_at);
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

fn check_window(
    bound: RepeatBound,
    start: Instant,
    repeats: &[Instant],
    sent_at: &[Instant],
) -> WorstWindow {
    let window = bound.window;
    let counts = [Duration::ZERO, window / 2, window]
        .into_iter()
        .filter_map(|earlier| start.checked_sub(earlier))
        .map(|start| count_from(sent_at, start, window));
    let requests = counts.max().unwrap_or(0);
    WorstWindow {
        repeats: count_from(repeats, start, window),
        requests,
        allowed: bound.ratio * requests as f64 + bound.extra,
    }
}

/// Returns the number of the sorted times within a window, both ends included.
fn count_from(sorted: &[Instant], start: Instant, window: Duration) -> usize {
    let end = start + window;
    let first = sorted.partition_point(|at| *at < start);
    sorted.partition_point(|at| *at <= end) - first
}
