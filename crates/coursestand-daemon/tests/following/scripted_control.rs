//! Control processes of a script: each tells what the test has it apply, over a link
//! with a delay, and can let the connections that are open fall silent for good.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_catalog::{Catalog, Patch, RouteKind};
use coursestand_daemon::control::shared::LogExtent;
use coursestand_daemon::fleet::catalog_news::{CatalogNews, CatalogTelling, Telling};
use coursestand_daemon::fleet::wire::{ControlGroup, EdgeChange, Starts, ToControl, ToEdge};
use coursestand_discovery::InstanceNews;
use coursestand_lab::items;
use coursestand_transport::frame::{decode, encode};
use coursestand_transport::stream::{self, Receiver, Sender};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::narrow_link::NarrowLink;

/// Index of the change that the catalog of every script begins with.
pub const FIRST_CHANGE: u64 = 1;

struct Script {
    catalog: Catalog,
    reach: Option<LogExtent>,
    group: ControlGroup,
    /// Time that all after the group takes to pass on a new connection.
    table_takes: Duration,
    names: Vec<String>,
    /// The daemon's link, which all that control sends passes.
    link: Option<Arc<NarrowLink>>,
}

/// One control process of a script; it lives as long as the test.
pub struct ScriptedControl {
    pub address: SocketAddr,
    script: Arc<Mutex<Script>>,
    applied: Arc<watch::Sender<u64>>,
    /// News of back ends, in their order.
    news: Arc<watch::Sender<Vec<InstanceNews>>>,
    /// Connections accepted up to this number are silent.
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
    /// Listens; everything takes `delay` in each direction.
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
                reach: Some(LogExtent {
                    end: FIRST_CHANGE,
                    applied: FIRST_CHANGE,
                }),
                group: ControlGroup::default(),
                table_takes: Duration::ZERO,
                names: Vec::new(),
                link: None,
            })),
            applied: Arc::new(watch::Sender::new(FIRST_CHANGE)),
            news: Arc::default(),
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
            news: self.news.subscribe(),
            silent_up_to: Arc::clone(&self.silent_up_to),
            accepted: Arc::clone(&self.accepted),
        }
    }

    fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells this group from now on, to new connections.
    pub fn set_group(&self, voters: &[SocketAddr], changed_at: u64) {
        let members: BTreeSet<SocketAddr> = voters.iter().copied().collect();
        self.script().group = ControlGroup {
            voters: members.clone(),
            members,
            changed_at,
        };
    }

    pub fn set_table(&self, takes: Duration, names: Vec<String>) {
        let mut script = self.script();
        script.table_takes = takes;
        script.names = names;
    }

    /// Its log holds the entry `index`, which it does not know to be committed.
    pub fn append(&self, index: u64) {
        if let Some(reach) = &mut self.script().reach {
            reach.end = index;
        }
    }

    /// It applies the change `index`, which sets the route to that version.
    pub fn apply(&self, index: u64) {
        self.apply_patch(&route_patch(index), index);
    }

    /// It applies this change at `index`.
    pub fn apply_patch(&self, patch: &Patch, index: u64) {
        {
            let mut script = self.script();
            script.catalog.merge(patch, index).expect("valid");
            script.reach = Some(LogExtent {
                end: index,
                applied: index,
            });
        }
        self.applied.send_replace(index);
    }

    /// All that it sends to the daemon passes this link from now on.
    pub fn set_link(&self, link: &Arc<NarrowLink>) {
        self.script().link = Some(Arc::clone(link));
    }

    /// It has this news of a back end, and passes it on.
    pub fn tell_backend(&self, news: InstanceNews) {
        self.news.send_modify(|known| known.push(news));
    }

    /// All connections that are open fall silent for good; new ones work.
    pub fn silence_connections(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.silent_up_to.store(accepted, Ordering::SeqCst);
    }

    /// Connections that were made so far.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }
}

