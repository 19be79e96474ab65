//! Messages between the processes of a fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use coursestand_catalog::CatalogDelta;
use coursestand_coordination::{Command, CommandAnswer, OrderFence};
use coursestand_discovery::{
    ConnectionDigest, EdgeRecord, InstanceUpdate, LinkUse, RelayEndpoint, RelayPeer,
};
use coursestand_model::{BackendId, Millis};
use coursestand_routing::rate_limit::{TokenRequest, TokenVerdict};
use coursestand_routing::{RateLimitUpdate, SharedCrashRecord, SharedFinding, TrialVerdict};
use serde::{Deserialize, Deserializer, Serialize};

use crate::control::shared::LogExtent;

/// Messages that a control process receives on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToControl {
    /// First message of another control process, with its own address.
    PeerHello(SocketAddr),
    /// First message of an entry daemon on a connection.
    EdgeHello {
        /// Identity, addresses and phase of the daemon.
        record: EdgeRecord,
        /// Newest catalog version that the daemon has.
        catalog_version: u64,
        /// Whether the daemon accepts findings of other daemons about back ends.
        reads_findings: TrailingFlag,
        /// Whether the daemon sends and accepts crash records of requests.
        reads_crash_records: TrailingFlag,
        /// Whether the daemon sends and accepts rate limits of back ends.
        reads_limits: TrailingFlag,
        /// Whether the daemon relays requests to other daemons.
        reads_relays: TrailingFlag,
    },
    /// A message of another control process.
    Peer(PeerMessage),
    /// The entry daemon's record changed.
    Edge(EdgeRecord),
    /// Keep-alive of another control process, with the digest of the entry daemons that it is
    /// connected with.
    Ping(TrailingDigest),
    /// The entry daemon probed another one at the control process's request and found it ready.
    ProbeSucceeded {
        /// Name of the probed daemon.
        name: String,
        /// Incarnation of the probed daemon.
        incarnation: u64,
    },
    /// Keep-alive of the entry daemon, with the utilization of its link.
    EdgePing(LinkUse),
    /// The entry daemon has the catalog up to this version, from any control process.
    HaveCatalog(u64),
    /// Requests the catalog changes after this version, which the entry daemon has.
    FetchCatalog(u64),
    /// A part of the catalog changes up to this version arrived; requests the next part.
    PartReceived(u64),
    /// Findings of the entry daemon about back ends. Sent only to a control process that has
    /// sent a `Findings` message itself.
    Findings(Vec<SharedFinding>),
    /// Crash records of requests that the entry daemon has. Sent only to a control process that
    /// has sent a `CrashRecords` message itself; the same holds for `RequestTrial`.
    CrashRecords(Vec<SharedCrashRecord>),
    /// Requests a trial of a suspect request, with the daemon's crash record of it. Only the
    /// leader answers.
    RequestTrial(SharedCrashRecord),
    /// Rate limits that back ends reported to the entry daemon. Sent only to a control process
    /// that has sent a `Limits` message itself; the same holds for `RequestToken`.
    Limits(Vec<RateLimitUpdate>),
    /// Requests a token for a rate-limited back end. Only the leader answers.
    RequestToken {
        /// Number of the token request, repeated in the answer.
        number: u64,
        /// Back end and daemon that the token is for.
        request: TokenRequest,
    },
    /// Where the entry daemon accepts relayed requests. Sent only to a control process that has
    /// sent a `Relays` message itself; the same holds for the next two.
    RelayEndpoint(RelayEndpoint),
    /// Requests the daemons to which requests may be relayed.
    FindRelays,
    /// Whether the entry daemon is partitioned from all back ends.
    Partitioned(bool),
}

/// Whether the sender supports a feature that older processes lack. Like [`StartTimes`], such
/// flags are the last fields of their message: older processes ignore them, and a message from
/// an older process reads as `false`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrailingFlag(pub bool);

impl<'de> Deserialize<'de> for TrailingFlag {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Only trailing flags follow in the message, so the only possible error is missing
        // bytes.
        Ok(TrailingFlag(
            bool::deserialize(deserializer).unwrap_or_default(),
        ))
    }
}

/// An index of the log. Like [`TrailingFlag`], it is the last field of its message: a message from
/// an older process reads as no index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrailingIndex(Option<u64>);

