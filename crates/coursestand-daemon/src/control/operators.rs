//! The operators' HTTP interface of a control replica.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coursestand_consensus::Member;
use coursestand_coordination::bundles::{Revision, SignedOrder, SubmitAnswer};
use coursestand_coordination::signing::SignoffPolicy;
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_kernel::http::HttpServer;
use coursestand_kernel::{Registry, Service, ServiceError};
use coursestand_model::SignedBundle;
use coursestand_model::settings::ControlSettings;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::control::error::ControlError;
use crate::control::handle::ControlHandle;
use crate::control::identity::Identity;
use crate::control::shared::ReplicaStatus;
use crate::names;

const SHUTDOWN_GRACE: Duration = Duration::from_secs(2);

/// The address at which a replica is reached by its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAddress {
    /// The replica.
    pub replica: u64,
    /// Its control address.
    pub address: SocketAddr,
}

/// Makes a blank replica a member of a control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinRequest {
    /// The control group.
    pub cluster: u64,
    /// Permanent identity of the replica.
    pub replica: u64,
    /// All initial voters; for a learner, the current members without the learner.
    pub voters: Vec<ReplicaAddress>,
}

/// Submits a bundle.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBundle {
    /// The bundle with its sign-offs.
    pub bundle: SignedBundle,
    /// Revision on which the bundle is based.
    pub expected_revision: u64,
    /// Idempotency key with which the submission can be resent.
    pub submission: String,
}

/// Submits an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitOrder {
    /// The order with its sign-offs.
    pub order: SignedOrder,
    /// Idempotency key with which the submission can be resent.
    pub submission: String,
}

/// Changes the control group by one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum MemberChange {
    /// Adds a learner.
    AddLearner {
        /// The new member.
        member: ReplicaAddress,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// The learner.
        replica: u64,
    },
    /// Removes a member.
    Remove {
        /// The member.
        replica: u64,
    },
}

/// Status of one control replica.
#[derive(Clone, Debug, Serialize)]
pub struct ControlStatus {
    /// Control address of this replica.
    pub listen: SocketAddr,
    /// Whether the replica holds the leader lease.
    pub leads: bool,
    /// State of the replica.
    pub replica: ReplicaStatus,
    /// Current revision.
    pub revision: u64,
    /// Version of the followers' tables.
    pub version: u64,
    /// Whether the sign-off policy is set.
    pub initialized: bool,
    /// Daemons with a lease and the version that each has confirmed; empty unless this
    /// replica is the leader.
    pub daemons: Vec<DaemonStatus>,
}

/// A daemon as the leader sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the daemon.
    pub name: String,
    /// Version of the tables on which it bases its decisions.
    pub confirmed: u64,
    /// Whether it has not confirmed the newest version.
    pub behind: bool,
}

/// The service that runs the operators' interface.
pub struct OperatorApi {
    settings: ControlSettings,
    server: Mutex<Option<Arc<HttpServer>>>,
}

impl OperatorApi {
    /// Returns the interface with these settings, not started.
    pub fn new(settings: ControlSettings) -> OperatorApi {
        OperatorApi {
            settings,
            server: Mutex::new(None),
        }
    }

    fn take_server(&self) -> Option<Arc<HttpServer>> {
        self.server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }
}

#[async_trait]
impl Service for OperatorApi {
    fn name(&self) -> &'static str {
        names::OPERATORS
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        let failed = |error: &dyn std::fmt::Display| ServiceError::new(names::OPERATORS, error);
        let control = registry
            .find::<ControlHandle>(names::CONTROL)
            .map_err(|error| failed(&error))?;
        let context = Arc::new(Context {
            control,
            listen: self.settings.listen,
        });
        let server = HttpServer::start(
            self.settings.operator_listen,
            routes(context),
            SHUTDOWN_GRACE,
        )
        .await
        .map_err(|error| failed(&error))?;
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(server));
        Ok(())
    }

    async fn drain(&self) {
        if let Some(server) = self.take_server() {
            server.drain().await;
        }
    }

    async fn stop(&self) {
        if let Some(server) = self.take_server() {
            server.abort();
        }
    }

    fn dump(&self) -> Value {
        json!({ "listen": self.settings.operator_listen })
    }
}

struct Context {
    control: Arc<ControlHandle>,
    listen: SocketAddr,
}

fn routes(context: Arc<Context>) -> impl Endpoint {
    Route::new()
        .at("/v1/status", get(get_status))
        .at("/v1/history", get(get_history))
        .at("/v1/join", post(post_join))
        .at("/v1/initialize", post(post_initialize))
        .at("/v1/bundles", post(post_bundle))
        .at("/v1/orders", post(post_order))
        .at("/v1/members", post(post_members))
        .data(context)
}

type Shared<'a> = Data<&'a Arc<Context>>;

