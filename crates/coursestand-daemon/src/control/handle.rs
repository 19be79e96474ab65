//! The handle through which other services use the replica of this process.

use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_consensus::Membership;
use coursestand_coordination::{Command, CommandAnswer, OrderFence};
use tokio::sync::{Notify, oneshot};

use crate::control::error::ControlError;
use crate::control::event::{Committed, Event};
use crate::control::identity::Identity;
use crate::control::shared::ControlShared;
use crate::control::tenure::Tenure;

/// Handle of the control replica for the other services.
pub struct ControlHandle {
    /// State shared by the parts of the replica.
    pub shared: Arc<ControlShared>,
    /// Wakes the leader's duties.
    pub duties: Notify,
    events: Sender<Event>,
    tenure: Mutex<Option<Tenure>>,
}

impl ControlHandle {
    /// Returns a handle to the driver that receives `events`.
    pub fn new(shared: Arc<ControlShared>, events: Sender<Event>) -> ControlHandle {
        ControlHandle {
            shared,
            duties: Notify::new(),
            events,
            tenure: Mutex::new(None),
        }
    }

    /// Sends an event to the driver.
    pub fn deliver(&self, event: Event) -> Result<(), ControlError> {
        self.events.send(event).map_err(|_| ControlError::Stopped)
    }

    /// Proposes a command. Returns once it is committed and applied on this replica.
    pub async fn propose(&self, command: Command) -> Result<CommandAnswer, ControlError> {
        let committed = self.propose_fenced(command, None).await?;
        Ok(committed.answer)
    }

    /// Proposes a command if nothing that it concerns was ordered after `fence`; otherwise fails
    /// with [`ControlError::Superseded`]. Returns once it is committed and applied on this replica.
    pub async fn propose_fenced(
        &self,
        command: Command,
        fence: Option<OrderFence>,
    ) -> Result<Committed, ControlError> {
        if self.shared.leading_term().is_none() {
            return Err(ControlError::NotLeader);
        }
        let (reply, answer) = oneshot::channel();
        self.deliver(Event::Propose {
            command: Box::new(command),
            fence,
            reply,
        })?;
        answer.await.map_err(|_| ControlError::Stopped)?
    }

    /// Proposes a membership change. Returns once it is committed.
    pub async fn change_members(&self, next: Membership) -> Result<Committed, ControlError> {
        let (reply, answer) = oneshot::channel();
        self.deliver(Event::ChangeMembers { next, reply })?;
        answer.await.map_err(|_| ControlError::Stopped)?
    }

    /// Makes this blank replica a member of a group.
    pub async fn join(
        &self,
        identity: Identity,
        voters: Vec<(u64, String)>,
    ) -> Result<(), ControlError> {
        let (reply, answer) = oneshot::channel();
        self.deliver(Event::Join {
            identity,
            voters,
            reply,
        })?;
        answer.await.map_err(|_| ControlError::Stopped)?
    }

    /// Returns the tenure of the term in which this replica holds the leader lease, and the
    /// current time on its clock. The tenure of an earlier term is dropped.
    pub fn tenure(&self) -> Option<(MutexGuard<'_, Option<Tenure>>, u64)> {
        let mut guard = self.tenure.lock().unwrap_or_else(PoisonError::into_inner);
        // Time and lease are read under the lock, in this order: all follower leases granted
        // at this time are covered by this leader lease.
        let now = self.shared.clock.now();
        let term = self.shared.leading_term()?;
        let known = guard.as_ref().map(|tenure| tenure.term);
        if known != Some(term) {
            *guard = Some(Tenure::new(term, now));
        }
        Some((guard, now))
    }
}
