//! Configuration items.

use coursestand_model::{Millis, RegionId, ServiceId};
use serde::{Deserialize, Serialize};

/// Version of one item. Versions of different items are not related.
pub type ItemVersion = u64;

/// Names an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// A route by its name.
    Route(String),
    /// A service by its name.
    Service(ServiceId),
    /// The limits of caller connections; there is one such item.
    Limits,
}

/// An item with its content.
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
    /// The item as an entry daemon decides by it: without the operator's text, which is
    /// two thirds of a route's bytes and only read back at the control processes.
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

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Repeatable,
    /// Requests run at most once.
    Once,
    /// Requests with large bodies, which run at most once.
    Upload,
}

impl RouteKind {
    /// Whether a request may run again after its outcome was lost.
    pub fn is_repeatable(self) -> bool {
        self == RouteKind::Repeatable
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight against the others of the route.
    pub weight: u32,
}

/// Which services take a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteTarget {
    /// One service takes all.
    Service(ServiceId),
    /// Requests are divided by weight.
    Split(Vec<WeightedService>),
}

impl RouteTarget {
    /// The services with their weights; a single one has weight 1.
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

/// A route: which requests go to which service, and within which bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host whose requests it takes.
    pub host: String,
    /// Prefix of their path.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout_ms: Millis,
    /// Time within which an answer is worth most.
    pub target_latency_ms: Millis,
    /// Rank of its requests; 0 is the highest.
    pub priority: u32,
    /// Where they go.
    pub target: RouteTarget,
    /// Most back ends that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests for one object should meet the same back end.
    pub affinity: bool,
    /// Regions that may serve it; empty for all.
    pub allowed_regions: Vec<RegionId>,
    /// The item as the operator wrote it, returned unchanged when read back.
    pub notation: String,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceItem {
    /// Path that tells the health of a back end.
    pub health_path: String,
    /// Connections that one back end accepts from all daemons together.
    pub max_connections: u32,
    /// How long a back end stays cold after its start.
    pub cold_start_ms: Millis,
    /// Requests a second that a cold back end bears.
    pub cold_per_second: f64,
    /// The item as the operator wrote it.
    pub notation: String,
}

/// Limits of what callers send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of all headers together.
    pub max_header_bytes: u64,
    /// Bytes of a body.
    pub max_body_bytes: u64,
    /// Longest time for the headers to arrive.
    pub header_timeout_ms: Millis,
    /// Longest time that a connection may rest.
    pub idle_timeout_ms: Millis,
    /// The item as the operator wrote it.
    pub notation: String,
}
