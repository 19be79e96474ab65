//! Acknowledges the orders of back ends to leave.
//!
//! Such an order is binding once it is acknowledged. It is in force once a majority of the control
//! processes has it in memory, and it is kept once it is in the replicated log.

use std::sync::Arc;
use std::time::Duration;

use coursestand_coordination::{Command, CommandAnswer, Departure};
use coursestand_discovery::{Incarnation, InstanceUpdate};
use log::{info, warn};
use tokio::time::Instant;

use crate::fleet::control_service::ControlMesh;
use crate::fleet::hub::{Hub, NotAcknowledged};
use crate::fleet::proposals::Proposals;
use crate::fleet::wire::Answer;

const LOG: &str = "control";
/// Timeout for recording a departure, including the wait for a leader. A back end waits for a
/// second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a departure is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Records departures and acknowledges them.
pub struct DepartureRecorder {
    hub: Arc<Hub>,
    proposals: Proposals,
    /// Copies of a record that its acknowledgement requires.
    min_copies: usize,
}

impl DepartureRecorder {
    /// Returns a recorder of departures that `hub` has merged. Its records survive the loss of
    /// fewer than `min_copies` disks.
    pub fn new(hub: Arc<Hub>, proposals: Proposals, min_copies: usize) -> DepartureRecorder {
        DepartureRecorder {
            hub,
            proposals,
            min_copies,
        }
    }

    /// Returns once the departure is in force and recorded.
    pub async fn acknowledge(&self, order: InstanceUpdate) -> Result<(), NotAcknowledged> {
        let departure = Departure {
            backend: order.instance.id.clone(),
            born: order.instance.born,
        };
        tokio::try_join!(
            self.hub.replicate_to_majority(order),
            self.record(&departure)
        )?;
        Ok(())
    }

    async fn record(&self, departure: &Departure) -> Result<(), NotAcknowledged> {
        if self.is_recorded(departure) {
            return Ok(());
        }
        let started = Instant::now();
        let deadline = started + RECORD_TIMEOUT;
        let result = loop {
            let command = Command::RecordDeparture(departure.clone());
            match self.proposals.propose(command, None, deadline).await {
                Answer::Command(CommandAnswer::Done, index) => break Ok(index.index()),
                Answer::NotLeader if Instant::now() + RETRY_DELAY < deadline => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Answer::NotLeader => break Err("no leader is known".to_owned()),
                Answer::Command(CommandAnswer::Refused(reason), _) | Answer::Unknown(reason) => {
                    break Err(reason);
                }
                _ => break Err("unexpected answer".to_owned()),
            }
        };
        let took_ms = started.elapsed().as_millis() as u64;
        match result {
            Ok(index) => {
                info!(target: LOG, instance = departure.backend.as_str(), born = departure.born,
                    index = index, took_ms = took_ms; "a departure was recorded");
                Ok(())
            }
            Err(reason) => {
                warn!(target: LOG, instance = departure.backend.as_str(), born = departure.born,
                    took_ms = took_ms; "a departure was not recorded: {reason}");
                Err(NotAcknowledged)
            }
        }
    }

    /// Returns whether enough disks are known to have a record of the departure: each applied
    /// entry is on those of a majority.
    fn is_recorded(&self, departure: &Departure) -> bool {
        let shared = &self.proposals.control.shared;
        shared.membership().quorum() >= self.min_copies
            && shared
                .state()
                .departures()
                .includes(&departure.backend, departure.born)
    }
}

/// Keeps the departures in the hub equal to those in the replicated state.
pub(super) async fn follow_departures(mesh: Arc<ControlMesh>) {
    let mut versions = mesh.control.shared.departures_versions();
    loop {
        versions.mark_unchanged();
        let departures: Vec<Incarnation> = mesh
            .control
            .shared
            .state()
            .departures()
            .iter()
            .map(|departure| Incarnation {
                id: departure.backend,
                born: departure.born,
            })
            .collect();
        mesh.hub.set_departures(departures);
        if versions.changed().await.is_err() {
            return;
        }
    }
}
