//! Deployments to emulate: zones, services and back ends of two example organizations,
//! and the settings of their daemons.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coursestand_model::bundle::{
    Bundle, ClientBlock, Latency, Lookup, Once, Policy, Region, Service, ShiftCap,
};
use coursestand_model::load::{InvalidValue, Validate};
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::settings::{ControlSettings, DaemonSettings, EntrySettings};
use coursestand_model::{BackendId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::address::AddressAllocator;
use crate::backend::Behaviour;

/// Number of replicas of the control group.
pub const CONTROL_REPLICAS: usize = 3;

/// Back ends of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendGroup {
    /// The service.
    pub service: ServiceId,
    /// Number of its back ends.
    pub count: usize,
    /// Concurrent requests of each back end.
    pub slots: u32,
    /// Maximum number of connections of each back end.
    pub connections: u32,
    /// Work time of a request in milliseconds.
    pub work_ms: u64,
}

/// A deployment to emulate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name, such as `hut`.
    pub name: String,
    /// The first bundle.
    pub bundle: Bundle,
    /// Back ends by service.
    pub backends: Vec<BackendGroup>,
    /// Number of entry daemons; the first [`CONTROL_REPLICAS`] are also control replicas.
    pub daemons: usize,
    /// Time to answer a probe in milliseconds.
    pub probe_ms: u64,
    /// Delay of the platform list in milliseconds.
    pub platform_lag_ms: u64,
    /// Address of the platform list.
    pub platform: SocketAddr,
    /// Address of the first back end; the others use the following ports.
    pub first_backend: SocketAddr,
}

impl Validate for Deployment {
    fn validate(&self) -> Result<(), InvalidValue> {
        if self.daemons < CONTROL_REPLICAS {
            let allowed = format!("{CONTROL_REPLICAS} or more");
            return Err(InvalidValue::new("daemons", self.daemons, allowed));
        }
        self.bundle.validate().map_err(|invalid| InvalidValue {
            path: format!("bundle.{}", invalid.path),
            ..invalid
        })
    }
}

/// Parameters of a service and its back ends.
struct ServiceTemplate {
    name: &'static str,
    repeatable: bool,
    count: usize,
    work_ms: u64,
    max_body_bytes: u64,
}

impl ServiceTemplate {
    fn service(&self) -> Service {
        Service {
            id: self.name.into(),
            repeatable: self.repeatable,
            policy: Policy::Headroom {},
            shift_cap: ShiftCap {
                share_bp: 2_000,
                window_ms: 3_000,
            },
            deadline_ms: 5_000,
            queue_ms: 100,
            max_body_bytes: self.max_body_bytes,
        }
    }

    fn group(&self, connections: u32) -> BackendGroup {
        BackendGroup {
            service: self.name.into(),
            count: self.count,
            slots: 4,
            connections,
            work_ms: self.work_ms,
        }
    }
}

/// Parameters of a deployment.
struct DeploymentTemplate {
    name: &'static str,
    regions: [(&'static str, [&'static str; 2]); 3],
    latency_ms: Latency,
    services: [ServiceTemplate; 3],
    connections: u32,
    daemons: usize,
    probe_ms: u64,
}

/// Returns the deployment `hut`: a firm that rents out huts, with 10 daemons and 45 back
/// ends.
pub fn hut(addresses: &mut AddressAllocator) -> Deployment {
    let template = DeploymentTemplate {
        name: "hut",
        regions: [
            ("inland", ["in-kempton", "in-sandton"]),
            ("eastcoast", ["ec-ballito", "ec-hillcrest"]),
            ("capesouth", ["cs-paarl", "cs-somerset"]),
        ],
        latency_ms: Latency {
            between_zones: 1.0,
            between_regions: 10.0,
            to_clients: 3.0,
        },
        services: [
            service("bunkview", true, 20, 15, 64 * 1024),
            service("depositbook", false, 15, 20, 64 * 1024),
            service("reportdrop", true, 10, 40, 16 * 1024 * 1024),
        ],
        connections: 130,
        daemons: 10,
        probe_ms: 2,
    };
    template.deployment(addresses)
}

/// Returns the deployment `coop`: a testing co-operative with 12 daemons and 40 back
/// ends.
pub fn coop(addresses: &mut AddressAllocator) -> Deployment {
    let template = DeploymentTemplate {
        name: "coop",
        regions: [
            ("sask", ["regina-hall", "stoon-hall"]),
            ("mb", ["wpg-hall", "brandon-hall"]),
            ("ab", ["yyc-hall", "yeg-hall"]),
        ],
        latency_ms: Latency {
            between_zones: 0.5,
            between_regions: 35.0,
            to_clients: 1.0,
        },
        services: [
            service("qbank", true, 20, 15, 64 * 1024),
            service("ledger", false, 10, 20, 64 * 1024),
            service("vault", false, 10, 20, 64 * 1024),
        ],
        connections: 120,
        daemons: 12,
        probe_ms: 6,
    };
    template.deployment(addresses)
}

fn service(
    name: &'static str,
    repeatable: bool,
    count: usize,
    work_ms: u64,
    max_body_bytes: u64,
) -> ServiceTemplate {
    ServiceTemplate {
        name,
        repeatable,
        count,
        work_ms,
        max_body_bytes,
    }
}

