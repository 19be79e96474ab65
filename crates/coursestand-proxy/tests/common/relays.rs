//! A daemon that is partitioned from its back ends and relays requests to another one.

use std::net::SocketAddr;
use std::sync::Arc;

use coursestand_discovery::{InstancePhase, RelayEndpoint, RelayPeer};
use coursestand_model::{RegionId, ZoneId};
use coursestand_proxy::ProxyServer;
use coursestand_proxy::exchange::Relay;
use coursestand_routing::{ConnectionAge, PathProbeOutcome, PathScope};
use tokio::net::TcpListener;

use super::{Edge, RouteSettings, instance_update};

/// Starts to accept requests that other daemons relay to `edge`.
async fn enable_relay(edge: &Edge, name: &str) -> (ProxyServer, RelayEndpoint) {
    let token = rand::random();
    let peers = Arc::clone(edge.state.relay_peers());
    let relay = Relay::new(peers, name.to_owned(), RegionId::from("r"), token);
    edge.exchange.set_relay(relay);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ProxyServer::start_for_daemons(address, Arc::clone(&edge.exchange))
        .await
        .expect("a server");
    let address = server.address();
    (server, RelayEndpoint { address, token })
}

/// Records that a daemon has found that it is partitioned from all back ends.
pub fn partition(edge: &Edge) {
    let mut routing = edge.state.routing();
    let now = edge.state.now();
    let backends = Vec::from_iter(routing.backends.iter().cloned());
    for backend in &backends {
        let hash = backend.incarnation_hash;
        let (instance, age) = (&backend.instance, ConnectionAge::New);
        let paths = &mut routing.paths;
        paths.note_failed(now, now, instance, hash, age, |_| backends.len());
    }
    routing.paths.take_due_probes(now);
    let unreached = PathProbeOutcome::Unreached;
    routing.paths.note_probe(now, &PathScope::All, unreached);
}

/// Returns an address where nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

/// Partitions a daemon from its back ends and lets it know another one. Returns the server at which
/// that accepts relayed requests.
pub async fn partition_from_back_ends(partitioned: &Edge, other: &Edge) -> ProxyServer {
    enable_relay(partitioned, "edge-1").await;
    let (server, endpoint) = enable_relay(other, "edge-2").await;
    let peer = RelayPeer {
        name: "edge-2".to_owned(),
        endpoint,
        zone: ZoneId::from("z"),
        region: RegionId::from("r"),
        link_use: None,
    };
    let control = SocketAddr::from(([127, 0, 0, 1], 1));
    partitioned.state.relay_peers().set(control, vec![peer]);
    partition(partitioned);
    server
}

/// Starts a partitioned daemon that relays to `other`. Returns it and the server at which `other`
/// accepts the requests.
pub async fn start_relaying_to(other: &Edge, settings: RouteSettings) -> (Edge, ProxyServer) {
    let entry = Edge::start(settings, Vec::new()).await;
    let lost = instance_update(0, closed_address().await, InstancePhase::Ready);
    entry.state.adopt_instances(vec![lost]);
    let server = partition_from_back_ends(&entry, other).await;
    (entry, server)
}
