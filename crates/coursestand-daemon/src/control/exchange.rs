//! Handles requests of daemons and of other replicas.

use std::sync::Arc;
use std::time::Duration;

use coursestand_coordination::followers::MAX_POLL_WAIT_MS;
use coursestand_coordination::tables::MemberPhase;
use coursestand_coordination::wire::{ControlReply, ControlRequest, FollowRequest, ReportRequest};
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_transport::Handler;

use crate::control::error::ControlError;
use crate::control::event::Event;
use crate::control::handle::ControlHandle;
use crate::control::peers::Envelope;

/// Handles requests with the state of one replica.
pub struct ControlExchange {
    control: Arc<ControlHandle>,
}

impl ControlExchange {
    /// Returns a handler for the replica behind `control`.
    pub fn new(control: Arc<ControlHandle>) -> ControlExchange {
        ControlExchange { control }
    }

    /// Returns a redirect to the last known leader.
    fn not_leader(&self) -> ControlReply {
        ControlReply::NotLeader(self.control.shared.leader_address())
    }

    async fn follow(&self, request: FollowRequest) -> ControlReply {
        let mut versions = self.control.shared.versions();
        let poll_timeout = tokio::time::sleep(Duration::from_millis(MAX_POLL_WAIT_MS));
        tokio::pin!(poll_timeout);
        if request.phase == MemberPhase::Gone {
            return self.end_follower(&request);
        }
        self.record_poll(&request);
        if self.affects_duties(&request) {
            self.control.duties.notify_one();
        }
        loop {
            if self.control.shared.leading_term().is_none() {
                return self.not_leader();
            }
            let version = *versions.borrow_and_update();
            if version > request.have {
                break;
            }
            tokio::select! {
                () = &mut poll_timeout => break,
                changed = versions.changed() => {
                    if changed.is_err() {
                        return self.not_leader();
                    }
                }
            }
        }
        self.answer_follower(&request)
    }

    fn record_poll(&self, request: &FollowRequest) {
        if let Some((mut guard, _)) = self.control.tenure()
            && let Some(tenure) = guard.as_mut()
        {
            tenure.record_poll(request);
        }
    }

    /// Whether this request may unblock a duty of the leader: it changes the membership, or
    /// moves or slot releases wait for confirmations.
    fn affects_duties(&self, request: &FollowRequest) -> bool {
        let state = self.control.shared.state();
        let is_known = state
            .tables()
            .members
            .get(&request.daemon.name)
            .is_some_and(|member| {
                member.incarnation == request.daemon.incarnation && member.phase == request.phase
            });
        let awaits_confirmation =
            state.shift_ledger().oldest_unconfirmed().is_some() || !state.releases().is_empty();
        !is_known || awaits_confirmation
    }

    fn end_follower(&self, request: &FollowRequest) -> ControlReply {
        let Some((mut guard, _)) = self.control.tenure() else {
            return self.not_leader();
        };
        if let Some(tenure) = guard.as_mut() {
            tenure.record_follower(request);
        }
        drop(guard);
        self.control.duties.notify_one();
        ControlReply::Done
    }

    fn answer_follower(&self, request: &FollowRequest) -> ControlReply {
        let Some((mut guard, now)) = self.control.tenure() else {
            return self.not_leader();
        };
        let Some(tenure) = guard.as_mut() else {
            return self.not_leader();
        };
        if tenure.has_stopped(&request.daemon) {
            return ControlReply::Done;
        }
        if !tenure.may_grant_lease(&request.daemon) {
            return ControlReply::Refused("the daemon's slots are being freed".to_owned());
        }
        let delta = self.control.shared.delta(request.have, &request.daemon);
        tenure.record_follower(request);
        tenure
            .registry
            .grant(now, &request.daemon, request.progress, delta.version);
        ControlReply::Follow(delta)
    }

    fn report(&self, request: ReportRequest) -> ControlReply {
        let Some((mut guard, now)) = self.control.tenure() else {
            return self.not_leader();
        };
        let is_new = guard
            .as_mut()
            .is_some_and(|tenure| tenure.record_report(now, request));
        drop(guard);
        if is_new {
            self.control.duties.notify_one();
        }
        ControlReply::Done
    }

    async fn propose(&self, command: Command) -> ControlReply {
        match self.control.propose(command).await {
            Ok(CommandAnswer::Claim(answer)) => ControlReply::Claim(answer),
            Ok(CommandAnswer::Refused(reason)) => ControlReply::Refused(reason),
            Ok(_) => ControlReply::Done,
            Err(ControlError::LeadershipLost) => {
                ControlReply::Refused(ControlError::LeadershipLost.to_string())
            }
            Err(_) => self.not_leader(),
        }
    }

    fn consensus(&self, bytes: &[u8]) -> ControlReply {
        let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
            return ControlReply::Refused("a consensus message can't be decoded".to_owned());
        };
        let local = self.control.shared.status().identity;
        let is_for_this_replica = local
            .is_some_and(|local| local.cluster == envelope.cluster && local.replica == envelope.to);
        if !is_for_this_replica {
            return ControlReply::Refused("the message is for another replica".to_owned());
        }
        let delivered = self.control.deliver(Event::Message {
            from: envelope.from,
            reply_to: envelope.reply_to,
            message: envelope.message,
        });
        match delivered {
            Ok(()) => ControlReply::Done,
            Err(error) => ControlReply::Refused(error.to_string()),
        }
    }
}

impl Handler<ControlRequest, ControlReply> for ControlExchange {
    async fn handle(&self, request: ControlRequest) -> ControlReply {
        match request {
            ControlRequest::Follow(request) => self.follow(request).await,
            ControlRequest::Report(request) => self.report(request),
            ControlRequest::Once(command) => self.propose(Command::Once(command)).await,
            ControlRequest::Consensus(bytes) => self.consensus(&bytes),
        }
    }
}
