//! Limits the lines of one kind in each second.

use std::collections::HashMap;

use log::Record;

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// It may; so many of its kind were left out before it.
    Yes {
        /// Lines left out.
        left_out: u32,
    },
    /// There were too many of its kind in this second.
    No,
}

#[derive(Default)]
struct Count {
    second: u64,
    written: u32,
    left_out: u32,
}

/// Counts lines by kind: the place in the code that logs them.
pub struct KindLimit {
    most: u32,
    kinds: HashMap<(Option<&'static str>, Option<u32>), Count>,
}

impl KindLimit {
    /// `most` lines of a kind in each second.
    pub fn new(most: u32) -> KindLimit {
        KindLimit {
            most,
            kinds: HashMap::new(),
        }
    }

    /// Whether `record` may be written in this second.
    pub fn check(&mut self, second: u64, record: &Record<'_>) -> Allowed {
        let kind = (record.file_static(), record.line());
        let count = self.kinds.entry(kind).or_default();
        if count.second != second {
            count.second = second;
            count.written = 0;
        }
        if count.written >= self.most {
            count.left_out += 1;
            return Allowed::No;
        }
        count.written += 1;
        Allowed::Yes {
            left_out: std::mem::take(&mut count.left_out),
        }
    }
}
