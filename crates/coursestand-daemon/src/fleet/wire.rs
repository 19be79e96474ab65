//! Messages between the processes of a fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use coursestand_catalog::CatalogDelta;
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_discovery::{EdgeRecord, InstanceNews, LinkUse};
use coursestand_model::{BackendId, Millis};
use coursestand_routing::rate_limit::{TokenRequest, TokenVerdict};
use coursestand_routing::{RateLimitUpdate, SharedCrashRecord, SharedFinding, TrialVerdict};
use serde::{Deserialize, Deserializer, Serialize};

use crate::control::shared::LogExtent;

/// What a control process receives on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToControl {
    /// First message of another control process, with its own address.
    PeerHello(SocketAddr),
    /// First message of an entry daemon.
    EdgeHello {
        /// What it says of itself.
        record: EdgeRecord,
        /// Newest change of the catalog that it has.
        have: u64,
        /// Whether it reads what other daemons found out of back ends.
        reads_findings: TrailingFlag,
        /// Whether it reads and tells what is known of requests that end back ends.
        reads_cases: TrailingFlag,
        /// Whether it reads and tells rate limits of back ends.
        reads_limits: TrailingFlag,
    },
    /// A message of another control process.
    Peer(PeerMessage),
    /// The entry daemon says something new of itself.
    Edge(EdgeRecord),
    /// The sender lives.
    Ping,
    /// The entry daemon found this run of another one ready, as it was asked to
    /// look.
    FoundReady {
        /// Name of the other one.
        name: String,
        /// Its run.
        incarnation: u64,
    },
    /// The entry daemon lives, and uses this much of its link.
    EdgePing(LinkUse),
    /// The entry daemon has the catalog up to this change, wherever it has it from.
    Have(u64),
    /// Send what the entry daemon lacks of the catalog, which it has up to this change.
    FetchCatalog(u64),
    /// A part of the catalog up to this change arrived: send the next one.
    PartTaken(u64),
    /// What the entry daemon found out of back ends. Only sent to a control
    /// process that has sent such a message itself.
    Findings(Vec<SharedFinding>),
    /// What the entry daemon knows of requests under which back ends ended. Only sent to a
    /// control process that has sent such a message itself, like what follows.
    Cases(Vec<SharedCrashRecord>),
    /// The entry daemon wants to try such a request, of which it knows this. Only a control
    /// process that leads answers.
    AskForTrial(SharedCrashRecord),
    /// What back ends named the entry daemon as their rate limits. Only sent to a control
    /// process that has sent such a message itself, like what follows.
    Limits(Vec<RateLimitUpdate>),
    /// The entry daemon wants to send a request to a rate-limited back end. Only a control
    /// process that leads answers.
    AskForToken {
        /// Number of the question.
        number: u64,
        /// The question.
        request: TokenRequest,
    },
}

/// Whether the sender does something that older processes don't. As one of the last things
/// in its message it is read and left like [`Starts`]: a process that doesn't tell, doesn't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrailingFlag(pub bool);

impl<'de> Deserialize<'de> for TrailingFlag {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // Only such flags follow in the message, so that only missing bytes can be wrong here.
        Ok(TrailingFlag(
            bool::deserialize(deserializer).unwrap_or_default(),
        ))
    }
}

/// When the incarnations in a list of news started, in the list's order.
///
/// It is the last thing in its message. So a process that doesn't know of it reads the
/// message and leaves these bytes, and a message of such a process ends before them: then
/// nothing is told of any start. Processes of both kinds work side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Starts(Vec<Option<Millis>>);

impl Starts {
    /// The starts of these back ends.
    pub fn of(news: &[InstanceNews]) -> Starts {
        Starts(news.iter().map(|one| one.instance.born).collect())
    }

    /// The news with their starts.
    pub fn join(self, mut news: Vec<InstanceNews>) -> Vec<InstanceNews> {
        for (one, born) in news.iter_mut().zip(self.0) {
            one.instance.born = born;
        }
        news
    }
}

impl<'de> Deserialize<'de> for Starts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Starts, D::Error> {
        // Nothing follows in the message, so that only missing bytes can be wrong here.
        Ok(Starts(Vec::deserialize(deserializer).unwrap_or_default()))
    }
}

