//! HTTP interface for operators, back ends and clients.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coursestand_coordination::order_admission::MAX_UNCONFIRMED_AGE_MS;
use coursestand_coordination::{Command, OrderFence};
use coursestand_dialect::{Call, Dialect, Reply};
use coursestand_discovery::{InstancePhase, LookupClient};
use coursestand_kernel::connections::CallerConnections;
use coursestand_kernel::http::{HttpServer, ServerOptions};
use coursestand_kernel::open_connections::IncomingCall;
use coursestand_kernel::server_limits::ServerLimits;
use coursestand_kernel::suspension::SuspensionWatch;
use coursestand_kernel::{Registry, Service, ServiceError, Tasks};
use coursestand_model::fleet::FleetSettings;
use coursestand_model::{Millis, RegionId, ZoneId};
use log::info;
use poem::http::header::{CONTENT_LENGTH, LOCATION, RETRY_AFTER};
use poem::http::{HeaderValue, StatusCode};
use poem::{Request, Response};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::fleet::call_body::{BodyError, BodyLimits, CallBodies};
use crate::fleet::catalog_reads::{CatalogReads, EncodedCatalog, ReadError};
use crate::fleet::control_service::ControlMesh;
use crate::fleet::departures::DepartureRecorder;
use crate::fleet::hub::{HeartbeatEffect, Hub, NotAcknowledged};
use crate::fleet::memory::process_memory_bytes;
use crate::fleet::orders::{Order, OrderOutcome, Orders};
use crate::fleet::proposals::Proposals;
use crate::names;

const LOG: &str = "control";
/// Time for calls in flight to finish at a planned stop.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);
/// Timeout of a read, including the wait for a leader.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a call that was refused for others in progress may be repeated.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a call that was refused for lack of a leader may be repeated: by then, an
/// election has usually ended.
const ELECTION_RETRY_AFTER: Duration = Duration::from_secs(1);
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
    tasks: Tasks,
}

