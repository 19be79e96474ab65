//! Connection that another control process opened: consensus messages, updates of back ends,
//! reports about entry daemons, and questions.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::{ConnectionDigest, EdgeIncarnation, EdgeRecord};
use coursestand_transport::stream::{Receiver, Sender, StreamError};
use log::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::event::Event;
use crate::control::handle::ControlHandle;
use crate::control::peers::Envelope;
use crate::fleet::hub::Hub;
use crate::fleet::listener::ConnectionContext;
use crate::fleet::questions::answer;
use crate::fleet::wire::{PeerMessage, PeerReply, ToControl, TrailingDigest};

const LOG: &str = "mesh";
/// A peer that sends nothing for this long is disconnected, and what it reported expires.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Queue length of replies to a peer.
const REPLY_QUEUE_MESSAGES: usize = 1_024;
/// Consecutive digests without a match after which a full report is requested. A ping overtakes the
/// changes that are still queued, so a single mismatch does not mean that a message was lost.
const MAX_MISMATCHES: u32 = 2;

/// Serves a connection of another control process until it fails, and until what the process
/// reported on it has expired.
pub(super) async fn serve_peer(
    peer: SocketAddr,
    receiver: Receiver<ToControl>,
    sender: Sender<PeerReply>,
    context: &Arc<ConnectionContext>,
) -> Result<(), StreamError> {
    if let Some(links) = context.formation.links() {
        links.ensure_link(peer);
    }
    let mut connection = PeerConnection {
        peer,
        number: context.hub.begin_peer_connection(peer),
        first_report: Some(BTreeSet::new()),
        mismatches: 0,
        last_received_at: Instant::now(),
    };
    let result = connection.run(receiver, sender, context).await;
    // The process may reconnect until then: its next connection replaces the reports.
    tokio::time::sleep_until(connection.last_received_at + PEER_TIMEOUT).await;
    context.hub.end_peer_connection(peer, connection.number);
    result
}

/// What another control process reports about entry daemons on one connection.
struct PeerConnection {
    peer: SocketAddr,
    /// Number of the connection in the hub.
    number: u64,
    /// The entry daemons that it has reported so far, until its first ping. It sends its initial
    /// report before that.
    first_report: Option<BTreeSet<EdgeIncarnation>>,
    /// Consecutive digests that did not match what the peer has reported.
    mismatches: u32,
    last_received_at: Instant,
}

impl PeerConnection {
    /// Serves the connection until it fails.
    async fn run(
        &mut self,
        mut receiver: Receiver<ToControl>,
        mut sender: Sender<PeerReply>,
        context: &Arc<ConnectionContext>,
    ) -> Result<(), StreamError> {
        let (replies, mut queue) = mpsc::channel::<PeerReply>(REPLY_QUEUE_MESSAGES);
        loop {
            tokio::select! {
                message = receiver.next() => {
                    let message = message?;
                    self.last_received_at = Instant::now();
                    match message {
                        ToControl::Ping(TrailingDigest(digest)) => {
                            self.finish_first_report(&context.hub);
                            sender.send(&PeerReply::Pong).await?;
                            if digest.is_some_and(|digest| self.needs_report(&context.hub, digest)) {
                                sender.send(&PeerReply::ReportEdges).await?;
                            }
                        }
                        ToControl::Peer(PeerMessage::Edge { record, is_connected }) => {
                            self.note_edge(&context.hub, &record, is_connected);
                        }
                        ToControl::Peer(PeerMessage::Edges(connected)) => {
                            context.hub.set_peer_report(self.peer, self.number, &connected);
                        }
                        ToControl::Peer(message) => handle_peer_message(self.peer, message, context, &replies),
                        _ => return Err(StreamError::Ended),
                    }
                }
                Some(reply) = queue.recv() => sender.send(&reply).await?,
                () = tokio::time::sleep_until(self.last_received_at + PEER_TIMEOUT) => {
                    return Err(StreamError::ReceiveTimeout { limit_ms: PEER_TIMEOUT.as_millis() });
                }
            }
        }
    }

    fn note_edge(&mut self, hub: &Hub, record: &EdgeRecord, is_connected: bool) {
        if let Some(report) = &mut self.first_report {
            let incarnation = (record.name.clone(), record.incarnation);
            if is_connected {
                report.insert(incarnation);
            } else {
                report.remove(&incarnation);
            }
        }
        hub.note_peer_edge(self.peer, self.number, record, is_connected);
    }

    /// Returns whether to ask the peer for a full report, since a message of it was lost.
    fn needs_report(&mut self, hub: &Hub, digest: ConnectionDigest) -> bool {
        if hub.matches_report(self.peer, self.number, digest) {
            self.mismatches = 0;
            return false;
        }
        self.mismatches += 1;
        if self.mismatches < MAX_MISMATCHES {
            return false;
        }
        self.mismatches = 0;
        info!(target: LOG, peer:% = self.peer, connection = self.number;
            "a report about entry daemons was lost; requesting all");
        true
    }

    fn finish_first_report(&mut self, hub: &Hub) {
        if let Some(report) = self.first_report.take() {
            hub.finish_peer_report(self.peer, self.number, &report);
        }
    }
}

fn handle_peer_message(
    peer: SocketAddr,
    message: PeerMessage,
    context: &Arc<ConnectionContext>,
    replies: &mpsc::Sender<PeerReply>,
) {
    match message {
        PeerMessage::Consensus(bytes) => deliver_consensus(peer, &context.control, &bytes),
        PeerMessage::Instances {
            updates,
            receipt,
            starts,
        } => {
            context.hub.merge_peer_updates(starts.join(updates));
            if let Some(receipt) = receipt {
                // A lost acknowledgement is like a lost message: the sender times out and tries
                // again.
                let _ = replies.try_send(PeerReply::Received(receipt));
            }
        }
        PeerMessage::HeartbeatsReceived(ids) => context.hub.note_peer_heartbeats(&ids),
        // Handled by the connection, to which reports belong.
        PeerMessage::Edge { .. } | PeerMessage::Edges(_) => {}
        PeerMessage::Ask { number, question } => {
            let context = Arc::clone(context);
            let replies = replies.clone();
            tokio::spawn(async move {
                let answer = answer(&context, *question).await;
                let _ = replies.send(PeerReply::Answer { number, answer }).await;
            });
        }
    }
}

fn deliver_consensus(peer: SocketAddr, control: &ControlHandle, bytes: &[u8]) {
    let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
        return;
    };
    let identity = control.shared.status().identity;
    let is_for_this_replica = identity.is_some_and(|identity| {
        identity.cluster == envelope.cluster && identity.replica == envelope.to
    });
    if is_for_this_replica {
        // Fails only if the driver has stopped.
        let _ = control.deliver(Event::Message {
            from: envelope.from,
            // Older processes tell their address only when they connect.
            reply_to: envelope.reply_to.or(Some(peer)),
            message: envelope.message,
        });
    }
}
