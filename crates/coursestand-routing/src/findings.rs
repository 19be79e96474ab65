//! What an entry daemon finds out of back ends and tells the others.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fatal_requests::Fingerprint;

/// Findings that are remembered, to know copies of them.
const MOST_NUMBERS: usize = 4_096;
/// Back ends of which it is remembered who says something.
const MOST_REPORTED: usize = 1_024;
/// Other daemons that must say it: one that errs empties no service.
const ENOUGH_REPORTERS: usize = 2;

/// What a daemon found out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// A back end has ended: its connections broke, and nobody is at its address.
    Ended {
        /// Tells its incarnation from all others.
        backend: u64,
        /// Requests of the daemon that were under way there.
        witnesses: Vec<Fingerprint>,
    },
    /// A witness was answered; its run began after the first end that it was witness to.
    Answered(Fingerprint),
    /// A back end said with an answer that it drains. Where it can't reach control, its
    /// answers are all that tells of it.
    Drains {
        /// Tells its incarnation from all others.
        backend: u64,
    },
}

/// A finding on its way to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFinding {
    /// Tells it from all others.
    pub number: u64,
    /// Hash of the daemon's name.
    pub reporter: u64,
    /// What it found out.
    pub finding: Finding,
}

/// Knows findings again that came before: they come by several control processes.
#[derive(Clone, Debug, Default)]
pub struct SeenFindings {
    numbers: HashSet<u64>,
    order: VecDeque<u64>,
}

impl SeenFindings {
    /// Whether the finding with this number has not come before.
    pub fn is_first(&mut self, number: u64) -> bool {
        if !self.numbers.insert(number) {
            return false;
        }
        self.order.push_back(number);
        if self.order.len() > MOST_NUMBERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.numbers.remove(&oldest);
        }
        true
    }
}

/// Who says the same thing of which back end, such as that it drains.
#[derive(Clone, Debug, Default)]
pub struct BackendReports {
    reporters: HashMap<u64, HashSet<u64>>,
    order: VecDeque<u64>,
}

impl BackendReports {
    /// Another daemon says it. Returns whether enough of them do.
    pub fn take(&mut self, backend: u64, reporter: u64) -> bool {
        if !self.reporters.contains_key(&backend) {
            self.order.push_back(backend);
            if self.order.len() > MOST_REPORTED
                && let Some(oldest) = self.order.pop_front()
            {
                self.reporters.remove(&oldest);
            }
        }
        let reporters = self.reporters.entry(backend).or_default();
        if reporters.len() < ENOUGH_REPORTERS {
            reporters.insert(reporter);
        }
        reporters.len() >= ENOUGH_REPORTERS
    }

    /// It is no longer so.
    pub fn forget(&mut self, backend: u64) {
        self.reporters.remove(&backend);
        self.order.retain(|known| *known != backend);
    }
}
