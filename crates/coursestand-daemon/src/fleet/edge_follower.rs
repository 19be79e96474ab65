//! Follows the control processes: keeps connections to a majority of them, and
//! feeds what they tell into the beliefs of the entry daemon.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_coordination::Freshness;
use coursestand_discovery::{EdgePhase, EdgeRecord, LinkUse};
use coursestand_model::Millis;
use coursestand_proxy::EdgeState;
use coursestand_routing::hash::{combine, hash_of};
use coursestand_transport::stream::{self, StreamError};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use serde_json::{Value, json};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::control::shared::LogReach;
use crate::fleet::follower_metrics::FollowerMetrics;
use crate::fleet::prober::Prober;
use crate::fleet::wire::{ControlGroup, ToControl, ToEdge};

const LOG: &str = "follower";
/// Control processes up to which all are followed.
const FOLLOW_ALL: usize = 5;
/// Time between two signs of life.
const PING: Duration = Duration::from_millis(1_000);
/// A control process that sends nothing for this long is lost.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Time in which news of a lost daemon arrives at all others: changes are told at
/// most every 200 ms, over the ways between the farthest regions.
const NEWS_LAG: Duration = Duration::from_millis(1_000);
/// Time after which a daemon that was cut off owns no cold back end any more.
pub const HAND_OVER_MS: Millis = (SILENCE.as_millis() + NEWS_LAG.as_millis()) as Millis;
/// Pause before a lost connection is made again.
const PAUSE: Duration = Duration::from_millis(200);
/// A round trip to control that takes longer is logged: changes come as late.
const SLOW_ROUND_TRIP: Duration = Duration::from_millis(500);
/// Time between two looks at which control processes to follow.
const ROUND: Duration = Duration::from_millis(1_000);

/// What is known of one control process.
#[derive(Clone, Debug, Default)]
struct Followed {
    /// It has told its catalog on the present connection.
    has_told_catalog: bool,
    is_connected: bool,
    edges: BTreeSet<String>,
}

/// Follows the control processes.
pub struct EdgeFollower {
    state: Arc<EdgeState>,
    record: EdgeRecord,
    phase: watch::Sender<EdgePhase>,
    /// Use of this machine's link, told with each sign of life.
    link_use: AtomicU8,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Control processes as the group itself tells.
    controls: Mutex<BTreeSet<SocketAddr>>,
    /// How new the catalog is.
    freshness: Mutex<Freshness<SocketAddr>>,
    metrics: FollowerMetrics,
    followed: Mutex<BTreeMap<SocketAddr, Followed>>,
    news: Notify,
    prober: Prober,
}

impl EdgeFollower {
    /// A follower for the daemon that `record` describes.
    pub fn new(
        state: Arc<EdgeState>,
        record: EdgeRecord,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        metrics: FollowerMetrics,
    ) -> EdgeFollower {
        EdgeFollower {
            state,
            phase: watch::Sender::new(record.phase),
            record,
            link_use: AtomicU8::new(0),
            seeds,
            controls: Mutex::default(),
            freshness: Mutex::default(),
            metrics,
            followed: Mutex::default(),
            news: Notify::new(),
            prober: Prober::default(),
        }
    }

    /// Where this daemon is in its life.
    pub fn phase(&self) -> EdgePhase {
        *self.phase.borrow()
    }

    /// The daemon is in this phase from now on, and tells so.
    pub fn set_phase(&self, phase: EdgePhase) {
        self.phase.send_if_modified(|known| {
            let moves_on = phase > *known;
            if moves_on {
                *known = phase;
            }
            moves_on
        });
    }

    /// This much of the machine's link is used from now on.
    pub fn set_link_use(&self, link_use: LinkUse) {
        self.link_use.store(link_use, Ordering::Relaxed);
    }

