//! Addresses of the other replicas.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::ids::ReplicaId;
use crate::membership::Membership;

/// Number of replicas whose addresses are remembered. Larger than any group, so that it bounds the
/// memory for replicas that have left.
const MAX_REPLICAS: usize = 32;

/// Addresses that other replicas sent their messages from.
///
/// A replica must be able to answer one that its own log does not name yet: a new replica gets the
/// log in parts, from a leader that may have joined after the part that it has.
#[derive(Clone, Debug, Default)]
pub struct PeerAddresses {
    /// In the order in which they were first heard from.
    known: VecDeque<(ReplicaId, SocketAddr)>,
}

impl PeerAddresses {
    /// Records the address from which a replica sent a message.
    pub fn note(&mut self, replica: ReplicaId, address: SocketAddr) {
        if let Some((_, known)) = self.known.iter_mut().find(|(id, _)| *id == replica) {
            *known = address;
            return;
        }
        if self.known.len() == MAX_REPLICAS {
            self.known.pop_front();
        }
        self.known.push_back((replica, address));
    }

    /// Returns the address of a replica: the one that it sent its latest message from, or else the
    /// one in `membership`.
    pub fn find(&self, membership: &Membership, replica: ReplicaId) -> Option<SocketAddr> {
        let heard = self.known.iter().find(|(id, _)| *id == replica);
        heard.map(|(_, address)| *address).or_else(|| {
            let member = membership.members.get(&replica)?;
            member.address.parse().ok()
        })
    }
}
