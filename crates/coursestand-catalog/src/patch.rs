//! Changes of several items in one call, and their validation.

use std::collections::BTreeSet;

use coursestand_model::{Millis, ServiceId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::item::{Item, ItemKey, ItemVersion, Route, RouteTarget};

/// Maximum time-out of a route.
pub const MAX_TIMEOUT_MS: Millis = 10 * 60 * 1000;
/// A route's target latency must exceed its time-out by less than this.
pub const MAX_TARGET_OVER_TIMEOUT_MS: Millis = 60 * 1000;

/// Sets an item to a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upsert {
    /// The item.
    pub key: ItemKey,
    /// Its version.
    pub version: ItemVersion,
    /// Its content.
    pub item: Item,
}

/// Removes an item with a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The item.
    pub key: ItemKey,
    /// Version of the removal.
    pub version: ItemVersion,
}

/// A change of several items that is applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Items to set.
    pub upserts: Vec<Upsert>,
    /// Items to remove.
    pub removals: Vec<Removal>,
}

/// Why a patch is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum InvalidPatch {
    /// A field has an invalid value.
    #[snafu(display("route `{route}`, field `{field}`: found {found}, allowed: {allowed}"))]
    Field {
        /// Name of the route.
        route: String,
        /// The field.
        field: String,
        /// Value found.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The item already has different content at this version.
    #[snafu(display("{key:?} already has different content at version {version}"))]
    Conflict {
        /// The item.
        key: ItemKey,
        /// The version.
        version: ItemVersion,
    },
}

impl Patch {
    /// Validates the content of all items. Routes may refer to `known_services`, which the
    /// catalog contains or has contained, and to the services of the patch itself.
    pub fn validate(&self, known_services: &BTreeSet<ServiceId>) -> Result<(), InvalidPatch> {
        let mut services = known_services.clone();
        for upsert in &self.upserts {
            if let ItemKey::Service(service) = &upsert.key {
                services.insert(service.clone());
            }
        }
        for upsert in &self.upserts {
            if let (ItemKey::Route(name), Item::Route(route)) = (&upsert.key, &upsert.item) {
                validate_route(name, route, &services)?;
            }
        }
        Ok(())
    }
}

fn validate_route(
    name: &str,
    route: &Route,
    services: &BTreeSet<ServiceId>,
) -> Result<(), InvalidPatch> {
    let invalid = |field: &str, found: String, allowed: &str| {
        Err(InvalidPatch::Field {
            route: name.to_owned(),
            field: field.to_owned(),
            found,
            allowed: allowed.to_owned(),
        })
    };
    if route.host.is_empty() {
        return invalid("host", "\"\"".to_owned(), "a host name");
    }
    if !route.path_prefix.starts_with('/') {
        return invalid(
            "path_prefix",
            route.path_prefix.clone(),
            "a path that begins with a slash",
        );
    }
    if route.timeout_ms == 0 || route.timeout_ms > MAX_TIMEOUT_MS {
        let allowed = "1 ms to 10 minutes";
        return invalid("timeout", format!("{} ms", route.timeout_ms), allowed);
    }
    if route.target_latency_ms >= route.timeout_ms + MAX_TARGET_OVER_TIMEOUT_MS {
        let found = format!("{} ms", route.target_latency_ms);
        return invalid(
            "target_latency",
            found,
            "less than the time-out plus one minute",
        );
    }
    if let RouteTarget::Split(parts) = &route.target {
        let total: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            let allowed = "services with a weight over 0";
            return invalid("target", "no weight".to_owned(), allowed);
        }
    }
    for (service, _) in route.target.services() {
        if !services.contains(service) {
            return invalid("target", format!("service {service}"), "a known service");
        }
    }
    Ok(())
}