/// What one control process tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A consensus message in its envelope.
    Consensus(Vec<u8>),
    /// News of back ends; answered with `Taken` when there is a receipt.
    Instances {
        /// The news.
        news: Vec<InstanceNews>,
        /// Number of the receipt that the sender waits for.
        receipt: Option<u64>,
        /// When their incarnations started.
        starts: Starts,
    },
    /// Back ends whose heartbeats the sender got lately.
    Heard(Vec<BackendId>),
    /// The sender is connected with this entry daemon, or no longer.
    Edge {
        /// The entry daemon.
        record: EdgeRecord,
        /// Whether it is connected.
        is_connected: bool,
    },
    /// A question; answered with `Answer` of the same number.
    Ask {
        /// Number of the question.
        number: u64,
        /// The question.
        question: Box<Question>,
    },
}

/// What a control process asks another, mostly the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Commit this command.
    Propose(Command),
    /// The newest catalog.
    ReadCatalog,
    /// Take this replica into the group.
    Join {
        /// Where it is reached.
        address: SocketAddr,
        /// Its identity.
        replica: u64,
    },
}

/// What a control process gets back from another on the connection it made.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The other lives.
    Pong,
    /// The news with this receipt are known there.
    Taken(u64),
    /// Answer to a question.
    Answer {
        /// Number of the question.
        number: u64,
        /// The answer.
        answer: Answer,
    },
}

/// A part of changes of the catalog, which are a packed `ToEdge::Catalog` frame together.
/// Parts of one frame come in their order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CatalogPart {
    /// Newest change that the frame holds.
    pub version: u64,
    /// Bytes of the whole packed frame.
    pub length: usize,
    /// Bytes of it that came before.
    pub offset: usize,
    /// These bytes.
    pub bytes: Vec<u8>,
}

/// Answer to a question.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The command was committed, with this result.
    Command(CommandAnswer),
    /// The newest catalog, whole.
    Catalog(CatalogDelta),
    /// The replica is a member of this group.
    Joined {
        /// The group.
        cluster: u64,
        /// Voters by identity and address.
        voters: Vec<(u64, String)>,
    },
    /// The asked process doesn't lead.
    NotLeader,
    /// The replica is not a member yet; the leader is one of these.
    AskThese(Vec<SocketAddr>),
    /// It is not known whether the command took effect.
    Unknown(String),
}

/// Entry daemons that came and went, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeChange {
    /// Those that came.
    pub came: Vec<String>,
    /// Those that went.
    pub went: Vec<String>,
}

/// The control processes by address, as one of them knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGroup {
    /// All of them.
    pub members: BTreeSet<SocketAddr>,
    /// Those that vote.
    pub voters: BTreeSet<SocketAddr>,
    /// Log index of the change that made the group this one.
    pub changed_at: u64,
}

/// What an entry daemon receives from a control process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEdge {
    /// Answer to one sign of life, in their order. What the control process had
    /// applied when it got the sign was sent before.
    Pong {
        /// How far its log reached then; `None` when it is no voter.
        reach: Option<LogExtent>,
        /// Newest change of the catalog that it had applied, or a later one.
        catalog: u64,
    },
    /// Changes of the catalog.
    Catalog(CatalogDelta),
    /// The catalog is at this change; what the entry daemon lacks of it is too large to be
    /// sent by every control process.
    CatalogIsAt(u64),
    /// A part of what the entry daemon asked for.
    CatalogPart(CatalogPart),
    /// News of back ends, and when their incarnations started.
    Instances(Vec<InstanceNews>, Starts),
    /// How the entry daemons that are connected with the control group changed
    /// since the last such message on this connection; at first there are none.
    Edges(EdgeChange),
    /// The control group.
    Controls(ControlGroup),
    /// Look whether this entry daemon is ready; control can't reach it.
    Probe(EdgeRecord),
    /// What other entry daemons found out of back ends. An empty one comes first: the
    /// control process passes findings on.
    Findings(Vec<SharedFinding>),
    /// What is known of requests under which back ends ended. On a new connection it comes
    /// before the catalog, so that no request is served without it.
    Cases(Vec<SharedCrashRecord>),
    /// Answer to a daemon that wants to try such a request.
    Trial(TrialVerdict),
    /// What back ends named other entry daemons as their rate limits. On a new connection it
    /// follows the back ends.
    Limits(Vec<RateLimitUpdate>),
    /// Answer to a daemon that wants to send a request to a rate-limited back end.
    Token {
        /// Number of the question.
        number: u64,
        /// The answer.
        verdict: TokenVerdict,
    },
}
