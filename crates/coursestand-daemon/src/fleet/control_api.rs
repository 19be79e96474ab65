//! HTTP interface for operators, back ends and clients.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_dialect::{Call, Dialect, Reply};
use coursestand_discovery::LookupClient;
use coursestand_kernel::http::HttpServer;
use coursestand_kernel::{Registry, Service, ServiceError};
use coursestand_model::fleet::FleetSettings;
use coursestand_model::{Millis, RegionId, ZoneId};
use log::info;
use poem::http::header::{CONTENT_LENGTH, RETRY_AFTER};
use poem::http::{HeaderValue, StatusCode};
use poem::{Request, Response};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::control::handle::ControlHandle;
use crate::fleet::call_body::{BodyError, CallBodies};
use crate::fleet::catalog_reads::{CatalogReads, EncodedCatalog, ReadError};
use crate::fleet::control_service::ControlMesh;
use crate::fleet::hub::{Hub, NotReplicated};
use crate::fleet::listener::propose;
use crate::fleet::peer_links::{AskError, PeerLinks};
use crate::fleet::wire::{Answer, Question};
use crate::names;

const LOG: &str = "control";
/// Time for calls in flight to finish at a planned stop.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);
/// Timeout of a call, including the wait for a leader.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a request to the leader is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a call that was refused for others in progress may be repeated.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Divisor of the time of a planned stop: clients may use a look-up for three times its
/// lifetime, and requests need time to finish.
const STOP_TTL_DIVISOR: Millis = 3;
/// Part of a planned stop that is reserved for requests to finish, in milliseconds.
const STOP_RESERVE_MS: Millis = 3_000;
/// Minimum lifetime of the answer to a look-up.
const MIN_TTL_MS: Millis = 500;

/// Returns how long clients may use the answer to a look-up, in milliseconds.
pub fn lookup_ttl(settings: &FleetSettings) -> Millis {
    let by_stop = settings.bounds.stop.0.saturating_sub(STOP_RESERVE_MS) / STOP_TTL_DIVISOR;
    by_stop.max(MIN_TTL_MS).min(settings.bounds.lookup_ttl.0)
}

/// HTTP interface of a control process.
pub struct ControlApi {
    settings: FleetSettings,
    dialect: Arc<dyn Dialect>,
    servers: Mutex<Vec<HttpServer>>,
}

struct ApiHandler {
    mesh: Arc<ControlMesh>,
    control: Arc<ControlHandle>,
    hub: Arc<Hub>,
    links: Arc<PeerLinks>,
    reads: CatalogReads,
    bodies: CallBodies,
    dialect: Arc<dyn Dialect>,
    zones: BTreeMap<ZoneId, RegionId>,
    ttl: Millis,
}

impl ControlApi {
    /// Creates an interface with these settings that parses calls and formats replies with
    /// `dialect`.
    pub fn new(settings: FleetSettings, dialect: Arc<dyn Dialect>) -> ControlApi {
        ControlApi {
            settings,
            dialect,
            servers: Mutex::default(),
        }
    }
}

#[async_trait]
impl Service for ControlApi {
    fn name(&self) -> &'static str {
        names::CONTROL_API
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        let failed = |error: &dyn std::fmt::Display| ServiceError::new(names::CONTROL_API, error);
        let mesh: Arc<ControlMesh> = registry.find(names::HUB).map_err(|error| failed(&error))?;
        let Some(control) = &self.settings.control else {
            return Err(failed(&"the process has no control role"));
        };
        let handler = Arc::new(ApiHandler {
            control: Arc::clone(&mesh.control),
            hub: Arc::clone(&mesh.hub),
            links: Arc::clone(&mesh.links),
            mesh: Arc::clone(&mesh),
            reads: CatalogReads::new(
                Arc::clone(&mesh.control),
                Arc::clone(&mesh.links),
                Arc::clone(&self.dialect),
            ),
            bodies: CallBodies::default(),
            dialect: Arc::clone(&self.dialect),
            zones: self.settings.zones.clone(),
            ttl: lookup_ttl(&self.settings),
        });
        for address in [control.listen, control.lookup_listen] {
            let handler = Arc::clone(&handler);
            let endpoint = poem::endpoint::make(move |request: Request| {
                let handler = Arc::clone(&handler);
                async move { handler.answer(request).await }
            });
            let server = HttpServer::start(address, endpoint, SHUTDOWN_GRACE)
                .await
                .map_err(|error| failed(&error))?;
            self.servers
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(server);
        }
        Ok(())
    }

    async fn drain(&self) {
        let servers: Vec<HttpServer> = self
            .servers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .drain(..)
            .collect();
        for server in servers {
            server.drain().await;
        }
    }

    async fn stop(&self) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        for server in servers.drain(..) {
            server.abort();
        }
    }

    fn dump(&self) -> Value {
        json!({ "lookup_ttl_ms": lookup_ttl(&self.settings) })
    }
}

