//! What control processes report to each other about their connections with entry daemons.
//!
//! Each change is told once. A digest in every ping shows whether a message was lost; the receiver
//! then asks for a full report. `docs/design/0021-reports-about-entry-daemons.md` compares this with
//! other ways.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use coursestand_discovery::{ConnectionDigest, EdgeIncarnation, EdgeRecord};
use log::{debug, info};

use super::{Hub, LOG};
use crate::fleet::peer_links::PeerState;
use crate::fleet::wire::{PeerMessage, StartTimes};

impl PeerState for Hub {
    fn initial_messages(&self) -> Vec<PeerMessage> {
        let updates = self.all_instances();
        let mut messages = vec![PeerMessage::Instances {
            starts: StartTimes::of(&updates),
            updates,
            receipt: None,
        }];
        messages.extend(
            self.edge_report()
                .into_iter()
                .map(|record| PeerMessage::Edge {
                    record,
                    is_connected: true,
                }),
        );
        messages
    }

    fn edge_digest(&self) -> ConnectionDigest {
        self.state().directory.digest_of(self.local_address)
    }

    fn edge_report(&self) -> Vec<EdgeRecord> {
        let state = self.state();
        let connected = state.directory.connected_with(self.local_address);
        connected.cloned().collect()
    }
}

impl Hub {
    /// Records that another control process opened a connection, and returns its number. The peer
    /// first reports all entry daemons that it is connected with.
    pub fn begin_peer_connection(&self, peer: SocketAddr) -> u64 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.state().peer_connections.insert(peer, number);
        number
    }

    /// Drops what another control process reported on connection `number`, because it has been
    /// silent. A later connection has replaced the reports.
    pub fn end_peer_connection(&self, peer: SocketAddr, number: u64) {
        {
            let mut state = self.state();
            if state.peer_connections.get(&peer) != Some(&number) {
                return;
            }
            state.peer_connections.remove(&peer);
            state.directory.remove_observer(peer);
        }
        info!(target: LOG, peer:% = peer, connection = number;
            "the reports of a silent control process expired");
        self.publish_edges();
    }

    /// Records that another control process reported on connection `number` that it connected with
    /// an entry daemon or lost the connection. Reports on an earlier connection are outdated.
    pub fn note_peer_edge(
        &self,
        peer: SocketAddr,
        number: u64,
        record: &EdgeRecord,
        is_connected: bool,
    ) {
        let changed = {
            let mut state = self.state();
            if state.peer_connections.get(&peer) != Some(&number) {
                return;
            }
            if is_connected {
                state.directory.connect(peer, record)
            } else {
                state
                    .directory
                    .disconnect(peer, &record.name, record.incarnation)
            }
        };
        if changed {
            debug!(target: LOG, peer:% = peer, connection = number, edge = record.name,
                incarnation = record.incarnation, phase:? = record.phase, connected = is_connected;
                "another control process reported an entry daemon");
            self.publish_edges();
        }
    }

    /// Records that another control process has reported on connection `number` all entry daemons
    /// that it is connected with. What it reported before, perhaps in an earlier run, is dropped.
    pub fn finish_peer_report(
        &self,
        peer: SocketAddr,
        number: u64,
        connected: &BTreeSet<EdgeIncarnation>,
    ) {
        let now = self.clock.now();
        let changed = {
            let mut state = self.state();
            let is_current = state.peer_connections.get(&peer) == Some(&number);
            is_current && state.directory.replace_connections(now, peer, connected)
        };
        if changed {
            info!(target: LOG, peer:% = peer, reported = connected.len();
                "a control process no longer reports some entry daemons");
            self.publish_edges();
            self.probe_suspects(now);
        }
    }

    /// Returns whether another control process is connected with the daemons that it has reported,
    /// according to the digest that it sent on connection `number`. An earlier connection says
    /// nothing any more.
    pub fn matches_report(&self, peer: SocketAddr, number: u64, digest: ConnectionDigest) -> bool {
        let state = self.state();
        state.peer_connections.get(&peer) != Some(&number)
            || state.directory.digest_of(peer) == digest
    }

    /// Records that another control process has reported at this process's request on connection
    /// `number` all entry daemons that it is connected with.
    pub fn set_peer_report(&self, peer: SocketAddr, number: u64, connected: &[EdgeRecord]) {
        let changed = {
            let mut state = self.state();
            let is_current = state.peer_connections.get(&peer) == Some(&number);
            is_current && state.directory.set_connections(peer, connected)
        };
        if changed {
            info!(target: LOG, peer:% = peer, connection = number, reported = connected.len();
                "a full report corrected the entry daemons of a control process");
            self.publish_edges();
        }
    }
}
