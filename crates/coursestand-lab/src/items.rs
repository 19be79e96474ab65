//! Items of a catalog for tests and experiments.

use coursestand_catalog::item::ItemVersion;
use coursestand_catalog::patch::Upsert;
use coursestand_catalog::{Item, ItemKey, Limits, Route, RouteKind, RouteTarget, ServiceItem};
use coursestand_model::{Millis, ServiceId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

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

/// Routes to `service` from number `first` on as operators write them: names and
/// prefixes that have little in common, and the text of each item.
pub fn written_routes(
    service: &str,
    first: usize,
    count: usize,
    version: ItemVersion,
) -> Vec<Upsert> {
    (first..first + count)
        .map(|number| written_route(service, number, version))
        .collect()
}

fn written_route(service: &str, number: usize, version: ItemVersion) -> Upsert {
    let mut random = StdRng::seed_from_u64(number as u64);
    let name = format!("r-{}", word(&mut random, 7));
    let mut route = route(&name, service, RouteKind::Repeatable, 2_000);
    route.path_prefix = format!("/{}/{}/", word(&mut random, 7), word(&mut random, 4));
    route.notation = format!(
        r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{}","kind":"safe","timeout":"2000ms","max_attempts":2,"key_affinity":true,"service":"{service}"}}"#,
        route.path_prefix
    );
    route_item(&name, version, route)
}

fn word(random: &mut StdRng, length: usize) -> String {
    const SIGNS: &[u8; 36] = b"abcdefghijklmnopqrstuvwxyz0123456789";
    (0..length)
        .map(|_| char::from(SIGNS[random.random_range(0..SIGNS.len())]))
        .collect()
}
