//! The client of a daemon for the control group: finds the leader and sends it requests.
//! Also the gateway's access to the once ledger.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coursestand_coordination::once::{ClaimAnswer, ClaimId, OnceCommand, OnceKey, RecordedAnswer};
use coursestand_coordination::wire::{ControlReply, ControlRequest};
use coursestand_gateway::once_edge::{OnceEdge, OnceError};
use coursestand_transport::{Client, TransportError};
use log::warn;
use snafu::Snafu;

const LOG: &str = "follower";
/// Timeout of a once command at one replica before the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after an attempt at each replica has failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which completions and releases are retried in the background.
const BACKGROUND_TIMEOUT: Duration = Duration::from_secs(30);

/// Errors of a request to the control group.
#[derive(Debug, Snafu)]
pub enum ControlClientError {
    /// No leader answered in time.
    #[snafu(display("no leader of the control group answered in time"))]
    NoLeader,
    /// The leader refused the request.
    #[snafu(display("the control group refused: {reason}"))]
    Refused {
        /// The reason.
        reason: String,
    },
}

type Replica = Arc<Client<ControlRequest, ControlReply>>;

/// The replica that is assumed to be the leader.
struct CurrentReplica {
    replica: Replica,
    /// Value of `ControlClient::current`; modulo `count`, the index of the replica.
    position: usize,
    count: usize,
}

/// Sends requests to the leader of the control group.
pub struct ControlClient {
    replicas: RwLock<Vec<Replica>>,
    current: AtomicUsize,
}

impl ControlClient {
    /// Returns a client for the replicas at these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Result<ControlClient, TransportError> {
        let replicas = addresses
            .iter()
            .map(|address| Ok(Arc::new(Client::new(*address)?)))
            .collect::<Result<Vec<_>, TransportError>>()?;
        Ok(ControlClient {
            replicas: RwLock::new(replicas),
            current: AtomicUsize::new(0),
        })
    }

    /// Sends a request to the leader. Tries the replicas in turn until `deadline`, each for up
    /// to `attempt_timeout`. The request may be executed more than once, so it must be
    /// idempotent.
    pub async fn send(
        &self,
        request: &ControlRequest,
        attempt_timeout: Duration,
        deadline: Duration,
    ) -> Result<ControlReply, ControlClientError> {
        let end = Instant::now() + deadline;
        let mut attempts = 0;
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ControlClientError::NoLeader);
            }
            let target = self.current();
            match target
                .replica
                .exchange(request, attempt_timeout.min(remaining))
                .await
            {
                Ok(ControlReply::NotLeader(leader)) => self.advance(&target, leader),
                Ok(ControlReply::Refused(reason)) => {
                    return Err(ControlClientError::Refused { reason });
                }
                Ok(reply) => return Ok(reply),
                Err(_) => self.advance(&target, None),
            }
            attempts += 1;
            if attempts % target.count == 0 {
                tokio::time::sleep(RETRY_DELAY.min(remaining)).await;
            }
        }
    }

    /// Returns the address of the replica that receives the next request, for the state dump.
    pub fn current_address(&self) -> SocketAddr {
        self.current().replica.address()
    }

    fn current(&self) -> CurrentReplica {
        let replicas = self.replicas.read().unwrap_or_else(PoisonError::into_inner);
        let position = self.current.load(Ordering::Relaxed);
        CurrentReplica {
            replica: Arc::clone(&replicas[position % replicas.len()]),
            position,
            count: replicas.len(),
        }
    }

    /// Switches to the leader if it is known, and to the next replica otherwise.
    fn advance(&self, target: &CurrentReplica, leader: Option<SocketAddr>) {
        let Some(leader) = leader else {
            // Advances only from the replica of this request: concurrent requests that fail
            // at the same replica must advance by one together, or they could return to it.
            let _ = self.current.compare_exchange(
                target.position,
                target.position + 1,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            return;
        };
        let mut replicas = self
            .replicas
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let known = replicas
            .iter()
            .position(|replica| replica.address() == leader);
        if let Some(index) = known {
            self.current.store(index, Ordering::Relaxed);
            return;
        }
        // The leader replaced one of the replicas in the settings.
        match Client::new(leader) {
            Ok(client) => {
                replicas.push(Arc::new(client));
                self.current.store(replicas.len() - 1, Ordering::Relaxed);
            }
            Err(error) => warn!(target: LOG, "no connection to {leader}: {error}"),
        }
    }
}

/// Client for the once ledger of the control group.
pub struct OnceClient {
    control: Arc<ControlClient>,
}

impl OnceClient {
    /// Returns a client that sends its commands through `control`.
    pub fn new(control: Arc<ControlClient>) -> OnceClient {
        OnceClient { control }
    }

    fn send_in_background(&self, command: OnceCommand) {
        let request = ControlRequest::Once(command);
        let control = Arc::clone(&self.control);
        tokio::spawn(async move {
            if let Err(error) = control
                .send(&request, ATTEMPT_TIMEOUT, BACKGROUND_TIMEOUT)
                .await
            {
                warn!(target: LOG, "the once ledger was not updated: {error}");
            }
        });
    }
}

#[async_trait]
impl OnceEdge for OnceClient {
    async fn claim(
        &self,
        key: &OnceKey,
        claim: &ClaimId,
        deadline: Duration,
    ) -> Result<ClaimAnswer, OnceError> {
        let request = ControlRequest::Once(OnceCommand::Claim {
            key: key.clone(),
            claim: claim.clone(),
        });
        match self.control.send(&request, ATTEMPT_TIMEOUT, deadline).await {
            Ok(ControlReply::Claim(answer)) => Ok(answer),
            Ok(_) => Err(OnceError {
                reason: "unexpected kind of answer".to_owned(),
            }),
            Err(error) => Err(OnceError {
                reason: error.to_string(),
            }),
        }
    }

    fn complete(&self, key: OnceKey, claim: ClaimId, answer: RecordedAnswer) {
        self.send_in_background(OnceCommand::Complete { key, claim, answer });
    }

    fn release(&self, key: OnceKey, claim: ClaimId) {
        self.send_in_background(OnceCommand::Release { key, claim });
    }
}
