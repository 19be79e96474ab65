//! Persistent connections to the other control processes, reopened when they fail.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coursestand_consensus::ReplicaId;
use coursestand_discovery::{ConnectionDigest, EdgeRecord, InstanceUpdate};
use coursestand_kernel::Tasks;
use coursestand_transport::frame::encode;
use coursestand_transport::stream::{self, StreamError};
use log::{debug, info, warn};
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::control::peers::{OutgoingMessage, PeerSender, envelopes};
use crate::fleet::wire::{
    Answer, PeerMessage, PeerReply, Question, StartTimes, ToControl, TrailingDigest,
};

const LOG: &str = "mesh";
/// Queue length of a connection; messages beyond it are dropped.
const QUEUE_MESSAGES: usize = 4_096;
/// Maximum bytes in the queue of a connection; messages beyond it are dropped, but a single
/// larger one is queued.
const MAX_QUEUE_BYTES: usize = 8 * 1024 * 1024;
/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that sends nothing for this long is disconnected.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Delay before a lost connection is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// State of this process that the others need.
pub trait PeerState: Send + Sync {
    /// Returns the messages that a new connection starts with.
    fn initial_messages(&self) -> Vec<PeerMessage>;

    /// Returns the digest of the entry daemons that this process is connected with.
    fn edge_digest(&self) -> ConnectionDigest;

    /// Returns all entry daemons that this process is connected with.
    fn edge_report(&self) -> Vec<EdgeRecord>;
}

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum AskError {
    /// The question was not sent: there is no connection, or its queue is full.
    #[snafu(display("the control process is not connected"))]
    NotSent,
    /// No answer arrived in time. The question may have been received.
    #[snafu(display("the control process did not answer"))]
    NoAnswer,
}

/// A connection to one control process.
struct PeerLink {
    address: SocketAddr,
    /// Encoded messages.
    outgoing: mpsc::Sender<Bytes>,
    queued_bytes: AtomicUsize,
    /// Whether a connection is established. Nothing is queued without one.
    is_connected: AtomicBool,
    pending: Mutex<HashMap<u64, oneshot::Sender<PeerReply>>>,
}

/// Connections to the other control processes.
pub struct PeerLinks {
    local_address: SocketAddr,
    state: Arc<dyn PeerState>,
    links: Mutex<BTreeMap<SocketAddr, Arc<PeerLink>>>,
    next_number: AtomicU64,
    runtime: tokio::runtime::Handle,
    tasks: Arc<Tasks>,
}

impl PeerLinks {
    /// Creates a set without connections. Each connection tells the other process the `state` of
    /// this one, and runs as one of `tasks`.
    pub fn new(
        local_address: SocketAddr,
        state: Arc<dyn PeerState>,
        tasks: Arc<Tasks>,
    ) -> PeerLinks {
        PeerLinks {
            local_address,
            state,
            links: Mutex::default(),
            next_number: AtomicU64::new(1),
            runtime: tokio::runtime::Handle::current(),
            tasks,
        }
    }

    /// Opens a connection to `address` unless there is one, and keeps it open.
    pub fn ensure_link(&self, address: SocketAddr) {
        if address != self.local_address {
            self.link(address);
        }
    }