fn respond(status: StatusCode, reply: Reply) -> Response {
    Response::builder()
        .status(status)
        .content_type(reply.content_type)
        .body(reply.body)
}

fn refuse(status: StatusCode, reason: impl ToString) -> Response {
    respond(status, Reply::json(&json!({ "error": reason.to_string() })))
}

fn done() -> Response {
    respond(StatusCode::OK, Reply::json(&json!({})))
}

/// Answers that the outcome is unknown or that there is no leader: the caller may retry
/// elsewhere.
fn unavailable(reason: &str) -> Response {
    refuse(StatusCode::SERVICE_UNAVAILABLE, reason)
}

impl ApiHandler {
    async fn answer(&self, mut request: Request) -> Result<Response, poem::Error> {
        let length = content_length(&request);
        let body = match self.bodies.read(request.take_body(), length).await {
            Ok(body) => body,
            Err(error) => return Ok(self.refuse_body(&error)),
        };
        let client = client_address(&request);
        let parsed = self
            .dialect
            .parse(request.method(), request.original_uri(), &body.bytes);
        drop(body.bytes);
        let response = match parsed {
            Ok(call) => self.execute(call, client).await,
            Err(error) => {
                self.mesh.metrics.refused.inc();
                info!(target: LOG, path = request.original_uri().path(); "a call is refused: {error}");
                refuse(error.status(), error)
            }
        };
        Ok(response)
    }

    async fn execute(&self, call: Call, client: IpAddr) -> Response {
        let _in_progress = self.mesh.metrics.start_call(kind_of(&call));
        match call {
            Call::PatchCatalog(patch) => self.commit(Command::PatchCatalog(patch)).await,
            Call::Evacuate { zone, is_active } => self.evacuate(zone, is_active).await,
            Call::ReadCatalog => self.read().await,
            Call::Heartbeat(update) => {
                self.mesh.metrics.heartbeats.inc();
                self.heartbeat_answer(self.hub.heartbeat(update).await)
            }
            Call::Deregister { id, born } => {
                self.heartbeat_answer(self.hub.deregister(&id, born).await)
            }
            Call::Lookup { region, zone } => self.lookup(&LookupClient {
                region: &region,
                zone: &zone,
                address: client,
            }),
            Call::Ready => done(),
        }
    }

    fn heartbeat_answer(&self, result: Result<(), NotReplicated>) -> Response {
        match result {
            Ok(()) => respond(StatusCode::OK, self.dialect.heartbeat_accepted(None)),
            Err(NotReplicated) => {
                unavailable("no majority of the control processes acknowledged it")
            }
        }
    }

    fn lookup(&self, client: &LookupClient<'_>) -> Response {
        let addresses = self.hub.lookup(client);
        if addresses.is_empty() {
            return unavailable("no entry daemon is ready");
        }
        respond(StatusCode::OK, self.dialect.lookup(&addresses, self.ttl))
    }

    async fn evacuate(&self, zone: ZoneId, is_active: bool) -> Response {
        if !self.zones.contains_key(&zone) {
            let known: Vec<&str> = self.zones.keys().map(ZoneId::as_str).collect();
            let reason = format!("unknown zone `{zone}`, allowed: {}", known.join(", "));
            return refuse(StatusCode::NOT_FOUND, reason);
        }
        self.commit(Command::Evacuate { zone, is_active }).await
    }

