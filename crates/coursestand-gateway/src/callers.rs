//! HTTP routes for callers: `GET /v1/lookup` and `/v1/services/<service>/…`.

use std::sync::Arc;

use coursestand_model::{ServiceId, headers};
use poem::http::{StatusCode, header};
use poem::web::{Data, Path, Query};
use poem::{Body, Endpoint, EndpointExt, Request, Response, Route, get, handler};
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, Reason};
use crate::gateway::Gateway;

/// Query parameters of a look-up.
#[derive(Debug, Deserialize)]
struct LookupQuery {
    service: String,
    client: Option<String>,
}

/// An entry daemon in the answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedDaemon {
    /// Name of the daemon.
    pub name: String,
    /// `IP:port` of its caller interface.
    pub address: String,
}

/// Answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// Entry daemons in the order in which to try them.
    pub daemons: Vec<NamedDaemon>,
    /// How long the answer may be cached, in milliseconds.
    pub lifetime_ms: u64,
    /// Revision of the bundle that the answer is based on.
    pub revision: u64,
}

/// Returns the routes for callers.
pub fn routes(gateway: Arc<Gateway>) -> impl Endpoint {
    Route::new()
        .at("/v1/lookup", get(lookup))
        .at("/v1/services/:service/*path", serve)
        .data(gateway)
}

#[handler]
async fn serve(
    gateway: Data<&Arc<Gateway>>,
    Path((service, _)): Path<(String, String)>,
    request: &Request,
    body: Body,
) -> Response {
    gateway.serve(&service, request, body).await
}

#[handler]
fn lookup(
    gateway: Data<&Arc<Gateway>>,
    Query(query): Query<LookupQuery>,
    request: &Request,
) -> Response {
    gateway.metrics().lookups.inc();
    let (rules, directory) = {
        let steering = gateway.shared().steering();
        (steering.rules(), steering.directory())
    };
    let Some(rules) = rules.filter(|_| gateway.shared().lease.is_valid()) else {
        return Answer::not_run(Reason::NoLease).into_response(None);
    };
    let revision = rules.revision;
    if rules
        .service(&ServiceId::from(query.service.as_str()))
        .is_none()
    {
        let reason = Reason::UnknownService(query.service);
        return Answer::not_run(reason).into_response(Some(revision));
    }
    let client = query.client.unwrap_or_else(|| {
        let address = request.remote_addr().as_socket_addr();
        address.map_or_else(String::new, |address| address.ip().to_string())
    });
    let origin = rules.origin_of(&client);
    let origin = origin.as_ref().unwrap_or(gateway.zone());
    let daemons = directory
        .lookup(origin, &client, rules.bundle.lookup.answers)
        .into_iter()
        .map(|daemon| NamedDaemon {
            name: daemon.name.clone(),
            address: daemon.address.clone(),
        })
        .collect();
    let lifetime_ms = rules.bundle.lookup.lifetime_ms;
    let answer = LookupAnswer {
        daemons,
        lifetime_ms,
        revision,
    };
    json_response(&answer, lifetime_ms)
}

fn json_response(answer: &LookupAnswer, lifetime_ms: u64) -> Response {
    let builder = Response::builder()
        .header(header::CONTENT_TYPE, "application/json")
        .header(
            header::CACHE_CONTROL,
            format!("max-age={}", lifetime_ms / 1000),
        )
        .header(headers::REVISION, answer.revision);
    match serde_json::to_string(answer) {
        Ok(text) => builder.body(text),
        Err(error) => builder
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(error.to_string()),
    }
}
