//! Serves callers, and shuts down in an order that interrupts no request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coursestand_gateway::callers::routes;
use coursestand_gateway::{Gateway, Shared};
use coursestand_kernel::http::HttpServer;
use coursestand_kernel::{Registry, Service, ServiceError};
use coursestand_model::Outcome;
use log::info;
use serde_json::{Value, json};

use crate::entry::follower::FollowerHandle;
use crate::names;

const LOG: &str = "gateway";
/// Interval between checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The caller interface of an entry daemon.
pub struct GatewayService {
    address: SocketAddr,
    gateway: Arc<Gateway>,
    drain_timeout: Duration,
    server: Mutex<Option<Arc<HttpServer>>>,
    registry: Mutex<Option<Arc<Registry>>>,
}

impl GatewayService {
    /// Returns a service on `address`. A planned stop waits up to `drain_timeout` for requests in
    /// flight.
    pub fn new(address: SocketAddr, gateway: Arc<Gateway>, drain_timeout: Duration) -> Self {
        GatewayService {
            address,
            gateway,
            drain_timeout,
            server: Mutex::new(None),
            registry: Mutex::new(None),
        }
    }

    fn server(&self) -> Option<Arc<HttpServer>> {
        self.server
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn follower(&self) -> Option<Arc<FollowerHandle>> {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.as_ref()?.find(names::FOLLOWER).ok()
    }

    fn lookup_lifetime(&self) -> Duration {
        let rules = self.gateway.shared().steering().rules();
        rules.map_or(Duration::ZERO, |rules| {
            Duration::from_millis(rules.bundle.lookup.lifetime_ms)
        })
    }
}

fn in_flight(shared: &Shared) -> u32 {
    shared
        .steering()
        .backends()
        .iter()
        .map(|backend| backend.in_use)
        .sum()
}

#[async_trait]
impl Service for GatewayService {
    fn name(&self) -> &'static str {
        names::GATEWAY
    }

    async fn start(&self, registry: &Arc<Registry>) -> Result<(), ServiceError> {
        *self.registry.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(registry));
        let routes = routes(Arc::clone(&self.gateway));
        let server = HttpServer::start(self.address, routes, self.drain_timeout)
            .await
            .map_err(|error| ServiceError::new(names::GATEWAY, error))?;
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(server));
        Ok(())
    }

    /// Excludes this daemon from look-ups, then continues to serve for the lifetime of look-up
    /// answers that callers may have cached, then stops accepting connections and completes
    /// the requests in flight.
    async fn drain(&self) {
        if let Some(follower) = self.follower() {
            follower.announce_leaving().await;
        }
        tokio::time::sleep(self.lookup_lifetime()).await;
        if let Some(server) = self.server() {
            server.drain().await;
        }
        let deadline = Instant::now() + self.drain_timeout;
        while in_flight(self.gateway.shared()) > 0 && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        info!(target: LOG, "no requests in flight");
    }

    async fn stop(&self) {
        if let Some(server) = self.server() {
            server.abort();
        }
    }

    fn dump(&self) -> Value {
        let metrics = self.gateway.metrics();
        json!({
            "listen": self.address,
            "in_flight": in_flight(self.gateway.shared()),
            "completed": metrics.request_count(Outcome::Completed),
            "not_run": metrics.request_count(Outcome::NotRun),
            "unknown": metrics.request_count(Outcome::Unknown),
            "lookups": metrics.lookups.get(),
            "retries": metrics.retries.get(),
        })
    }
}
