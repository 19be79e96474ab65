//! Checks the rate limit of a back end against the arrival times of its requests.

use std::time::{Duration, Instant};

/// Bound on the requests that arrive at a back end in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Rate limit that the back end reported, in requests per second.
    pub per_second: f64,
    /// Factor on the requests that the limit allows in a window.
    pub factor: f64,
    /// Requests that are allowed in addition.
    pub slack: f64,
}

impl RateBound {
    /// Returns the number of requests that are allowed in a window of this length.
    pub fn allowed(&self, window: Duration) -> f64 {
        self.per_second * self.factor * window.as_secs_f64() + self.slack
    }
}

/// The window of a given length with the most arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullestWindow {
    /// Its length.
    pub length: Duration,
    /// Number of requests that arrived in it.
    pub arrivals: usize,
    /// Number of requests that the bound allows.
    pub allowed: f64,
}

impl FullestWindow {
    /// Returns whether more requests arrived than the bound allows.
    pub fn exceeds_bound(&self) -> bool {
        self.arrivals as f64 > self.allowed
    }
}

/// Returns the fullest window of this length over all start times.
pub fn fullest_window(bound: RateBound, length: Duration, arrivals: &[Instant]) -> FullestWindow {
    let mut arrivals = arrivals.to_vec();
    arrivals.sort();
    let counts = arrivals.iter().enumerate().map(|(first, start)| {
        let end = *start + length;
        arrivals.partition_point(|at| *at < end) - first
    });
    FullestWindow {
        length,
        arrivals: counts.max().unwrap_or(0),
        allowed: bound.allowed(length),
    }
}

/// Returns the fullest window of each length in `windows` if it exceeds the bound.
pub fn exceeded(
    bound: RateBound,
    windows: &[Duration],
    arrivals: &[Instant],
) -> Vec<FullestWindow> {
    let fullest = windows
        .iter()
        .map(|length| fullest_window(bound, *length, arrivals));
    fullest.filter(FullestWindow::exceeds_bound).collect()
}