    /// Returns the addresses with a link.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.keys().copied().collect()
    }

    /// Returns whether a connection to `address` is established.
    pub fn is_connected(&self, address: SocketAddr) -> bool {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.get(&address);
        link.is_some_and(|link| link.is_connected.load(Ordering::Relaxed))
    }

    fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(address).or_insert_with(|| {
            let (outgoing, queue) = mpsc::channel(QUEUE_MESSAGES);
            let link = Arc::new(PeerLink {
                address,
                outgoing,
                queued_bytes: AtomicUsize::new(0),
                is_connected: AtomicBool::new(false),
                pending: Mutex::default(),
            });
            let task = keep_connected(
                Arc::clone(&link),
                queue,
                self.local_address,
                Arc::clone(&self.state),
            );
            // Called from the driver's thread as well, which has no runtime.
            let _entered = self.runtime.enter();
            self.tasks.start(task);
            link
        });
        Arc::clone(link)
    }

    /// Sends a message to one process, if it is connected.
    pub fn send_to(&self, address: SocketAddr, message: PeerMessage) {
        let link = self.link(address);
        if let Some(frame) = link.encode_if_connected(message) {
            // A full queue drops the message, as a network may.
            let _ = link.enqueue(frame);
        }
    }

    /// Returns the bytes in the queues of all connections.
    pub fn queued_bytes(&self) -> usize {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let queued = links
            .values()
            .map(|link| link.queued_bytes.load(Ordering::Relaxed));
        queued.sum()
    }

    /// Sends a message to all connected processes.
    pub fn broadcast(&self, message: PeerMessage) {
        let Some(frame) = encode_message(message) else {
            return;
        };
        for address in self.addresses() {
            // A full queue drops the message, as a network may.
            let _ = self.link(address).enqueue(frame.clone());
        }
    }

    /// Sends updates of back ends to one process. Returns whether it acknowledged them within
    /// `timeout`.
    pub async fn send_confirmed(
        &self,
        address: SocketAddr,
        updates: Vec<InstanceUpdate>,
        timeout: Duration,
    ) -> bool {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let message = PeerMessage::Instances {
            starts: StartTimes::of(&updates),
            updates,
            receipt: Some(number),
        };
        let reply = self.exchange(address, number, message, timeout).await;
        matches!(reply, Ok(PeerReply::Received(_)))
    }

    /// Sends a question to one process and returns its answer.
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: Question,
        timeout: Duration,
    ) -> Result<Answer, AskError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let message = PeerMessage::Ask {
            number,
            question: Box::new(question),
        };
        match self.exchange(address, number, message, timeout).await? {
            PeerReply::Answer { answer, .. } => Ok(answer),
            _ => Err(AskError::NoAnswer),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        number: u64,
        message: PeerMessage,
        timeout: Duration,
    ) -> Result<PeerReply, AskError> {
        let link = self.link(address);
        let frame = link.encode_if_connected(message).ok_or(AskError::NotSent)?;
        let (reply, received) = oneshot::channel();
        link.pending().insert(number, reply);
        let result = match link.enqueue(frame) {
            Ok(()) => tokio::time::timeout(timeout, received)
                .await
                .ok()
                .and_then(Result::ok)
                .ok_or(AskError::NoAnswer),
            Err(NotQueued) => Err(AskError::NotSent),
        };
        link.pending().remove(&number);
        result
    }
}

/// The message was not queued: there is no connection, or its queue is full.
struct NotQueued;

fn encode_message(message: PeerMessage) -> Option<Bytes> {
    match encode(&ToControl::Peer(message)) {
        Ok(frame) => Some(Bytes::from(frame)),
        Err(error) => {
            warn!(target: LOG, "a message to a control process can't be encoded: {error}");
            None
        }
    }
}

impl PeerLink {
    fn encode_if_connected(&self, message: PeerMessage) -> Option<Bytes> {
        let is_connected = self.is_connected.load(Ordering::SeqCst);
        is_connected.then(|| encode_message(message)).flatten()
    }

