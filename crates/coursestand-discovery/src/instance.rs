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

/// An instance on its way between processes. Clocks differ between processes,
/// so the cold time is what is left of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceNews {
    /// The instance.
    pub instance: Instance,
    /// How much longer it is cold, in milliseconds.
    pub cold_ms: Millis,
}
