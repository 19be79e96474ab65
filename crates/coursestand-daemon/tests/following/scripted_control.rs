//! Scripted control processes: each sends the changes that the test applies to it, with a
//! network delay, and can stop sending on its open connections permanently.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_catalog::{Catalog, Patch, RouteKind};
use coursestand_daemon::control::shared::LogExtent;
use coursestand_daemon::fleet::catalog_updates::{
    CatalogDistribution, CatalogMessage, CatalogUpdates,
};
use coursestand_daemon::fleet::wire::{ControlGroup, EdgeChanges, StartTimes, ToControl, ToEdge};
use coursestand_discovery::InstanceUpdate;
use coursestand_lab::items;
use coursestand_transport::frame::{decode, encode};
use coursestand_transport::stream::{self, Receiver, Sender};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::narrow_link::NarrowLink;

/// Log index of the change with which every scripted catalog begins.
pub const FIRST_CHANGE: u64 = 1;

struct Script {
    catalog: Catalog,
    log_extent: Option<LogExtent>,
    group: ControlGroup,
    /// Delay of all messages that follow the member list on a new connection.
    table_delay: Duration,
    /// Names of the entry daemons in the table.
    names: Vec<String>,
    /// The daemon's link, through which control sends all messages.
    link: Option<Arc<NarrowLink>>,
}

/// One scripted control process; it runs as long as the test.
pub struct ScriptedControl {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
    applied: Arc<watch::Sender<u64>>,
    /// Updates of back ends, oldest first.
    updates: Arc<watch::Sender<Vec<InstanceUpdate>>>,
    /// Connections up to this number, in the order of acceptance, are silent.
    silent_up_to: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
}

fn route_patch(version: u64) -> Patch {
    let route = items::route("a", "s", RouteKind::Repeatable, 2_000);
    let mut upserts = vec![items::route_item("a", version, route)];
    if version == FIRST_CHANGE {
        upserts.push(items::service("s"));
        upserts.push(items::limits());
    }
    Patch {
        upserts,
        removals: Vec::new(),
    }
}

impl ScriptedControl {
    /// Starts listening; each message takes `delay` in each direction.
    pub async fn start(delay: Duration) -> ScriptedControl {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut catalog = Catalog::default();
        catalog
            .merge(&route_patch(FIRST_CHANGE), FIRST_CHANGE)
            .expect("valid");
        let control = ScriptedControl {
            address,
            script: Arc::new(Mutex::new(Script {
                catalog,
                log_extent: Some(LogExtent {
                    end: FIRST_CHANGE,
                    applied: FIRST_CHANGE,
                }),
                group: ControlGroup::default(),
                table_delay: Duration::ZERO,
                names: Vec::new(),
                link: None,
            })),
            applied: Arc::new(watch::Sender::new(FIRST_CHANGE)),
            updates: Arc::default(),
            silent_up_to: Arc::default(),
            accepted: Arc::default(),
        };
        tokio::spawn(accept(listener, control.shared(), delay));
        control
    }

    fn shared(&self) -> Shared {
        Shared {
            script: Arc::clone(&self.script),
            applied: self.applied.subscribe(),
            updates: self.updates.subscribe(),
            silent_up_to: Arc::clone(&self.silent_up_to),
            accepted: Arc::clone(&self.accepted),
        }
    }

    fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends this group on connections that open after this call.
    pub fn set_group(&self, voters: &[SocketAddr], changed_at: u64) {
        let members: BTreeSet<SocketAddr> = voters.iter().copied().collect();
        self.script().group = ControlGroup {
            voters: members.clone(),
            members,
            changed_at,
        };
    }

    /// Sets the names in the table of entry daemons, and the delay with which it is sent.
    pub fn set_table(&self, delay: Duration, names: Vec<String>) {
        let mut script = self.script();
        script.table_delay = delay;
        script.names = names;
    }

    /// Appends the entry `index` to the log, uncommitted.
    pub fn append(&self, index: u64) {
        if let Some(extent) = &mut self.script().log_extent {
            extent.end = index;
        }
    }

    /// Applies the change `index`, which sets the route to that version.
    pub fn apply(&self, index: u64) {
        self.apply_patch(&route_patch(index), index);
    }

    /// Applies this change at `index`.
    pub fn apply_patch(&self, patch: &Patch, index: u64) {
        {
            let mut script = self.script();
            script.catalog.merge(patch, index).expect("valid");
            script.log_extent = Some(LogExtent {
                end: index,
                applied: index,
            });
        }
        self.applied.send_replace(index);
    }

    /// Sends all further messages to the daemon through this link.
    pub fn set_link(&self, link: &Arc<NarrowLink>) {
        self.script().link = Some(Arc::clone(link));
    }

    /// Sends this update of a back end on all connections.
    pub fn send_backend_update(&self, update: InstanceUpdate) {
        self.updates.send_modify(|all| all.push(update));
    }

    /// Stops sending on all open connections permanently; new ones work.
    pub fn silence_connections(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.silent_up_to.store(accepted, Ordering::SeqCst);
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }
}

#[derive(Clone)]
struct Shared {
    script: Arc<Mutex<Script>>,
    applied: watch::Receiver<u64>,
    updates: watch::Receiver<Vec<InstanceUpdate>>,
    silent_up_to: Arc<AtomicU64>,
    accepted: Arc<AtomicU64>,
}

impl Shared {
    fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, shared: Shared, delay: Duration) {
    while let Ok((connection, _)) = listener.accept().await {
        let number = shared.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        tokio::spawn(serve(connection, shared.clone(), number, delay));
    }
}

/// A message and when it arrives.
type Timed<T> = (Instant, T);