    /// Commits a command on this replica, or through the leader.
    async fn commit(&self, command: Command) -> Response {
        let started = Instant::now();
        info!(target: LOG, order = describe(&command),
            leads = self.control.shared.leading_term().is_some();
            "order received");
        let deadline = started + CALL_TIMEOUT;
        let items = item_count(&command);
        let answer = loop {
            let answer = self.propose_once(&command, deadline).await;
            let is_final = !matches!(answer, Answer::NotLeader);
            if is_final || Instant::now() + RETRY_DELAY >= deadline {
                break answer;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        info!(target: LOG, took_ms = started.elapsed().as_millis() as u64, items = items,
            order = describe(&command), answer:? = answer;
            "order answered");
        match answer {
            Answer::Command(CommandAnswer::Done) => {
                self.mesh.metrics.orders.inc();
                done()
            }
            Answer::Command(CommandAnswer::Refused(reason)) => {
                refuse(StatusCode::BAD_REQUEST, reason)
            }
            Answer::NotLeader => unavailable("no leader is known"),
            Answer::Unknown(reason) => unavailable(&reason),
            _ => unavailable("unexpected answer from the leader"),
        }
    }

    async fn propose_once(&self, command: &Command, deadline: Instant) -> Answer {
        if self.control.shared.leading_term().is_some() {
            let proposing = propose(&self.control, command.clone());
            return match tokio::time::timeout_at(deadline, proposing).await {
                Ok(answer) => answer,
                Err(_) => Answer::Unknown("not committed before the deadline".to_owned()),
            };
        }
        let Some(leader) = self.control.shared.leader_address() else {
            return Answer::NotLeader;
        };
        let question = Question::Propose(command.clone());
        let remaining = deadline.saturating_duration_since(Instant::now());
        match self.links.ask(leader, question, remaining).await {
            Ok(answer) => answer,
            // The leader has not seen the command, so it may be sent again.
            Err(AskError::NotSent) => Answer::NotLeader,
            Err(error) => Answer::Unknown(error.to_string()),
        }
    }

    async fn read(&self) -> Response {
        match self.reads.read(Instant::now() + CALL_TIMEOUT).await {
            Ok(EncodedCatalog { content_type, body }) => Response::builder()
                .status(StatusCode::OK)
                .content_type(content_type)
                .body(body),
            Err(error @ ReadError::Overloaded) => self.refuse_overload(&error.to_string()),
            Err(error) => unavailable(&error.to_string()),
        }
    }

    fn refuse_body(&self, error: &BodyError) -> Response {
        match error {
            BodyError::Overloaded => self.refuse_overload(&error.to_string()),
            BodyError::TooSlow { .. } => refuse(StatusCode::REQUEST_TIMEOUT, error),
            _ => refuse(StatusCode::BAD_REQUEST, error),
        }
    }

    /// Refuses a call because of others in progress. It had no effect.
    fn refuse_overload(&self, reason: &str) -> Response {
        self.mesh.metrics.overloaded.inc();
        let mut response = unavailable(reason);
        let seconds = HeaderValue::from(OVERLOAD_RETRY_AFTER.as_secs());
        response.headers_mut().insert(RETRY_AFTER, seconds);
        response
    }
}

/// Returns the announced length of a call's body in bytes.
fn content_length(request: &Request) -> Option<usize> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Returns the address of the caller. Callers whose address is not known count as one.
fn client_address(request: &Request) -> IpAddr {
    let address = request.remote_addr().as_socket_addr();
    address.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), SocketAddr::ip)
}

/// Returns the kind of a call as named in metrics.
fn kind_of(call: &Call) -> &'static str {
    match call {
        Call::PatchCatalog(_) | Call::Evacuate { .. } => "order",
        Call::ReadCatalog => "read",
        Call::Heartbeat(_) | Call::Deregister { .. } => "heartbeat",
        Call::Lookup { .. } => "lookup",
        Call::Ready => "ready",
    }
}

/// Returns the number of catalog items that a command sets or removes.
fn item_count(command: &Command) -> usize {
    match command {
        Command::PatchCatalog(patch) => patch.upserts.len() + patch.removals.len(),
        _ => 0,
    }
}

/// Describes an order for the logs.
fn describe(command: &Command) -> String {
    match command {
        Command::Evacuate {
            zone,
            is_active: true,
        } => format!("evacuate zone {zone}"),
        Command::Evacuate {
            zone,
            is_active: false,
        } => format!("end the evacuation of zone {zone}"),
        _ => "change the catalog".to_owned(),
    }
}