impl DeploymentTemplate {
    fn deployment(self, addresses: &mut AddressAllocator) -> Deployment {
        let backends: Vec<BackendGroup> = self
            .services
            .iter()
            .map(|service| service.group(self.connections))
            .collect();
        let slots: u32 = backends
            .iter()
            .map(|group| group.count as u32 * group.slots)
            .sum();
        let regions = self
            .regions
            .iter()
            .map(|(region, zones)| Region {
                id: (*region).into(),
                zones: zones.iter().map(|zone| (*zone).into()).collect(),
                capacity: slots / 2,
            })
            .collect();
        let zones = self.regions.iter().flat_map(|(_, zones)| zones);
        let clients = zones
            .enumerate()
            .map(|(index, zone)| ClientBlock {
                block: client_block(index),
                zone: (*zone).into(),
            })
            .collect();
        let bundle = Bundle {
            name: format!("{}-first", self.name),
            version: 1,
            regions,
            links: Vec::new(),
            latency_ms: self.latency_ms,
            services: self.services.iter().map(ServiceTemplate::service).collect(),
            clients,
            lookup: Lookup {
                lifetime_ms: 2_000,
                answers: 3,
            },
            once: Once {
                retention_ms: 3_600_000,
                clock_skew_ms: 60_000,
            },
        };
        let platform = addresses.next_address();
        let first_backend = addresses.next_address();
        let count: usize = backends.iter().map(|group| group.count).sum();
        for _ in 1..count {
            addresses.next_address();
        }
        Deployment {
            name: self.name.to_owned(),
            bundle,
            backends,
            daemons: self.daemons,
            probe_ms: self.probe_ms,
            platform_lag_ms: 1_000,
            platform,
            first_backend,
        }
    }
}

/// Returns the client addresses of a zone: `10.<index + 1>.0.0/16`.
fn client_block(index: usize) -> ipnet::IpNet {
    let address = std::net::Ipv4Addr::new(10, index as u8 + 1, 0, 0);
    ipnet::IpNet::V4(ipnet::Ipv4Net::new_assert(address, 16))
}

impl Deployment {
    /// Returns all zones.
    pub fn zones(&self) -> Vec<ZoneId> {
        self.bundle.zones().cloned().collect()
    }

    /// Returns the address of client number `host` in a zone.
    pub fn client_address(zone_index: usize, host: u16) -> String {
        let [high, low] = host.to_be_bytes();
        format!("10.{}.{high}.{low}", zone_index + 1)
    }

    /// Returns the back ends, distributed round-robin over the zones.
    pub fn platform_backends(&self, epoch: u64) -> Vec<PlatformBackend> {
        let zones = self.zones();
        let mut rows = Vec::new();
        for group in &self.backends {
            for number in 0..group.count {
                let mut address = self.first_backend;
                address.set_port(self.first_backend.port() + rows.len() as u16);
                rows.push(PlatformBackend {
                    id: BackendId(format!("{}-{number:02}", group.service)),
                    service: group.service.clone(),
                    zone: zones[number % zones.len()].clone(),
                    address: address.to_string(),
                    slots: group.slots,
                    connections: group.connections,
                    epoch,
                    state: BackendState::Live,
                });
            }
        }
        rows
    }

    /// Returns the response times of the back ends of a service.
    pub fn behaviour(&self, service: &ServiceId) -> Behaviour {
        let work_ms = self
            .backends
            .iter()
            .find(|group| group.service == *service)
            .map_or(0, |group| group.work_ms);
        Behaviour {
            work_time: Duration::from_millis(work_ms),
            probe_time: Duration::from_millis(self.probe_ms),
        }
    }

    /// Returns the settings of all daemons, with data folders under `folder`.
    pub fn daemon_settings(
        &self,
        addresses: &mut AddressAllocator,
        folder: &Path,
    ) -> Vec<DaemonSettings> {
        let zones = self.zones();
        let control: Vec<SocketAddr> = (0..CONTROL_REPLICAS)
            .map(|_| addresses.next_address())
            .collect();
        (0..self.daemons)
            .map(|number| {
                let name = format!("{}-{number:02}", self.name);
                let control_role = control.get(number).map(|listen| ControlSettings {
                    listen: *listen,
                    data_folder: folder.join(&name),
                    platform_list: Some(format!("http://{}/v1/backends", self.platform)),
                    platform_poll_ms: 500,
                    operator_listen: addresses.next_address(),
                });
                DaemonSettings {
                    zone: zones[zone_index(number, zones.len())].clone(),
                    admin_listen: addresses.next_address(),
                    control: control.clone(),
                    control_role,
                    entry_role: Some(EntrySettings {
                        listen: addresses.next_address(),
                        advertise: None,
                        probe_ms: 500,
                    }),
                    log_level: "info".to_owned(),
                    stop_ms: 130_000,
                    name,
                }
            })
            .collect()
    }
}

/// Returns the index of the zone of a daemon. The first daemons are in different regions,
/// so that the control group survives the loss of a region.
fn zone_index(number: usize, zones: usize) -> usize {
    let stride_position = number * 2;
    let round = stride_position / zones;
    (stride_position + round % 2) % zones
}
