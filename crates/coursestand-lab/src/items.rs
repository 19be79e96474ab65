//! Catalog items for tests and experiments.

use coursestand_catalog::item::ItemVersion;
use coursestand_catalog::patch::Upsert;
use coursestand_catalog::{Item, ItemKey, Limits, Route, RouteKind, RouteTarget, ServiceItem};
use coursestand_model::{Millis, ServiceId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Host of all routes of this module.
pub const HOST: &str = "h.example";
/// Maximum length of a body under [`limits`], in bytes.
pub const MAX_BODY_BYTES: u64 = 4_000_000;

/// Returns a service at version 1.
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

/// Returns caller limits at version 1.
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

/// Returns a route with prefix `/NAME/` to `service`, with key affinity.
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

/// Returns the upsert of a route.
pub fn route_item(name: &str, version: u64, route: Route) -> Upsert {
    Upsert {
        key: ItemKey::Route(name.to_owned()),
        version,
        item: Item::Route(route),
    }
}

/// Returns `count` routes to `service`, seeded by their numbers from `first` on, that
/// compress as poorly as those of operators: names and prefixes have little in common, and
/// each item carries its JSON text.
pub fn realistic_routes(
    service: &str,
    first: usize,
    count: usize,
    version: ItemVersion,
) -> Vec<Upsert> {
    (first..first + count)
        .map(|number| realistic_route(service, number, version))
        .collect()
}

fn realistic_route(service: &str, number: usize, version: ItemVersion) -> Upsert {
    let mut random = StdRng::seed_from_u64(number as u64);
    let name = format!("r-{}", random_text(&mut random, 7));
    let mut route = route(&name, service, RouteKind::Repeatable, 2_000);
    route.path_prefix = format!(
        "/{}/{}/",
        random_text(&mut random, 7),
        random_text(&mut random, 4)
    );
    route.notation = format!(
        r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{}","kind":"safe","timeout":"2000ms","max_attempts":2,"key_affinity":true,"service":"{service}"}}"#,
        route.path_prefix
    );
    route_item(&name, version, route)
}

fn random_text(random: &mut StdRng, length: usize) -> String {
    const CHARACTERS: &[u8; 36] = b"abcdefghijklmnopqrstuvwxyz0123456789";
    (0..length)
        .map(|_| char::from(CHARACTERS[random.random_range(0..CHARACTERS.len())]))
        .collect()
}
