//! Relays through which all processes connect with the control processes.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::deployment::Deployment;
use crate::evacuations::CONTROLS;
use crate::relay::{LinkFault, Relay};

/// One relay before each control process.
pub struct Links(BTreeMap<u8, (IpAddr, Relay)>);

impl Links {
    pub async fn start(deployment: &Deployment) -> Links {
        let mut links = BTreeMap::new();
        for host in CONTROLS {
            let address = deployment.internal(host);
            let mut target = address;
            target.set_ip(deployment.hidden_ip(host));
            let relay = Relay::start_at(address, target).await;
            links.insert(host, (target.ip(), relay));
        }
        Links(links)
    }

    /// Returns the IP address on which a control process has to listen.
    pub fn listen_ip(&self, host: u8) -> IpAddr {
        self.0[&host].0
    }

    /// Sets the fault of all connections to a control process.
    pub fn set(&self, host: u8, fault: LinkFault) {
        self.0[&host].1.set(fault);
    }
}
