//! What an entry daemon detects about back ends and reports to the other daemons.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fatal_requests::Fingerprint;

/// Maximum number of findings that are remembered to detect duplicates.
const MAX_SEEN_FINDINGS: usize = 4_096;
/// Maximum number of back ends whose reporters are remembered.
const MAX_REPORTED_BACKENDS: usize = 1_024;
/// Number of other daemons that must report the same: a single faulty daemon must not take
/// the back ends of a service out of use.
const REQUIRED_REPORTERS: usize = 2;

/// What a daemon detected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// A back end crashed: its connections broke, and nothing accepts connections at its
    /// address.
    Ended {
        /// Identifies its incarnation.
        backend: u64,
        /// Requests of the daemon that were in flight there at the crash.
        #[serde(rename = "witnesses")]
        in_flight_requests: Vec<Fingerprint>,
    },
    /// A request that was in flight at a crash was answered; this run of it began after
    /// the first crash that it was in flight at.
    Answered(Fingerprint),
    /// A back end reported with an answer that it is draining. While it can't reach the
    /// control processes, its answers are the only source of this.
    Drains {
        /// Identifies its incarnation.
        backend: u64,
    },
}

/// A finding as it is sent to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedFinding {
    /// Unique number of the finding.
    pub number: u64,
    /// Hash of the name of the daemon that reports it.
    pub reporter: u64,
    /// What it detected.
    pub finding: Finding,
}

/// Detects duplicates of findings, which arrive through several control processes.
#[derive(Clone, Debug, Default)]
pub struct SeenFindings {
    numbers: HashSet<u64>,
    order: VecDeque<u64>,
}

impl SeenFindings {
    /// Records a finding. Returns whether it was received for the first time.
    pub fn is_first(&mut self, number: u64) -> bool {
        if !self.numbers.insert(number) {
            return false;
        }
        self.order.push_back(number);
        if self.order.len() > MAX_SEEN_FINDINGS
            && let Some(oldest) = self.order.pop_front()
        {
            self.numbers.remove(&oldest);
        }
        true
    }
}

/// The daemons that report the same state of a back end, such as that it is draining.
#[derive(Clone, Debug, Default)]
pub struct BackendReporters {
    reporters: HashMap<u64, HashSet<u64>>,
    order: VecDeque<u64>,
}

impl BackendReporters {
    /// Records a report of another daemon. Returns whether enough daemons have reported the
    /// back end.
    pub fn record(&mut self, backend: u64, reporter: u64) -> bool {
        if !self.reporters.contains_key(&backend) {
            self.order.push_back(backend);
            if self.order.len() > MAX_REPORTED_BACKENDS
                && let Some(oldest) = self.order.pop_front()
            {
                self.reporters.remove(&oldest);
            }
        }
        let reporters = self.reporters.entry(backend).or_default();
        if reporters.len() < REQUIRED_REPORTERS {
            reporters.insert(reporter);
        }
        reporters.len() >= REQUIRED_REPORTERS
    }

    /// Drops all reports of the back end.
    pub fn forget(&mut self, backend: u64) {
        self.reporters.remove(&backend);
        self.order.retain(|known| *known != backend);
    }
}