#[derive(Clone)]
struct Shared {
    script: Arc<Mutex<Script>>,
    applied: watch::Receiver<u64>,
    news: watch::Receiver<Vec<InstanceNews>>,
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

type Timed<T> = (Instant, T);

/// Takes messages off the connection; each is handed on once it has travelled.
async fn receive(
    mut receiver: Receiver<ToControl>,
    travelling: mpsc::UnboundedSender<Timed<ToControl>>,
    delay: Duration,
) {
    while let Ok(message) = receiver.next().await {
        if travelling.send((Instant::now() + delay, message)).is_err() {
            return;
        }
    }
}

async fn send(
    mut sender: Sender<ToEdge>,
    mut travelling: mpsc::UnboundedReceiver<Timed<ToEdge>>,
    shared: Shared,
) {
    while let Some((due, message)) = travelling.recv().await {
        tokio::time::sleep_until(due).await;
        let link = shared.script().link.clone();
        if let Some(link) = link {
            link.pass(encode(&message).expect("it can be encoded").len())
                .await;
        }
        if sender.send(&message).await.is_err() {
            return;
        }
    }
}

async fn serve(connection: TcpStream, mut shared: Shared, number: u64, delay: Duration) {
    let (receiver, sender) = stream::split(connection).expect("a connection");
    let (arriving, mut arrived) = mpsc::unbounded_channel();
    let (leaving, to_send) = mpsc::unbounded_channel();
    let receiving = tokio::spawn(receive(receiver, arriving, delay));
    let sending = tokio::spawn(send(sender, to_send, shared.clone()));
    let mut told = CatalogTelling::new(0);
    let ready = CatalogNews::default();
    let mut told_backends = shared.news.borrow().len();
    let mut passed_at = Instant::now();
    loop {
        let message = tokio::select! {
            message = arrived.recv() => message,
            changed = shared.applied.changed() => {
                changed.expect("the control process lives");
                None
            }
            changed = shared.news.changed() => {
                changed.expect("the control process lives");
                None
            }
        };
        let mut replies = Vec::new();
        match message {
            Some((due, message)) => {
                tokio::time::sleep_until(due).await;
                if matches!(message, ToControl::EdgeHello { .. }) {
                    let first = ToEdge::Controls(shared.script().group.clone());
                    let _ = leaving.send((Instant::now() + delay, first));
                    passed_at = Instant::now() + shared.script().table_takes;
                    let came = shared.script().names.clone();
                    let went = Vec::new();
                    replies.push(ToEdge::Edges(EdgeChange { came, went }));
                }
                let reach = shared.script().reach;
                replies.extend(catalog_replies(&message, &shared, &mut told, &ready));
                if matches!(message, ToControl::EdgePing(_)) {
                    let catalog = shared.script().catalog.version();
                    replies.push(ToEdge::Pong { reach, catalog });
                }
            }
            None if receiving.is_finished() => break,
            None => {
                replies.extend(news(&shared, &mut told, &ready));
                replies.extend(backend_news(&mut shared.news, &mut told_backends));
            }
        }
        if number <= shared.silent_up_to.load(Ordering::SeqCst) {
            // The connection stays open and carries nothing any more.
            std::future::pending::<()>().await;
        }
        for reply in replies {
            // The other side may have gone.
            let _ = leaving.send((passed_at.max(Instant::now()) + delay, reply));
        }
    }
    sending.abort();
}

/// What the connection was not told yet of back ends.
fn backend_news(news: &mut watch::Receiver<Vec<InstanceNews>>, told: &mut usize) -> Option<ToEdge> {
    let all = news.borrow_and_update();
    let new = all[*told..].to_vec();
    *told = all.len();
    let starts = Starts::of(&new);
    (!new.is_empty()).then_some(ToEdge::Instances(new, starts))
}

/// What the daemon is told of the catalog when it has said this.
fn catalog_replies(
    message: &ToControl,
    shared: &Shared,
    told: &mut CatalogTelling,
    ready: &CatalogNews,
) -> Vec<ToEdge> {
    let script = shared.script();
    let read = |since| script.catalog.steering_delta(since);
    let version = script.catalog.version();
    let mut replies = Vec::new();
    match message {
        ToControl::EdgeHello { have, .. } | ToControl::Have(have) => told.note_have(*have),
        ToControl::FetchCatalog(have) => {
            let fetched = told.fetch(*have, version, ready, read).expect("encoded");
            replies.extend(fetched.into_iter().map(message_of));
        }
        ToControl::PartTaken(version) => {
            replies.extend(told.part_taken(*version).map(message_of));
        }
        _ => {}
    }
    let told = told.tell(version, ready, read).expect("encoded");
    replies.extend(told.map(message_of));
    replies
}

fn message_of(telling: Telling) -> ToEdge {
    match telling {
        Telling::Frame(frame) => decode(&frame).expect("a message"),
        Telling::Message(message) => message,
    }
}

/// What the connection was not told yet of the catalog.
fn news(shared: &Shared, told: &mut CatalogTelling, ready: &CatalogNews) -> Option<ToEdge> {
    let script = shared.script();
    let read = |since| script.catalog.steering_delta(since);
    let telling = told.tell(script.catalog.version(), ready, read);
    telling.expect("encoded").map(message_of)
}
