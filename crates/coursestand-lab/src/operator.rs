//! What operators do, over the operators' interface: form the control group,
//! submit bundles and orders, replace a replica.

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

const TIMEOUT: Duration = Duration::from_secs(5);
/// Time for one replica to tell its status: a frozen one takes connections and
/// never answers.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest search for the leader.
const LEADER_WITHIN: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(100);

/// Why the control group did not do what the operator asked for.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No replica that leads answered in time.
    #[snafu(display("no leader of the control group answered in time (last answer: {last})"))]
    NoLeader {
        /// What the last replica said.
        last: String,
    },
    /// The answer is not what was expected.
    #[snafu(display("the control group answered: {answer}"))]
    Answer {
        /// The answer.
        answer: String,
    },
    /// A replica does not answer.
    #[snafu(display("{address}: {source}"))]
    NoAnswer {
        /// Address of the operators' interface.
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

/// Status of a control replica, as far as operators' tools need it.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct StatusAnswer {
    /// Control address of the replica.
    pub listen: SocketAddr,
    /// Whether it leads.
    pub leads: bool,
    /// Current revision.
    pub revision: u64,
    /// Version of the followers' tables.
    pub version: u64,
    /// Whether the sign-off policy is set.
    pub initialized: bool,
    /// Daemons with a lease.
    pub daemons: Vec<DaemonStatus>,
    /// The replica.
    pub replica: Value,
}

/// Talks to the operators' interfaces of a control group.
#[derive(Clone)]
pub struct Operator {
    client: reqwest::Client,
    addresses: Vec<SocketAddr>,
    name: String,
    key: SigningKey,
}

impl Operator {
    /// An operator of the control group at these operators' addresses.
    pub fn new(addresses: Vec<SocketAddr>, name: &str, key: SigningKey) -> Operator {
        let client = reqwest::Client::builder()
            .timeout(TIMEOUT)
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

    /// A sign-off policy that needs only this operator.
    pub fn own_policy(&self) -> SignoffPolicy {
        let key = public_key_text(&self.key);
        SignoffPolicy {
            operators: [(self.name.clone(), key)].into(),
            required: 1,
        }
    }

    /// Forms a control group of all replicas, which must be blank, and sets who
    /// may sign. Sent again with the same `cluster`, it goes on where it was.
    pub async fn form_group(
        &self,
        cluster: u64,
        policy: &SignoffPolicy,
        within: Duration,
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
        self.ask_leader::<_, Value>("/v1/initialize", policy, within)
            .await?;
        Ok(())
    }

    /// Adds a blank replica in place of a lost one; see the operators' pages.
    pub async fn replace(
        &self,
        cluster: u64,
        lost: u64,
        replacement: ReplicaAddress,
        operator_address: SocketAddr,
        within: Duration,
    ) -> Result<(), OperatorError> {
        // The learner has to know where to answer before it has the log.
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
            self.until_accepted(&change, within).await?;
        }
        Ok(())
    }

    /// Sends a change until it is done: a learner needs time to catch up.
    async fn until_accepted(
        &self,
        change: &MemberChange,
        within: Duration,
    ) -> Result<(), OperatorError> {
        let give_up = Instant::now() + within;
        loop {
            let answer = self
                .ask_leader::<_, Value>("/v1/members", change, within)
                .await?;
            if answer["answer"] == "done" {
                return Ok(());
            }
            if Instant::now() >= give_up {
                let answer = answer.to_string();
                return Err(OperatorError::Answer { answer });
            }
            tokio::time::sleep(PAUSE).await;
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
        within: Duration,
    ) -> Result<SubmitAnswer, OperatorError> {
        let request = SubmitBundle {
            bundle,
            expected_revision,
            submission: submission.to_owned(),
        };
        self.ask_leader("/v1/bundles", &request, within).await
    }

    /// Signs and submits an order made against `expected_revision`.
    pub async fn submit_order(
        &self,
        action: OrderAction,
        expected_revision: u64,
        submission: &str,
        within: Duration,
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
        self.ask_leader("/v1/orders", &request, within).await
    }

    /// Accepted changes, oldest first.
    pub async fn history(&self) -> Result<Vec<Revision>, OperatorError> {
        let leader = self.leader(LEADER_WITHIN).await?;
        self.get(leader, "/v1/history").await
    }

    /// Status of one replica.
    pub async fn status_of(&self, address: SocketAddr) -> Result<StatusAnswer, OperatorError> {
        self.get(address, "/v1/status").await
    }

    /// Status of the leader.
    pub async fn status(&self) -> Result<StatusAnswer, OperatorError> {
        let leader = self.leader(LEADER_WITHIN).await?;
        self.status_of(leader).await
    }

    /// Operators' address of the replica that leads.
    pub async fn leader(&self, within: Duration) -> Result<SocketAddr, OperatorError> {
        let give_up = Instant::now() + within;
        loop {
            for address in &self.addresses {
                let asked = tokio::time::timeout(STATUS_TIMEOUT, self.status_of(*address));
                if let Ok(Ok(status)) = asked.await
                    && status.leads
                {
                    return Ok(*address);
                }
            }
            if Instant::now() >= give_up {
                let last = "no replica leads".to_owned();
                return Err(OperatorError::NoLeader { last });
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Waits until every daemon with a lease decides on at least `revision`, and
    /// there are `daemons` of them.
    pub async fn until_in_force(
        &self,
        daemons: usize,
        within: Duration,
    ) -> Result<StatusAnswer, OperatorError> {
        let give_up = Instant::now() + within;
        loop {
            if let Ok(status) = self.status().await {
                let all = status.daemons.len() >= daemons
                    && status.daemons.iter().all(|daemon| !daemon.behind);
                if all {
                    return Ok(status);
                }
            }
            if Instant::now() >= give_up {
                let last = "some daemon is behind".to_owned();
                return Err(OperatorError::NoLeader { last });
            }
            tokio::time::sleep(PAUSE / 4).await;
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

    /// Sends to one replica after the other until one that leads answers.
    async fn ask_leader<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        within: Duration,
    ) -> Result<T, OperatorError> {
        let give_up = Instant::now() + within;
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
            if Instant::now() >= give_up {
                return Err(OperatorError::NoLeader { last });
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Members of the group as the status of its leader tells them.
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
