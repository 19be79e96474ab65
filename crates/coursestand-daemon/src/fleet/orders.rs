//! Carries out operators' orders, and only those that somebody still waits for.
//!
//! An operator that gets no answer gives up after a while and sends the order to another process.
//! From then on this process must not carry it out: by now the operator may have ordered the
//! opposite. Each order is therefore fenced (see [`OrderFence`]): the process notes how far the
//! log is applied, checks that the caller still waits, and proposes the order so that it fails if
//! something that it concerns was ordered after that point.
//!
//! A caller whose network has failed does not seem to leave. Orders without versions are
//! therefore carried out at once only if their caller connected shortly before. Otherwise the
//! caller is asked to confirm the order with the revision that it applies to, which a caller that
//! has left does not do. `docs/design/0020-orders-that-nobody-waits-for.md` compares the ways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_coordination::order_admission::{AfterSuperseded, CallerView, OrderStep};
use coursestand_coordination::{Command, CommandAnswer, OrderAdmission, OrderFence};
use coursestand_kernel::connections::CallerConnection;
use log::info;
use tokio::time::Instant;

use crate::fleet::proposals::Proposals;
use crate::fleet::wire::Answer;

const LOG: &str = "control";
/// Timeout of an order, including the wait for a leader.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before an order is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// An order as it was received.
pub struct Order {
    /// The change.
    pub command: Command,
    /// Revision for which the caller confirmed the order.
    pub confirmed: Option<OrderFence>,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The caller's connection; `None` if it has closed already.
    pub connection: Option<Arc<CallerConnection>>,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is in force, by the entry at this index of the log; an older leader does not tell it.
    Done { index: Option<u64> },
    /// It is invalid and has no effect.
    Refused(String),
    /// The caller has left; the order was not carried out.
    CallerLeft,
    /// The caller must confirm the order for this revision; it has no effect so far.
    Unconfirmed(OrderFence),
    /// It was not carried out: no leader is known or reached. The caller may send it again.
    NoLeader,
    /// It was not carried out, or it is unknown whether it was. The caller may send it again.
    Unavailable(String),
}

impl Order {
    fn view_caller(&self) -> CallerView {
        let connection = self.connection.as_ref();
        CallerView {
            is_connected: connection.is_some_and(|connection| connection.is_open()),
            connection_age_ms: connection.map(|connection| connection.age_ms()),
        }
    }

    fn describe(&self) -> String {
        match &self.command {
            Command::Evacuate {
                zone,
                is_active: true,
            } => format!("evacuate zone {zone}"),
            Command::Evacuate { zone, .. } => format!("end the evacuation of zone {zone}"),
            Command::PatchCatalog(patch) => {
                let items = patch.upserts.len() + patch.removals.len();
                format!("change {items} items")
            }
            _ => "other".to_owned(),
        }
    }
}

/// Carries out orders on this replica, or through the leader.
pub struct Orders {
    proposals: Proposals,
}

impl Orders {
    /// Returns a committer that proposes orders through `proposals`.
    pub fn new(proposals: Proposals) -> Orders {
        Orders { proposals }
    }

    /// Carries out an order that was just read.
    pub async fn carry_out(&self, order: &Order) -> OrderOutcome {
        let started = Instant::now();
        let caller = order.view_caller();
        info!(target: LOG, order = order.describe(), caller:% = order.caller,
            has_caller = caller.is_connected, connection_age_ms = caller.connection_age_ms,
            confirmed_at = order.confirmed.map(|fence| fence.0), leads = self.proposals.leads();
            "order received");
        let outcome = self.commit(order, started + ORDER_TIMEOUT).await;
        info!(target: LOG, order = order.describe(), caller:% = order.caller,
            took_ms = started.elapsed().as_millis() as u64, outcome:? = outcome;
            "order answered");
        outcome
    }

    async fn commit(&self, order: &Order, deadline: Instant) -> OrderOutcome {
        let mut admission = OrderAdmission::new(&order.command, order.confirmed);
        tokio::time::sleep(Duration::from_millis(admission.initial_delay_ms())).await;
        loop {
            admission.note_fence(self.applied());
            let answer = match admission.next_step(order.view_caller()) {
                OrderStep::Propose(fence) => {
                    let command = order.command.clone();
                    self.proposals.propose(command, Some(fence), deadline).await
                }
                OrderStep::Drop => return OrderOutcome::CallerLeft,
                OrderStep::Confirm(fence) => return OrderOutcome::Unconfirmed(fence),
            };
            let reason = match answer {
                Answer::Command(CommandAnswer::Done, index) => {
                    let index = index.index();
                    return OrderOutcome::Done { index };
                }
                Answer::Command(CommandAnswer::Refused(reason), _) => {
                    return OrderOutcome::Refused(reason);
                }
                Answer::Unknown(reason) => return OrderOutcome::Unavailable(reason),
                Answer::NotLeader if self.may_wait_for_leader(deadline) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
                Answer::NotLeader => return OrderOutcome::NoLeader,
                Answer::Superseded { applied } => match admission.superseded(applied) {
                    AfterSuperseded::TryAgain if Instant::now() < deadline => continue,
                    AfterSuperseded::TryAgain | AfterSuperseded::TryLater => {
                        "other orders for the same are in progress"
                    }
                    AfterSuperseded::GiveUp => {
                        let reason = "something was ordered after the confirmed revision";
                        return OrderOutcome::Unavailable(reason.to_owned());
                    }
                },
                _ => return OrderOutcome::Unavailable("unexpected answer".to_owned()),
            };
            if Instant::now() + RETRY_DELAY >= deadline {
                return OrderOutcome::Unavailable(reason.to_owned());
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn may_wait_for_leader(&self, deadline: Instant) -> bool {
        let shared = &self.proposals.control.shared;
        shared.may_wait_for_leader() && Instant::now() + RETRY_DELAY < deadline
    }

    /// Returns the index up to which this replica has applied the log. A replica that is not a
    /// voter learns it from the leader.
    fn applied(&self) -> u64 {
        let extent = self.proposals.control.shared.log_extent();
        extent.map_or(0, |extent| extent.applied)
    }
}
