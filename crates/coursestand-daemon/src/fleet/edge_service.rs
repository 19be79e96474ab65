//! The entry role of a fleet process: serves callers, and stops without cutting requests off.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use coursestand_dialect::{Call, Dialect};
use coursestand_discovery::{EdgePhase, EdgeRecord, LinkUse, RelayEndpoint};
use coursestand_kernel::http::{HttpServer, ServerOptions};
use coursestand_kernel::server_limits::ServerLimits;
use coursestand_kernel::{Health, MonotonicClock, Registry, Service, ServiceError, Tasks};
use coursestand_model::fleet::FleetSettings;
use coursestand_proxy::caller_limits::CallerLimits;
use coursestand_proxy::edge_state::{EdgeBounds, RoutingState};
use coursestand_proxy::exchange::{PlannedStop, Relay};
use coursestand_proxy::metrics::ProxyMetrics;
use coursestand_proxy::pool::Pool;
use coursestand_proxy::router::Router;
use coursestand_proxy::{EdgeState, Exchange, ProxyServer};
use coursestand_routing::Backend;
use coursestand_routing::RetryLimits;
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::ColdLimits;
use coursestand_routing::picker::{Balance, PickerConfig};
use log::info;
use poem::http::StatusCode;
use poem::{Request, Response};
use prometheus::GaugeVec;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::control_api::lookup_ttl;
use crate::fleet::edge_follower::{EdgeFollower, HAND_OVER_MS};
use crate::fleet::follower_metrics::FollowerMetrics;
use crate::fleet::memory::process_memory_bytes;
use crate::fleet::metrics::EdgeMetrics;
use crate::names;

const LOG: &str = "edge";
/// Time between two rounds of periodic work.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Clients may use a look-up for this many times its lifetime.
const MAX_TTL_FACTOR: u32 = 3;
/// Time for control processes to learn that the daemon is draining.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);
/// Time from the begin of a planned stop in which requests are taken even if their time limit
/// ends after it: most answers take far less.
const EARLY_TIME: Duration = Duration::from_millis(2_700);
/// Part of a planned stop that is reserved for the process to exit.
const EXIT_RESERVE: Duration = Duration::from_millis(300);
/// Time for the last answers to reach their callers before the process exits.
const ANSWER_RESERVE: Duration = Duration::from_millis(300);
/// Number of heartbeats after which it is known whether a back end has turned cold.
const COLD_SETTLE_HEARTBEATS: u64 = 2;

/// Runs the entry role.
pub struct FleetEdge {
    settings: FleetSettings,
    dialect: Arc<dyn Dialect>,
    clock: MonotonicClock,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    tasks: Tasks,
    running: Mutex<Option<Arc<RunningEdge>>>,
}

struct RunningEdge {
    state: Arc<EdgeState>,
    follower: Arc<EdgeFollower>,
    pool: Arc<Pool>,
    exchange: Arc<Exchange>,
    server: Arc<ProxyServer>,
    /// Accepts requests that other daemons relay; none if no internal port is free.
    relay_server: Option<Arc<ProxyServer>>,
    ready: HttpServer,
    metrics: EdgeMetrics,
}

impl RunningEdge {
    /// Stops accepting connections, and waits for the requests of callers and other daemons.
    async fn close(&self) {
        let relayed = async {
            if let Some(relay_server) = &self.relay_server {
                relay_server.close().await;
            }
        };
        tokio::join!(self.server.close(), relayed);
    }

    fn update_metrics(&self) {
        self.follower.update_metrics();
        self.metrics.idle.set(self.pool.idle_count() as i64);
        let now = self.state.now();
        let routing = self.state.routing();
        let count = |is_counted: &dyn Fn(&Backend) -> bool| {
            let backends = routing.backends.iter();
            backends.filter(|backend| is_counted(backend)).count() as i64
        };
        self.metrics.catalog.set(routing.catalog.version() as i64);
        let evacuated_zones = routing.catalog.evacuated_zone_count();
        self.metrics.evacuated_zones.set(evacuated_zones as i64);
        self.metrics.backends.set(count(&|_| true));
        self.metrics
            .cold
            .set(count(&|backend| backend.is_cold(now)));
        self.metrics
            .ejected
            .set(count(&|backend| backend.is_ejected(now)));
        self.metrics
            .backing_off
            .set(count(&|backend| backend.is_backing_off(now)));
        let is_partitioned = routing.paths.is_all_affected();
        self.metrics.partitioned.set(i64::from(is_partitioned));
        let limited = routing.backends.limited_count();
        self.metrics.rate_limited.set(limited as i64);
        let crash_records = routing.fatal.views(now);
        let quarantined = crash_records
            .iter()
            .filter(|record| record.rejected_ms > 0)
            .count();
        self.metrics.quarantined.set(quarantined as i64);
        self.metrics
            .suspects
            .set((crash_records.len() - quarantined) as i64);
        self.update_retry_metrics(&routing);
    }

