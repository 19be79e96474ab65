//! Proposes commands to the control group: on this replica if it leads, otherwise through the
//! leader.

use std::sync::Arc;

use coursestand_coordination::{Command, OrderFence};
use tokio::time::Instant;

use crate::control::handle::ControlHandle;
use crate::fleet::peer_links::{AskError, PeerLinks};
use crate::fleet::questions::propose;
use crate::fleet::wire::{Answer, Question, TrailingIndex};

/// Proposes commands on this replica, or through the leader.
#[derive(Clone)]
pub struct Proposals {
    /// The replica of this process.
    pub control: Arc<ControlHandle>,
    /// Connections over which the leader is reached.
    pub links: Arc<PeerLinks>,
}

impl Proposals {
    /// Proposes a command once, unless something that it concerns was ordered after `fence`.
    /// [`Answer::NotLeader`] means that it has no effect and may be proposed again.
    pub async fn propose(
        &self,
        command: Command,
        fence: Option<OrderFence>,
        deadline: Instant,
    ) -> Answer {
        if self.leads() {
            let proposing = propose(&self.control, command, fence);
            return match tokio::time::timeout_at(deadline, proposing).await {
                Ok(answer) => answer,
                Err(_) => Answer::Unknown("not committed before the deadline".to_owned()),
            };
        }
        let Some(leader) = self.control.shared.leader_address() else {
            return Answer::NotLeader;
        };
        let fence = TrailingIndex::from(fence.map(|fence| fence.0));
        let question = Question::Propose(command, fence);
        let remaining = deadline.saturating_duration_since(Instant::now());
        match self.links.ask(leader, question, remaining).await {
            Ok(answer) => answer,
            // The leader has not seen the command.
            Err(AskError::NotSent) => Answer::NotLeader,
            Err(error) => Answer::Unknown(error.to_string()),
        }
    }

    /// Returns whether this replica leads.
    pub fn leads(&self) -> bool {
        self.control.shared.leading_term().is_some()
    }
}
