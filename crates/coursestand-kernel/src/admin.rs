//! The admin interface: `GET /state` (dump), `/metrics` and `/health`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::Json;
use poem::{Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, web::Data};
use prometheus::TextEncoder;
use serde_json::{Map, Value, json};

use crate::http::{HttpError, HttpServer, ServerOptions};
use crate::kernel::Kernel;
use crate::server_limits::ServerLimits;
use crate::service::Health;

/// Time for admin requests in flight to finish when the process stops.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// The admin interface of one process.
pub struct Admin {
    server: HttpServer,
}

impl Admin {
    /// Serves the state of `kernel` on `address`.
    pub async fn start(address: SocketAddr, kernel: Kernel) -> Result<Admin, HttpError> {
        let options = ServerOptions {
            grace: SHUTDOWN_GRACE,
            limits: ServerLimits::default().for_few_callers(),
        };
        let server = HttpServer::start(address, routes(Arc::new(kernel)), options).await?;
        Ok(Admin { server })
    }

    /// Returns the address on which the interface listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the interface after its requests in flight.
    pub async fn stop(&self) {
        self.server.drain().await;
    }
}

fn routes(kernel: Arc<Kernel>) -> impl Endpoint {
    Route::new()
        .at("/state", get(state))
        .at("/metrics", get(metrics))
        .at("/health", get(health))
        .data(kernel)
}

#[handler]
fn state(kernel: Data<&Arc<Kernel>>) -> Json<Value> {
    Json(kernel.dump())
}

#[handler]
fn metrics(kernel: Data<&Arc<Kernel>>) -> Response {
    let families = kernel.registry().metrics().gather();
    match TextEncoder::new().encode_to_string(&families) {
        Ok(text) => text.into_response(),
        Err(error) => Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(error.to_string()),
    }
}

#[handler]
fn health(kernel: Data<&Arc<Kernel>>) -> Response {
    let health = kernel.health();
    let is_ready = health.iter().all(|(_, health)| *health == Health::Ready);
    let services: Map<String, Value> = health
        .into_iter()
        .map(|(name, health)| (name.to_owned(), json!(health)))
        .collect();
    let status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let body = Json(json!({
        "ready": is_ready,
        "incarnation": kernel.registry().incarnation(),
        "services": services,
    }));
    body.with_status(status).into_response()
}
