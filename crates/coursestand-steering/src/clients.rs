//! Finds the zone of a client by longest-prefix match over address blocks.

use std::net::IpAddr;

use coursestand_model::ZoneId;
use coursestand_model::bundle::ClientBlock;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

/// Address blocks with their zones.
#[derive(Default)]
pub struct ClientBlocks {
    v4: PrefixMap<Ipv4Net, ZoneId>,
    v6: PrefixMap<Ipv6Net, ZoneId>,
}

impl ClientBlocks {
    /// Builds the table from a bundle's blocks.
    pub fn new(blocks: &[ClientBlock]) -> ClientBlocks {
        let mut table = ClientBlocks::default();
        for client in blocks {
            match client.block {
                IpNet::V4(block) => table.v4.insert(block, client.zone.clone()),
                IpNet::V6(block) => table.v6.insert(block, client.zone.clone()),
            };
        }
        table
    }

    /// Returns the zone of the longest block that contains `address`, if any.
    pub fn zone_of(&self, address: IpAddr) -> Option<&ZoneId> {
        match address {
            IpAddr::V4(address) => {
                let host = Ipv4Net::from(address);
                self.v4.get_lpm(&host).map(|(_, zone)| zone)
            }
            IpAddr::V6(address) => {
                let host = Ipv6Net::from(address);
                self.v6.get_lpm(&host).map(|(_, zone)| zone)
            }
        }
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
