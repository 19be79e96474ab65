//! Items of a catalog for tests and experiments.

use coursestand_catalog::patch::Upsert;
use coursestand_catalog::{Item, ItemKey, Limits, Route, RouteKind, RouteTarget, ServiceItem};
use coursestand_model::{Millis, ServiceId};

/// Host of all routes that this module makes.
pub const HOST: &str = "h.example";
/// Longest body that the limits of this module allow.
pub const MAX_BODY_BYTES: u64 = 4_000_000;

/// A service at version 1.
pub fn service(name: &str) -> Upsert {
    Upsert {
        key: ItemKey::Service(ServiceId::from(name)),
        version: 1,
        item: Item::Service(ServiceItem {
            health_path: String::new(),
            max_connections: 10,
            cold_start_ms: 0,
            cold_per_second: 9.0,
            notation: String::new(),
        }),
    }
}

/// Limits of callers at version 1.
pub fn limits() -> Upsert {
    Upsert {
        key: ItemKey::Limits,
        version: 1,
        item: Item::Limits(Limits {
            max_header_bytes: 16_384,
            max_body_bytes: MAX_BODY_BYTES,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            notation: String::new(),
        }),
    }
}

/// A route `/NAME/` to `service` with affinity.
pub fn route(name: &str, service: &str, kind: RouteKind, timeout_ms: Millis) -> Route {
    Route {
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms,
        target_latency_ms: 100,
        priority: 0,
        target: RouteTarget::Service(ServiceId::from(service)),
        max_attempts: 2,
        affinity: true,
        allowed_regions: Vec::new(),
        notation: String::new(),
    }
}

/// A route as an item of a patch.
pub fn route_item(name: &str, version: u64, route: Route) -> Upsert {
    Upsert {
        key: ItemKey::Route(name.to_owned()),
        version,
        item: Item::Route(route),
    }
}
