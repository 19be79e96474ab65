//! Events that the driver of a replica handles.

use std::net::SocketAddr;

use coursestand_consensus::{LogIndex, Membership, Message, ReplicaId};
use coursestand_coordination::{Command, CommandAnswer, OrderFence};
use tokio::sync::oneshot;

use crate::control::error::ControlError;
use crate::control::identity::Identity;

/// A committed and applied proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// Answer of the replicated state.
    pub answer: CommandAnswer,
    /// Index of the entry in the log; `None` if the proposal was refused before it was appended.
    pub index: Option<LogIndex>,
}

/// Channel for the result of a proposal.
pub type ProposalReply = oneshot::Sender<Result<Committed, ControlError>>;

/// An event for the driver of a replica.
pub enum Event {
    /// A message of another replica.
    Message {
        /// The sender.
        from: ReplicaId,
        /// Address at which the sender is reached, if it told.
        reply_to: Option<SocketAddr>,
        /// The message.
        message: Message,
    },
    /// A command for the state machine.
    Propose {
        /// The command.
        command: Box<Command>,
        /// If set, the command is proposed only if nothing that it concerns was ordered since.
        fence: Option<OrderFence>,
        /// Receives the answer once the command is committed and applied.
        reply: ProposalReply,
    },
    /// A change of the group's membership.
    ChangeMembers {
        /// The new members.
        next: Membership,
        /// Receives `Done` once the change is committed.
        reply: ProposalReply,
    },
    /// Makes a blank replica a member.
    Join {
        /// Its identity.
        identity: Identity,
        /// The initial voters; for a learner, the members that it can answer.
        voters: Vec<(ReplicaId, String)>,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), ControlError>>,
    },
    /// Transfers the leadership to another voter before a planned stop.
    TransferLeadership,
    /// Ends the driver.
    Stop,
}
