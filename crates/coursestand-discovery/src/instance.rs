//! Back ends as they announce themselves.

use std::net::SocketAddr;

use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

/// Lifecycle phase of a back end. It only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstancePhase {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// Has stopped or crashed.
    Gone,
}

/// A back end's announcement of itself. A back end may restart under its identity: each
/// start is a new incarnation, which has no state of the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identity of the back end.
    pub id: BackendId,
    /// Start time of this incarnation, in milliseconds since the Unix epoch by the back
    /// end's own clock; `None` if the sender does not report it. Not encoded with the other
    /// fields: messages between processes carry it separately, where software versions that
    /// do not support it ignore it.
    #[serde(skip)]
    pub born: Option<Millis>,
    /// Service that the back end implements.
    pub service: ServiceId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Software version.
    pub software: String,
    /// Sequence number of the heartbeat with this state; it increases within an
    /// incarnation.
    pub sequence: u64,
    /// Lifecycle phase.
    pub phase: InstancePhase,
}

/// One incarnation of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Identity of the back end.
    pub id: BackendId,
    /// Start time, see [`Instance::born`].
    pub born: Option<Millis>,
}

impl Instance {
    /// Returns the incarnation that this announcement is of.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Returns whether this is a later incarnation of the same back end than `other`. An
    /// announcement without a start time counts as one of the known incarnation.
    pub fn starts_after(&self, other: &Instance) -> bool {
        let start_times = self.born.zip(other.born);
        start_times.is_some_and(|(start, other_start)| start > other_start)
    }

    /// Returns whether this announcement may be of `incarnation`.
    pub fn is_of(&self, incarnation: &Incarnation) -> bool {
        let start_times = self.born.zip(incarnation.born);
        self.id == incarnation.id && start_times.is_none_or(|(start, other)| start == other)
    }
}

/// Message with the state of an instance, sent between processes. Clocks differ between
/// processes, so it carries the remaining cold time instead of its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceUpdate {
    /// The instance.
    pub instance: Instance,
    /// Remaining time for which the instance is cold, in milliseconds.
    pub cold_ms: Millis,
}