impl From<Option<u64>> for TrailingIndex {
    fn from(index: Option<u64>) -> TrailingIndex {
        TrailingIndex(index)
    }
}

impl From<OrderFence> for TrailingIndex {
    fn from(fence: OrderFence) -> TrailingIndex {
        TrailingIndex(Some(fence.0))
    }
}

impl TrailingIndex {
    /// Returns the index, if there is one.
    pub fn index(self) -> Option<u64> {
        self.0
    }

    /// Returns the index as the fence of a proposed command.
    pub fn fence(self) -> Option<OrderFence> {
        self.0.map(OrderFence)
    }
}

impl<'de> Deserialize<'de> for TrailingIndex {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Nothing follows in the message, so the only possible error is missing bytes.
        Ok(TrailingIndex(
            Option::deserialize(deserializer).unwrap_or_default(),
        ))
    }
}

/// Digest of the entry daemons that the sender is connected with. Like [`TrailingFlag`], it is the
/// last field of its message: a message from an older process reads as no digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrailingDigest(pub Option<ConnectionDigest>);

impl<'de> Deserialize<'de> for TrailingDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Nothing follows in the message, so the only possible error is missing bytes.
        Ok(TrailingDigest(
            Option::deserialize(deserializer).unwrap_or_default(),
        ))
    }
}

/// Start times of the incarnations in a list of instance updates, in the list's order.
///
/// This is the last field of its message. A process that does not support the field ignores
/// the trailing bytes, and a message from such a process ends before them and decodes without start
/// times. So processes of both versions work side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StartTimes(Vec<Option<Millis>>);

impl StartTimes {
    /// Collects the start times of these updates.
    pub fn of(updates: &[InstanceUpdate]) -> StartTimes {
        StartTimes(updates.iter().map(|update| update.instance.born).collect())
    }

    /// Returns the updates with their start times filled in.
    pub fn join(self, mut updates: Vec<InstanceUpdate>) -> Vec<InstanceUpdate> {
        for (update, born) in updates.iter_mut().zip(self.0) {
            update.instance.born = born;
        }
        updates
    }
}

impl<'de> Deserialize<'de> for StartTimes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<StartTimes, D::Error> {
        // Nothing follows in the message, so the only possible error is missing bytes.
        Ok(StartTimes(
            Vec::deserialize(deserializer).unwrap_or_default(),
        ))
    }
}

/// Messages from one control process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A consensus message in its envelope, encoded.
    Consensus(Vec<u8>),
    /// Updates of back ends; acknowledged with `Received` if there is a receipt number.
    Instances {
        /// The updates.
        updates: Vec<InstanceUpdate>,
        /// Receipt number, if the sender waits for an acknowledgement.
        receipt: Option<u64>,
        /// Start times of the updated incarnations.
        starts: StartTimes,
    },
    /// Back ends whose heartbeats the sender received since its last such message.
    HeartbeatsReceived(Vec<BackendId>),
    /// The sender's connection with an entry daemon was established or lost.
    Edge {
        /// The entry daemon.
        record: EdgeRecord,
        /// Whether the sender is connected with it.
        is_connected: bool,
    },
    /// A question; answered with an `Answer` of the same number.
    Ask {
        /// Number of the question, repeated in the answer.
        number: u64,
        /// The question.
        question: Box<Question>,
    },
    /// All entry daemons that the sender is connected with. Sent only to a process that asks for
    /// it by [`PeerReply::ReportEdges`].
    Edges(Vec<EdgeRecord>),
}

/// Requests from one control process to another, mostly to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Commit this command, unless something that it concerns was ordered after the fence. An older
    /// leader ignores the fence.
    Propose(Command, TrailingIndex),
    /// Read the newest catalog.
    ReadCatalog {
        /// Whether the sender needs only the version, and reads its own copy once that has it.
        /// An older leader ignores this and answers with the catalog.
        version_only: TrailingFlag,
    },
    /// Add this replica to the group.
    Join {
        /// Internal address of the replica.
        address: SocketAddr,
        /// Identity of the replica.
        replica: u64,
    },
    /// Remove this replica from the group, because it stops as planned. A process of an older
    /// version can't read this and closes the connection.
    Leave {
        /// Identity of the replica.
        replica: u64,
    },
}

/// Answers to [`Question::Leave`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveAnswer {
    /// The replica is not a member any more.
    Removed,
    /// The replica stays a member: the group would tolerate too few losses without it.
    Needed,
}

