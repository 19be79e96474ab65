//! Client of the control group's operator interface: forms the group, submits bundles and
//! orders, replaces a replica.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coursestand_coordination::bundles::{Order, OrderAction, Revision, SignedOrder, SubmitAnswer};
use coursestand_coordination::signing::{SignoffPolicy, public_key_text, sign};
use coursestand_daemon::control::operators::{
    DaemonStatus, JoinRequest, MemberChange, ReplicaAddress, SubmitBundle, SubmitOrder,
};
use coursestand_model::{Bundle, SignedBundle};
use ed25519_dalek::SigningKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::{ResultExt, Snafu};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a status request to one replica: a frozen one accepts connections and never
/// answers.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the search for the leader.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Errors of requests to the control group.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No leader answered in time.
    #[snafu(display("no leader of the control group answered in time (last answer: {last})"))]
    NoLeader {
        /// Last answer of a replica, or the condition that was not met.
        last: String,
    },
    /// The control group answered with an unexpected text.
    #[snafu(display("the control group answered: {answer}"))]
    Answer {
        /// The answer.
        answer: String,
    },
    /// A replica did not answer.
    #[snafu(display("{address}: {source}"))]
    NoAnswer {
        /// Address of the operator interface.
        address: SocketAddr,
        /// Cause.
        source: reqwest::Error,
    },
    /// A value can't be written as JSON.
    #[snafu(display("{source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Status of a control replica: the fields that operators' tools need.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct StatusAnswer {
    /// Control address of the replica.
    pub listen: SocketAddr,
    /// Whether it is the leader.
    pub leads: bool,
    /// Current revision.
    pub revision: u64,
    /// Version of the followers' tables.
    pub version: u64,
    /// Whether the sign-off policy is set.
    pub initialized: bool,
    /// Daemons with a lease.
    pub daemons: Vec<DaemonStatus>,
    /// State of the consensus replica.
    pub replica: Value,
}

/// Client of the operator interfaces of a control group.
#[derive(Clone)]
pub struct Operator {
    client: reqwest::Client,
    addresses: Vec<SocketAddr>,
    name: String,
    key: SigningKey,
}

