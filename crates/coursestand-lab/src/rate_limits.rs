//! Judges the rate limit of one back end by when requests reached it.

use std::time::{Duration, Instant};

/// What a back end may get in any window of some length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Requests a second that it named.
    pub per_second: f64,
    /// Factor on what that allows.
    pub factor: f64,
    /// Requests besides.
    pub slack: f64,
}

impl RateBound {
    /// Requests that are allowed in a window of this length.
    pub fn allowed(&self, window: Duration) -> f64 {
        self.per_second * self.factor * window.as_secs_f64() + self.slack
    }
}

/// The window of some length in which most requests arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FullestWindow {
    /// Its length.
    pub length: Duration,
    /// Requests that arrived in it.
    pub arrivals: usize,
    /// Requests that the bound allows.
    pub allowed: f64,
}

impl FullestWindow {
    /// Whether more arrived than is allowed.
    pub fn is_over(&self) -> bool {
        self.arrivals as f64 > self.allowed
    }
}

/// The fullest of all windows of this length, wherever they begin.
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

/// Those of `windows` that are over the bound.
pub fn exceeded(
    bound: RateBound,
    windows: &[Duration],
    arrivals: &[Instant],
) -> Vec<FullestWindow> {
    let fullest = windows
        .iter()
        .map(|length| fullest_window(bound, *length, arrivals));
    fullest.filter(FullestWindow::is_over).collect()
}