/// Reads messages from the connection and queues each with its arrival time.
async fn receive(
    mut receiver: Receiver<ToControl>,
    in_transit: mpsc::UnboundedSender<Timed<ToControl>>,
    delay: Duration,
) {
    while let Ok(message) = receiver.next().await {
        if in_transit.send((Instant::now() + delay, message)).is_err() {
            return;
        }
    }
}

/// Sends each queued message when it is due, through the daemon's link if there is one.
async fn send(
    mut sender: Sender<ToEdge>,
    mut in_transit: mpsc::UnboundedReceiver<Timed<ToEdge>>,
    shared: Shared,
) {
    while let Some((due, message)) = in_transit.recv().await {
        tokio::time::sleep_until(due).await;
        let link = shared.script().link.clone();
        if let Some(link) = link {
            link.pass(encode(&message).expect("message encodes").len())
                .await;
        }
        if sender.send(&message).await.is_err() {
            return;
        }
    }
}

async fn serve(connection: TcpStream, mut shared: Shared, number: u64, delay: Duration) {
    let (receiver, sender) = stream::split(connection).expect("a connection");
    let (incoming, mut received) = mpsc::unbounded_channel();
    let (outgoing, to_send) = mpsc::unbounded_channel();
    let receiving = tokio::spawn(receive(receiver, incoming, delay));
    let sending = tokio::spawn(send(sender, to_send, shared.clone()));
    let mut distribution = CatalogDistribution::new(0);
    let catalog_updates = CatalogUpdates::default();
    let mut sent_updates = shared.updates.borrow().len();
    let mut table_sent_at = Instant::now();
    loop {
        let message = tokio::select! {
            message = received.recv() => message,
            changed = shared.applied.changed() => {
                changed.expect("the control process is running");
                None
            }
            changed = shared.updates.changed() => {
                changed.expect("the control process is running");
                None
            }
        };
        let mut replies = Vec::new();
        match message {
            Some((due, message)) => {
                tokio::time::sleep_until(due).await;
                if matches!(message, ToControl::EdgeHello { .. }) {
                    let first = ToEdge::Controls(shared.script().group.clone());
                    let _ = outgoing.send((Instant::now() + delay, first));
                    table_sent_at = Instant::now() + shared.script().table_delay;
                    let added = shared.script().names.clone();
                    let removed = Vec::new();
                    replies.push(ToEdge::Edges(EdgeChanges { added, removed }));
                }
                let reach = shared.script().log_extent;
                replies.extend(catalog_replies(
                    &message,
                    &shared,
                    &mut distribution,
                    &catalog_updates,
                ));
                if matches!(message, ToControl::EdgePing(_)) {
                    let catalog = shared.script().catalog.version();
                    replies.push(ToEdge::Pong { reach, catalog });
                }
            }
            None if receiving.is_finished() => break,
            None => {
                replies.extend(next_catalog_message(
                    &shared,
                    &mut distribution,
                    &catalog_updates,
                ));
                replies.extend(unsent_updates(&mut shared.updates, &mut sent_updates));
            }
        }
        if number <= shared.silent_up_to.load(Ordering::SeqCst) {
            // The connection stays open and carries no more messages.
            std::future::pending::<()>().await;
        }
        for reply in replies {
            // The daemon may have closed the connection.
            let _ = outgoing.send((table_sent_at.max(Instant::now()) + delay, reply));
        }
    }
    sending.abort();
}

/// Returns the updates of back ends that were not sent on the connection.
fn unsent_updates(
    updates: &mut watch::Receiver<Vec<InstanceUpdate>>,
    sent: &mut usize,
) -> Option<ToEdge> {
    let all = updates.borrow_and_update();
    let new = all[*sent..].to_vec();
    *sent = all.len();
    let starts = StartTimes::of(&new);
    (!new.is_empty()).then_some(ToEdge::Instances(new, starts))
}

/// Returns the messages about the catalog that answer a message of the daemon.
fn catalog_replies(
    message: &ToControl,
    shared: &Shared,
    distribution: &mut CatalogDistribution,
    catalog_updates: &CatalogUpdates,
) -> Vec<ToEdge> {
    let script = shared.script();
    let read = |since| script.catalog.steering_delta(since);
    let version = script.catalog.version();
    let mut replies = Vec::new();
    match message {
        ToControl::EdgeHello {
            catalog_version, ..
        }
        | ToControl::HaveCatalog(catalog_version) => distribution.note_version(*catalog_version),
        ToControl::FetchCatalog(have) => {
            let fetched = distribution
                .fetch(*have, version, catalog_updates, read)
                .expect("encoded");
            replies.extend(fetched.into_iter().map(message_of));
        }
        ToControl::PartReceived(version) => {
            replies.extend(distribution.part_received(*version).map(message_of));
        }
        _ => {}
    }
    let next = distribution
        .next_message(version, catalog_updates, read)
        .expect("encoded");
    replies.extend(next.map(message_of));
    replies
}

fn message_of(catalog_message: CatalogMessage) -> ToEdge {
    match catalog_message {
        CatalogMessage::Frame(frame) => decode(&frame).expect("a message"),
        CatalogMessage::Message(message) => message,
    }
}

/// Returns the next message about the catalog if the connection is behind.
fn next_catalog_message(
    shared: &Shared,
    distribution: &mut CatalogDistribution,
    catalog_updates: &CatalogUpdates,
) -> Option<ToEdge> {
    let script = shared.script();
    let read = |since| script.catalog.steering_delta(since);
    let catalog_message =
        distribution.next_message(script.catalog.version(), catalog_updates, read);
    catalog_message.expect("encoded").map(message_of)
}