    /// Updates the retry metrics of every service, including those without requests.
    fn update_retry_metrics(&self, routing: &RoutingState) {
        let now = self.state.now();
        let limits = self.state.bounds().retries;
        let allowance = &routing.allowance;
        self.metrics
            .retry_daemons
            .set(allowance.daemons(now) as i64);
        for service in routing.catalog.services() {
            self.exchange.metrics().init_retry_counters(service);
            let budget = routing.budgets.get(service);
            let remaining = budget.map(|budget| budget.left(now, limits, allowance));
            let withheld = budget.map(|budget| budget.withheld(now, limits) as f64);
            let service = [service.as_str()];
            let metrics = &self.metrics;
            let set_gauge = |gauge: &GaugeVec, value: Option<f64>| {
                let gauge = gauge.with_label_values(&service);
                gauge.set(value.unwrap_or_default());
            };
            set_gauge(&metrics.retry_budget, remaining);
            set_gauge(&metrics.withheld_retries, withheld);
        }
    }

    /// Reports the link utilization that the requests need, if the link's speed is known.
    fn update_link_use(&self) {
        let Some(demand) = self.exchange.gate().sample_demand() else {
            return;
        };
        let percent = (demand * 100.0).min(f64::from(LinkUse::MAX));
        self.metrics.link_use.set(percent as i64);
        self.follower.set_link_use(percent as LinkUse);
    }
}

