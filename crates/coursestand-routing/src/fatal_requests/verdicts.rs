//! Decisions on requests with a crash record, and their reports.

use coursestand_model::Millis;
use serde::{Deserialize, Serialize};

use super::{Fingerprint, SharedCrashRecord};

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// Back ends crashed while the request was in flight, and it is run elsewhere to find out
    /// whether it is the cause.
    Suspected {
        /// Time until the caller may retry, in milliseconds.
        again_in_ms: Millis,
    },
    /// The request is quarantined: too many back ends crashed while it was in flight.
    Quarantined {
        /// Time until a trial is possible, in milliseconds.
        again_in_ms: Millis,
    },
    /// The request runs only as a trial, if control grants one.
    NeedsTrial {
        /// Time until the caller may retry if no trial is granted, in milliseconds.
        again_in_ms: Millis,
    },
}

/// Answer of control to a daemon that requests a trial of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialVerdict {
    /// The daemon may send the request once. The record contains the time for which it is
    /// rejected otherwise.
    Granted(SharedCrashRecord),
    /// No trial is possible at this time.
    Refused(SharedCrashRecord),
    /// The request has no crash record, or too few crashes to need a trial.
    Cleared(Fingerprint),
}

/// Summary of a crash record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CrashRecordView {
    /// The request.
    pub request: Fingerprint,
    /// Number of crashes that count against the request.
    pub ends: usize,
    /// Number of quarantines so far.
    pub convictions: u32,
    /// Remaining time for which the request is rejected, in milliseconds.
    pub rejected_ms: Millis,
}

/// Change of a crash record, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashRecordUpdate {
    /// Another back end crashed while the request was in flight.
    Crash(CrashRecordView),
    /// The request was quarantined.
    Quarantined {
        /// The request.
        request: Fingerprint,
        /// Number of crashes that led to the quarantine.
        ends: usize,
        /// Duration of the quarantine, in milliseconds.
        lasts_ms: Millis,
    },
    /// A request that had been quarantined was answered.
    Cleared {
        /// The request.
        request: Fingerprint,
    },
}
