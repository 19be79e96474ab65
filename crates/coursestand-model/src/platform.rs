//! Platform list: the list of live and leaving machines that the platform publishes with
//! some delay.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, ServiceId, ZoneId};
use crate::load::{InvalidValue, Validate};

/// Whether a back end accepts new requests. The order of the variants matters: within an
/// epoch a back end only moves to a later state.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum BackendState {
    /// Accepts new requests.
    Live,
    /// Finishes its requests in flight and accepts no new ones.
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
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Number that grows with each start of the back end.
    pub epoch: u64,
    /// Last state that the platform observed.
    pub state: BackendState,
}

/// The platform list, as returned by `GET /v1/backends`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    /// All machines of the platform.
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
