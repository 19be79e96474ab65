//! Messages between daemons and control replicas, their source of control state.

use std::net::SocketAddr;

use coursestand_model::{BackendId, DaemonId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::command::BackendEpoch;
use crate::followers::Progress;
use crate::once::{ClaimAnswer, OnceCommand};
use crate::tables::{ControlVersion, Delta, MemberPhase};

/// A daemon's request for changes of the control state and for a lease. The source may
/// defer its answer until there are changes (long poll).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Requesting daemon.
    pub daemon: DaemonId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Address for callers; `None` unless it is an entry daemon.
    pub address: Option<String>,
    /// Whether callers should be sent to it.
    pub phase: MemberPhase,
    /// Version of the rows that it holds.
    pub have: ControlVersion,
    /// Versions that its decisions use.
    pub progress: Progress,
}

/// Slots that a daemon would use on one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// The service.
    pub service: ServiceId,
    /// The zone of the back ends.
    pub zone: ZoneId,
    /// Peak number of requests in flight, waiting for a slot, or refused for lack of one.
    pub wanted: u32,
}

/// A daemon's observations of the back ends on which it holds slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRequest {
    /// Reporting daemon.
    pub daemon: DaemonId,
    /// Its demand.
    pub demand: Vec<DemandRow>,
    /// Back ends that answer.
    pub reachable: Vec<BackendId>,
    /// Back ends that don't answer.
    pub unreachable: Vec<BackendId>,
    /// Back ends that announced that they are leaving.
    pub leaving: Vec<BackendEpoch>,
}

/// A message to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Requests changes of the control state and a lease.
    Follow(FollowRequest),
    /// Reports demand and the health of back ends.
    Report(ReportRequest),
    /// A command for the once ledger.
    Once(OnceCommand),
    /// An encoded message of the consensus group.
    Consensus(Vec<u8>),
}

/// Answer of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Changes, with a lease that the daemon counts from before it sent the request.
    Follow(Delta),
    /// Accepted.
    Done,
    /// Answer to a claim.
    Claim(ClaimAnswer),
    /// This replica is not the leader; carries the leader's address if known.
    NotLeader(Option<SocketAddr>),
    /// Refused, with the reason.
    Refused(String),
}
