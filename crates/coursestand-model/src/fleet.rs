//! Settings of one process of a fleet: a deployment whose control group forms automatically
//! from seed addresses and whose entry daemons follow the catalog.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{RegionId, ZoneId};
use crate::load::{InvalidValue, Validate};
use crate::settings::LOG_LEVELS;
use crate::span::Span;

const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Settings of a process that serves control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetControlSettings {
    /// Address of the control API for operators and back ends.
    pub listen: SocketAddr,
    /// Address on which clients look up entry daemons.
    pub lookup_listen: SocketAddr,
    /// Folder for the replicated log and the replica's identity.
    pub data_folder: PathBuf,
}

/// Settings of a process that serves callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetEdgeSettings {
    /// Address on which callers reach the process.
    pub listen: SocketAddr,
    /// Address of the readiness check.
    pub ready_listen: SocketAddr,
}

/// Bounds of the deployment as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Number of control disks that may be lost at the same time.
    pub lost_disks: usize,
    /// Interval between two heartbeats of a back end.
    pub heartbeat: Span,
    /// Maximum duration of a planned stop.
    pub stop: Span,
    /// Maximum time for which a client may cache the answer to a look-up.
    pub lookup_ttl: Span,
    /// Retries allowed per request to a service.
    pub retry_ratio: f64,
    /// Additional retries allowed in each window.
    pub retry_extra: f64,
    /// Length of that window.
    pub retry_window: Span,
    /// Factor on the nominal rate of a cold back end.
    pub cold_overage: f64,
    /// Additional requests per second to a cold back end.
    pub cold_slack: f64,
}

/// Load balancing by entry daemons. The defaults suit services whose requests take from
/// tens of milliseconds to seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceSettings {
    /// Ratio of load to capacity from which a back end gets no further requests, except
    /// those that are expected to complete within their latency objective.
    pub hard_load: f64,
    /// Removed setting. It is still parsed, so that a file with it is rejected with an error
    /// that names the replacement.
    #[serde(skip_serializing)]
    #[schemars(skip)]
    pub soft_load: Option<f64>,
    /// Time for which a load report has its full weight.
    pub report_hold: Span,
    /// Half-life of a load report's weight after that time.
    pub report_half_life: Span,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        BalanceSettings {
            hard_load: 1.6,
            soft_load: None,
            report_hold: Span(250),
            report_half_life: Span(400),
        }
    }
}

/// Settings of one process of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of the process, unique in the deployment.
    pub name: String,
    /// Zone in which the process runs.
    pub zone: ZoneId,
    /// Region of that zone.
    pub region: RegionId,
    /// Region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// IP address under which other processes reach this one.
    pub ip: IpAddr,
    /// IP address on which the process accepts their connections, if it differs from `ip`, as
    /// behind address translation.
    #[serde(default)]
    pub listen_ip: Option<IpAddr>,
    /// First and last port for connections between processes, the same on all machines.
    pub internal_ports: (u16, u16),
    /// Addresses of some control processes. Only the IP addresses are used, with the first
    /// of `internal_ports`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the deployment as a whole starts for the first time.
    pub bootstrap: bool,
    /// Address of the admin interface: state dump, metrics and health.
    pub admin_listen: SocketAddr,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Settings of the control role; set if the process serves control.
    pub control: Option<FleetControlSettings>,
    /// Settings of the edge role; set if the process serves callers.
    pub edge: Option<FleetEdgeSettings>,
    /// Bandwidth of the machine's link in each direction, in megabits per second. If set,
    /// look-ups balance the link utilization of entry daemons.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in megabytes. If it isn't set, or if the system allows
    /// less, what the system allows counts.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// Bounds of the deployment.
    pub bounds: FleetBounds,
    /// Load balancing by entry daemons.
    #[serde(default)]
    pub balance: BalanceSettings,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl FleetSettings {
    /// Returns the memory that the process may use by these settings, in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        let megabytes = self.memory_mb?;
        Some(megabytes.saturating_mul(BYTES_PER_MEGABYTE))
    }

    /// Returns the address under which other processes connect with this one.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports.0)
    }

    /// Returns the address on which this process accepts connections of other processes.
    pub fn internal_listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen_ip(), self.internal_ports.0)
    }

    /// Returns the IP address on which this process accepts connections of other processes.
    pub fn listen_ip(&self) -> IpAddr {
        self.listen_ip.unwrap_or(self.ip)
    }

    /// Returns the addresses on which the seed processes accept connections of other
    /// processes.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.internal_ports.0))
            .collect()
    }
}

impl Validate for FleetSettings {
    fn validate(&self) -> Result<(), InvalidValue> {
        if self.name.is_empty() {
            return Err(InvalidValue::new("name", "\"\"", "a name"));
        }
        if self.zones.get(&self.zone) != Some(&self.region) {
            let allowed = "a zone of `zones`, with its region in `region`";
            return Err(InvalidValue::new("zone", &self.zone, allowed));
        }
        if self.seeds.is_empty() {
            let allowed = "addresses of processes that serve control";
            return Err(InvalidValue::new("seeds", "no address", allowed));
        }
        if self.control.is_none() && self.edge.is_none() {
            let allowed = "`control`, `edge` or both";
            return Err(InvalidValue::new("control", "no role", allowed));
        }
        if self.internal_ports.0 > self.internal_ports.1 {
            let found = format!("{}, {}", self.internal_ports.0, self.internal_ports.1);
            return Err(InvalidValue::new("internal_ports", found, "first, last"));
        }
        if self.bounds.heartbeat.0 == 0 {
            return Err(InvalidValue::new("bounds.heartbeat", "0ms", "1ms or more"));
        }
        if self
            .link_mbps
            .is_some_and(|speed| speed.is_nan() || speed <= 0.0)
        {
            let found = format!("{:?}", self.link_mbps);
            return Err(InvalidValue::new("link_mbps", found, "a speed over 0"));
        }
        if self.memory_mb == Some(0) {
            return Err(InvalidValue::new("memory_mb", 0, "a size over 0"));
        }
        let balance = &self.balance;
        if let Some(soft_load) = balance.soft_load {
            let allowed =
                "no value: removed in favour of learned work times; `balance.hard_load` remains";
            return Err(InvalidValue::new("balance.soft_load", soft_load, allowed));
        }
        let is_valid_hard_load = balance.hard_load > 0.0;
        if !is_valid_hard_load {
            let allowed = "a load over 0";
            return Err(InvalidValue::new(
                "balance.hard_load",
                balance.hard_load,
                allowed,
            ));
        }
        if !LOG_LEVELS.contains(&self.log_level.as_str()) {
            let allowed = LOG_LEVELS.join(", ");
            return Err(InvalidValue::new("log_level", &self.log_level, allowed));
        }
        Ok(())
    }
}
