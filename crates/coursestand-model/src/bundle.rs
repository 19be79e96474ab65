//! Policy bundle: regions, zones, services, policies and limits, versioned and signed.
//! Operators change the system only through bundles.

use std::collections::{BTreeMap, BTreeSet};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{RegionId, ServiceId, ZoneId};
use crate::load::{InvalidValue, Validate};
use crate::{FULL_SHARE, Millis};

/// Maximum window of a shift cap.
pub const MAX_SHIFT_WINDOW_MS: Millis = 3_600_000;
/// Maximum deadline that a service may allow.
pub const MAX_DEADLINE_MS: Millis = 120_000;

/// A region and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub id: RegionId,
    /// Zones in the region.
    pub zones: Vec<ZoneId>,
    /// Maximum number of concurrent requests in the region, over all services.
    pub capacity: u32,
}

/// A limit on a directed link between two regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region of the entry daemons.
    pub from: RegionId,
    /// Region of the back ends.
    pub to: RegionId,
    /// Maximum number of requests in flight over the link.
    pub capacity: u32,
}

/// One-way latencies, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between two zones of one region.
    pub between_zones: f64,
    /// Between two regions.
    pub between_regions: f64,
    /// Between a client and its zone.
    pub to_clients: f64,
}

/// Policy that determines the share of each zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(
    tag = "kind",
    rename_all = "kebab-case",
    rename_all_fields = "snake_case",
    deny_unknown_fields
)]
pub enum Policy {
    /// Sends all traffic of a client zone to the nearest zone with back ends.
    Nearest {},
    /// Spreads traffic over the zones of the nearest region with back ends, in proportion to
    /// their slots.
    Headroom {},
    /// Spreads traffic by fixed weights, normalized over the zones with back ends.
    Weighted {
        /// Weight of each zone; zones that are not listed have weight 0.
        weights: BTreeMap<ZoneId, u32>,
    },
}

/// Limit on the traffic that may move between zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ShiftCap {
    /// Maximum share of the traffic of one service from one client zone that may move to
    /// other zones within any window, in basis points.
    pub share_bp: u32,
    /// Length of the window in milliseconds.
    pub window_ms: Millis,
}

/// A service and the rules for its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Whether a request may run more than once. If false, each request that changes state
    /// must carry an idempotency key and runs at most once.
    pub repeatable: bool,
    /// Policy that determines the share of each zone.
    pub policy: Policy,
    /// Limit on the traffic that may move between zones.
    pub shift_cap: ShiftCap,
    /// Default and maximum deadline of a request, in milliseconds.
    pub deadline_ms: Millis,
    /// Maximum time that a request waits for a free slot in a daemon, in milliseconds.
    pub queue_ms: Millis,
    /// Maximum length of a request body in bytes.
    pub max_body_bytes: u64,
}

/// A block of client addresses and the zone nearest to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// Address block, such as `10.1.0.0/16`.
    #[schemars(with = "String")]
    pub block: ipnet::IpNet,
    /// Zone nearest to these clients.
    pub zone: ZoneId,
}

/// Rules for look-up answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Lookup {
    /// Time for which callers may cache an answer, in milliseconds.
    pub lifetime_ms: Millis,
    /// Maximum number of entry daemons in an answer.
    pub answers: usize,
}

/// Rules for requests that run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Once {
    /// Age from which an idempotency key is rejected, in milliseconds.
    pub retention_ms: Millis,
    /// Maximum time by which the issue time of a key may lie in the future, in milliseconds.
    pub clock_skew_ms: Millis,
}

/// A policy bundle: regions, services, policies and limits under one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Name of the bundle.
    pub name: String,
    /// Version, chosen by the operator. Bundles of the same name and version must have the
    /// same content.
    pub version: u64,
    /// Regions with their zones and limits.
    pub regions: Vec<Region>,
    /// Limits of links between regions; links that are not listed have no limit.
    pub links: Vec<Link>,
    /// One-way latencies.
    pub latency_ms: Latency,
    /// Services and their policies.
    pub services: Vec<Service>,
    /// Client address blocks; the longest matching prefix applies.
    pub clients: Vec<ClientBlock>,
    /// Rules for look-up answers.
    pub lookup: Lookup,
    /// Rules for requests that run at most once.
    pub once: Once,
}

