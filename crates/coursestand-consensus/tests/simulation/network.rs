//! The network between the places of the group, which carries messages by address.

use std::net::{Ipv4Addr, SocketAddr};

use coursestand_consensus::{Message, ReplicaId};
use rand::RngExt;

use crate::group::Group;

const FIRST_PORT: u16 = 9_000;

/// A message under way.
pub struct Envelope {
    pub due: u64,
    pub from: ReplicaId,
    pub from_place: usize,
    pub to: ReplicaId,
    pub to_place: usize,
    pub message: Message,
}

pub fn address_of(place: usize) -> SocketAddr {
    let port = FIRST_PORT + u16::try_from(place).expect("few places");
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

pub fn place_of(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

impl Group {
    /// Sends messages to the addresses that the sender knows for their receivers.
    pub fn send(&mut self, place: usize, messages: Vec<(ReplicaId, Message)>) {
        let node = &self.nodes[place];
        let Some(replica) = node.replica.as_ref().filter(|_| !messages.is_empty()) else {
            return;
        };
        let from = node.id;
        let membership = replica.membership();
        let addressed: Vec<(ReplicaId, usize, Message)> = messages
            .into_iter()
            .filter_map(|(to, message)| {
                let address = node.addresses.find(membership, to)?;
                Some((to, place_of(address), message))
            })
            .collect();
        for (to, to_place, message) in addressed {
            if self.blocked_links.contains(&(place, to_place)) {
                continue;
            }
            let is_lost = self.has_faults && self.random.random_bool(0.05);
            let is_duplicated = self.has_faults && self.random.random_bool(0.05);
            let copies = if is_lost {
                0
            } else {
                1 + usize::from(is_duplicated)
            };
            for _ in 0..copies {
                let delay = if self.random.random_bool(0.05) {
                    400
                } else {
                    40
                };
                let due = self.now + self.random.random_range(0..delay);
                self.network.push(Envelope {
                    due,
                    from,
                    from_place: place,
                    to,
                    to_place,
                    message: message.clone(),
                });
            }
        }
    }

    /// Delivers the messages that are due.
    pub fn deliver_due(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|envelope| envelope.due <= now);
        self.network = later;
        for envelope in due {
            self.deliver(envelope);
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let now = self.now;
        let learns_addresses = self.rules.learns_addresses;
        let node = &mut self.nodes[envelope.to_place];
        if node.is_paused {
            // Stays in the socket buffer of the paused process.
            self.network.push(envelope);
            return;
        }
        let clock = node.clock(now);
        let is_receiver = node.id == envelope.to;
        let Some(replica) = node.replica.as_mut().filter(|_| is_receiver) else {
            return;
        };
        if learns_addresses {
            let address = address_of(envelope.from_place);
            node.addresses.note(envelope.from, address);
        }
        replica.step(clock, envelope.from, envelope.message);
    }

    /// Returns whether a process is asked and answers.
    pub fn is_asked(&mut self, from: usize, to: usize) -> bool {
        let is_cut = [(from, to), (to, from)]
            .iter()
            .any(|link| self.blocked_links.contains(link));
        let is_lost = self.has_faults && self.random.random_bool(0.05);
        !is_cut && !is_lost && self.nodes[to].answers()
    }
}