impl Operator {
    /// Returns an operator of the control group whose operator interfaces are at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>, name: &str, key: SigningKey) -> Operator {
        let client = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()
            .unwrap_or_default();
        Operator {
            client,
            addresses,
            name: name.to_owned(),
            key,
        }
    }

    /// Returns a sign-off policy that requires only the signature of this operator.
    pub fn single_operator_policy(&self) -> SignoffPolicy {
        let key = public_key_text(&self.key);
        SignoffPolicy {
            operators: [(self.name.clone(), key)].into(),
            required: 1,
        }
    }

    /// Forms a control group of all replicas, which must be blank, and sets the sign-off
    /// policy. A repeated call with the same `cluster` continues an interrupted one.
    pub async fn form_group(
        &self,
        cluster: u64,
        policy: &SignoffPolicy,
        timeout: Duration,
    ) -> Result<(), OperatorError> {
        let mut voters = Vec::new();
        for (number, address) in self.addresses.iter().enumerate() {
            let status = self.status_of(*address).await?;
            voters.push(ReplicaAddress {
                replica: number as u64 + 1,
                address: status.listen,
            });
        }
        for (voter, address) in voters.iter().zip(&self.addresses) {
            let request = JoinRequest {
                cluster,
                replica: voter.replica,
                voters: voters.clone(),
            };
            self.post_to::<_, Value>(*address, "/v1/join", &request)
                .await?;
        }
        self.post_to_leader::<_, Value>("/v1/initialize", policy, timeout)
            .await?;
        Ok(())
    }

    /// Replaces a lost replica by a blank one; see the operators' pages.
    pub async fn replace(
        &self,
        cluster: u64,
        lost: u64,
        replacement: ReplicaAddress,
        operator_address: SocketAddr,
        timeout: Duration,
    ) -> Result<(), OperatorError> {
        // The learner needs the addresses of the voters before it has the log.
        let join = JoinRequest {
            cluster,
            replica: replacement.replica,
            voters: members_of(&self.status().await?),
        };
        self.post_to::<_, Value>(operator_address, "/v1/join", &join)
            .await?;
        let id = replacement.replica;
        let changes = [
            MemberChange::AddLearner {
                member: replacement,
            },
            MemberChange::Promote { replica: id },
            MemberChange::Remove { replica: lost },
        ];
        for change in changes {
            self.repeat_until_done(&change, timeout).await?;
        }
        Ok(())
    }

    /// Repeats a membership change until it is done: a learner needs time to catch up.
    async fn repeat_until_done(
        &self,
        change: &MemberChange,
        timeout: Duration,
    ) -> Result<(), OperatorError> {
        let deadline = Instant::now() + timeout;
        loop {
            let answer = self
                .post_to_leader::<_, Value>("/v1/members", change, timeout)
                .await?;
            if answer["answer"] == "done" {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let answer = answer.to_string();
                return Err(OperatorError::Answer { answer });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Signs a bundle.
    pub fn sign_bundle(&self, bundle: &Bundle) -> Result<SignedBundle, OperatorError> {
        let content = serde_json::to_string(bundle).context(JsonSnafu)?;
        let signature = sign(&self.name, &self.key, content.as_bytes());
        Ok(SignedBundle {
            content,
            signatures: vec![signature],
        })
    }

    /// Submits a bundle made against `expected_revision`.
    pub async fn submit_bundle(
        &self,
        bundle: SignedBundle,
        expected_revision: u64,
        submission: &str,
        timeout: Duration,
    ) -> Result<SubmitAnswer, OperatorError> {
        let request = SubmitBundle {
            bundle,
            expected_revision,
            submission: submission.to_owned(),
        };
        self.post_to_leader("/v1/bundles", &request, timeout).await
    }

    /// Signs and submits an order made against `expected_revision`.
    pub async fn submit_order(
        &self,
        action: OrderAction,
        expected_revision: u64,
        submission: &str,
        timeout: Duration,
    ) -> Result<SubmitAnswer, OperatorError> {
        let order = Order {
            expected_revision,
            action,
        };
        let content = serde_json::to_string(&order).context(JsonSnafu)?;
        let signature = sign(&self.name, &self.key, content.as_bytes());
        let request = SubmitOrder {
            order: SignedOrder {
                content,
                signatures: vec![signature],
            },
            submission: submission.to_owned(),
        };
        self.post_to_leader("/v1/orders", &request, timeout).await
    }

    /// Returns the accepted changes, oldest first.
    pub async fn history(&self) -> Result<Vec<Revision>, OperatorError> {
        let leader = self.leader(LEADER_SEARCH_TIMEOUT).await?;
        self.get(leader, "/v1/history").await
    }

    /// Returns the status of one replica.
    pub async fn status_of(&self, address: SocketAddr) -> Result<StatusAnswer, OperatorError> {
        self.get(address, "/v1/status").await
    }

    /// Returns the status of the leader.
    pub async fn status(&self) -> Result<StatusAnswer, OperatorError> {
        let leader = self.leader(LEADER_SEARCH_TIMEOUT).await?;
        self.status_of(leader).await
    }

    /// Returns the operator address of the leader.
    pub async fn leader(&self, timeout: Duration) -> Result<SocketAddr, OperatorError> {
        let deadline = Instant::now() + timeout;
        loop {
            for address in &self.addresses {
                let answer = tokio::time::timeout(STATUS_TIMEOUT, self.status_of(*address));
                if let Ok(Ok(status)) = answer.await
                    && status.leads
                {
                    return Ok(*address);
                }
            }
            if Instant::now() >= deadline {
                let last = "no replica leads".to_owned();
                return Err(OperatorError::NoLeader { last });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Waits until at least `daemons` daemons have a lease and all of them apply the current
    /// revision. Returns the status of the leader.
    pub async fn until_in_force(
        &self,
        daemons: usize,
        timeout: Duration,
    ) -> Result<StatusAnswer, OperatorError> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(status) = self.status().await {
                let is_in_force = status.daemons.len() >= daemons
                    && status.daemons.iter().all(|daemon| !daemon.behind);
                if is_in_force {
                    return Ok(status);
                }
            }
            if Instant::now() >= deadline {
                let last = "some daemon is behind".to_owned();
                return Err(OperatorError::NoLeader { last });
            }
            tokio::time::sleep(RETRY_INTERVAL / 4).await;
        }
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, OperatorError> {
        let url = format!("http://{address}{path}");
        let answer = self.client.get(url).send().await;
        let answer = answer.context(NoAnswerSnafu { address })?;
        answer.json().await.context(NoAnswerSnafu { address })
    }

    async fn post_to<B: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, OperatorError> {
        let url = format!("http://{address}{path}");
        let sent = self.client.post(url).json(body).send().await;
        let answer = sent.context(NoAnswerSnafu { address })?;
        if !answer.status().is_success() {
            let answer = answer.text().await.context(NoAnswerSnafu { address })?;
            return Err(OperatorError::Answer { answer });
        }
        answer.json().await.context(NoAnswerSnafu { address })
    }

    /// Sends a request to one replica after the other until the leader answers.
    async fn post_to_leader<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, OperatorError> {
        let deadline = Instant::now() + timeout;
        let mut last = "none".to_owned();
        loop {
            for address in &self.addresses {
                let url = format!("http://{address}{path}");
                match self.client.post(url).json(body).send().await {
                    Ok(answer) if is_from_leader(answer.status()) => {
                        let text = answer
                            .text()
                            .await
                            .context(NoAnswerSnafu { address: *address })?;
                        return serde_json::from_str(&text)
                            .map_err(|_| OperatorError::Answer { answer: text });
                    }
                    Ok(answer) => last = answer.text().await.unwrap_or_default(),
                    Err(error) => last = error.to_string(),
                }
            }
            if Instant::now() >= deadline {
                return Err(OperatorError::NoLeader { last });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Returns the members of the group from its leader's status.
fn members_of(status: &StatusAnswer) -> Vec<ReplicaAddress> {
    let members = status.replica["members"].as_array();
    members
        .into_iter()
        .flatten()
        .filter_map(|member| {
            Some(ReplicaAddress {
                replica: member["replica"].as_u64()?,
                address: member["address"].as_str()?.parse().ok()?,
            })
        })
        .collect()
}

fn is_from_leader(status: reqwest::StatusCode) -> bool {
    status != reqwest::StatusCode::MISDIRECTED_REQUEST
        && status != reqwest::StatusCode::SERVICE_UNAVAILABLE
}
