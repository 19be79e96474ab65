//! The soft state of a control process: back ends and entry daemons, merged with
//! what the other control processes tell, and passed on to entry daemons.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coursestand_discovery::{Directory, Instance, InstancePhase, InstanceTable, InstanceUpdate};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_transport::frame::encode;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use crate::fleet::peer_links::PeerLinks;
use crate::fleet::wire::{ControlGroup, PeerMessage, Starts, ToEdge};
use cases::CaseDesk;
use limits::LimitDesk;

mod cases;
mod edges;
mod limits;

const LOG: &str = "hub";
/// News that wait for an entry daemon; one with more is cut off, and gets all
/// anew when it comes back.
const FOLLOWER_QUEUE: usize = 1_024;
/// Longest wait for the other control processes to take an order in.
const SPREAD_LIMIT: Duration = Duration::from_millis(700);
/// Heartbeats that a back end may miss before it counts as ended. Entry daemons
/// find out by themselves long before; this only clears the table.
const MISSED_HEARTBEATS: Millis = 20;

/// Why an order of a back end was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotSpread;

/// Names of entry daemons, shared by all connections that tell of them.
pub type EdgeNames = Arc<BTreeSet<String>>;

#[derive(Default)]
struct SoftState {
    instances: InstanceTable,
    directory: Directory,
    /// Back ends heard since the last digest.
    heard: HashSet<BackendId>,
    /// Connections on which each run of an entry daemon is heard, by its name and
    /// incarnation.
    edge_links: HashMap<(String, u64), HashSet<u64>>,
    /// When the other control processes were heard last.
    peers: BTreeMap<SocketAddr, Millis>,
}

/// What an entry daemon reads besides what all read.
#[derive(Clone, Copy, Debug)]
pub struct Reads {
    /// What other daemons found out of back ends.
    pub findings: bool,
    /// What is known of requests under which back ends ended.
    pub cases: bool,
    /// What other daemons were told of rate limits.
    pub limits: bool,
}

/// News on their way to one entry daemon.
struct EdgeQueue {
    frames: mpsc::Sender<Bytes>,
    reads: Reads,
}

/// The hub of one control process.
pub struct Hub {
    own: SocketAddr,
    clock: MonotonicClock,
    heartbeat: Millis,
    state: Mutex<SoftState>,
    followers: Mutex<HashMap<u64, EdgeQueue>>,
    /// Requests under which back ends ended.
    cases: Mutex<CaseDesk>,
    /// Rate limits that back ends named.
    limits: Mutex<LimitDesk>,
    numbers: AtomicU64,
    links: OnceLock<Arc<PeerLinks>>,
    /// Members of the control group by address.
    controls: watch::Sender<ControlGroup>,
    /// Names of the entry daemons that are connected.
    edges: watch::Sender<EdgeNames>,
}

impl Hub {
    /// A hub that knows nothing; `own` is this process's internal address.
    pub fn new(own: SocketAddr, clock: MonotonicClock, heartbeat: Millis) -> Hub {
        Hub {
            own,
            clock,
            heartbeat,
            state: Mutex::default(),
            followers: Mutex::default(),
            cases: Mutex::new(CaseDesk::new(own)),
            limits: Mutex::default(),
            numbers: AtomicU64::new(0),
            links: OnceLock::new(),
            controls: watch::Sender::default(),
            edges: watch::Sender::default(),
        }
    }

    /// Tells the hub its connections; called once.
    pub fn connect(&self, links: Arc<PeerLinks>) {
        // A second call would change nothing.
        let _ = self.links.set(links);
    }

