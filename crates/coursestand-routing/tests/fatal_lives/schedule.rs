//! A schedule of faults, and what it comes to.

use coursestand_model::Millis;

use crate::world::{LOOK_MS, WAY_MS};

/// An end is known at all daemons by then: the look, and the ways to control and from it.
const KNOWN_MS: Millis = LOOK_MS + 2 * WAY_MS;

/// How daemons learn from each other.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Findings only, and the owner of a request tries it by itself.
    Findings,
    /// Cases are handed to who connects, and control grants trials.
    Cases,
}

/// A schedule of faults.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    pub daemons: usize,
    pub controls: usize,
    /// Requests a second for the deadly object.
    pub rate: f64,
    /// Mean time between two kills of a daemon, of a control process, between two cuts and
    /// between two standstills of a daemon.
    pub kills_ms: f64,
    pub control_kills_ms: f64,
    pub cuts_ms: f64,
    pub stops_ms: f64,
    /// Part of the findings that is lost.
    pub loss: f64,
}

/// Why a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SendKind {
    /// Received from a caller.
    First,
    /// Repeated because its back end ended.
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
    pub known_ends: usize,
    pub known_convictions: u32,
}

/// The end of a back end that ran the deadly request.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub at: Millis,
    pub sent: SentRequest,
    /// Whether the daemon was still running and connected, and so reported the end.
    pub is_reported: bool,
}

#[derive(Default)]
pub struct Outcome {
    pub ends: Vec<End>,
    /// Those among them that a daemon lived to report, and was connected to.
    pub reported: Vec<Millis>,
    /// Sends of the deadly request by daemons that were connected.
    pub sends: Vec<Millis>,
    /// Innocent requests that some daemon rejects at the end after wasted trials.
    pub innocent: usize,
    /// Highest number of convictions of one innocent request known to any daemon at the end.
    pub innocent_convictions: u32,
}

impl Outcome {
    /// Sends after the third end was known that anybody lived to tell of.
    pub fn late_sends(&self) -> usize {
        let third = self.reported.get(2);
        let is_late = |at: &&Millis| third.is_some_and(|third| **at > third + KNOWN_MS);
        self.sends.iter().filter(is_late).count()
    }

    /// Sends of the deadly request by any daemon after the third end, except runs that are
    /// still in progress when the simulation stops.
    pub fn sends_after_third_end(&self) -> usize {
        let third = self.ends.get(2).map(|end| end.at);
        let is_later = |end: &&End| third.is_some_and(|third| end.sent.at > third);
        self.ends.iter().filter(is_later).count()
    }

    /// Ends of runs that connected daemons started after the report of the first reported
    /// end had had time to reach every daemon.
    pub fn preventable_ends(&self) -> usize {
        let reported = self.ends.iter().filter(|end| end.is_reported);
        let first_reported_at = reported.map(|end| end.at).min();
        let is_preventable = |end: &&End| {
            let is_after_report =
                first_reported_at.is_some_and(|first| end.sent.at > first + KNOWN_MS);
            end.sent.is_connected && is_after_report
        };
        self.ends.iter().filter(is_preventable).count()
    }

    /// One line for each end, with the reason for the send and the daemon's state at that time.
    pub fn trace(&self) -> String {
        let lines = self.ends.iter().map(|end| {
            let sent = &end.sent;
            format!(
                "{} ms: {:?} sent at {} ms, connected {}, {} ends and {} convictions known, \
                 reported {}\n",
                end.at,
                sent.kind,
                sent.at,
                sent.is_connected,
                sent.known_ends,
                sent.known_convictions,
                end.is_reported
            )
        });
        lines.collect()
    }

    /// Ends whose daemon had died or was disconnected, so that nobody reported them.
    pub fn unreported_ends(&self) -> usize {
        self.ends.iter().filter(|end| !end.is_reported).count()
    }
}
