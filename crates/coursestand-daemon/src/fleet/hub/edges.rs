//! Entry daemons in the hub: connections, failure detection and look-ups.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use bytes::Bytes;
use coursestand_discovery::{EdgeRecord, LinkUse, LookupClient, RelayEndpoint, RelayPeer};
use coursestand_model::Millis;
use coursestand_transport::frame::encode;
use log::info;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use super::{EdgeLink, EdgeNames, Hub, LOG};
use crate::fleet::wire::{PeerMessage, ToEdge};

/// Maximum number of entry daemons in the answer to a look-up.
const MAX_LOOKUP_ADDRESSES: usize = 64;

/// A change of the entry daemons that this process is connected with.
struct EdgeChange {
    record: EdgeRecord,
    is_connected: bool,
}

impl EdgeChange {
    fn connected(record: &EdgeRecord) -> EdgeChange {
        EdgeChange {
            record: record.clone(),
            is_connected: true,
        }
    }

    fn disconnected(record: &EdgeRecord) -> EdgeChange {
        EdgeChange {
            record: record.clone(),
            is_connected: false,
        }
    }
}

impl Hub {
    /// Watches the names of the connected entry daemons.
    pub fn edges(&self) -> watch::Receiver<EdgeNames> {
        self.edges.subscribe()
    }

    /// Records that the connection `number` with an entry daemon is active or closed. The
    /// daemon may have two connections: it opens a new one before it closes one that is silent.
    pub fn note_edge(&self, number: u64, record: &EdgeRecord, is_connected: bool) {
        let changes = match is_connected {
            true => self.add_edge_link(number, record),
            false => self.remove_edge_link(number, record),
        };
        self.announce(number, &changes);
    }

    /// Records that the connection `number` with an entry daemon timed out. If it was the
    /// daemon's only one, other daemons probe whether it is still serving.
    pub fn mark_edge_silent(&self, number: u64, record: &EdgeRecord) {
        let changes = self.remove_edge_link(number, record);
        self.announce(number, &changes);
        if !changes.is_empty() {
            self.suspect_edge(record);
        }
    }

    /// Adds a connection and updates its daemon under one lock, because a reconnect and the close
    /// of the old connection may coincide. Returns the changes of the directory.
    fn add_edge_link(&self, number: u64, record: &EdgeRecord) -> Vec<EdgeChange> {
        let key = (record.name.clone(), record.incarnation);
        let mut state = self.state();
        let link = state.edge_links.entry(key).or_insert_with(|| EdgeLink {
            record: record.clone(),
            connections: HashSet::new(),
        });
        link.record = record.clone();
        link.connections.insert(number);
        let is_changed = state.directory.connect(self.local_address, record);
        let change = is_changed.then(|| EdgeChange::connected(record));
        change.into_iter().collect()
    }

    /// Removes a connection and, if it was the last one, its daemon. Another run of the daemon that
    /// has a connection takes its place: the connections of two runs may be served in any order.
    /// Returns the changes of the directory.
    fn remove_edge_link(&self, number: u64, record: &EdgeRecord) -> Vec<EdgeChange> {
        let key = (record.name.clone(), record.incarnation);
        let mut state = self.state();
        let Some(link) = state.edge_links.get_mut(&key) else {
            return Vec::new();
        };
        link.connections.remove(&number);
        if !link.connections.is_empty() {
            return Vec::new();
        }
        state.edge_links.remove(&key);
        let is_changed =
            state
                .directory
                .disconnect(self.local_address, &record.name, record.incarnation);
        if !is_changed {
            return Vec::new();
        }
        let mut changes = vec![EdgeChange::disconnected(record)];
        let mut links = state.edge_links.values();
        let other = links.find(|link| link.record.name == record.name);
        if let Some(other) = other.map(|link| link.record.clone()) {
            state.directory.connect(self.local_address, &other);
            changes.push(EdgeChange::connected(&other));
        }
        changes
    }

