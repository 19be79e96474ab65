//! Answers operators, back ends and clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coursestand_catalog::{Catalog, CatalogDelta};
use coursestand_coordination::{Command, CommandAnswer};
use coursestand_dialect::{Call, Dialect, Reply};
use coursestand_kernel::http::HttpServer;
use coursestand_kernel::{Registry, Service, ServiceError};
use coursestand_model::fleet::FleetSettings;
use coursestand_model::{Millis, RegionId, ZoneId};
use log::info;
use poem::http::StatusCode;
use poem::{Body, Request, Response};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::control::handle::ControlHandle;
use crate::fleet::control_service::ControlMesh;
use crate::fleet::hub::{Hub, NotSpread};
use crate::fleet::listener::{propose, read_catalog};
use crate::fleet::peer_links::PeerLinks;
use crate::fleet::wire::{Answer, Question};
use crate::names;

const LOG: &str = "control";
/// Time for calls in flight at a planned stop.
const GRACE: Duration = Duration::from_millis(500);
/// Longest time that a call waits for a leader and its answer.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);
/// Pause before the leader is asked again.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest body of a call.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Parts of the time of a planned stop: clients may hold a look-up three times as
/// long as they were told, and requests need time to end.
const STOP_PARTS: Millis = 3;
/// Time of a planned stop that is left for requests to end.
const STOP_RESERVE_MS: Millis = 3_000;
/// Least time for which a look-up holds.
const LEAST_TTL_MS: Millis = 500;

/// How long clients may hold the answer to a look-up.
pub fn lookup_ttl(settings: &FleetSettings) -> Millis {
    let by_stop = settings.bounds.stop.0.saturating_sub(STOP_RESERVE_MS) / STOP_PARTS;
    by_stop.max(LEAST_TTL_MS).min(settings.bounds.lookup_ttl.0)
}

/// The interface of a control process.
pub struct ControlApi {
    settings: FleetSettings,
    dialect: Arc<dyn Dialect>,
    servers: Mutex<Vec<HttpServer>>,
}

struct Answering {
    mesh: Arc<ControlMesh>,
    control: Arc<ControlHandle>,
    hub: Arc<Hub>,
    links: Arc<PeerLinks>,
    dialect: Arc<dyn Dialect>,
    zones: BTreeMap<ZoneId, RegionId>,
    ttl: Millis,
}