/// Replies that a control process receives on a connection that it opened to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answer to `Ping`.
    Pong,
    /// The updates with this receipt number were received.
    Received(u64),
    /// Answer to a question.
    Answer {
        /// Number of the question.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// Requests a report of all connected entry daemons, since the last digest did not match. Sent
    /// only to a process that sends digests.
    ReportEdges,
}

/// A part of a compressed `ToEdge::Catalog` frame. The parts of one frame are sent in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CatalogPart {
    /// Newest catalog version in the frame.
    pub version: u64,
    /// Length of the whole compressed frame in bytes.
    pub length: usize,
    /// Offset of this part in the compressed frame, in bytes.
    pub offset: usize,
    /// Content of this part.
    pub bytes: Vec<u8>,
}

/// Answers to [`Question`]s.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The command was committed with this result, at this index of the log.
    Command(CommandAnswer, TrailingIndex),
    /// The newest catalog, complete.
    Catalog(CatalogDelta),
    /// The replica is a member of this group.
    Joined {
        /// Identity of the group.
        cluster: u64,
        /// Voters by replica identity and address.
        voters: Vec<(u64, String)>,
    },
    /// The receiver of the question is not the leader.
    NotLeader,
    /// The replica is not a member; the leader is one of these processes.
    AskThese(Vec<SocketAddr>),
    /// It is unknown whether the command took effect; the text says why.
    Unknown(String),
    /// Version of the newest catalog; sent only if the question asks for it.
    CatalogVersion(u64),
    /// The command was not proposed: something that it concerns was ordered after its fence. Sent
    /// only if the question has a fence.
    Superseded {
        /// Index up to which the leader has applied the log.
        applied: u64,
    },
    /// Whether the replica left the group; sent only if it asked for that.
    Leave(LeaveAnswer),
}

/// Entry daemons that connected or disconnected, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeChanges {
    /// Daemons that connected.
    pub added: Vec<String>,
    /// Daemons that disconnected.
    pub removed: Vec<String>,
}

/// Members of the control group by address, as one of them sees the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGroup {
    /// Voters and learners.
    pub members: BTreeSet<SocketAddr>,
    /// Voters only.
    pub voters: BTreeSet<SocketAddr>,
    /// Log index of the membership change that led to this group.
    pub changed_at: u64,
}

/// Messages that an entry daemon receives from a control process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEdge {
    /// Answer to one `EdgePing`, in the order of the pings. All that the control process had
    /// applied when it received the ping was sent before this answer.
    Pong {
        /// Extent of its log at that time; `None` if it is not a voter.
        reach: Option<LogExtent>,
        /// Catalog version that it had applied at that time, or a later one.
        catalog: u64,
    },
    /// Changes of the catalog.
    Catalog(CatalogDelta),
    /// The control process's catalog version; the changes that the entry daemon lacks are too
    /// large to be pushed by every control process.
    CatalogVersion(u64),
    /// A part of the catalog changes that the entry daemon requested.
    CatalogPart(CatalogPart),
    /// Updates of back ends, and the start times of their incarnations.
    Instances(Vec<InstanceUpdate>, StartTimes),
    /// Changes of the set of connected entry daemons since the last such message on this
    /// connection; the set is empty at first.
    Edges(EdgeChanges),
    /// Members of the control group.
    Controls(ControlGroup),
    /// Requests a readiness probe of this entry daemon, which the control process can't reach.
    Probe(EdgeRecord),
    /// Findings of other entry daemons about back ends. An empty list is sent first and
    /// announces that the control process relays findings.
    Findings(Vec<SharedFinding>),
    /// Crash records of requests. On a new connection they precede the catalog, so that no
    /// request is served without them.
    CrashRecords(Vec<SharedCrashRecord>),
    /// Answer to `ToControl::RequestTrial`.
    Trial(TrialVerdict),
    /// Rate limits that back ends reported to other entry daemons. On a new connection they
    /// follow the back ends.
    Limits(Vec<RateLimitUpdate>),
    /// Answer to `ToControl::RequestToken`.
    Token {
        /// Number of the token request.
        number: u64,
        /// Whether a token is granted.
        verdict: TokenVerdict,
    },
    /// Daemons to which requests may be relayed. An empty list is sent first and announces that
    /// the control process supports relays.
    Relays(Vec<RelayPeer>),
}
