//! A back end as it tells of itself.

use std::net::SocketAddr;

use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

/// Where a back end is in its life. It only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstancePhase {
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes no new requests.
    Draining,
    /// Has ended.
    Gone,
}

/// What a back end says of itself. It may start again under its identity: each start is
/// another incarnation, which knows nothing of the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its identity.
    pub id: BackendId,
    /// When this incarnation started, in milliseconds since the Unix epoch by the back
    /// end's own clock; none where its writer doesn't tell. Not encoded here: messages
    /// between processes carry it beside, where processes that don't know of it leave it.
    #[serde(skip)]
    pub born: Option<Millis>,
    /// The service that it implements.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it works on at the same time.
    pub capacity: u32,
    /// Version of its software.
    pub software: String,
    /// Number of the heartbeat that said so; a later one of the same incarnation has a
    /// higher number.
    pub sequence: u64,
    /// Where it is in its life.
    pub phase: InstancePhase,
}

/// One incarnation of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// The back end.
    pub id: BackendId,
    /// When it started, see [`Instance::born`].
    pub born: Option<Millis>,
}

impl Instance {
    /// The incarnation that says so.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Whether this is a later incarnation of the same back end than `other`. What is told
    /// without a start is taken to be of the incarnation that is known.
    pub fn starts_after(&self, other: &Instance) -> bool {
        let births = self.born.zip(other.born);
        births.is_some_and(|(own, others)| own > others)
    }

    /// Whether `incarnation` may be the one that says so.
    pub fn is_of(&self, incarnation: &Incarnation) -> bool {
        let births = self.born.zip(incarnation.born);
        self.id == incarnation.id && births.is_none_or(|(own, other)| own == other)
    }
}

/// An instance on its way between processes. Clocks differ between processes,
/// so the cold time is what is left of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceNews {
    /// The instance.
    pub instance: Instance,
    /// How much longer it is cold, in milliseconds.
    pub cold_ms: Millis,
}