impl ControlApi {
    /// An interface with these settings, worded by `dialect`.
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
        let answering = Arc::new(Answering {
            control: Arc::clone(&mesh.control),
            hub: Arc::clone(&mesh.hub),
            links: Arc::clone(&mesh.links),
            mesh: Arc::clone(&mesh),
            dialect: Arc::clone(&self.dialect),
            zones: self.settings.zones.clone(),
            ttl: lookup_ttl(&self.settings),
        });
        for address in [control.listen, control.lookup_listen] {
            let answering = Arc::clone(&answering);
            let endpoint = poem::endpoint::make(move |request: Request| {
                let answering = Arc::clone(&answering);
                async move { answering.answer(request).await }
            });
            let server = HttpServer::start(address, endpoint, GRACE)
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

/// Nothing is known of the outcome, or there is no leader: try again elsewhere.
fn unavailable(reason: &str) -> Response {
    refuse(StatusCode::SERVICE_UNAVAILABLE, reason)
}

impl Answering {
    async fn answer(&self, mut request: Request) -> Result<Response, poem::Error> {
        let body = std::mem::replace(&mut request.take_body(), Body::empty());
        let body = match body.into_bytes_limit(MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return Ok(refuse(StatusCode::BAD_REQUEST, error)),
        };
        let parsed = self
            .dialect
            .parse(request.method(), request.original_uri(), &body);
        let response = match parsed {
            Ok(call) => self.carry_out(call).await,
            Err(error) => {
                self.mesh.metrics.refused.inc();
                info!(target: LOG, path = request.original_uri().path(); "a call is refused: {error}");
                refuse(error.status(), error)
            }
        };
        Ok(response)
    }

    async fn carry_out(&self, call: Call) -> Response {
        match call {
            Call::PatchCatalog(patch) => self.commit(Command::PatchCatalog(patch)).await,
            Call::Evacuate { zone, is_active } => self.evacuate(zone, is_active).await,
            Call::ReadCatalog => self.read().await,
            Call::Heartbeat(news) => {
                self.mesh.metrics.heartbeats.inc();
                self.heartbeat_answer(self.hub.heartbeat(news).await)
            }
            Call::Deregister { id, born } => {
                self.heartbeat_answer(self.hub.deregister(&id, born).await)
            }
            Call::Lookup { region, zone } => self.lookup(&region, &zone),
            Call::Ready => done(),
        }
    }

    fn heartbeat_answer(&self, result: Result<(), NotSpread>) -> Response {
        match result {
            Ok(()) => respond(StatusCode::OK, self.dialect.heartbeat_accepted(None)),
            Err(NotSpread) => unavailable("the other control processes don't know of it yet"),
        }
    }

    fn lookup(&self, region: &RegionId, zone: &ZoneId) -> Response {
        let addresses = self.hub.lookup(region, zone);
        if addresses.is_empty() {
            return unavailable("no entry daemon is ready");
        }
        respond(StatusCode::OK, self.dialect.lookup(&addresses, self.ttl))
    }

    async fn evacuate(&self, zone: ZoneId, is_active: bool) -> Response {
        if !self.zones.contains_key(&zone) {
            let known: Vec<&str> = self.zones.keys().map(ZoneId::as_str).collect();
            let reason = format!("zone `{zone}` is not known, allowed: {}", known.join(", "));
            return refuse(StatusCode::NOT_FOUND, reason);
        }
        self.commit(Command::Evacuate { zone, is_active }).await
    }

    /// Commits a command, here or at the leader.
    async fn commit(&self, command: Command) -> Response {
        let started = Instant::now();
        let give_up = started + CALL_LIMIT;
        let items = item_count(&command);
        let answer = loop {
            let answer = self.propose_once(&command, give_up).await;
            let is_final = !matches!(answer, Answer::NotLeader);
            if is_final || Instant::now() + PAUSE >= give_up {
                break answer;
            }
            tokio::time::sleep(PAUSE).await;
        };
        info!(target: LOG, took_ms = started.elapsed().as_millis() as u64, items = items,
            answer:? = answer;
            "an order was answered");
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
            _ => unavailable("the leader gave no proper answer"),
        }
    }

    async fn propose_once(&self, command: &Command, give_up: Instant) -> Answer {
        if self.control.shared.leading_term().is_some() {
            let proposing = propose(&self.control, command.clone());
            return match tokio::time::timeout_at(give_up, proposing).await {
                Ok(answer) => answer,
                Err(_) => Answer::Unknown("it was not committed in time".to_owned()),
            };
        }
        let Some(leader) = self.leader() else {
            return Answer::NotLeader;
        };
        let question = Question::Propose(command.clone());
        let left = give_up.saturating_duration_since(Instant::now());
        let answer = self.links.ask(leader, question, left).await;
        answer.unwrap_or_else(|| Answer::Unknown("the leader did not answer".to_owned()))
    }

    fn leader(&self) -> Option<SocketAddr> {
        let leader = self.control.shared.status().leader?;
        let membership = self.control.shared.membership();
        membership.members.get(&leader)?.address.parse().ok()
    }

    async fn read(&self) -> Response {
        let give_up = Instant::now() + CALL_LIMIT;
        loop {
            if let Some(catalog) = self.read_once(give_up).await {
                return respond(StatusCode::OK, self.dialect.catalog(&catalog));
            }
            if Instant::now() + PAUSE >= give_up {
                return unavailable("no leader is known");
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn read_once(&self, give_up: Instant) -> Option<Catalog> {
        if let Some(catalog) = read_catalog(&self.control) {
            return Some(catalog);
        }
        let left = give_up.saturating_duration_since(Instant::now());
        let answer = self
            .links
            .ask(self.leader()?, Question::ReadCatalog, left)
            .await?;
        match answer {
            Answer::Catalog(delta) => Some(catalog_of(delta)),
            _ => None,
        }
    }
}

/// Items of the catalog that a command sets or drops.
fn item_count(command: &Command) -> usize {
    match command {
        Command::PatchCatalog(patch) => patch.upserts.len() + patch.removals.len(),
        _ => 0,
    }
}

fn catalog_of(delta: CatalogDelta) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.adopt(delta);
    catalog
}