impl Bundle {
    /// Returns the region of `zone`.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&Region> {
        self.regions
            .iter()
            .find(|region| region.zones.contains(zone))
    }

    /// Returns all zones in the order of the bundle.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.regions.iter().flat_map(|region| region.zones.iter())
    }

    /// Returns the service with this name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns the one-way latency between two zones, in milliseconds.
    pub fn latency_between(&self, from: &ZoneId, to: &ZoneId) -> f64 {
        if from == to {
            return 0.0;
        }
        let is_same_region = self
            .region_of(from)
            .is_some_and(|region| region.zones.contains(to));
        if is_same_region {
            self.latency_ms.between_zones
        } else {
            self.latency_ms.between_regions
        }
    }

    /// Returns the longest deadline of all services, in milliseconds.
    pub fn longest_deadline_ms(&self) -> Millis {
        self.services
            .iter()
            .map(|service| service.deadline_ms)
            .max()
            .unwrap_or(0)
    }

    fn validate_regions(&self) -> Result<(), InvalidValue> {
        if self.regions.is_empty() {
            return Err(InvalidValue::new("regions", "none", "at least one region"));
        }
        let mut regions = BTreeSet::new();
        let mut zones = BTreeSet::new();
        for (index, region) in self.regions.iter().enumerate() {
            let path = format!("regions[{index}]");
            if region.id.0.is_empty() || !regions.insert(&region.id) {
                return Err(InvalidValue::new(
                    format!("{path}.id"),
                    &region.id,
                    "a name that no other region has",
                ));
            }
            if region.zones.is_empty() {
                return Err(InvalidValue::new(
                    format!("{path}.zones"),
                    "none",
                    "at least one zone",
                ));
            }
            for (position, zone) in region.zones.iter().enumerate() {
                if zone.0.is_empty() || !zones.insert(zone) {
                    return Err(InvalidValue::new(
                        format!("{path}.zones[{position}]"),
                        zone,
                        "a name that no other zone has",
                    ));
                }
            }
        }
        Ok(())
    }

    fn validate_links(&self) -> Result<(), InvalidValue> {
        for (index, link) in self.links.iter().enumerate() {
            for (field, region) in [("from", &link.from), ("to", &link.to)] {
                if !self.regions.iter().any(|known| known.id == *region) {
                    return Err(InvalidValue::new(
                        format!("links[{index}].{field}"),
                        region,
                        "a region of this bundle",
                    ));
                }
            }
        }
        Ok(())
    }

    fn validate_latency(&self) -> Result<(), InvalidValue> {
        let latencies = [
            ("between_zones", self.latency_ms.between_zones),
            ("between_regions", self.latency_ms.between_regions),
            ("to_clients", self.latency_ms.to_clients),
        ];
        for (field, value) in latencies {
            if !(0.0..=10_000.0).contains(&value) {
                return Err(InvalidValue::new(
                    format!("latency_ms.{field}"),
                    value,
                    "0 to 10000",
                ));
            }
        }
        Ok(())
    }

    fn validate_services(&self) -> Result<(), InvalidValue> {
        let mut names = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            let path = format!("services[{index}]");
            if service.id.0.is_empty() || !names.insert(&service.id) {
                return Err(InvalidValue::new(
                    format!("{path}.id"),
                    &service.id,
                    "a name that no other service has",
                ));
            }
            service.validate(&path, self)?;
        }
        Ok(())
    }

    fn validate_clients(&self) -> Result<(), InvalidValue> {
        let zones: BTreeSet<&ZoneId> = self.zones().collect();
        for (index, client) in self.clients.iter().enumerate() {
            if !zones.contains(&client.zone) {
                return Err(InvalidValue::new(
                    format!("clients[{index}].zone"),
                    &client.zone,
                    "a zone of this bundle",
                ));
            }
        }
        Ok(())
    }
}

impl Service {
    fn validate(&self, path: &str, bundle: &Bundle) -> Result<(), InvalidValue> {
        if self.shift_cap.share_bp == 0 || self.shift_cap.share_bp > FULL_SHARE {
            return Err(InvalidValue::new(
                format!("{path}.shift_cap.share_bp"),
                self.shift_cap.share_bp,
                format!("1 to {FULL_SHARE}"),
            ));
        }
        let window = self.shift_cap.window_ms;
        if window == 0 || window > MAX_SHIFT_WINDOW_MS {
            return Err(InvalidValue::new(
                format!("{path}.shift_cap.window_ms"),
                window,
                format!("1 to {MAX_SHIFT_WINDOW_MS}"),
            ));
        }
        if self.deadline_ms == 0 || self.deadline_ms > MAX_DEADLINE_MS {
            return Err(InvalidValue::new(
                format!("{path}.deadline_ms"),
                self.deadline_ms,
                format!("1 to {MAX_DEADLINE_MS}"),
            ));
        }
        if self.queue_ms > self.deadline_ms {
            return Err(InvalidValue::new(
                format!("{path}.queue_ms"),
                self.queue_ms,
                format!("0 to deadline_ms, {}", self.deadline_ms),
            ));
        }
        self.validate_weights(path, bundle)
    }

    fn validate_weights(&self, path: &str, bundle: &Bundle) -> Result<(), InvalidValue> {
        let Policy::Weighted { weights } = &self.policy else {
            return Ok(());
        };
        for zone in weights.keys() {
            if !bundle.zones().any(|known| known == zone) {
                return Err(InvalidValue::new(
                    format!("{path}.policy.weights"),
                    zone,
                    "zones of this bundle",
                ));
            }
        }
        if weights.values().all(|weight| *weight == 0) {
            return Err(InvalidValue::new(
                format!("{path}.policy.weights"),
                "no weight above 0",
                "at least one weight above 0",
            ));
        }
        Ok(())
    }
}

impl Validate for Bundle {
    fn validate(&self) -> Result<(), InvalidValue> {
        if self.name.is_empty() {
            return Err(InvalidValue::new("name", "\"\"", "a name"));
        }
        if self.lookup.answers == 0 {
            return Err(InvalidValue::new("lookup.answers", 0, "1 or more"));
        }
        self.validate_regions()?;
        self.validate_links()?;
        self.validate_latency()?;
        self.validate_services()?;
        self.validate_clients()
    }
}

/// Signature of a bundle by one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Signature {
    /// Name of the operator whose key signed.
    pub operator: String,
    /// Ed25519 signature over the content, as hexadecimal text.
    pub signature: String,
}

/// A signed bundle: the exact text that was signed, and the signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// JSON text of the bundle.
    pub content: String,
    /// Signatures over the bytes of `content`.
    pub signatures: Vec<Signature>,
}

impl SignedBundle {
    /// Returns the SHA-256 hash of the content, as hexadecimal text.
    pub fn content_hash(&self) -> String {
        hex::encode(Sha256::digest(self.content.as_bytes()))
    }
}

impl Validate for SignedBundle {
    fn validate(&self) -> Result<(), InvalidValue> {
        if self.content.is_empty() {
            return Err(InvalidValue::new("content", "\"\"", "the text of a bundle"));
        }
        Ok(())
    }
}
