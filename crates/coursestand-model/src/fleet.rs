//! Settings of one process of a fleet: a deployment whose control group forms by
//! itself from seeds and whose entry daemons follow the catalog.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{RegionId, ZoneId};
use crate::load::{InvalidValue, Validate};
use crate::settings::LOG_LEVELS;
use crate::span::Span;

/// Settings of a process that serves control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetControlSettings {
    /// Where operators and back ends reach it.
    pub listen: SocketAddr,
    /// Where clients look up entry daemons.
    pub lookup_listen: SocketAddr,
    /// Folder for the replicated log and the replica's identity.
    pub data_folder: PathBuf,
}

/// Settings of a process that serves callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetEdgeSettings {
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where its readiness is asked for.
    pub ready_listen: SocketAddr,
}

/// Bounds that hold for the deployment as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Control disks that may be lost at once.
    pub lost_disks: usize,
    /// Time between two heartbeats of a back end.
    pub heartbeat: Span,
    /// Time that a planned stop has.
    pub stop: Span,
    /// Longest time that a client may hold the answer to a look-up.
    pub lookup_ttl: Span,
    /// Requests sent again, for each request to a service.
    pub retry_ratio: f64,
    /// Requests sent again in each window besides.
    pub retry_extra: f64,
    /// That window.
    pub retry_window: Span,
    /// Factor on the nominal rate of a cold back end.
    pub cold_overage: f64,
    /// Requests a second to a cold back end on top of that.
    pub cold_slack: f64,
}

/// How entry daemons balance load. The defaults suit services whose requests take
/// from tens of milliseconds to seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceSettings {
    /// Load over capacity from which on a back end gets nothing more, unless the
    /// request is expected to be done within its objective all the same.
    pub hard_load: f64,
    /// Gone; only here so that a file that sets it is told what to do.
    #[serde(skip_serializing)]
    #[schemars(skip)]
    pub soft_load: Option<f64>,
    /// A load report counts in full for this long.
    pub report_hold: Span,
    /// After that, it loses half of its weight in this time.
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
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Region of that zone.
    pub region: RegionId,
    /// The region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// Address of the machine.
    pub ip: IpAddr,
    /// First and last port for the processes' own exchanges; all machines have
    /// the same.
    pub internal_ports: (u16, u16),
    /// Addresses of some processes that serve control; only their machines count.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Address of the admin interface: state dump, metrics and health.
    pub admin_listen: SocketAddr,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Set when the process serves control.
    pub control: Option<FleetControlSettings>,
    /// Set when the process serves callers.
    pub edge: Option<FleetEdgeSettings>,
    /// Speed of the machine's link in each direction, in megabits a second. With
    /// it, look-ups even out how much of their links entry daemons use.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Bounds of the deployment.
    pub bounds: FleetBounds,
    /// How entry daemons balance load.
    #[serde(default)]
    pub balance: BalanceSettings,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl FleetSettings {
    /// Where this process takes exchanges of other processes.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports.0)
    }

    /// Where the processes at the seeds take exchanges.
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
        let balance = &self.balance;
        if let Some(soft_load) = balance.soft_load {
            let allowed = "nothing: learned times decide now; `balance.hard_load` is left";
            return Err(InvalidValue::new("balance.soft_load", soft_load, allowed));
        }
        let has_hard_load = balance.hard_load > 0.0;
        if !has_hard_load {
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
