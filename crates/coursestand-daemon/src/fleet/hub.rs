//! The soft state of a control process: back ends and entry daemons, merged with
//! what the other control processes tell, and passed on to entry daemons.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coursestand_discovery::directory::WITNESS_SILENCE_MS;
use coursestand_discovery::{
    Directory, EdgeRecord, Instance, InstanceNews, InstancePhase, InstanceTable, LinkUse,
};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};
use coursestand_transport::frame::encode;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use crate::fleet::peer_links::PeerLinks;
use crate::fleet::wire::{ControlGroup, PeerMessage, Starts, ToEdge};

const LOG: &str = "hub";
/// News that wait for an entry daemon; one with more is cut off, and gets all
/// anew when it comes back.
const FOLLOWER_QUEUE: usize = 1_024;
/// Longest wait for the other control processes to take an order in.
const SPREAD_LIMIT: Duration = Duration::from_millis(700);
/// Heartbeats that a back end may miss before it counts as ended. Entry daemons
/// find out by themselves long before; this only clears the table.
const MISSED_HEARTBEATS: Millis = 20;
/// Entry daemons named in one look-up at most.
const MOST_ADDRESSES: usize = 64;

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

/// The hub of one control process.
pub struct Hub {
    own: SocketAddr,
    clock: MonotonicClock,
    heartbeat: Millis,
    state: Mutex<SoftState>,
    followers: Mutex<HashMap<u64, mpsc::Sender<Bytes>>>,
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

    /// Names of the connected entry daemons, as they change.
    pub fn edges(&self) -> watch::Receiver<EdgeNames> {
        self.edges.subscribe()
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
    pub async fn heartbeat(&self, news: InstanceNews) -> Result<(), NotSpread> {
        let now = self.clock.now();
        let id = news.instance.id.clone();
        let leaves = news.instance.phase != InstancePhase::Ready;
        self.state().heard.insert(id.clone());
        self.take_news(now, vec![news]);
        if !leaves {
            return Ok(());
        }
        let known = self.state().instances.get(&id).map(|known| known.news(now));
        match known {
            Some(news) => self.spread_surely(news).await,
            None => Err(NotSpread),
        }
    }

    /// An incarnation of a back end says that it ends; `born` is its start, if it tells.
    pub async fn deregister(&self, id: &BackendId, born: Option<Millis>) -> Result<(), NotSpread> {
        let now = self.clock.now();
        let known = self.state().instances.get(id).map(|known| known.news(now));
        let mut news = known.unwrap_or_else(|| unknown_instance(id));
        news.instance.born = born.or(news.instance.born);
        news.instance.phase = InstancePhase::Gone;
        self.take_news(now, vec![news.clone()]);
        self.spread_surely(news).await
    }

    /// Takes in news that come from another control process.
    pub fn take_peer_news(&self, news: Vec<InstanceNews>) {
        self.merge(self.clock.now(), news);
    }

    /// Takes in news that come from a back end, and tells all others.
    fn take_news(&self, now: Millis, news: Vec<InstanceNews>) {
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
    fn merge(&self, now: Millis, news: Vec<InstanceNews>) -> Vec<InstanceNews> {
        let mut changed = Vec::new();
        {
            let mut state = self.state();
            for one in news {
                let ids = state.instances.merge(now, one);
                let known = ids.iter().filter_map(|id| state.instances.get(id));
                changed.extend(known.map(|known| known.news(now)));
            }
        }
        self.pass_on(&changed);
        changed
    }

    fn pass_on(&self, changed: &[InstanceNews]) {
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
        followers.retain(|_, follower| follower.try_send(frame.clone()).is_ok());
    }

    /// Returns once a majority of the control processes has the news.
    async fn spread_surely(&self, news: InstanceNews) -> Result<(), NotSpread> {
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
            state.instances.heard(now, id);
        }
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

    /// A queue of news for one entry daemon, with all back ends to begin with.
    pub fn follow(&self) -> (u64, mpsc::Receiver<Bytes>, Vec<InstanceNews>) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (sender, queue) = mpsc::channel(FOLLOWER_QUEUE);
        // First the queue, then the table: nothing is missed in between.
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, sender);
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

    fn all_instances(&self) -> Vec<InstanceNews> {
        let now = self.clock.now();
        let state = self.state();
        state
            .instances
            .iter()
            .map(|known| known.news(now))
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
        for record in state.directory.seen_by(self.own) {
            messages.push(PeerMessage::Edge {
                record: record.clone(),
                is_connected: true,
            });
        }
        messages
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
        self.state().directory.vouch(now, name, incarnation);
    }

    /// Asks one entry daemon that is heard for each suspect, another one each time.
    fn probe_suspects(&self, now: Millis) {
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
                let _ = follower.try_send(Bytes::from(frame));
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

    fn drop_silent_peers(&self, now: Millis) {
        let mut state = self.state();
        let silent: Vec<SocketAddr> = state
            .peers
            .iter()
            .filter(|(_, heard_at)| now.saturating_sub(**heard_at) > WITNESS_SILENCE_MS)
            .map(|(peer, _)| *peer)
            .collect();
        if silent.is_empty() {
            return;
        }
        for peer in silent {
            state.peers.remove(&peer);
            state.directory.drop_witness(peer);
        }
        drop(state);
        self.publish_edges();
    }

    fn expire_instances(&self, now: Millis) {
        let silence = MISSED_HEARTBEATS * self.heartbeat;
        let ended: Vec<InstanceNews> = {
            let mut state = self.state();
            let ids = state.instances.expire(now, silence);
            let known = ids.iter().filter_map(|id| state.instances.get(id));
            known.map(|known| known.news(now)).collect()
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
                    "heard_ms_ago": now.saturating_sub(known.heard_at),
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
fn unknown_instance(id: &BackendId) -> InstanceNews {
    InstanceNews {
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
