//! Answers to the questions of other control processes.

use coursestand_coordination::{Command, OrderFence};

use crate::control::error::ControlError;
use crate::control::handle::ControlHandle;
use crate::fleet::listener::ConnectionContext;
use crate::fleet::wire::{Answer, Question, TrailingFlag, TrailingIndex};

/// Answers a question of another control process.
pub(super) async fn answer(context: &ConnectionContext, question: Question) -> Answer {
    match question {
        Question::Propose(command, fence) => {
            propose(&context.control, command, fence.fence()).await
        }
        Question::ReadCatalog {
            version_only: TrailingFlag(version_only),
        } => answer_read(&context.control, version_only),
        Question::Join { address, replica } => context.formation.admit(address, replica),
        Question::Leave { replica } => context.formation.release(replica).await,
    }
}

/// Commits a command on this replica, if it is the leader and nothing that the command concerns
/// was ordered after `fence`.
pub async fn propose(
    control: &ControlHandle,
    command: Command,
    fence: Option<OrderFence>,
) -> Answer {
    match control.propose_fenced(command, fence).await {
        Ok(committed) => Answer::Command(committed.answer, TrailingIndex::from(committed.index)),
        Err(ControlError::Superseded { applied }) => Answer::Superseded { applied },
        Err(ControlError::NotLeader | ControlError::NotJoined) => Answer::NotLeader,
        Err(error) => Answer::Unknown(error.to_string()),
    }
}

fn answer_read(control: &ControlHandle, version_only: bool) -> Answer {
    let Some(version) = newest_catalog_version(control) else {
        return Answer::NotLeader;
    };
    if version_only {
        return Answer::CatalogVersion(version);
    }
    Answer::Catalog(control.shared.state().shared_catalog().delta(0))
}

/// Returns the version of the newest catalog, if this replica is the leader.
pub fn newest_catalog_version(control: &ControlHandle) -> Option<u64> {
    let version = control.shared.state().catalog().version();
    // Checked after the read, so that no other leader can have committed before it.
    control.shared.leading_term().map(|_| version)
}
