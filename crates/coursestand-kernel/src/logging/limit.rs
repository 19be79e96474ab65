//! Limits the log lines per second of each call site.

use std::collections::HashMap;

use log::Record;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Emit {
        /// Lines of this call site that were suppressed since its last written line.
        suppressed: u32,
    },
    /// The call site has reached its limit for this second.
    Suppress,
}

#[derive(Default)]
struct Count {
    second: u64,
    written: u32,
    suppressed: u32,
}

/// Counts lines per call site, which is identified by file and line number.
pub struct CallSiteLimit {
    max_per_second: u32,
    call_sites: HashMap<(Option<&'static str>, Option<u32>), Count>,
}

impl CallSiteLimit {
    /// Allows `max_per_second` lines per second for each call site.
    pub fn new(max_per_second: u32) -> CallSiteLimit {
        CallSiteLimit {
            max_per_second,
            call_sites: HashMap::new(),
        }
    }

    /// Decides whether `record` is written. `second` is the current Unix time in seconds.
    pub fn check(&mut self, second: u64, record: &Record<'_>) -> LineDecision {
        let call_site = (record.file_static(), record.line());
        let count = self.call_sites.entry(call_site).or_default();
        if count.second != second {
            count.second = second;
            count.written = 0;
        }
        if count.written >= self.max_per_second {
            count.suppressed += 1;
            return LineDecision::Suppress;
        }
        count.written += 1;
        LineDecision::Emit {
            suppressed: std::mem::take(&mut count.suppressed),
        }
    }
}
