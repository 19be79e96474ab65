//! The once ledger: an idempotency key is claimed here before the request is
//! dispatched, and a claim is granted to one dispatch only, ever.
//!
//! A key carries its time of issue. Keys older than the retention are refused,
//! and the records of exactly those keys are dropped, so a forgotten key can
//! never run again. The wall clock of the ledger is the highest one that any
//! command carried: it never falls.

use std::collections::BTreeMap;

use coursestand_model::bundle::Once;
use coursestand_model::{DaemonId, Millis, ServiceId};
use serde::{Deserialize, Serialize};

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Longest answer that is kept for callers who send a request again, in bytes.
pub const MAX_RECORDED_BYTES: usize = 4096;

/// A caller's key for a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OnceKey {
    /// Time of issue in Unix milliseconds.
    pub issued_ms: u64,
    /// Service that is asked.
    pub service: ServiceId,
    /// The caller's unique text.
    pub unique: String,
}

impl OnceKey {
    /// Reads `<issued Unix milliseconds>-<unique text>`.
    pub fn parse(service: &ServiceId, text: &str) -> Option<OnceKey> {
        if text.len() > MAX_KEY_BYTES {
            return None;
        }
        let (issued, unique) = text.split_once('-')?;
        if unique.is_empty() {
            return None;
        }
        Some(OnceKey {
            issued_ms: issued.parse().ok()?,
            service: service.clone(),
            unique: unique.to_owned(),
        })
    }
}

/// Names one attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimId {
    /// Daemon that would dispatch.
    pub daemon: DaemonId,
    /// Grows with each attempt of that daemon.
    pub sequence: u64,
}

/// The recorded answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, or `None` when it was longer than [`MAX_RECORDED_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// What a daemon asks of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnceCommand {
    /// Claims a key before dispatch.
    Claim {
        /// The key.
        key: OnceKey,
        /// The attempt.
        claim: ClaimId,
    },
    /// Records the answer of a request that ran.
    Complete {
        /// The key.
        key: OnceKey,
        /// The attempt that ran it.
        claim: ClaimId,
        /// Its answer.
        answer: RecordedAnswer,
    },
    /// Gives up a claim that was never dispatched.
    Release {
        /// The key.
        key: OnceKey,
        /// The attempt.
        claim: ClaimId,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimRecord {
    /// Dispatched or about to be.
    Claimed(ClaimId),
    /// Given up before dispatch; another attempt may claim the key.
    Released(ClaimId),
    /// Ran, with this answer.
    Completed(RecordedAnswer),
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// This attempt, and no other, may dispatch the request.
    Granted,
    /// Another attempt holds the claim: the request may have run.
    Taken,
    /// The request ran, with this answer.
    Completed(RecordedAnswer),
    /// The key is older than the retention: it may have run and been forgotten.
    TooOld,
    /// The key was issued too far in the future.
    FromFuture,
    /// This attempt was given up before.
    GivenUp,
}

/// Claims by key, ordered by time of issue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceLedger {
    wall_ms: u64,
    /// Keys issued before this are refused. It never falls, so a bundle with a
    /// longer retention can't bring back keys whose records were dropped.
    floor_ms: u64,
    records: BTreeMap<OnceKey, ClaimRecord>,
}

impl OnceLedger {
    /// Moves the ledger's wall clock forward and drops keys past the retention.
    pub fn advance(&mut self, wall_ms: u64, rules: Once) {
        self.wall_ms = self.wall_ms.max(wall_ms);
        let oldest = self.wall_ms.saturating_sub(rules.retention_ms);
        self.floor_ms = self.floor_ms.max(oldest);
        while let Some(first) = self.records.first_entry() {
            if first.key().issued_ms >= self.floor_ms {
                break;
            }
            first.remove();
        }
    }

    /// Claims `key` for one dispatch.
    pub fn claim(&mut self, key: OnceKey, claim: ClaimId, rules: Once) -> ClaimAnswer {
        if key.issued_ms < self.floor_ms {
            return ClaimAnswer::TooOld;
        }
        if key.issued_ms > self.wall_ms + rules.clock_skew_ms {
            return ClaimAnswer::FromFuture;
        }
        match self.records.get(&key) {
            Some(ClaimRecord::Completed(answer)) => ClaimAnswer::Completed(answer.clone()),
            // A resent message of the attempt that already holds the claim.
            Some(ClaimRecord::Claimed(holder)) if *holder == claim => ClaimAnswer::Granted,
            Some(ClaimRecord::Claimed(_)) => ClaimAnswer::Taken,
            Some(ClaimRecord::Released(released)) if *released == claim => ClaimAnswer::GivenUp,
            Some(ClaimRecord::Released(_)) | None => {
                self.records.insert(key, ClaimRecord::Claimed(claim));
                ClaimAnswer::Granted
            }
        }
    }

    /// Records the answer of a request that ran under `claim`.
    pub fn complete(&mut self, key: &OnceKey, claim: &ClaimId, answer: RecordedAnswer) {
        if let Some(record) = self.records.get_mut(key)
            && *record == ClaimRecord::Claimed(claim.clone())
        {
            *record = ClaimRecord::Completed(answer);
        }
    }

    /// Gives a claim up that was never dispatched. Also remembered when the
    /// claim itself has not arrived, so that a late claim is not granted.
    pub fn release(&mut self, key: OnceKey, claim: ClaimId) {
        match self.records.get(&key) {
            Some(ClaimRecord::Claimed(holder)) if *holder == claim => {
                self.records.insert(key, ClaimRecord::Released(claim));
            }
            None => {
                self.records.insert(key, ClaimRecord::Released(claim));
            }
            Some(_) => {}
        }
    }

    /// Number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Highest wall clock seen, in Unix milliseconds.
    pub fn wall_ms(&self) -> Millis {
        self.wall_ms
    }
}
