//! The handle by which other parts use the replica of this process.

use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coursestand_consensus::Membership;
use coursestand_coordination::{Command, CommandAnswer};
use tokio::sync::{Notify, oneshot};

use crate::control::error::ControlError;
use crate::control::event::Event;
use crate::control::identity::Identity;
use crate::control::shared::ControlShared;
use crate::control::tenure::Tenure;

/// Handle of the control replica for the other services.
pub struct ControlHandle {
    /// What the parts of the replica share.
    pub shared: Arc<ControlShared>,
    /// Wakes the leader's duties.
    pub duties: Notify,
    events: Sender<Event>,
    tenure: Mutex<Option<Tenure>>,
}

impl ControlHandle {
    /// A handle of the driver that reads `events`.
    pub fn new(shared: Arc<ControlShared>, events: Sender<Event>) -> ControlHandle {
        ControlHandle {
            shared,
            duties: Notify::new(),
            events,
            tenure: Mutex::new(None),
        }
    }

    /// Sends a message of another replica to the driver.
    pub fn deliver(&self, event: Event) -> Result<(), ControlError> {
        self.events.send(event).map_err(|_| ControlError::Stopped)
    }

    /// Proposes a command; returns once it is committed and applied here.
    pub async fn propose(&self, command: Command) -> Result<CommandAnswer, ControlError> {
        if self.shared.leading_term().is_none() {
            return Err(ControlError::NotLeader);
        }
        let (reply, answer) = oneshot::channel();
        self.deliver(Event::Propose {
            command: Box::new(command),
            reply,
        })?;
        answer.await.map_err(|_| ControlError::Stopped)?
    }

    /// Proposes new members; returns once the change is committed.
    pub async fn change_members(&self, next: Membership) -> Result<CommandAnswer, ControlError> {
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

    /// The tenure of the term in which this replica leads with a lease now, and
    /// the time on its clock. A tenure of an earlier term is dropped.
    pub fn tenure(&self) -> Option<(MutexGuard<'_, Option<Tenure>>, u64)> {
        let mut guard = self.tenure.lock().unwrap_or_else(PoisonError::into_inner);
        // Time and lease are read under the lock, in this order: whatever is
        // granted at this time is granted under this lease.
        let now = self.shared.clock.now();
        let term = self.shared.leading_term()?;
        let known = guard.as_ref().map(|tenure| tenure.term);
        if known != Some(term) {
            *guard = Some(Tenure::new(term, now));
        }
        Some((guard, now))
    }
}
