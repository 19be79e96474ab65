//! Rate limit for the reports about back ends that a control process accepts from one entry
//! daemon.

use std::time::Duration;

use tokio::time::Instant;

/// Reports of one kind that are accepted from one entry daemon within a window. A crash causes
/// one from each daemon that had requests at the back end, and one for each request in flight
/// at the crash that is answered. A daemon that is faulty or malicious must not saturate the
/// links of all others.
const MAX_REPORTS_PER_WINDOW: usize = 50;
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the reports of one kind from one entry daemon.
#[derive(Debug, Default)]
pub struct ReportLimit {
    window_start: Option<Instant>,
    count: usize,
}

impl ReportLimit {
    /// Returns the reports within the limit and drops the rest.
    pub fn accept_within_limit<T>(&mut self, mut reports: Vec<T>) -> Vec<T> {
        let now = Instant::now();
        if self
            .window_start
            .is_none_or(|window_start| now - window_start > WINDOW)
        {
            self.window_start = Some(now);
            self.count = 0;
        }
        reports.truncate(MAX_REPORTS_PER_WINDOW - self.count);
        self.count += reports.len();
        reports
    }
}
