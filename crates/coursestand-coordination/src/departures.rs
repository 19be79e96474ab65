//! Back ends whose order to leave was acknowledged. The orders are part of the replicated state,
//! so that a heartbeat that was delayed does not bring a back end back after every process has
//! lost its memory.

use std::collections::BTreeMap;

use coursestand_model::{BackendId, Millis};
use serde::{Deserialize, Deserializer, Serialize};

use crate::tables::ControlVersion;

/// Time on the replicated clock for which a departure is kept. A back end that still leaves then
/// repeats its order.
pub const RETENTION_MS: Millis = 15 * 60 * 1_000;
/// Maximum number of departures; the oldest ones give way.
pub const MAX_DEPARTURES: usize = 16_384;
/// Maximum size of the identities of all departures in bytes.
pub const MAX_IDENTITY_BYTES: usize = 1024 * 1024;

/// An incarnation of a back end that leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The back end.
    pub backend: BackendId,
    /// Start time of the incarnation in Unix milliseconds, if the back end reports it. Otherwise
    /// all incarnations leave.
    pub born: Option<Millis>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    born: Option<Millis>,
    recorded_at: Millis,
    index: ControlVersion,
}

/// The departures of back ends, by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    records: BTreeMap<BackendId, Record>,
    /// Identities in the order of their records.
    order: BTreeMap<ControlVersion, BackendId>,
    identity_bytes: usize,
    version: ControlVersion,
}

impl Departures {
    /// Records a departure at `clock` by the command at `index`, and drops the oldest ones.
    pub fn record(&mut self, departure: &Departure, clock: Millis, index: ControlVersion) {
        let previous = self.remove(&departure.backend);
        let record = Record {
            born: departure.born.max(previous.and_then(|record| record.born)),
            recorded_at: clock,
            index,
        };
        self.identity_bytes += departure.backend.as_str().len();
        self.order.insert(index, departure.backend.clone());
        self.records.insert(departure.backend.clone(), record);
        self.version = index;
        self.drop_oldest(clock);
    }

    /// Returns whether the departure of this incarnation is recorded. An incarnation without a
    /// start time counts as the recorded one.
    pub fn includes(&self, backend: &BackendId, born: Option<Millis>) -> bool {
        let Some(record) = self.records.get(backend) else {
            return false;
        };
        let start_times = born.zip(record.born);
        start_times.is_none_or(|(born, departed)| born <= departed)
    }

    /// Iterates over all departures.
    pub fn iter(&self) -> impl Iterator<Item = Departure> {
        self.records.iter().map(|(backend, record)| Departure {
            backend: backend.clone(),
            born: record.born,
        })
    }

    /// Returns the number of departures.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no departures.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the index of the latest change.
    pub fn version(&self) -> ControlVersion {
        self.version
    }

    fn remove(&mut self, backend: &BackendId) -> Option<Record> {
        let record = self.records.remove(backend)?;
        self.order.remove(&record.index);
        self.identity_bytes -= backend.as_str().len();
        Some(record)
    }

    /// Drops departures that have expired, and the oldest ones beyond the limits; the newest one
    /// is kept.
    fn drop_oldest(&mut self, clock: Millis) {
        while self.len() > 1 {
            let Some(oldest) = self.order.values().next().cloned() else {
                return;
            };
            let is_expired = self
                .records
                .get(&oldest)
                .is_some_and(|record| clock.saturating_sub(record.recorded_at) > RETENTION_MS);
            let is_over_limit =
                self.len() > MAX_DEPARTURES || self.identity_bytes > MAX_IDENTITY_BYTES;
            if !is_expired && !is_over_limit {
                return;
            }
            self.remove(&oldest);
        }
    }
}

/// Reads the last field of an encoded state. A state from an older process ends before it.
pub(crate) fn trailing_departures<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Departures, D::Error> {
    // Nothing follows, so the only possible error is missing bytes.
    Ok(Departures::deserialize(deserializer).unwrap_or_default())
}
