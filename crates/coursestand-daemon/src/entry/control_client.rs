//! The connection of a daemon to the control group: finds the leader and asks
//! it. Also the edge of the gateway towards the once ledger.

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
/// Longest wait for one replica before the next one is asked.
const ATTEMPT: Duration = Duration::from_millis(1_000);
/// Pause after all replicas were asked in vain.
const PAUSE: Duration = Duration::from_millis(50);
/// How long completions and releases are tried again in the background.
const BACKGROUND: Duration = Duration::from_secs(30);

/// Why the control group gave no answer.
#[derive(Debug, Snafu)]
pub enum ControlClientError {
    /// No leader answered in time.
    #[snafu(display("no leader of the control group answered in time"))]
    NoLeader,
    /// The leader refused.
    #[snafu(display("the control group refused: {reason}"))]
    Refused {
        /// The reason.
        reason: String,
    },
}

type Replica = Arc<Client<ControlRequest, ControlReply>>;

/// The replica that a request was sent to.
struct Asked {
    replica: Replica,
    /// Position in the round of replicas.
    position: usize,
    count: usize,
}

/// Asks the leader of the control group.
pub struct ControlClient {
    replicas: RwLock<Vec<Replica>>,
    current: AtomicUsize,
}

impl ControlClient {
    /// A client of the replicas at these addresses.
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

    /// Asks the leader, wherever it is, until `deadline`; each replica gets up
    /// to `attempt`. The request may be taken more than once, so it has to be
    /// one that may.
    pub async fn ask(
        &self,
        request: &ControlRequest,
        attempt: Duration,
        deadline: Duration,
    ) -> Result<ControlReply, ControlClientError> {
        let end = Instant::now() + deadline;
        let mut tried = 0;
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ControlClientError::NoLeader);
            }
            let asked = self.current();
            match asked
                .replica
                .exchange(request, attempt.min(remaining))
                .await
            {
                Ok(ControlReply::NotLeader(leader)) => self.go_on(&asked, leader),
                Ok(ControlReply::Refused(reason)) => {
                    return Err(ControlClientError::Refused { reason });
                }
                Ok(reply) => return Ok(reply),
                Err(_) => self.go_on(&asked, None),
            }
            tried += 1;
            if tried % asked.count == 0 {
                tokio::time::sleep(PAUSE.min(remaining)).await;
            }
        }
    }

    /// The replica that was asked last, for the state dump.
    pub fn current_address(&self) -> SocketAddr {
        self.current().replica.address()
    }

    fn current(&self) -> Asked {
        let replicas = self.replicas.read().unwrap_or_else(PoisonError::into_inner);
        let position = self.current.load(Ordering::Relaxed);
        Asked {
            replica: Arc::clone(&replicas[position % replicas.len()]),
            position,
            count: replicas.len(),
        }
    }

    /// Goes on to the leader, if it is known, or else to the next replica.
    fn go_on(&self, asked: &Asked, leader: Option<SocketAddr>) {
        let Some(leader) = leader else {
            // Only from where this request was: others may have gone on already,
            // and together they must not come round to the same replica again.
            let _ = self.current.compare_exchange(
                asked.position,
                asked.position + 1,
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
        // A replica that replaced one of those in the settings.
        match Client::new(leader) {
            Ok(client) => {
                replicas.push(Arc::new(client));
                self.current.store(replicas.len() - 1, Ordering::Relaxed);
            }
            Err(error) => warn!(target: LOG, "no connection to {leader}: {error}"),
        }
    }
}

/// The once ledger, reached through the control group.
pub struct OnceClient {
    control: Arc<ControlClient>,
}

impl OnceClient {
    /// Asks through `control`.
    pub fn new(control: Arc<ControlClient>) -> OnceClient {
        OnceClient { control }
    }

    fn in_background(&self, command: OnceCommand) {
        let request = ControlRequest::Once(command);
        let control = Arc::clone(&self.control);
        tokio::spawn(async move {
            if let Err(error) = control.ask(&request, ATTEMPT, BACKGROUND).await {
                warn!(target: LOG, "the once ledger was not told: {error}");
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
        match self.control.ask(&request, ATTEMPT, deadline).await {
            Ok(ControlReply::Claim(answer)) => Ok(answer),
            Ok(_) => Err(OnceError {
                reason: "another kind of answer".to_owned(),
            }),
            Err(error) => Err(OnceError {
                reason: error.to_string(),
            }),
        }
    }

    fn complete(&self, key: OnceKey, claim: ClaimId, answer: RecordedAnswer) {
        self.in_background(OnceCommand::Complete { key, claim, answer });
    }

    fn release(&self, key: OnceKey, claim: ClaimId) {
        self.in_background(OnceCommand::Release { key, claim });
    }
}