#[handler]
fn get_status(context: Shared<'_>) -> Json<ControlStatus> {
    let shared = &context.control.shared;
    let version = shared.state().tables().version;
    let daemons = match context.control.tenure() {
        Some((guard, now)) => guard
            .as_ref()
            .map(|tenure| tenure.registry.leased(now))
            .unwrap_or_default(),
        None => Vec::new(),
    };
    let daemons = daemons
        .into_iter()
        .map(|(daemon, confirmed)| DaemonStatus {
            name: daemon.name,
            confirmed,
            behind: confirmed < version,
        })
        .collect();
    let state = shared.state();
    Json(ControlStatus {
        listen: context.listen,
        leads: shared.leading_term().is_some(),
        replica: shared.status(),
        revision: state.history().current(),
        version,
        initialized: state.is_initialized(),
        daemons,
    })
}

#[handler]
fn get_history(context: Shared<'_>) -> Response {
    if context.control.shared.leading_term().is_none() {
        return error_response(&ControlError::NotLeader);
    }
    let revisions: Vec<Revision> = context
        .control
        .shared
        .state()
        .history()
        .revisions()
        .to_vec();
    Json(revisions).into_response()
}

#[handler]
async fn post_join(context: Shared<'_>, request: Json<JoinRequest>) -> Response {
    let Json(request) = request;
    let identity = Identity {
        cluster: request.cluster,
        replica: request.replica,
    };
    let voters = request
        .voters
        .into_iter()
        .map(|voter| (voter.replica, voter.address.to_string()))
        .collect();
    match context.control.join(identity, voters).await {
        Ok(()) => Json(json!({ "answer": "joined" })).into_response(),
        Err(error) => error_response(&error),
    }
}

#[handler]
async fn post_initialize(context: Shared<'_>, policy: Json<SignoffPolicy>) -> Response {
    answer(&context, Command::Initialize(policy.0)).await
}

#[handler]
async fn post_bundle(context: Shared<'_>, request: Json<SubmitBundle>) -> Response {
    let Json(request) = request;
    let command = Command::SubmitBundle {
        bundle: request.bundle,
        expected_revision: request.expected_revision,
        submission: request.submission,
    };
    answer(&context, command).await
}

#[handler]
async fn post_order(context: Shared<'_>, request: Json<SubmitOrder>) -> Response {
    let Json(request) = request;
    let command = Command::SubmitOrder {
        order: request.order,
        submission: request.submission,
    };
    answer(&context, command).await
}

async fn answer(context: &Context, command: Command) -> Response {
    match context.control.propose(command).await {
        Ok(CommandAnswer::Submit(answer)) => {
            context.control.duties.notify_one();
            let status = match answer {
                SubmitAnswer::Accepted { .. } => StatusCode::OK,
                SubmitAnswer::Conflict { .. } => StatusCode::CONFLICT,
                SubmitAnswer::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            Json(answer).with_status(status).into_response()
        }
        Ok(CommandAnswer::Refused(reason)) => {
            let body = Json(json!({ "answer": "refused", "reason": reason }));
            body.with_status(StatusCode::UNPROCESSABLE_ENTITY)
                .into_response()
        }
        Ok(_) => Json(json!({ "answer": "done" })).into_response(),
        Err(error) => error_response(&error),
    }
}

#[handler]
async fn post_members(context: Shared<'_>, change: Json<MemberChange>) -> Response {
    // Only the leader tracks the progress of the other replicas.
    if context.control.shared.leading_term().is_none() {
        return error_response(&ControlError::NotLeader);
    }
    let mut next = context.control.shared.membership();
    match change.0 {
        MemberChange::AddLearner { member } => {
            next.members.entry(member.replica).or_insert(Member {
                address: member.address.to_string(),
                is_voter: false,
            });
        }
        MemberChange::Promote { replica } => {
            if !has_caught_up(&context.control.shared.status(), replica) {
                let body = Json(json!({
                    "answer": "refused",
                    "reason": format!("replica {replica} has not caught up"),
                }));
                return body
                    .with_status(StatusCode::UNPROCESSABLE_ENTITY)
                    .into_response();
            }
            if let Some(member) = next.members.get_mut(&replica) {
                member.is_voter = true;
            }
        }
        MemberChange::Remove { replica } => {
            next.members.remove(&replica);
        }
    }
    if next == context.control.shared.membership() {
        return Json(json!({ "answer": "done" })).into_response();
    }
    match context.control.change_members(next).await {
        Ok(_) => Json(json!({ "answer": "done" })).into_response(),
        Err(error) => error_response(&error),
    }
}

/// Whether a learner has every committed entry and may become a voter.
fn has_caught_up(status: &ReplicaStatus, replica: u64) -> bool {
    status
        .members
        .iter()
        .find(|member| member.replica == replica)
        .and_then(|member| member.matched)
        .is_some_and(|matched| matched >= status.commit)
}

fn error_response(error: &ControlError) -> Response {
    let status = match error {
        ControlError::NotLeader | ControlError::Propose { .. } => StatusCode::MISDIRECTED_REQUEST,
        ControlError::AlreadyJoined { .. } | ControlError::Superseded { .. } => {
            StatusCode::CONFLICT
        }
        ControlError::LeadershipLost | ControlError::Stopped | ControlError::NotJoined => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let body = Json(json!({ "answer": "error", "reason": error.to_string() }));
    body.with_status(status).into_response()
}