    fn enqueue(&self, frame: Bytes) -> Result<(), NotQueued> {
        let length = frame.len();
        let reserve = |queued: usize| {
            let fits = queued == 0 || queued + length <= MAX_QUEUE_BYTES;
            (fits && self.is_connected.load(Ordering::SeqCst)).then_some(queued + length)
        };
        self.queued_bytes
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, reserve)
            .map_err(|_| NotQueued)?;
        self.outgoing.try_send(frame).map_err(|_| {
            self.queued_bytes.fetch_sub(length, Ordering::SeqCst);
            NotQueued
        })
    }

    /// Records that a frame was taken from the queue.
    fn note_dequeued(&self, frame: &Bytes) {
        self.queued_bytes.fetch_sub(frame.len(), Ordering::SeqCst);
    }

    fn discard_queue(&self, queue: &mut mpsc::Receiver<Bytes>) {
        while let Ok(frame) = queue.try_recv() {
            self.note_dequeued(&frame);
        }
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<PeerReply>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn deliver_reply(&self, reply: PeerReply) {
        let number = match &reply {
            PeerReply::Pong | PeerReply::ReportEdges => return,
            PeerReply::Received(number) | PeerReply::Answer { number, .. } => *number,
        };
        if let Some(pending) = self.pending().remove(&number) {
            // Fails only if the caller has timed out.
            let _ = pending.send(reply);
        }
    }
}

async fn keep_connected(
    link: Arc<PeerLink>,
    mut queue: mpsc::Receiver<Bytes>,
    local_address: SocketAddr,
    state: Arc<dyn PeerState>,
) {
    let mut was_connected = false;
    loop {
        let result = run(
            &link,
            &mut queue,
            local_address,
            state.as_ref(),
            &mut was_connected,
        )
        .await;
        if was_connected {
            if let Err(error) = result {
                info!(target: LOG, peer:% = link.address; "control process lost: {error}");
            }
            was_connected = false;
        }
        link.is_connected.store(false, Ordering::SeqCst);
        link.discard_queue(&mut queue);
        // Drops the waiting callers: no reply to what was sent on that connection can come.
        link.pending().clear();
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run(
    link: &PeerLink,
    queue: &mut mpsc::Receiver<Bytes>,
    local_address: SocketAddr,
    state: &dyn PeerState,
    was_connected: &mut bool,
) -> Result<(), StreamError> {
    let (mut receiver, mut sender) = stream::connect::<PeerReply, ToControl>(link.address).await?;
    sender.send(&ToControl::PeerHello(local_address)).await?;
    // A message may have been queued while the last connection was closed.
    link.discard_queue(queue);
    // Set before the initial messages are collected, so that no later update is lost.
    link.is_connected.store(true, Ordering::SeqCst);
    for message in state.initial_messages() {
        sender.send(&ToControl::Peer(message)).await?;
    }
    let mut ping = tokio::time::interval(PING_INTERVAL);
    let mut last_received_at = Instant::now();
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(frame) => {
                    link.note_dequeued(&frame);
                    sender.send_frame(frame).await?;
                }
                None => return Ok(()),
            },
            reply = receiver.next() => {
                last_received_at = Instant::now();
                if !*was_connected {
                    *was_connected = true;
                    debug!(target: LOG, peer:% = link.address; "control process connected");
                }
                match reply? {
                PeerReply::ReportEdges => {
                    let report = PeerMessage::Edges(state.edge_report());
                    sender.send(&ToControl::Peer(report)).await?;
                }
                reply => link.deliver_reply(reply),
            }
            }
            _ = ping.tick() => {
                let digest = TrailingDigest(Some(state.edge_digest()));
                sender.send(&ToControl::Ping(digest)).await?;
            }
            () = tokio::time::sleep_until(last_received_at + PEER_TIMEOUT) => {
                let limit_ms = PEER_TIMEOUT.as_millis();
                return Err(StreamError::ReceiveTimeout { limit_ms });
            }
        }
    }
}

/// Sends consensus messages over the links.
pub struct PeerLinkSender(pub Arc<PeerLinks>);

impl PeerSender for PeerLinkSender {
    fn send(&mut self, cluster: u64, from: ReplicaId, messages: Vec<OutgoingMessage>) {
        let reply_to = Some(self.0.local_address);
        for (address, bytes) in envelopes(cluster, from, reply_to, messages) {
            self.0.send_to(address, PeerMessage::Consensus(bytes));
        }
    }
}
