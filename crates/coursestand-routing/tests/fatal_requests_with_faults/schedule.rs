//! A schedule of faults, and the outcome of its simulation.

use coursestand_model::Millis;

use crate::simulation::{CRASH_REPORT_MS, MAX_LATENCY_MS};

/// Maximum time until the report of a crash has reached all daemons: its detection, and the
/// latency to control and from there to the daemons.
const MAX_PROPAGATION_MS: Millis = CRASH_REPORT_MS + 2 * MAX_LATENCY_MS;

/// Information that daemons exchange.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Findings only; the owner of a request runs trials without a grant.
    Findings,
    /// Crash records are also sent to each process that connects, and control grants trials.
    CrashRecords,
}

/// A schedule of faults.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    pub daemons: usize,
    pub controls: usize,
    /// Requests per second for the fatal object.
    pub rate: f64,
    /// Mean time between two kills of a daemon, two kills of a control process, two disconnects
    /// of a daemon and two freezes of a daemon, in milliseconds; 0 disables the fault.
    pub kills_ms: f64,
    pub control_kills_ms: f64,
    pub disconnects_ms: f64,
    pub freezes_ms: f64,
    /// Share of the findings that is lost.
    pub loss: f64,
}

/// Why a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendKind {
    /// Received from a caller.
    First,
    /// Repeated because its back end crashed.
    Repeat,
    /// Trial granted by control.
    Trial,
}

/// A sent request and the state of its daemon at that time.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub at: Millis,
    pub kind: SendKind,
    pub is_connected: bool,
    pub known_crashes: usize,
    pub known_quarantines: u32,
}

/// The crash of a back end that ran the fatal request.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub at: Millis,
    pub sent: SentRequest,
    /// Whether the daemon was still running and connected, and so reported the crash.
    pub is_reported: bool,
}

#[derive(Default)]
pub struct Outcome {
    pub crashes: Vec<Crash>,
    /// Times of the crashes that a running and connected daemon reported.
    pub reported_crashes: Vec<Millis>,
    /// Times of the sends of the fatal request by connected daemons.
    pub sends: Vec<Millis>,
    /// Harmless requests that daemons reject at the end after wasted trials, summed over daemons.
    pub quarantined_harmless: usize,
    /// Runs of harmless requests that were closed before they were answered.
    pub recalled_harmless: usize,
    /// Highest number of quarantines of one harmless request known to any daemon at the end.
    pub max_harmless_quarantines: u32,
}

impl Outcome {
    /// Returns the number of sends after the report of the third reported crash had had time to
    /// reach every daemon.
    pub fn late_sends(&self) -> usize {
        let third = self.reported_crashes.get(2);
        let is_late = |at: &&Millis| third.is_some_and(|third| **at > third + MAX_PROPAGATION_MS);
        self.sends.iter().filter(is_late).count()
    }

    /// Returns the number of sends of the fatal request by any daemon after the third crash,
    /// except runs that are still in progress when the simulation stops.
    pub fn sends_after_third_crash(&self) -> usize {
        let third = self.crashes.get(2).map(|crash| crash.at);
        let is_later = |crash: &&Crash| third.is_some_and(|third| crash.sent.at > third);
        self.crashes.iter().filter(is_later).count()
    }

    /// Returns the number of crashes by runs that connected daemons started after the report of
    /// the first reported crash had had time to reach every daemon.
    pub fn preventable_crashes(&self) -> usize {
        let reported = self.crashes.iter().filter(|crash| crash.is_reported);
        let first_reported_at = reported.map(|crash| crash.at).min();
        let is_preventable = |crash: &&Crash| {
            let is_after_report =
                first_reported_at.is_some_and(|first| crash.sent.at > first + MAX_PROPAGATION_MS);
            crash.sent.is_connected && is_after_report
        };
        self.crashes.iter().filter(is_preventable).count()
    }

    /// Returns one line for each crash, with the reason for the send and the daemon's state at
    /// that time.
    pub fn trace(&self) -> String {
        let lines = self.crashes.iter().map(|crash| {
            let sent = &crash.sent;
            format!(
                "{} ms: {:?} sent at {} ms, connected {}, {} crashes and {} quarantines known, \
                 reported {}\n",
                crash.at,
                sent.kind,
                sent.at,
                sent.is_connected,
                sent.known_crashes,
                sent.known_quarantines,
                crash.is_reported
            )
        });
        lines.collect()
    }

    /// Returns the number of crashes that were not reported, since the daemon had stopped or was
    /// disconnected.
    pub fn unreported_crashes(&self) -> usize {
        self.crashes
            .iter()
            .filter(|crash| !crash.is_reported)
            .count()
    }
}
