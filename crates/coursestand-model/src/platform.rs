//! The platform list: the published, lagging list of live and leaving machines.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, ServiceId, ZoneId};
use crate::load::{InvalidValue, Validate};

/// Whether a back end takes new work. The order matters: within one epoch a
/// back end only moves to a later state.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// One row of the platform list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformBackend {
    /// Name of the back end.
    pub id: BackendId,
    /// Service that it implements.
    pub service: ServiceId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Grows with each start of the back end.
    pub epoch: u64,
    /// State as the platform last knew it.
    pub state: BackendState,
}

/// The whole platform list, as `GET /v1/backends` answers it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    /// All machines that the platform knows.
    pub backends: Vec<PlatformBackend>,
}

impl Validate for PlatformList {
    fn validate(&self) -> Result<(), InvalidValue> {
        for (index, backend) in self.backends.iter().enumerate() {
            if backend.address.parse::<std::net::SocketAddr>().is_err() {
                return Err(InvalidValue::new(
                    format!("backends[{index}].address"),
                    &backend.address,
                    "an IP address and a port",
                ));
            }
        }
        Ok(())
    }
}