    fn announce(&self, number: u64, changes: &[EdgeChange]) {
        for change in changes {
            self.announce_edge(number, &change.record, change.is_connected);
        }
    }

    fn announce_edge(&self, number: u64, record: &EdgeRecord, is_connected: bool) {
        self.publish_edges();
        info!(target: LOG, edge = record.name, incarnation = record.incarnation,
            connection = number, phase:? = record.phase, connected = is_connected; "an entry daemon changed");
        if let Some(links) = self.links() {
            links.broadcast(PeerMessage::Edge {
                record: record.clone(),
                is_connected,
            });
        }
    }

    pub(super) fn publish_edges(&self) {
        let names = self.edge_names();
        self.edges.send_if_modified(|published| {
            let changed = **published != names;
            if changed {
                *published = Arc::new(names);
            }
            changed
        });
    }

    fn edge_names(&self) -> BTreeSet<String> {
        let state = self.state();
        let connected = state.directory.connected_to_back_ends();
        connected.map(|record| record.name.clone()).collect()
    }

    /// Returns addresses of entry daemons for a client.
    pub fn lookup(&self, client: &LookupClient<'_>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.state()
            .directory
            .resolve(now, client, MAX_LOOKUP_ADDRESSES, rand::random)
    }

    /// Marks a silent entry daemon as suspect, so that other daemons probe whether it is
    /// serving.
    fn suspect_edge(&self, record: &EdgeRecord) {
        let now = self.clock.now();
        self.state().directory.suspect(now, record);
        info!(target: LOG, edge = record.name, incarnation = record.incarnation;
            "an entry daemon fell silent");
    }

    /// Records that another entry daemon found the suspect one ready.
    pub fn confirm_edge_ready(&self, name: &str, incarnation: u64) {
        let now = self.clock.now();
        self.state()
            .directory
            .note_reachable(now, name, incarnation);
    }

    /// Sends a probe request for each suspect to a connected entry daemon, selected at random
    /// each time.
    pub(super) fn probe_suspects(&self, now: Millis) {
        let (suspects, connected) = {
            let mut state = self.state();
            let links = state.edge_links.values();
            let connected: Vec<u64> = links
                .flat_map(|link| link.connections.iter().copied())
                .collect();
            (state.directory.suspects(now), connected)
        };
        for suspect in suspects {
            let Ok(frame) = encode(&ToEdge::Probe(suspect)) else {
                continue;
            };
            let prober = connected.choose(&mut rand::rng());
            let subscribers = self
                .subscribers
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if let Some(subscriber) = prober.and_then(|number| subscribers.get(number)) {
                // A full queue ends the connection at the next update.
                let _ = subscriber.frames.try_send(Bytes::from(frame));
            }
        }
    }

    /// Records the link utilization that a connected entry daemon reported.
    pub fn note_link_use(&self, record: &EdgeRecord, link_use: LinkUse) {
        self.state()
            .directory
            .note_link_use(&record.name, record.incarnation, link_use);
    }

    /// Records where a connected entry daemon accepts relayed requests.
    pub fn note_relay(&self, record: &EdgeRecord, endpoint: RelayEndpoint) {
        self.state()
            .directory
            .note_relay(&record.name, record.incarnation, endpoint);
    }

    /// Returns the daemons to which an entry daemon may relay requests.
    pub fn relay_peers(&self, record: &EdgeRecord) -> Vec<RelayPeer> {
        self.state().directory.relay_peers(record)
    }

    /// Records whether a connected entry daemon is partitioned from all back ends. The others
    /// take over the cold back ends that it owns.
    pub fn note_partitioned(&self, record: &EdgeRecord, is_partitioned: bool) {
        self.state()
            .directory
            .note_partitioned(&record.name, record.incarnation, is_partitioned);
        info!(target: LOG, edge = record.name, incarnation = record.incarnation,
            partitioned = is_partitioned;
            "an entry daemon reported whether it reaches back ends");
        self.publish_edges();
    }
}
