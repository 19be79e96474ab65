//! Settings of one daemon process, read from a JSON file.

use std::net::SocketAddr;
use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::ids::ZoneId;
use crate::load::{InvalidValue, Validate};

/// Settings of the control role: a voter of the control group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Address on which peers and followers reach this replica.
    pub listen: SocketAddr,
    /// Folder for the replicated log, its snapshots and the replica's identity.
    pub data_folder: PathBuf,
    /// URL of the platform list, such as `http://127.0.0.1:9000/v1/backends`.
    pub platform_list: Option<String>,
    /// Interval at which the platform list is read, in milliseconds.
    #[serde(default = "default_platform_poll_ms")]
    pub platform_poll_ms: Millis,
    /// Address of the operators' HTTP interface of this replica.
    pub operator_listen: SocketAddr,
}

/// Settings of the entry role: look-ups and the gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address on which callers reach this daemon.
    pub listen: SocketAddr,
    /// Address that look-ups return to callers; the listen address by default.
    pub advertise: Option<SocketAddr>,
    /// Interval at which each back end on which this daemon has slots is probed, in
    /// milliseconds.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: Millis,
}

/// Settings of one daemon process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the daemon, unique in the deployment.
    pub name: String,
    /// Zone in which the daemon runs.
    pub zone: ZoneId,
    /// Address of the admin interface: state dump, metrics and health.
    pub admin_listen: SocketAddr,
    /// Addresses of the control replicas that this daemon follows.
    pub control: Vec<SocketAddr>,
    /// Settings of the control role; set if this daemon is a control replica.
    pub control_role: Option<ControlSettings>,
    /// Settings of the entry role; set if this daemon is an entry daemon.
    pub entry_role: Option<EntrySettings>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Maximum time that a planned stop waits for requests in flight, in milliseconds.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: Millis,
}

fn default_platform_poll_ms() -> Millis {
    500
}

fn default_probe_ms() -> Millis {
    500
}

fn default_log_level() -> String {
    "info".to_owned()
}

fn default_stop_ms() -> Millis {
    130_000
}

/// Log levels that the settings accept.
pub const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Validate for DaemonSettings {
    fn validate(&self) -> Result<(), InvalidValue> {
        if self.name.is_empty() {
            return Err(InvalidValue::new("name", "\"\"", "a name"));
        }
        if self.zone.0.is_empty() {
            return Err(InvalidValue::new("zone", "\"\"", "a zone"));
        }
        if self.control.is_empty() {
            return Err(InvalidValue::new(
                "control",
                "no address",
                "the addresses of the control replicas",
            ));
        }
        if self.control_role.is_none() && self.entry_role.is_none() {
            return Err(InvalidValue::new(
                "entry_role",
                "no role",
                "`entry_role`, `control_role` or both",
            ));
        }
        if !LOG_LEVELS.contains(&self.log_level.as_str()) {
            return Err(InvalidValue::new(
                "log_level",
                &self.log_level,
                LOG_LEVELS.join(", "),
            ));
        }
        self.validate_roles()
    }
}

impl DaemonSettings {
    fn validate_roles(&self) -> Result<(), InvalidValue> {
        if let Some(entry) = &self.entry_role
            && entry.probe_ms == 0
        {
            return Err(InvalidValue::new("entry_role.probe_ms", 0, "1 or more"));
        }
        if let Some(control) = &self.control_role {
            if control.platform_poll_ms == 0 {
                return Err(InvalidValue::new(
                    "control_role.platform_poll_ms",
                    0,
                    "1 or more",
                ));
            }
            if control.data_folder.as_os_str().is_empty() {
                return Err(InvalidValue::new(
                    "control_role.data_folder",
                    "\"\"",
                    "a folder",
                ));
            }
        }
        Ok(())
    }
}
