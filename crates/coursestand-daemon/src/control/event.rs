//! What the driver of a replica is asked to do.

use coursestand_consensus::{Membership, Message, ReplicaId};
use coursestand_coordination::{Command, CommandAnswer};
use tokio::sync::oneshot;

use crate::control::error::ControlError;
use crate::control::identity::Identity;

/// Reply to a proposal.
pub type Proposed = oneshot::Sender<Result<CommandAnswer, ControlError>>;

/// What a driver is asked to do.
pub enum Event {
    /// A message of another replica.
    Message {
        /// The sender.
        from: ReplicaId,
        /// What it says.
        message: Message,
    },
    /// A command for the state machine.
    Propose {
        /// The command.
        command: Box<Command>,
        /// Gets the answer once it is committed and applied.
        reply: Proposed,
    },
    /// A change of the group.
    ChangeMembers {
        /// The new members.
        next: Membership,
        /// Gets `Done` once it is committed.
        reply: Proposed,
    },
    /// Makes a blank replica a member.
    Join {
        /// Its identity.
        identity: Identity,
        /// The first voters; for a learner the members that it can answer.
        voters: Vec<(ReplicaId, String)>,
        /// Gets the result.
        reply: oneshot::Sender<Result<(), ControlError>>,
    },
    /// Hands the leadership to another voter, for a planned stop.
    HandOver,
    /// Ends the driver.
    Stop,
}