struct ApiHandler {
    mesh: Arc<ControlMesh>,
    hub: Arc<Hub>,
    orders: Orders,
    departures: DepartureRecorder,
    connections: Arc<CallerConnections>,
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
            tasks: Tasks::default(),
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
        let memory_bytes = process_memory_bytes(&self.settings);
        let clock = mesh.control.shared.clock;
        let suspensions = Arc::new(SuspensionWatch::new(clock));
        let connections = Arc::new(CallerConnections::new(clock, Arc::clone(&suspensions)));
        self.tasks.start(async move { suspensions.run().await });
        let proposals = Proposals {
            control: Arc::clone(&mesh.control),
            links: Arc::clone(&mesh.links),
        };
        let handler = Arc::new(ApiHandler {
            hub: Arc::clone(&mesh.hub),
            orders: Orders::new(proposals.clone()),
            departures: DepartureRecorder::new(
                Arc::clone(&mesh.hub),
                proposals,
                self.settings.bounds.lost_disks + 1,
            ),
            connections: Arc::clone(&connections),
            mesh: Arc::clone(&mesh),
            reads: CatalogReads::new(
                Arc::clone(&mesh.control),
                Arc::clone(&mesh.links),
                Arc::clone(&self.dialect),
            ),
            bodies: CallBodies::new(BodyLimits::for_memory(memory_bytes)),
            dialect: Arc::clone(&self.dialect),
            zones: self.settings.zones.clone(),
            ttl: lookup_ttl(&self.settings),
        });
        let options = ServerOptions {
            grace: SHUTDOWN_GRACE,
            limits: ServerLimits::for_memory(memory_bytes),
        };
        for address in [control.listen, control.lookup_listen] {
            let handler = Arc::clone(&handler);
            let endpoint = poem::endpoint::make(move |request: Request| {
                let handler = Arc::clone(&handler);
                async move { handler.answer(request).await }
            });
            let server =
                HttpServer::start_tracking(address, endpoint, options, Arc::clone(&connections))
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
        self.tasks.abort();
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

/// Refuses a call that had no effect and may be repeated after some time.
fn refuse_for(time: Duration, reason: &str) -> Response {
    let mut response = unavailable(reason);
    let seconds = HeaderValue::from(time.as_secs());
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}

fn refuse_without_leader() -> Response {
    refuse_for(ELECTION_RETRY_AFTER, "no leader is known")
}

/// Answers that the outcome is unknown: the caller may retry elsewhere.
fn unavailable(reason: &str) -> Response {
    refuse(StatusCode::SERVICE_UNAVAILABLE, reason)
}

impl ApiHandler {
    async fn answer(&self, mut request: Request) -> Result<Response, poem::Error> {
        let length = content_length(&request);
        let call = request.extensions().get::<IncomingCall>().cloned();
        let receiving = call.map(|call| call.receive_body());
        let read = self.bodies.read(request.take_body(), length).await;
        drop(receiving);
        let body = match read {
            Ok(body) => body,
            Err(error) => return Ok(self.refuse_body(&error)),
        };
        let connection = ConnectionAddresses::of(&request);
        let parsed = self
            .dialect
            .parse(request.method(), request.original_uri(), &body.bytes);
        drop(body.bytes);
        let response = match parsed {
            Ok(call) => self.execute(call, connection).await,
            Err(error) => {
                self.mesh.metrics.refused.inc();
                info!(target: LOG, path = request.original_uri().path(); "a call is refused: {error}");
                refuse(error.status(), error)
            }
        };
        Ok(response)
    }

    async fn execute(&self, call: Call, connection: ConnectionAddresses) -> Response {
        let _in_progress = self.mesh.metrics.start_call(kind_of(&call));
        match call {
            Call::PatchCatalog(patch) => {
                let order = self.order(Command::PatchCatalog(patch), None, connection);
                self.carry_out(order, connection).await
            }
            Call::Evacuate {
                zone,
                is_active,
                revision,
            } => {
                if !self.zones.contains_key(&zone) {
                    return self.refuse_zone(&zone);
                }
                let command = Command::Evacuate { zone, is_active };
                let order = self.order(command, revision.map(OrderFence), connection);
                self.carry_out(order, connection).await
            }
            Call::ReadCatalog => self.read().await,
            Call::Heartbeat(update) => {
                self.mesh.metrics.heartbeats.inc();
                let is_leaving = update.instance.phase != InstancePhase::Ready;
                let sender_waits = is_leaving && self.is_waiting(connection);
                self.answer_heartbeat(self.hub.heartbeat(update, sender_waits))
                    .await
            }
            Call::Deregister { id, born } => {
                let sender_waits = self.is_waiting(connection);
                self.answer_heartbeat(self.hub.deregister(&id, born, sender_waits))
                    .await
            }
            Call::Lookup { region, zone } => self.lookup(&LookupClient {
                region: &region,
                zone: &zone,
                address: connection.remote.ip(),
            }),
            Call::Ready => done(),
        }
    }

    /// Returns whether the caller was alive shortly before, and waits for the answer.
    fn is_waiting(&self, connection: ConnectionAddresses) -> bool {
        let found = self.connections.find(connection.local, connection.remote);
        found.is_some_and(|caller| caller.age_ms() <= MAX_UNCONFIRMED_AGE_MS && caller.is_open())
    }

    async fn answer_heartbeat(&self, effect: HeartbeatEffect) -> Response {
        let result = match effect {
            HeartbeatEffect::Noted => Ok(()),
            HeartbeatEffect::Leaves(order) => self.departures.acknowledge(order).await,
            HeartbeatEffect::Unclear => Err(NotAcknowledged),
        };
        match result {
            Ok(()) => respond(StatusCode::OK, self.dialect.heartbeat_accepted(None)),
            Err(NotAcknowledged) => unavailable("the control group has not recorded it"),
        }
    }

    fn lookup(&self, client: &LookupClient<'_>) -> Response {
        let addresses = self.hub.lookup(client);
        if addresses.is_empty() {
            return unavailable("no entry daemon is ready");
        }
        respond(StatusCode::OK, self.dialect.lookup(&addresses, self.ttl))
    }

    fn refuse_zone(&self, zone: &ZoneId) -> Response {
        let known: Vec<&str> = self.zones.keys().map(ZoneId::as_str).collect();
        let reason = format!("unknown zone `{zone}`, allowed: {}", known.join(", "));
        refuse(StatusCode::NOT_FOUND, reason)
    }

    fn order(
        &self,
        command: Command,
        confirmed: Option<OrderFence>,
        connection: ConnectionAddresses,
    ) -> Order {
        Order {
            command,
            confirmed,
            caller: connection.remote,
            connection: self.connections.find(connection.local, connection.remote),
        }
    }

    async fn carry_out(&self, order: Order, connection: ConnectionAddresses) -> Response {
        let outcome = self.orders.carry_out(&order).await;
        self.mesh.metrics.count_order(&outcome);
        match outcome {
            OrderOutcome::Done { .. } => done(),
            OrderOutcome::Refused(reason) => refuse(StatusCode::BAD_REQUEST, reason),
            OrderOutcome::CallerLeft => unavailable("the caller has closed the connection"),
            OrderOutcome::NoLeader => refuse_without_leader(),
            OrderOutcome::Unavailable(reason) => unavailable(&reason),
            OrderOutcome::Unconfirmed(revision) => {
                self.redirect_to_confirm(&order.command, revision, connection)
            }
        }
    }

    /// Redirects the caller to the same order for a revision.
    fn redirect_to_confirm(
        &self,
        command: &Command,
        revision: OrderFence,
        connection: ConnectionAddresses,
    ) -> Response {
        let Command::Evacuate { zone, is_active } = command else {
            return unavailable("the caller may have left");
        };
        let path = self.dialect.evacuation_path(zone, *is_active, revision.0);
        let reason = "send the order again to confirm it";
        let mut response = refuse(StatusCode::TEMPORARY_REDIRECT, reason);
        match HeaderValue::try_from(format!("http://{}{path}", connection.local)) {
            Ok(location) => {
                response.headers_mut().insert(LOCATION, location);
                response
            }
            Err(_) => unavailable("the zone can't be named in a header"),
        }
    }

    async fn read(&self) -> Response {
        match self.reads.read(Instant::now() + READ_TIMEOUT).await {
            Ok(EncodedCatalog { content_type, body }) => Response::builder()
                .status(StatusCode::OK)
                .content_type(content_type)
                .body(body),
            Err(ReadError::NoLeader) => refuse_without_leader(),
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
        refuse_for(OVERLOAD_RETRY_AFTER, reason)
    }
}

/// Returns the announced length of a call's body in bytes.
fn content_length(request: &Request) -> Option<usize> {
    let value = request.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// Both ends of the connection of a call. Callers whose address is not known count as one.
#[derive(Clone, Copy)]
struct ConnectionAddresses {
    local: SocketAddr,
    remote: SocketAddr,
}

impl ConnectionAddresses {
    fn of(request: &Request) -> ConnectionAddresses {
        const UNKNOWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        let known = |address: Option<&SocketAddr>| address.copied().unwrap_or(UNKNOWN);
        ConnectionAddresses {
            local: known(request.local_addr().as_socket_addr()),
            remote: known(request.remote_addr().as_socket_addr()),
        }
    }
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
