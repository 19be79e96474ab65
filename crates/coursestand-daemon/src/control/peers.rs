//! Sends consensus messages to the other replicas.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_consensus::{Message, ReplicaId};
use coursestand_coordination::wire::{ControlReply, ControlRequest};
use coursestand_transport::Client;
use log::{debug, warn};
use serde::{Deserialize, Deserializer, Serialize};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

const LOG: &str = "consensus";
/// Maximum number of messages in flight to one replica. Further messages are dropped; the
/// consensus core recovers from this as from any other loss.
const MAX_IN_FLIGHT: usize = 64;
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// A consensus message with its group, sender and receiver. A replica that reuses the
/// address of another one rejects messages for that replica.
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The control group.
    pub cluster: u64,
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
    /// Address at which the sender is reached. Must stay the last field: older processes ignore
    /// it, and a message of an older process reads as no address.
    #[serde(deserialize_with = "deserialize_trailing_address")]
    pub reply_to: Option<SocketAddr>,
}

fn deserialize_trailing_address<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// A consensus message to another replica.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: ReplicaId,
    /// Its address, if it is known.
    pub address: Option<SocketAddr>,
    /// The message.
    pub message: Message,
}

struct Peer {
    client: Arc<Client<ControlRequest, ControlReply>>,
    in_flight: Arc<Semaphore>,
}

/// Sends consensus messages to other replicas without blocking. The consensus core recovers
/// from lost messages.
pub trait PeerSender: Send {
    /// Sends messages of the replica `from`, except those without an address.
    fn send(&mut self, cluster: u64, from: ReplicaId, messages: Vec<OutgoingMessage>);
}

/// Encodes each message that has an address with its envelope, and pairs it with that address.
/// `reply_to` is the address at which the sender is reached, if it knows.
pub fn envelopes(
    cluster: u64,
    from: ReplicaId,
    reply_to: Option<SocketAddr>,
    messages: Vec<OutgoingMessage>,
) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut encoded = Vec::new();
    for outgoing in messages {
        let Some(address) = outgoing.address else {
            continue;
        };
        let envelope = Envelope {
            cluster,
            from,
            to: outgoing.to,
            message: outgoing.message,
            reply_to,
        };
        match postcard::to_stdvec(&envelope) {
            Ok(bytes) => encoded.push((address, bytes)),
            Err(error) => warn!(target: LOG, "a message can't be encoded: {error}"),
        }
    }
    encoded
}

/// Returns the address at which others reach a process that listens at `listen`; `None` if that
/// stands for all addresses of its machine.
pub fn reachable_address(listen: SocketAddr) -> Option<SocketAddr> {
    (!listen.ip().is_unspecified()).then_some(listen)
}

/// Sends consensus messages through the messaging library. Connections are opened on first
/// use.
pub struct Peers {
    runtime: Handle,
    /// `None` if the replica listens on all addresses of its machine.
    local_address: Option<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Returns a sender without connections that sends on `runtime`, for a replica that listens at
    /// `listen`.
    pub fn new(runtime: Handle, listen: SocketAddr) -> Peers {
        Peers {
            runtime,
            local_address: reachable_address(listen),
            peers: BTreeMap::new(),
        }
    }

    fn send_to(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        let peer = match self.peers.entry(address) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) => match Client::new(address) {
                Ok(client) => vacant.insert(Peer {
                    client: Arc::new(client),
                    in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
                }),
                Err(error) => {
                    warn!(target: LOG, "no connection to {address}: {error}");
                    return;
                }
            },
        };
        let Ok(permit) = Arc::clone(&peer.in_flight).try_acquire_owned() else {
            return;
        };
        let client = Arc::clone(&peer.client);
        self.runtime.spawn(async move {
            let request = ControlRequest::Consensus(bytes);
            if let Err(error) = client.exchange(&request, SEND_TIMEOUT).await {
                debug!(target: LOG, "a message was lost: {error}");
            }
            drop(permit);
        });
    }
}

impl PeerSender for Peers {
    fn send(&mut self, cluster: u64, from: ReplicaId, messages: Vec<OutgoingMessage>) {
        for (address, bytes) in envelopes(cluster, from, self.local_address, messages) {
            self.send_to(address, bytes);
        }
    }
}
