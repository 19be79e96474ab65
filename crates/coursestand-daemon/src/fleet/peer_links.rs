//! Kept connections to the other control processes, made again when they end.

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
use crate::fleet::wire::{Answer, PeerMessage, PeerReply, Question, Starts, ToControl};

const LOG: &str = "mesh";
/// Messages that wait for a connection; more are dropped.
const QUEUE: usize = 4_096;
/// Time between two signs of life.
const PING: Duration = Duration::from_millis(500);
/// A peer that sends nothing for this long is lost.
const PEER_SILENCE: Duration = Duration::from_millis(1_600);
/// Pause before a lost connection is made again.
const PAUSE: Duration = Duration::from_millis(150);

/// What a new connection starts with.
pub type Snapshot = Arc<dyn Fn() -> Vec<PeerMessage> + Send + Sync>;

/// A connection to one control process.
struct PeerLink {
    address: SocketAddr,
    outgoing: mpsc::Sender<PeerMessage>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<PeerReply>>>,
}

/// Connections to the other control processes.
pub struct PeerLinks {
    own: SocketAddr,
    snapshot: Snapshot,
    links: Mutex<BTreeMap<SocketAddr, Arc<PeerLink>>>,
    numbers: AtomicU64,
    runtime: tokio::runtime::Handle,
    tasks: Arc<Tasks>,
}

impl PeerLinks {
    /// No connections yet; each starts with what `snapshot` gives, and lives as
    /// long as `tasks`.
    pub fn new(own: SocketAddr, snapshot: Snapshot, tasks: Arc<Tasks>) -> PeerLinks {
        PeerLinks {
            own,
            snapshot,
            links: Mutex::default(),
            numbers: AtomicU64::new(1),
            runtime: tokio::runtime::Handle::current(),
            tasks,
        }
    }

    /// Keeps a connection to `address` from now on.
    pub fn keep(&self, address: SocketAddr) {
        if address != self.own {
            self.link(address);
        }
    }

    /// Addresses with a link.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.keys().copied().collect()
    }

    fn link(&self, address: SocketAddr) -> Arc<PeerLink> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(address).or_insert_with(|| {
            let (outgoing, queue) = mpsc::channel(QUEUE);
            let link = Arc::new(PeerLink {
                address,
                outgoing,
                waiting: Mutex::default(),
            });
            let task = keep_connected(
                Arc::clone(&link),
                queue,
                self.own,
                Arc::clone(&self.snapshot),
            );
            // The driver's thread sends too, and has no runtime of its own.
            let _entered = self.runtime.enter();
            self.tasks.start(task);
            link
        });
        Arc::clone(link)
    }

    /// Tells one process, if it is connected.
    pub fn tell(&self, address: SocketAddr, message: PeerMessage) {
        // A full queue loses the message, like a network.
        let _ = self.link(address).outgoing.try_send(message);
    }

    /// Tells all processes that are connected.
    pub fn tell_all(&self, message: &PeerMessage) {
        for address in self.addresses() {
            self.tell(address, message.clone());
        }
    }

    /// Tells one process news of back ends; returns once it has them.
    pub async fn tell_surely(
        &self,
        address: SocketAddr,
        news: Vec<InstanceUpdate>,
        limit: Duration,
    ) -> bool {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let message = PeerMessage::Instances {
            starts: Starts::of(&news),
            news,
            receipt: Some(number),
        };
        let reply = self.exchange(address, number, message, limit).await;
        matches!(reply, Some(PeerReply::Taken(_)))
    }

    /// Asks one process.
    pub async fn ask(
        &self,
        address: SocketAddr,
        question: Question,
        limit: Duration,
    ) -> Option<Answer> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let message = PeerMessage::Ask {
            number,
            question: Box::new(question),
        };
        match self.exchange(address, number, message, limit).await? {
            PeerReply::Answer { answer, .. } => Some(answer),
            _ => None,
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        number: u64,
        message: PeerMessage,
        limit: Duration,
    ) -> Option<PeerReply> {
        let link = self.link(address);
        let (reply, replied) = oneshot::channel();
        link.waiting().insert(number, reply);
        // A full queue drops the reply's sender below, by the time-out at last.
        let _ = link.outgoing.try_send(message);
        let result = tokio::time::timeout(limit, replied).await;
        link.waiting().remove(&number);
        result.ok()?.ok()
    }
}

impl PeerLink {
    fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<PeerReply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_reply(&self, reply: PeerReply) {
        let number = match &reply {
            PeerReply::Pong => return,
            PeerReply::Taken(number) | PeerReply::Answer { number, .. } => *number,
        };
        if let Some(waiting) = self.waiting().remove(&number) {
            // Whoever asked may have given up.
            let _ = waiting.send(reply);
        }
    }
}

async fn keep_connected(
    link: Arc<PeerLink>,
    mut queue: mpsc::Receiver<PeerMessage>,
    own: SocketAddr,
    snapshot: Snapshot,
) {
    let mut was_connected = false;
    loop {
        let result = run(&link, &mut queue, own, &snapshot, &mut was_connected).await;
        if was_connected {
            if let Err(error) = result {
                info!(target: LOG, peer:% = link.address; "control process lost: {error}");
            }
            was_connected = false;
        }
        // Replies to what was sent on that connection come no more.
        link.waiting().clear();
        tokio::time::sleep(PAUSE).await;
    }
}

async fn run(
    link: &PeerLink,
    queue: &mut mpsc::Receiver<PeerMessage>,
    own: SocketAddr,
    snapshot: &Snapshot,
    was_connected: &mut bool,
) -> Result<(), StreamError> {
    let (mut receiver, mut sender) = stream::connect::<PeerReply, ToControl>(link.address).await?;
    sender.send(&ToControl::PeerHello(own)).await?;
    // What waited for the connection is old by now; the snapshot is newer.
    while queue.try_recv().is_ok() {}
    for message in snapshot() {
        sender.send(&ToControl::Peer(message)).await?;
    }
    let mut ping = tokio::time::interval(PING);
    let mut heard_at = Instant::now();
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => sender.send(&ToControl::Peer(message)).await?,
                None => return Ok(()),
            },
            reply = receiver.next() => {
                heard_at = Instant::now();
                if !*was_connected {
                    *was_connected = true;
                    debug!(target: LOG, peer:% = link.address; "control process connected");
                }
                link.take_reply(reply?);
            }
            _ = ping.tick() => {
                sender.send(&ToControl::Ping).await?;
            }
            () = tokio::time::sleep_until(heard_at + PEER_SILENCE) => {
                let limit_ms = PEER_SILENCE.as_millis();
                return Err(StreamError::Silent { limit_ms });
            }
        }
    }
}

/// Sends consensus messages over the links.
pub struct MeshPeers(pub Arc<PeerLinks>);

impl PeerSender for MeshPeers {
    fn send(
        &mut self,
        cluster: u64,
        from: ReplicaId,
        membership: &Membership,
        messages: Vec<(ReplicaId, Message)>,
    ) {
        for (address, bytes) in envelopes(cluster, from, membership, messages) {
            self.0.tell(address, PeerMessage::Consensus(bytes));
        }
    }
}
