//! The hub's entry daemons: who is connected, who fell silent, and whom look-ups name.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use bytes::Bytes;
use coursestand_discovery::directory::OBSERVER_TIMEOUT_MS;
use coursestand_discovery::{EdgeRecord, LinkUse};
use coursestand_model::{Millis, RegionId, ZoneId};
use coursestand_transport::frame::encode;
use log::info;
use rand::seq::IndexedRandom;
use tokio::sync::watch;

use super::{EdgeNames, Hub, LOG};
use crate::fleet::wire::{PeerMessage, ToEdge};

/// Entry daemons named in one look-up at most.
const MOST_ADDRESSES: usize = 64;

impl Hub {
    /// Names of the connected entry daemons, as they change.
    pub fn edges(&self) -> watch::Receiver<EdgeNames> {
        self.edges.subscribe()
    }

    /// Another control process gave a sign of life.
    pub fn heard_peer(&self, peer: SocketAddr) {
        let now = self.clock.now();
        self.state().peers.insert(peer, now);
    }

    /// Another control process is connected with an entry daemon, or no longer.
    pub fn take_peer_edge(&self, peer: SocketAddr, record: &EdgeRecord, is_connected: bool) {
        let changed = {
            let mut state = self.state();
            if is_connected {
                state.directory.connect(peer, record)
            } else {
                state
                    .directory
                    .disconnect(peer, &record.name, record.incarnation)
            }
        };
        if changed {
            self.publish_edges();
        }
    }

    /// The connection `number` with an entry daemon is heard, or no longer. The daemon
    /// may have another one: it makes a new one before it gives up one that is silent.
    pub fn note_edge(&self, number: u64, record: &EdgeRecord, is_heard: bool) {
        if self.change_edge_link(number, record, is_heard) {
            self.tell_edge(record, is_heard);
        }
    }

    /// The connection `number` with an entry daemon has been silent for long: when it
    /// has no other, others are to find out whether the daemon serves on.
    pub fn note_silent_edge(&self, number: u64, record: &EdgeRecord) {
        if self.change_edge_link(number, record, false) {
            self.tell_edge(record, false);
            self.suspect_edge(record);
        }
    }

    /// Notes whether a connection is heard, and at once what that means for the daemon:
    /// a renewal and the end of the old connection may meet. Returns whether the
    /// directory changed.
    fn change_edge_link(&self, number: u64, record: &EdgeRecord, is_heard: bool) -> bool {
        let run = (record.name.clone(), record.incarnation);
        let mut state = self.state();
        if is_heard {
            state.edge_links.entry(run).or_default().insert(number);
            return state.directory.connect(self.own, record);
        }
        let Some(links) = state.edge_links.get_mut(&run) else {
            return false;
        };
        links.remove(&number);
        if !links.is_empty() {
            return false;
        }
        state.edge_links.remove(&run);
        state
            .directory
            .disconnect(self.own, &record.name, record.incarnation)
    }

    fn tell_edge(&self, record: &EdgeRecord, is_connected: bool) {
        self.publish_edges();
        info!(target: LOG, edge = record.name, incarnation = record.incarnation,
            phase:? = record.phase, connected = is_connected; "an entry daemon changed");
        if let Some(links) = self.links() {
            links.tell_all(&PeerMessage::Edge {
                record: record.clone(),
                is_connected,
            });
        }
    }

    fn publish_edges(&self) {
        let names = self.edge_names();
        self.edges.send_if_modified(|known| {
            let changed = **known != names;
            if changed {
                *known = Arc::new(names);
            }
            changed
        });
    }

    fn edge_names(&self) -> BTreeSet<String> {
        let state = self.state();
        let connected = state.directory.connected();
        connected.map(|record| record.name.clone()).collect()
    }

    /// Addresses of entry daemons for a client.
    pub fn lookup(&self, region: &RegionId, zone: &ZoneId) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.state()
            .directory
            .resolve(now, region, zone, MOST_ADDRESSES, rand::random)
    }

    /// An entry daemon fell silent: others are to find out whether it serves on.
    fn suspect_edge(&self, record: &EdgeRecord) {
        let now = self.clock.now();
        self.state().directory.suspect(now, record);
        info!(target: LOG, edge = record.name, incarnation = record.incarnation;
            "an entry daemon fell silent");
    }

    /// Another entry daemon reached the one that fell silent.
    pub fn vouch_for_edge(&self, name: &str, incarnation: u64) {
        let now = self.clock.now();
        self.state()
            .directory
            .note_reachable(now, name, incarnation);
    }

    /// Asks one entry daemon that is heard for each suspect, another one each time.
    pub(super) fn probe_suspects(&self, now: Millis) {
        let (suspects, heard) = {
            let mut state = self.state();
            let heard: Vec<u64> = state.edge_links.values().flatten().copied().collect();
            (state.directory.suspects(now), heard)
        };
        for suspect in suspects {
            let Ok(frame) = encode(&ToEdge::Probe(suspect)) else {
                continue;
            };
            let chosen = heard.choose(&mut rand::rng());
            let followers = self
                .followers
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if let Some(follower) = chosen.and_then(|number| followers.get(number)) {
                // A full queue ends the connection at the next news.
                let _ = follower.frames.try_send(Bytes::from(frame));
            }
        }
    }

    /// An entry daemon that this process is connected with told how much of its
    /// link it uses.
    pub fn note_link_use(&self, record: &EdgeRecord, link_use: LinkUse) {
        self.state()
            .directory
            .note_link_use(&record.name, record.incarnation, link_use);
    }

    pub(super) fn drop_silent_peers(&self, now: Millis) {
        let mut state = self.state();
        let silent: Vec<SocketAddr> = state
            .peers
            .iter()
            .filter(|(_, heard_at)| now.saturating_sub(**heard_at) > OBSERVER_TIMEOUT_MS)
            .map(|(peer, _)| *peer)
            .collect();
        if silent.is_empty() {
            return;
        }
        for peer in silent {
            state.peers.remove(&peer);
            state.directory.remove_observer(peer);
        }
        drop(state);
        self.publish_edges();
    }
}
