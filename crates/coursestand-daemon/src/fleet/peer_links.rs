//! Persistent connections to the other control processes, reopened when they fail.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coursestand_consensus::{Membership, Message, ReplicaId};
use coursestand_discovery::InstanceUpdate;
use coursestand_kernel::Tasks;
use coursestand_transport::stream::{self, StreamError};
use log::{debug, info};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::control::peers::{PeerSender, envelopes};
use crate::fleet::wire::{Answer, PeerMessage, PeerReply, Question, StartTimes, ToControl};

const LOG: &str = "mesh";
/// Queue length of a connection; messages beyond it are dropped.
const QUEUE_MESSAGES: usize = 4_096;
/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that sends nothing for this long is disconnected.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Delay before a lost connection is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// Returns the messages that a new connection starts with.
pub type InitialMessages = Arc<dyn Fn() -> Vec<PeerMessage> + Send + Sync>;

/// A connection to one control process.
struct PeerLink {
    address: SocketAddr,
    outgoing: mpsc::Sender<PeerMessage>,
    pending: Mutex<HashMap<u64, oneshot::Sender<PeerReply>>>,
}

/// Connections to the other control processes.
pub struct PeerLinks {
    local_address: SocketAddr,
    initial_messages: InitialMessages,
    links: Mutex<BTreeMap<SocketAddr, Arc<PeerLink>>>,
    next_number: AtomicU64,
    runtime: tokio::runtime::Handle,
    tasks: Arc<Tasks>,
}

impl PeerLinks {
    /// Creates a set without connections. Each connection starts with the messages of
    /// `initial_messages`, and runs as one of `tasks`.
    pub fn new(
        local_address: SocketAddr,
        initial_messages: InitialMessages,
        tasks: Arc<Tasks>,
    ) -> PeerLinks {
        PeerLinks {
            local_address,
            initial_messages,
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

    fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(address).or_insert_with(|| {
            let (outgoing, queue) = mpsc::channel(QUEUE_MESSAGES);
            let link = Arc::new(PeerLink {
                address,
                outgoing,
                pending: Mutex::default(),
            });
            let task = keep_connected(
                Arc::clone(&link),
                queue,
                self.local_address,
                Arc::clone(&self.initial_messages),
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
        // A full queue drops the message, as a network may.
        let _ = self.link(address).outgoing.try_send(message);
    }

    /// Sends a message to all connected processes.
    pub fn broadcast(&self, message: &PeerMessage) {
        for address in self.addresses() {
            self.send_to(address, message.clone());
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
        matches!(reply, Some(PeerReply::Received(_)))
    }

    /// Sends a question to one process and returns its answer, or `None` after `timeout`.
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: Question,
        timeout: Duration,
    ) -> Option<Answer> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let message = PeerMessage::Ask {
            number,
            question: Box::new(question),
        };
        match self.exchange(address, number, message, timeout).await? {
            PeerReply::Answer { answer, .. } => Some(answer),
            _ => None,
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        number: u64,
        message: PeerMessage,
        timeout: Duration,
    ) -> Option<PeerReply> {
        let link = self.link(address);
        let (reply, received) = oneshot::channel();
        link.pending().insert(number, reply);
        // If the queue is full, no reply comes and the timeout below ends the wait.
        let _ = link.outgoing.try_send(message);
        let result = tokio::time::timeout(timeout, received).await;
        link.pending().remove(&number);
        result.ok()?.ok()
    }
}

impl PeerLink {
    fn pending(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<PeerReply>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn deliver_reply(&self, reply: PeerReply) {
        let number = match &reply {
            PeerReply::Pong => return,
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
    mut queue: mpsc::Receiver<PeerMessage>,
    local_address: SocketAddr,
    initial_messages: InitialMessages,
) {
    let mut was_connected = false;
    loop {
        let result = run(
            &link,
            &mut queue,
            local_address,
            &initial_messages,
            &mut was_connected,
        )
        .await;
        if was_connected {
            if let Err(error) = result {
                info!(target: LOG, peer:% = link.address; "control process lost: {error}");
            }
            was_connected = false;
        }
        // Drops the waiting callers: no reply to what was sent on that connection can come.
        link.pending().clear();
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run(
    link: &PeerLink,
    queue: &mut mpsc::Receiver<PeerMessage>,
    local_address: SocketAddr,
    initial_messages: &InitialMessages,
    was_connected: &mut bool,
) -> Result<(), StreamError> {
    let (mut receiver, mut sender) = stream::connect::<PeerReply, ToControl>(link.address).await?;
    sender.send(&ToControl::PeerHello(local_address)).await?;
    // Messages queued before the connection are outdated; the initial messages are newer.
    while queue.try_recv().is_ok() {}
    for message in initial_messages() {
        sender.send(&ToControl::Peer(message)).await?;
    }
    let mut ping = tokio::time::interval(PING_INTERVAL);
    let mut last_received_at = Instant::now();
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sender.send(&ToControl::Peer(message)).await?,
                None => return Ok(()),
            },
            reply = receiver.next() => {
                last_received_at = Instant::now();
                if !*was_connected {
                    *was_connected = true;
                    debug!(target: LOG, peer:% = link.address; "control process connected");
                }
                link.deliver_reply(reply?);
            }
            _ = ping.tick() => {
                sender.send(&ToControl::Ping).await?;
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
    fn send(
        &mut self,
        cluster: u64,
        from: ReplicaId,
        membership: &Membership,
        messages: Vec<(ReplicaId, Message)>,
    ) {
        for (address, bytes) in envelopes(cluster, from, membership, messages) {
            self.0.send_to(address, PeerMessage::Consensus(bytes));
        }
    }
}