    fn followed(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Followed>> {
        self.followed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn controls(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn freshness(&self) -> MutexGuard<'_, Freshness<SocketAddr>> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the moment before which every acknowledged change is known
    /// to be in force here; `None` before that was proven once.
    pub fn catalog_age_ms(&self) -> Option<Millis> {
        let proven_at = self.freshness().proven_at();
        proven_at.map(|proven_at| self.state.now().saturating_sub(proven_at))
    }

    /// Brings the gauges up to date.
    pub fn update_metrics(&self) {
        self.metrics
            .update(self.followed_count(), self.catalog_age_ms());
    }

    /// A control process answered the sign of life that was sent `round_trip` ago.
    fn note_pong(&self, control: SocketAddr, round_trip: Duration, reach: Option<LogReach>) {
        self.metrics.round_trip.observe(round_trip.as_secs_f64());
        let round_trip_ms = round_trip.as_millis() as Millis;
        if round_trip > SLOW_ROUND_TRIP {
            info!(target: LOG, control:% = control, round_trip_ms = round_trip_ms,
                catalog_age_ms = self.catalog_age_ms(); "control answered late");
        }
        let Some(reach) = reach else {
            return;
        };
        let asked_at = self.state.now().saturating_sub(round_trip_ms);
        let mut freshness = self.freshness();
        freshness.cover(reach.applied);
        freshness.note_log_end(control, asked_at, reach.end);
    }

    /// Follows until it is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut links: BTreeMap<SocketAddr, Link> = BTreeMap::new();
        loop {
            let wanted = self.wanted();
            links.retain(|address, _| wanted.contains(address));
            self.followed()
                .retain(|address, _| wanted.contains(address));
            for address in wanted {
                links.entry(address).or_insert_with(|| {
                    Link(tokio::spawn(keep_following(Arc::clone(&self), address)))
                });
            }
            self.become_ready();
            // Either news or the end of the pause.
            let _ = tokio::time::timeout(ROUND, self.news.notified()).await;
        }
    }

    /// The control processes to follow: all of a few; of many a majority, so
    /// that every order a majority knows reaches this daemon directly.
    fn wanted(&self) -> BTreeSet<SocketAddr> {
        let controls = self.controls().clone();
        if controls.is_empty() {
            return self.seeds.borrow().iter().copied().collect();
        }
        let mut wanted: Vec<SocketAddr> = controls.iter().copied().collect();
        if wanted.len() > FOLLOW_ALL {
            let own = hash_of(&self.record.name);
            wanted.sort_by_key(|address| combine(own, hash_of(&address.to_string())));
            wanted.truncate(controls.len() / 2 + 1);
        }
        let mut wanted: BTreeSet<SocketAddr> = wanted.into_iter().collect();
        // With none of them connected, the seeds may know the present group.
        let is_alone = !self.followed().values().any(|one| one.is_connected);
        if is_alone {
            wanted.extend(self.seeds.borrow().iter().copied());
        }
        wanted
    }

    /// Ready once a majority of the control processes told their catalogs: one
    /// of them has every change that was ever acknowledged.
    fn become_ready(&self) {
        if self.phase() != EdgePhase::Starting || self.state.beliefs().catalog.is_empty() {
            return;
        }
        let controls = self.controls().clone();
        let told = self
            .followed()
            .iter()
            .filter(|(address, one)| one.has_told_catalog && controls.contains(address))
            .count();
        if !controls.is_empty() && told > controls.len() / 2 {
            info!(target: LOG, catalog = self.state.beliefs().catalog.version();
                "this daemon is ready");
            self.set_phase(EdgePhase::Ready);
        }
    }

    fn record(&self) -> EdgeRecord {
        EdgeRecord {
            phase: self.phase(),
            ..self.record.clone()
        }
    }

    fn take(&self, from: SocketAddr, message: ToEdge) {
        match message {
            // The connection that brought it answers it.
            ToEdge::Probe(_) | ToEdge::Pong { .. } => {}
            ToEdge::Catalog(delta) => {
                let version = delta.version;
                let items = delta.items.len();
                if self.state.adopt_catalog(delta) {
                    info!(target: LOG, control:% = from, catalog = version, items = items;
                        "the catalog changed");
                }
                self.note(from, |one| one.has_told_catalog = true);
                self.news.notify_one();
            }
            ToEdge::Instances(news) => self.state.adopt_instances(news),
            ToEdge::Edges(change) => {
                self.note(from, |one| {
                    one.edges.extend(change.came);
                    for name in &change.went {
                        one.edges.remove(name);
                    }
                });
                self.merge_edges();
            }
            ToEdge::Controls(group) => {
                self.take_group(from, group);
                self.news.notify_one();
            }
        }
    }

    fn take_group(&self, from: SocketAddr, group: ControlGroup) {
        info!(target: LOG, control:% = from, members = group.members.len(),
            voters = group.voters.len(), changed_at = group.changed_at;
            "the control group was told");
        self.freshness().set_members(group.voters, group.changed_at);
        if !group.members.is_empty() {
            *self.controls() = group.members;
        }
    }

    fn note(&self, control: SocketAddr, change: impl FnOnce(&mut Followed)) {
        change(self.followed().entry(control).or_default());
        self.update_following();
    }

    /// Tells whether this daemon is connected with more than half of the control
    /// processes. Any two daemons that are have one of them in common, and know of
    /// each other.
    fn update_following(&self) {
        let controls = self.controls().clone();
        // Held until the end, so that an older result never replaces a newer one.
        let followed = self.followed();
        let connected = followed
            .iter()
            .filter(|(address, one)| one.is_connected && controls.contains(address))
            .count();
        self.state.set_following(connected > controls.len() / 2);
    }

    fn merge_edges(&self) {
        let names: BTreeSet<String> = self
            .followed()
            .values()
            .filter(|one| one.is_connected)
            .flat_map(|one| one.edges.iter().cloned())
            .collect();
        self.state.set_daemons(&self.record.name, names.into_iter());
        self.update_following();
    }

    /// Control processes that it is connected with.
    pub fn followed_count(&self) -> usize {
        let followed = self.followed();
        followed.values().filter(|one| one.is_connected).count()
    }

    /// What the follower knows, for the dump.
    pub fn dump(&self) -> Value {
        let followed: BTreeMap<String, bool> = self
            .followed()
            .iter()
            .map(|(address, one)| (address.to_string(), one.is_connected))
            .collect();
        json!({
            "phase": format!("{:?}", self.phase()),
            "controls": *self.controls(),
            "catalog_age_ms": self.catalog_age_ms(),
            "followed": followed,
        })
    }
}

/// Ends its task when it is dropped.
struct Link(JoinHandle<()>);

impl Drop for Link {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn keep_following(follower: Arc<EdgeFollower>, control: SocketAddr) {
    loop {
        let result = follow(&follower, control).await;
        let mut was_connected = false;
        follower.note(control, |one| {
            was_connected = one.is_connected;
            *one = Followed::default();
        });
        if let (true, Err(error)) = (was_connected, result) {
            info!(target: LOG, control:% = control, followed = follower.followed_count(),
                catalog = follower.state.beliefs().catalog.version(),
                catalog_age_ms = follower.catalog_age_ms();
                "control process lost: {error}");
            follower.metrics.lost.inc();
            follower.news.notify_one();
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn follow(follower: &EdgeFollower, control: SocketAddr) -> Result<(), StreamError> {
    let started = Instant::now();
    let (mut receiver, mut sender) = stream::connect::<ToEdge, ToControl>(control).await?;
    let mut phase = follower.phase.subscribe();
    phase.mark_unchanged();
    let have = follower.state.beliefs().catalog.version();
    let hello = ToControl::EdgeHello {
        record: follower.record(),
        have,
    };
    sender.send(&hello).await?;
    let mut ping = tokio::time::interval(PING);
    let mut heard_at = Instant::now();
    let mut is_known = false;
    let mut probes = FuturesUnordered::new();
    // Signs of life that were not answered yet.
    let mut pings = VecDeque::new();
    loop {
        tokio::select! {
            message = receiver.next() => {
                let message = message?;
                heard_at = Instant::now();
                if !is_known {
                    is_known = true;
                    follower.note(control, |one| one.is_connected = true);
                    info!(target: LOG, control:% = control, took_ms = started.elapsed().as_millis() as u64;
                        "control process followed");
                }
                match message {
                    ToEdge::Pong { reach } => {
                        let sent_at: Option<Instant> = pings.pop_front();
                        if let Some(sent_at) = sent_at {
                            follower.note_pong(control, sent_at.elapsed(), reach);
                        }
                    }
                    ToEdge::Probe(suspect) => probes.push(follower.prober.find_ready(suspect)),
                    other => follower.take(control, other),
                }
            }
            changed = phase.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                sender.send(&ToControl::Edge(follower.record())).await?;
            }
            Some(found) = probes.next(), if !probes.is_empty() => {
                if let Some(found) = found {
                    sender.send(&found).await?;
                }
            }
            _ = ping.tick() => {
                let link_use = follower.link_use.load(Ordering::Relaxed);
                pings.push_back(Instant::now());
                sender.send(&ToControl::EdgePing(link_use)).await?;
            },
            () = tokio::time::sleep_until(heard_at + SILENCE) => {
                return Err(StreamError::Silent { limit_ms: SILENCE.as_millis() });
            }
        }
    }
}
