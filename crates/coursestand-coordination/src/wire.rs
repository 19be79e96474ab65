//! Messages between daemons and their source of control state.

use std::net::SocketAddr;

use coursestand_model::{BackendId, DaemonId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::command::BackendEpoch;
use crate::followers::Progress;
use crate::once::{ClaimAnswer, OnceCommand};
use crate::tables::{ControlVersion, Delta, MemberPhase};

/// A daemon asks for news and for its lease. The source may hold the request
/// until there is news.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Who asks.
    pub daemon: DaemonId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Address for callers, when it is an entry daemon.
    pub address: Option<String>,
    /// Whether callers should be sent to it.
    pub phase: MemberPhase,
    /// Version of the rows that it holds.
    pub have: ControlVersion,
    /// What it decides on.
    pub progress: Progress,
}

/// Slots that a daemon would use on one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRow {
    /// The service.
    pub service: ServiceId,
    /// The zone of the back ends.
    pub zone: ZoneId,
    /// Requests in flight, waiting or refused for lack of a slot at the peak.
    pub wanted: u32,
}

/// What a daemon saw of the back ends on which it holds slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportRequest {
    /// Who reports.
    pub daemon: DaemonId,
    /// Its demand.
    pub demand: Vec<DemandRow>,
    /// Back ends that answer.
    pub reachable: Vec<BackendId>,
    /// Back ends that don't answer.
    pub unreachable: Vec<BackendId>,
    /// Back ends that said they are leaving.
    pub leaving: Vec<BackendEpoch>,
}

/// A message to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Asks for news and a lease.
    Follow(FollowRequest),
    /// Reports demand and the health of back ends.
    Report(ReportRequest),
    /// A command for the once ledger.
    Once(OnceCommand),
    /// A message of the consensus group, encoded by it.
    Consensus(Vec<u8>),
}

/// Answer of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// News, and a lease counted from before the request was sent.
    Follow(Delta),
    /// Taken.
    Done,
    /// Answer to a claim.
    Claim(ClaimAnswer),
    /// This replica can't answer; the leader may be there.
    NotLeader(Option<SocketAddr>),
    /// Refused, with the reason.
    Refused(String),
}
