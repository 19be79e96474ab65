//! Configuration items.

use coursestand_model::{Millis, RegionId, ServiceId};
use serde::{Deserialize, Serialize};

/// Version of an item. Versions of different items are unrelated.
pub type ItemVersion = u64;

/// Key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// A route, by name.
    Route(String),
    /// A service, by name.
    Service(ServiceId),
    /// The limits of caller connections; a single item.
    Limits,
}

/// Content of an item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A route.
    Route(Route),
    /// A service.
    Service(ServiceItem),
    /// Limits of caller connections.
    Limits(Limits),
}

impl Item {
    /// Returns the item without the operator's notation, as entry daemons need it. The
    /// notation takes two thirds of a route's bytes and is read back only from control
    /// processes.
    pub fn without_notation(&self) -> Item {
        let mut item = self.clone();
        match &mut item {
            Item::Route(route) => route.notation.clear(),
            Item::Service(service) => service.notation.clear(),
            Item::Limits(limits) => limits.notation.clear(),
        }
        item
    }
}

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once (idempotent).
    Repeatable,
    /// Requests run at most once.
    Once,
    /// Requests with large bodies, which run at most once.
    Upload,
}

impl RouteKind {
    /// Returns whether a request may be retried when its outcome is unknown.
    pub fn is_repeatable(self) -> bool {
        self == RouteKind::Repeatable
    }
}

/// A service with its weight in a traffic split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Services that serve a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteTarget {
    /// A single service.
    Service(ServiceId),
    /// Requests are split by weight.
    Split(Vec<WeightedService>),
}

impl RouteTarget {
    /// Returns the services with their weights; a single service has weight 1.
    pub fn services(&self) -> Vec<(&ServiceId, u32)> {
        match self {
            RouteTarget::Service(service) => vec![(service, 1)],
            RouteTarget::Split(parts) => parts
                .iter()
                .map(|part| (&part.service, part.weight))
                .collect(),
        }
    }
}

/// A route: matches requests and defines their target and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host that the route matches.
    pub host: String,
    /// Path prefix that the route matches.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout_ms: Millis,
    /// Desired response time.
    pub target_latency_ms: Millis,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Services that serve the requests.
    pub target: RouteTarget,
    /// Maximum number of back ends that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests for the same object should reach the same back end.
    pub affinity: bool,
    /// Regions that may serve the route; empty for all.
    pub allowed_regions: Vec<RegionId>,
    /// The item as the operator wrote it, returned unchanged when read back.
    pub notation: String,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceItem {
    /// Path of the health check of a back end.
    pub health_path: String,
    /// Maximum connections to one back end from all daemons together.
    pub max_connections: u32,
    /// How long a back end stays cold after its start.
    pub cold_start_ms: Millis,
    /// Maximum requests per second to a cold back end.
    pub cold_per_second: f64,
    /// The item as the operator wrote it.
    pub notation: String,
}

/// Limits of caller connections and requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum bytes of all headers of a request together.
    pub max_header_bytes: u64,
    /// Maximum bytes of a request body.
    pub max_body_bytes: u64,
    /// Maximum time for the headers to arrive.
    pub header_timeout_ms: Millis,
    /// Maximum time that a connection may be idle.
    pub idle_timeout_ms: Millis,
    /// The item as the operator wrote it.
    pub notation: String,
}