    fn state(&self) -> MutexGuard<'_, SoftState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> Option<&Arc<PeerLinks>> {
        self.links.get()
    }

    /// Members of the control group, as they change.
    pub fn controls(&self) -> watch::Receiver<ControlGroup> {
        self.controls.subscribe()
    }

    /// The control group is this one.
    pub fn set_controls(&self, group: ControlGroup) {
        self.controls.send_if_modified(|known| {
            let changed = *known != group;
            *known = group;
            changed
        });
    }

    /// A heartbeat came. An order to leave is taken once a majority of the
    /// control processes knows it: every entry daemon follows one of those.
    pub async fn heartbeat(&self, news: InstanceUpdate) -> Result<(), NotSpread> {
        let now = self.clock.now();
        let id = news.instance.id.clone();
        let leaves = news.instance.phase != InstancePhase::Ready;
        self.state().heard.insert(id.clone());
        self.take_news(now, vec![news]);
        if !leaves {
            return Ok(());
        }
        let known = self
            .state()
            .instances
            .get(&id)
            .map(|known| known.to_update(now));
        match known {
            Some(news) => self.spread_surely(news).await,
            None => Err(NotSpread),
        }
    }

    /// An incarnation of a back end says that it ends; `born` is its start, if it tells.
    pub async fn deregister(&self, id: &BackendId, born: Option<Millis>) -> Result<(), NotSpread> {
        let now = self.clock.now();
        let known = self
            .state()
            .instances
            .get(id)
            .map(|known| known.to_update(now));
        let mut news = known.unwrap_or_else(|| unknown_instance(id));
        news.instance.born = born.or(news.instance.born);
        news.instance.phase = InstancePhase::Gone;
        self.take_news(now, vec![news.clone()]);
        self.spread_surely(news).await
    }

    /// Takes in news that come from another control process.
    pub fn take_peer_news(&self, news: Vec<InstanceUpdate>) {
        self.merge(self.clock.now(), news);
    }

    /// Takes in news that come from a back end, and tells all others.
    fn take_news(&self, now: Millis, news: Vec<InstanceUpdate>) {
        let changed = self.merge(now, news);
        if let Some(links) = self.links()
            && !changed.is_empty()
        {
            links.tell_all(&PeerMessage::Instances {
                starts: Starts::of(&changed),
                news: changed,
                receipt: None,
            });
        }
    }

    /// Merges news, passes what changed on to entry daemons, and returns it.
    fn merge(&self, now: Millis, news: Vec<InstanceUpdate>) -> Vec<InstanceUpdate> {
        let mut changed = Vec::new();
        {
            let mut state = self.state();
            for one in news {
                let ids = state.instances.merge(now, one);
                let known = ids.iter().filter_map(|id| state.instances.get(id));
                changed.extend(known.map(|known| known.to_update(now)));
            }
        }
        self.pass_on(&changed);
        changed
    }

    fn pass_on(&self, changed: &[InstanceUpdate]) {
        if changed.is_empty() {
            return;
        }
        for news in changed {
            let instance = &news.instance;
            info!(target: LOG, instance = instance.id.as_str(), service = instance.service.as_str(),
                phase:? = instance.phase, born = instance.born, sequence = instance.sequence, cold_ms = news.cold_ms;
                "a back end changed");
        }
        let starts = Starts::of(changed);
        self.send_to_followers(&ToEdge::Instances(changed.to_vec(), starts));
    }

    fn send_to_followers(&self, message: &ToEdge) {
        let Ok(frame) = encode(message) else {
            return;
        };
        let frame = Bytes::from(frame);
        let mut followers = self
            .followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // A full queue ends the connection; the follower then starts anew.
        followers.retain(|_, follower| follower.frames.try_send(frame.clone()).is_ok());
    }

    /// Sends to the followers that read the message, but for the one that it comes from. A
    /// daemon whose queue is full does without: others may tell it the same, and it is told
    /// what it lacks when it asks for a trial or a token.
    fn pass_to_others(&self, from: u64, message: &ToEdge, reads: impl Fn(&EdgeQueue) -> bool) {
        let Ok(frame) = encode(message) else {
            return;
        };
        let frame = Bytes::from(frame);
        let followers = self
            .followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let others = followers.iter().filter(|(number, _)| **number != from);
        for (_, follower) in others.filter(|(_, follower)| reads(follower)) {
            let _ = follower.frames.try_send(frame.clone());
        }
    }

    /// Returns once a majority of the control processes has the news.
    async fn spread_surely(&self, news: InstanceUpdate) -> Result<(), NotSpread> {
        let members = self.controls.borrow().members.clone();
        let Some(links) = self.links() else {
            return Err(NotSpread);
        };
        if members.is_empty() {
            return Err(NotSpread);
        }
        let needed = members.len() / 2 + 1;
        let mut have = usize::from(members.contains(&self.own));
        let mut others: FuturesUnordered<_> = members
            .iter()
            .filter(|member| **member != self.own)
            .map(|member| links.tell_surely(*member, vec![news.clone()], SPREAD_LIMIT))
            .collect();
        while have < needed {
            match others.next().await {
                Some(taken) => have += usize::from(taken),
                None => return Err(NotSpread),
            }
        }
        Ok(())
    }

    /// Back ends that another control process heard.
    pub fn take_heard(&self, ids: &[BackendId]) {
        let now = self.clock.now();
        let mut state = self.state();
        for id in ids {
            state.instances.note_remote_contact(now, id);
        }
    }

    /// A queue of news for one entry daemon, with all back ends to begin with.
    pub fn follow(&self, reads: Reads) -> (u64, mpsc::Receiver<Bytes>, Vec<InstanceUpdate>) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (frames, queue) = mpsc::channel(FOLLOWER_QUEUE);
        let follower = EdgeQueue { frames, reads };
        // First the queue, then the table: nothing is missed in between.
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, follower);
        let all = self.all_instances();
        (number, queue, all)
    }

    /// The entry daemon with this queue has gone.
    pub fn unfollow(&self, number: u64) {
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&number);
    }

    fn all_instances(&self) -> Vec<InstanceUpdate> {
        let now = self.clock.now();
        let state = self.state();
        state
            .instances
            .iter()
            .map(|known| known.to_update(now))
            .collect()
    }

    /// What another control process has to know to begin with.
    pub fn snapshot(&self) -> Vec<PeerMessage> {
        let news = self.all_instances();
        let mut messages = vec![PeerMessage::Instances {
            starts: Starts::of(&news),
            news,
            receipt: None,
        }];
        let state = self.state();
        for record in state.directory.connected_with(self.own) {
            messages.push(PeerMessage::Edge {
                record: record.clone(),
                is_connected: true,
            });
        }
        messages
    }

    /// Regular work: tells the others who was heard, and drops what is silent.
    pub fn tick(&self) {
        let now = self.clock.now();
        let heard: Vec<BackendId> = {
            let mut state = self.state();
            state.heard.drain().collect()
        };
        if let Some(links) = self.links()
            && !heard.is_empty()
        {
            links.tell_all(&PeerMessage::Heard(heard));
        }
        self.drop_silent_peers(now);
        self.expire_instances(now);
        self.probe_suspects(now);
    }

    fn expire_instances(&self, now: Millis) {
        let silence = MISSED_HEARTBEATS * self.heartbeat;
        let ended: Vec<InstanceUpdate> = {
            let mut state = self.state();
            let ids = state.instances.expire(now, silence);
            let known = ids.iter().filter_map(|id| state.instances.get(id));
            known.map(|known| known.to_update(now)).collect()
        };
        self.pass_on(&ended);
    }

    /// Back ends that are ready, back ends that leave, and connected entry daemons.
    pub fn counts(&self) -> (usize, usize, usize) {
        let state = self.state();
        let in_phase = |phase| {
            let known = state.instances.iter();
            known.filter(|known| known.instance.phase == phase).count()
        };
        (
            in_phase(InstancePhase::Ready),
            in_phase(InstancePhase::Draining),
            state.directory.connected().count(),
        )
    }

    /// The soft state, for the dump.
    pub fn dump(&self) -> Value {
        let now = self.clock.now();
        let state = self.state();
        let instances: Vec<Value> = state
            .instances
            .iter()
            .map(|known| {
                json!({
                    "id": known.instance.id,
                    "service": known.instance.service,
                    "address": known.instance.address,
                    "phase": format!("{:?}", known.instance.phase),
                    "born": known.instance.born,
                    "sequence": known.instance.sequence,
                    "cold_ms": known.cold_until.saturating_sub(now),
                    "heard_ms_ago": now.saturating_sub(known.last_contact_at),
                })
            })
            .collect();
        let edges: Vec<Value> = state
            .directory
            .connected()
            .map(|record| json!({"name": record.name, "phase": format!("{:?}", record.phase)}))
            .collect();
        json!({
            "instances": instances,
            "edges": edges,
            "controls": self.controls.borrow().members,
        })
    }
}

/// A back end that this process never heard of and that ends.
fn unknown_instance(id: &BackendId) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: id.clone(),
            born: None,
            service: ServiceId::default(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: ZoneId::default(),
            capacity: 0,
            software: String::new(),
            // Below every heartbeat: only the phase counts.
            sequence: 0,
            phase: InstancePhase::Gone,
        },
        cold_ms: 0,
    }
}