impl FleetEdge {
    /// Creates an entry role with these settings; the seeds may change later.
    pub fn new(
        settings: FleetSettings,
        dialect: Arc<dyn Dialect>,
        clock: MonotonicClock,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> FleetEdge {
        FleetEdge {
            settings,
            dialect,
            clock,
            seeds,
            tasks: Tasks::default(),
            running: Mutex::new(None),
        }
    }

    fn running(&self) -> Option<Arc<RunningEdge>> {
        self.running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Starts to accept relayed requests on a free internal port, and enables the exchange to relay
    /// requests. The last ports are tried first, since control processes use the first one.
    async fn start_relay(
        &self,
        state: &Arc<EdgeState>,
        exchange: &Arc<Exchange>,
    ) -> Option<Arc<ProxyServer>> {
        let token = rand::random();
        exchange.set_relay(Relay::new(
            Arc::clone(state.relay_peers()),
            self.settings.name.clone(),
            self.settings.region.clone(),
            token,
        ));
        let (first, last) = self.settings.internal_ports;
        let first = match self.settings.control {
            Some(_) => first.saturating_add(1),
            None => first,
        };
        for port in (first..=last).rev() {
            let address = SocketAddr::new(self.settings.ip, port);
            let listen_address = SocketAddr::new(self.settings.listen_ip(), port);
            let started = ProxyServer::start_for_daemons(listen_address, Arc::clone(exchange));
            match started.await {
                Ok(server) => {
                    state.set_relay_endpoint(RelayEndpoint { address, token });
                    return Some(Arc::new(server));
                }
                Err(error) => info!(target: LOG, "no relayed requests are accepted: {error}"),
            }
        }
        None
    }

    fn balance(&self) -> Balance {
        let balance = &self.settings.balance;
        Balance {
            hard_load: balance.hard_load,
            report_decay: ReportDecay {
                hold_ms: balance.report_hold.0,
                half_life_ms: balance.report_half_life.0,
            },
        }
    }

    fn state(&self) -> EdgeState {
        let bounds = &self.settings.bounds;
        let picker_config = PickerConfig {
            daemon: self.settings.name.clone(),
            region: self.settings.region.clone(),
            zones: self.settings.zones.clone(),
            cold: ColdLimits {
                overage: bounds.cold_overage,
                slack: bounds.cold_slack,
            },
            balance: self.balance(),
        };
        let bounds = EdgeBounds {
            retries: RetryLimits {
                ratio: bounds.retry_ratio,
                extra: bounds.retry_extra,
                window_ms: bounds.retry_window.0,
            },
            settle_ms: COLD_SETTLE_HEARTBEATS * bounds.heartbeat.0,
            hand_over_ms: HAND_OVER_MS,
        };
        EdgeState::new(self.clock, picker_config, bounds)
    }
}

#[async_trait]
impl Service for FleetEdge {
    fn name(&self) -> &'static str {
        names::EDGE
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        let failed = |error: &dyn std::fmt::Display| ServiceError::new(names::EDGE, error);
        let Some(role) = &self.settings.edge else {
            return Err(failed(&"the process has no entry role"));
        };
        let state = Arc::new(self.state());
        let pool = Arc::new(Pool::default());
        let metrics = ProxyMetrics::new(registry.metrics()).map_err(|error| failed(&error))?;
        let memory_bytes = process_memory_bytes(&self.settings);
        let exchange = Exchange::new(
            Arc::new(Router::new(Arc::clone(&state))),
            self.dialect.header_names(),
            Arc::clone(&pool),
            metrics,
        );
        let exchange = Arc::new(exchange.with_memory(memory_bytes));
        if let Some(link_mbps) = self.settings.link_mbps {
            exchange.gate().set_speed(link_mbps);
        }
        let server = ProxyServer::start(role.listen, Arc::clone(&exchange))
            .await
            .map_err(|error| failed(&error))?;
        let server = Arc::new(server);
        let relay_server = self.start_relay(&state, &exchange).await;
        let record = EdgeRecord {
            name: self.settings.name.clone(),
            incarnation: registry.incarnation(),
            address: role.listen,
            admin_address: self.settings.admin_listen,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            phase: EdgePhase::Starting,
        };
        let follower = Arc::new(EdgeFollower::new(
            Arc::clone(&state),
            record,
            self.seeds.clone(),
            FollowerMetrics::new(registry.metrics()).map_err(|error| failed(&error))?,
            Arc::clone(exchange.link()),
        ));
        let ready = serve_readiness(
            role.ready_listen,
            Arc::clone(&self.dialect),
            Arc::clone(&follower),
            Arc::clone(&server),
        )
        .await
        .map_err(|error| failed(&error))?;
        self.tasks.start(Arc::clone(&follower).run());
        let running = Arc::new(RunningEdge {
            state,
            follower,
            pool,
            exchange,
            server,
            relay_server,
            ready,
            metrics: EdgeMetrics::new(registry.metrics()).map_err(|error| failed(&error))?,
        });
        self.tasks.start(run_periodic_work(Arc::clone(&running)));
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(running);
        Ok(())
    }

    /// Drains the daemon: look-ups leave it out, it accepts callers until the look-ups that
    /// clients hold have expired, then finishes the requests in flight.
    async fn drain(&self) {
        let Some(running) = self.running() else {
            return;
        };
        let stop = self.settings.bounds.stop.duration();
        let now = Instant::now();
        let planned_stop = PlannedStop {
            late_from: now + EARLY_TIME.min(stop / 2),
            ends_at: now + stop.saturating_sub(EXIT_RESERVE + ANSWER_RESERVE),
        };
        running.follower.set_phase(EdgePhase::Draining);
        running.exchange.begin_stop(planned_stop);
        running.server.announce_stop();
        if let Some(relay_server) = &running.relay_server {
            relay_server.announce_stop();
        }
        let ttl = Duration::from_millis(lookup_ttl(&self.settings));
        let drain_time = ANNOUNCE_TIME + ttl * MAX_TTL_FACTOR;
        tokio::time::sleep(drain_time.min(stop.saturating_sub(EXIT_RESERVE))).await;
        info!(target: LOG, in_flight = running.exchange.metrics().in_flight.get();
            "new callers are rejected");
        let remaining = stop.saturating_sub(drain_time + EXIT_RESERVE);
        if tokio::time::timeout(remaining, running.close())
            .await
            .is_err()
        {
            info!(target: LOG, in_flight = running.exchange.metrics().in_flight.get();
                "planned stop timed out with requests in flight");
        }
    }

    async fn stop(&self) {
        self.tasks.abort();
        if let Some(running) = self.running() {
            running.ready.abort();
            running.server.abort();
            if let Some(relay_server) = &running.relay_server {
                relay_server.abort();
            }
        }
    }

    fn dump(&self) -> Value {
        let Some(running) = self.running() else {
            return Value::Null;
        };
        let report_decay = self.balance().report_decay;
        let follower = running.follower.dump();
        let idle_connections = running.pool.idle_count();
        let routing = running.state.routing();
        let now = running.state.now();
        let backends: Vec<Value> = routing
            .backends
            .iter()
            .map(|backend| {
                json!({
                    "id": backend.instance.id,
                    "service": backend.instance.service,
                    "zone": backend.instance.zone,
                    "phase": format!("{:?}", backend.instance.phase),
                    "in_flight": backend.in_flight,
                    "load": backend.load(now, report_decay),
                    "cold": backend.is_cold(now),
                    "ejected": backend.is_ejected(now),
                    "backoff_left_ms": backend.backoff_left_ms(now),
                    "rate_limit": backend.limit().map(|limit| json!({
                        "per_second": limit.rate().as_per_second(),
                        "named_ms_ago": now.saturating_sub(limit.reported_at()),
                        "named_to_this_daemon": limit.is_first_hand(),
                        "denied_ms": limit.denied_ms(now),
                    })),
                })
            })
            .collect();
        let retry_budgets: BTreeMap<&str, f64> = routing
            .budgets
            .iter()
            .map(|(service, budget)| {
                let remaining =
                    budget.left(now, running.state.bounds().retries, &routing.allowance);
                (service.as_str(), remaining)
            })
            .collect();
        json!({
            "follower": follower,
            "retry_budgets": retry_budgets,
            "retry_allowance": {
                "daemons": routing.allowance.daemons(now),
                "part": routing.allowance.share(now),
            },
            "catalog_version": routing.catalog.version(),
            "daemons": routing.daemons,
            "backends": backends,
            "requests_that_end_back_ends": routing.fatal.views(now),
            "unread_answer_headers": running.exchange.unread_headers().views(),
            "idle_connections": idle_connections,
            "paths_not_open": routing.paths.views(),
            "relay_peers": running.state.relay_peers().count(),
        })
    }

    fn health(&self) -> Health {
        match self.running().map(|running| running.follower.phase()) {
            Some(EdgePhase::Ready) => Health::Ready,
            phase => Health::NotReady {
                reason: format!("the daemon is {phase:?}"),
            },
        }
    }
}

async fn serve_readiness(
    address: SocketAddr,
    dialect: Arc<dyn Dialect>,
    follower: Arc<EdgeFollower>,
    server: Arc<ProxyServer>,
) -> Result<HttpServer, coursestand_kernel::http::HttpError> {
    let endpoint = poem::endpoint::make_sync(move |request: Request| {
        let call = dialect.parse(request.method(), request.original_uri(), &[]);
        let is_ready = follower.phase() == EdgePhase::Ready && server.is_accepting();
        let status = match call {
            Ok(Call::Ready) if is_ready => StatusCode::OK,
            Ok(Call::Ready) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Response::builder().status(status).finish()
    });
    let options = ServerOptions {
        grace: Duration::ZERO,
        limits: ServerLimits::default().for_few_callers(),
    };
    HttpServer::start(address, endpoint, options).await
}

async fn run_periodic_work(running: Arc<RunningEdge>) {
    loop {
        running.update_metrics();
        running.update_link_use();
        tokio::time::sleep(ROUND_INTERVAL).await;
        let (known, limits) = {
            let routing = running.state.routing();
            let known: std::collections::HashSet<_> = routing
                .backends
                .iter()
                .map(|backend| backend.instance.incarnation())
                .collect();
            let limits = routing.catalog.limits().map(CallerLimits::of);
            (known, limits)
        };
        running.pool.close_idle(|id| known.contains(id));
        running.exchange.close_idle_relays();
        if let Some(limits) = limits {
            running.exchange.limits().set(limits);
        }
    }
}
