//! The once ledger: an idempotency key is claimed before its request is dispatched, and
//! only one dispatch is ever granted the claim.
//!
//! A key carries its time of issue. Keys older than the retention are refused, and
//! records are dropped for exactly those keys, so a request whose record was dropped
//! can't run again. The wall clock of the ledger is the highest one in any command: it
//! never goes back.

use std::collections::BTreeMap;

use coursestand_model::bundle::Once;
use coursestand_model::{DaemonId, Millis, ServiceId};
use serde::{Deserialize, Serialize};

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Longest answer body that is recorded for retransmitted requests, in bytes.
pub const MAX_RECORDED_BYTES: usize = 4096;

/// A caller's idempotency key for a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OnceKey {
    /// Time of issue in Unix milliseconds.
    pub issued_ms: u64,
    /// Requested service.
    pub service: ServiceId,
    /// Unique text chosen by the caller.
    pub unique: String,
}

impl OnceKey {
    /// Parses `<issued Unix milliseconds>-<unique text>`. Returns `None` if the text is
    /// malformed or longer than [`MAX_KEY_BYTES`].
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

/// Identifies one attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimId {
    /// Daemon that would dispatch the request.
    pub daemon: DaemonId,
    /// Sequence number of the attempt, increasing per daemon.
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

/// A daemon's command to the ledger.
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
    /// Abandons a claim whose request was not dispatched.
    Release {
        /// The key.
        key: OnceKey,
        /// The attempt.
        claim: ClaimId,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimRecord {
    /// The request is dispatched or about to be.
    Claimed(ClaimId),
    /// Abandoned before dispatch; another attempt may claim the key.
    Released(ClaimId),
    /// The request ran, with this answer.
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
    /// The key is older than the retention: its request may have run and its record been
    /// dropped.
    TooOld,
    /// The key's time of issue is further in the future than the allowed clock skew.
    FromFuture,
    /// This attempt was already abandoned.
    GivenUp,
}

/// Claims by key, ordered by time of issue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceLedger {
    wall_ms: u64,
    /// Keys issued before this time are refused. Never decreases, so that a bundle with a
    /// longer retention can't readmit keys whose records were dropped.
    floor_ms: u64,
    records: BTreeMap<OnceKey, ClaimRecord>,
}

impl OnceLedger {
    /// Advances the ledger's wall clock and drops records older than the retention.
    pub fn advance(&mut self, wall_ms: u64, rules: Once) {
        self.wall_ms = self.wall_ms.max(wall_ms);
        let oldest = self.wall_ms.saturating_sub(rules.retention_ms);
        self.floor_ms = self.floor_ms.max(oldest);
        while let Some(oldest_record) = self.records.first_entry() {
            if oldest_record.key().issued_ms >= self.floor_ms {
                break;
            }
            oldest_record.remove();
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
            // A retransmission by the attempt that already holds the claim.
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

    /// Abandons a claim whose request was not dispatched. Also recorded when the claim
    /// itself has not arrived, so that a late claim is not granted.
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

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the highest wall clock of any command, in Unix milliseconds.
    pub fn wall_ms(&self) -> Millis {
        self.wall_ms
    }
}
