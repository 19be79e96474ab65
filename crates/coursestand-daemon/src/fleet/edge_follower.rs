//! Follows the control processes: keeps connections to a majority of them, and
//! feeds what they tell into the beliefs of the entry daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_discovery::{EdgePhase, EdgeRecord, LinkUse};
use coursestand_model::Millis;
use coursestand_proxy::tokens::RateLimitMessage;
use coursestand_proxy::trials::CrashRecordMessage;
use coursestand_proxy::{EdgeState, LinkWatch};
use coursestand_routing::hash::{combine, hash_of};
use coursestand_routing::{SharedCrashRecord, SharedFinding, TrialVerdict};
use coursestand_transport::stream::StreamError;
use log::info;
use serde_json::{Value, json};
use tokio::sync::{Notify, broadcast, watch};
use tokio::task::JoinHandle;

use crate::control::shared::LogExtent;
use crate::fleet::catalog_follower::CatalogFollower;
use crate::fleet::control_link::keep_following;
use crate::fleet::follower_metrics::FollowerMetrics;
use crate::fleet::prober::Prober;
use crate::fleet::wire::{ControlGroup, ToEdge};

const LOG: &str = "follower";
/// Control processes up to which all are followed.
const FOLLOW_ALL: usize = 5;
/// Time between two signs of life to one control process.
const PING_MS: Millis = 1_000;
/// The same while the daemon starts: it is ready at the answer that follows the newest
/// commit.
const STARTING_PING_MS: Millis = 150;
/// A control process counts as connected for this long after a sign of life was sent
/// that it answered. Fixed, whatever the link takes: others take cold back ends over by it.
const CONNECTED_MS: Millis = 2_500;
/// A daemon that starts is ready by a proof of its catalog of this age at most: longer
/// than the slowest round trip that was measured on a full link, 1.9 s, twice.
const PROOF_LIFETIME_MS: Millis = 5_000;
/// A daemon that starts waits this long, once its catalog is proven, for the lists of the
/// group that most seeds tell: the first list heard may be that of a process that was cut
/// off long ago, and prove an old catalog by itself. Longer than a connection and a round
/// trip between the farthest regions take, and what it costs where seeds are down.
const SEEDS_GRACE_MS: Millis = 1_000;
/// Time in which news of a lost daemon arrives at all others: changes are told at
/// most every 200 ms, over the ways between the farthest regions.
const NEWS_LAG: Duration = Duration::from_millis(1_000);
/// Time after which a daemon that was cut off owns no cold back end any more.
pub const HAND_OVER_MS: Millis = CONNECTED_MS + NEWS_LAG.as_millis() as Millis;
/// A round trip to control that takes longer is logged: changes come as late.
const SLOW_ROUND_TRIP: Duration = Duration::from_millis(500);
/// Time between two looks at which control processes to follow.
const ROUND: Duration = Duration::from_millis(500);

/// What is known of one control process.
#[derive(Clone, Debug, Default)]
struct Followed {
    /// When the newest sign of life was sent that it answered on the present connection.
    answered_at: Option<Millis>,
    edges: BTreeSet<String>,
}

impl Followed {
    fn is_connected(&self, now: Millis) -> bool {
        self.answered_at
            .is_some_and(|answered_at| now.saturating_sub(answered_at) < CONNECTED_MS)
    }
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
    catalog: CatalogFollower,
    metrics: FollowerMetrics,
    /// Told how long round trips to control processes take.
    link: Arc<LinkWatch>,
    followed: Mutex<BTreeMap<SocketAddr, Followed>>,
    /// What a daemon that starts waits for.
    starting: Mutex<Starting>,
    news: Notify,
    prober: Prober,
}

/// How far a daemon that starts is.
#[derive(Debug, Default)]
struct Starting {
    /// Control processes that told the group.
    listed: BTreeSet<SocketAddr>,
    /// When the catalog was first proven to be the newest.
    proven_since: Option<Millis>,
}

impl EdgeFollower {
    /// A follower for the daemon that `record` describes.
    pub fn new(
        state: Arc<EdgeState>,
        record: EdgeRecord,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        metrics: FollowerMetrics,
        link: Arc<LinkWatch>,
    ) -> EdgeFollower {
        EdgeFollower {
            catalog: CatalogFollower::new(Arc::clone(&state)),
            state,
            phase: watch::Sender::new(record.phase),
            record,
            link_use: AtomicU8::new(0),
            seeds,
            controls: Mutex::default(),
            metrics,
            link,
            followed: Mutex::default(),
            starting: Mutex::default(),
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

    /// When the next sign of life to `control` is due, in milliseconds. Those to the
    /// control processes are spread evenly, so that connections which fall silent
    /// together are noticed by the first of them.
    pub(super) fn next_ping_in_ms(&self, control: SocketAddr) -> Millis {
        if self.phase() == EdgePhase::Starting {
            return STARTING_PING_MS;
        }
        let controls = self.controls();
        let place = controls.iter().position(|known| *known == control);
        let place = place.unwrap_or(0) as Millis;
        let offset = PING_MS * place / controls.len().max(1) as Millis;
        let since = (self.state.now() + PING_MS - offset) % PING_MS;
        PING_MS - since
    }

    /// What is told with the next sign of life.
    pub(super) fn link_use(&self) -> LinkUse {
        self.link_use.load(Ordering::Relaxed)
    }

    /// The daemon's phase, as it changes.
    pub(super) fn phases(&self) -> watch::Receiver<EdgePhase> {
        self.phase.subscribe()
    }

    /// The daemon's copy of the catalog.
    pub(super) fn catalog(&self) -> &CatalogFollower {
        &self.catalog
    }

    pub(super) fn metrics(&self) -> &FollowerMetrics {
        &self.metrics
    }

    pub(super) fn prober(&self) -> &Prober {
        &self.prober
    }

    fn controls(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.controls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings the gauges up to date.
    pub fn update_metrics(&self) {
        self.metrics
            .update(self.followed_count(), self.catalog.age_ms());
    }

    /// The clock of promises, in milliseconds.
    pub(super) fn now(&self) -> Millis {
        self.state.now()
    }

    /// A control process answered the sign of life that was sent at `asked_at`. The round
    /// trip doesn't count suspensions of the machine, so it doesn't tell that moment.
    pub(super) fn note_pong(
        &self,
        control: SocketAddr,
        round_trip: Duration,
        asked_at: Millis,
        reach: Option<LogExtent>,
        catalog: u64,
    ) {
        self.metrics.round_trip.observe(round_trip.as_secs_f64());
        self.link.note_round_trip(&control.to_string(), round_trip);
        let round_trip_ms = round_trip.as_millis() as Millis;
        if round_trip > SLOW_ROUND_TRIP {
            info!(target: LOG, control:% = control, round_trip_ms = round_trip_ms,
                catalog_age_ms = self.catalog.age_ms(); "control answered late");
        }
        let now = self.state.now();
        self.catalog.note_told(control, catalog);
        if let Some(reach) = reach {
            self.catalog.note_reach(control, asked_at, reach, catalog);
        }
        self.note_answered(control, now, asked_at);
        self.become_ready();
    }

    fn note_answered(&self, control: SocketAddr, now: Millis, asked_at: Millis) {
        let is_news = {
            let mut followed = self.followed();
            let one = followed.entry(control).or_default();
            let was_connected = one.is_connected(now);
            one.answered_at = one.answered_at.max(Some(asked_at));
            one.is_connected(now) != was_connected
        };
        if is_news {
            info!(target: LOG, control:% = control, followed = self.followed_count();
                "control process followed");
            self.merge_edges();
        }
    }

    /// A connection was lost, and with it what it told of the fleet.
    pub(super) fn note_lost(&self, control: SocketAddr, error: &StreamError) {
        self.catalog.forget(control);
        let was_connected = {
            let mut followed = self.followed();
            let before = followed.insert(control, Followed::default());
            before.is_some_and(|one| one.answered_at.is_some())
        };
        self.update_following();
        if was_connected {
            info!(target: LOG, control:% = control, followed = self.followed_count(),
                catalog = self.catalog.version(),
                catalog_age_ms = self.catalog.age_ms();
                "control process lost: {error}");
            self.metrics.lost.inc();
            self.news.notify_one();
        }
    }

    /// A new connection tells the fleet from its beginning.
    pub(super) fn note_renewed(&self, control: SocketAddr) {
        self.catalog.forget(control);
        self.followed().insert(control, Followed::default());
        self.update_following();
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
            self.update_following();
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
        // With none of them connected, the seeds may know the present group; while the
        // daemon starts, a newer one than was told first.
        let is_alone = self.followed_count() == 0;
        if is_alone || self.phase() == EdgePhase::Starting {
            wanted.extend(self.seeds.borrow().iter().copied());
        }
        wanted
    }

    /// Ready once the catalog is proven to hold every acknowledged change. Answers of
    /// a majority alone would not do: what one of them has applied may be older.
    fn become_ready(&self) {
        if self.phase() != EdgePhase::Starting || self.catalog.is_empty() {
            return;
        }
        let is_newest = self
            .catalog
            .age_ms()
            .is_some_and(|age_ms| age_ms < PROOF_LIFETIME_MS);
        if is_newest && self.knows_group() {
            info!(target: LOG, catalog = self.catalog.version(),
                catalog_age_ms = self.catalog.age_ms(); "this daemon is ready");
            self.set_phase(EdgePhase::Ready);
        }
    }

    fn starting(&self) -> MutexGuard<'_, Starting> {
        self.starting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether most seeds have told the group, or have not for so long that they won't.
    fn knows_group(&self) -> bool {
        let seeds = self.seeds.borrow().clone();
        let now = self.state.now();
        let mut starting = self.starting();
        let since = *starting.proven_since.get_or_insert(now);
        let told = seeds.iter().filter(|seed| starting.listed.contains(*seed));
        told.count() > seeds.len() / 2 || now.saturating_sub(since) >= SEEDS_GRACE_MS
    }

    pub(super) fn record(&self) -> EdgeRecord {
        EdgeRecord {
            phase: self.phase(),
            ..self.record.clone()
        }
    }

    /// What this daemon finds out of back ends.
    pub(super) fn findings(&self) -> broadcast::Receiver<SharedFinding> {
        self.state.findings()
    }

    /// Takes in what other daemons found out of back ends.
    pub(super) fn take_findings(&self, findings: &[SharedFinding]) {
        for finding in findings {
            self.state.adopt_finding(finding);
        }
    }

    /// The beliefs that it feeds.
    pub(super) fn state(&self) -> &EdgeState {
        &self.state
    }

    /// What this daemon tells of rate limits of back ends.
    pub(super) fn rate_limit_messages(&self) -> broadcast::Receiver<RateLimitMessage> {
        self.state.rate_limit_messages()
    }

    /// What this daemon tells of requests under which back ends ended.
    pub(super) fn crash_record_messages(&self) -> broadcast::Receiver<CrashRecordMessage> {
        self.state.crash_record_messages()
    }

    /// What it knows of them.
    pub(super) fn told_cases(&self) -> Vec<SharedCrashRecord> {
        self.state.crash_records()
    }

    /// Takes in what a control process knows of them.
    pub(super) fn take_cases(&self, cases: &[SharedCrashRecord]) {
        self.state.adopt_crash_records(cases);
    }

    /// Takes the answer to the wish to try one of them.
    pub(super) fn take_verdict(&self, verdict: TrialVerdict) {
        self.state.handle_trial_verdict(verdict);
    }

    /// Takes in what a control process tells.
    pub(super) fn take(&self, from: SocketAddr, message: ToEdge) {
        match message {
            // The connection that brought it deals with it.
            ToEdge::Probe(_)
            | ToEdge::Pong { .. }
            | ToEdge::CatalogPart(_)
            | ToEdge::Findings(_)
            | ToEdge::Cases(_)
            | ToEdge::Trial(_)
            | ToEdge::Limits(_)
            | ToEdge::Token { .. } => {}
            ToEdge::Catalog(delta) => {
                self.catalog.take(from, delta);
                self.become_ready();
            }
            ToEdge::CatalogIsAt(version) => self.catalog.note_told(from, version),
            ToEdge::Instances(news, starts) => self.state.adopt_instances(starts.join(news)),
            ToEdge::Edges(change) => {
                {
                    let mut followed = self.followed();
                    let one = followed.entry(from).or_default();
                    one.edges.extend(change.came);
                    for name in &change.went {
                        one.edges.remove(name);
                    }
                }
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
        self.starting().listed.insert(from);
        let is_newest = self.catalog.set_voters(group.voters, group.changed_at);
        if is_newest && !group.members.is_empty() {
            *self.controls() = group.members;
        }
    }

    /// Tells whether this daemon is connected with more than half of the control
    /// processes. Any two daemons that are have one of them in common, and know of
    /// each other.
    fn update_following(&self) {
        let controls = self.controls().clone();
        // Held until the end, so that an older result never replaces a newer one.
        let followed = self.followed();
        let now = self.state.now();
        let connected = followed
            .iter()
            .filter(|(address, one)| one.is_connected(now) && controls.contains(address))
            .count();
        self.state.set_following(connected > controls.len() / 2);
    }

    fn merge_edges(&self) {
        // Nobody that is connected tells the daemons: the last list stands. Retry budgets
        // are shared out by it, and one of this daemon alone would take them whole.
        if self.followed_count() == 0 {
            self.update_following();
            return;
        }
        let now = self.state.now();
        let names: BTreeSet<String> = self
            .followed()
            .values()
            .filter(|one| one.is_connected(now))
            .flat_map(|one| one.edges.iter().cloned())
            .collect();
        self.state.set_daemons(&self.record.name, names.into_iter());
        self.update_following();
    }

    /// Control processes that it is connected with.
    pub fn followed_count(&self) -> usize {
        let now = self.state.now();
        let followed = self.followed();
        followed
            .values()
            .filter(|one| one.is_connected(now))
            .count()
    }

    /// What the follower knows, for the dump.
    pub fn dump(&self) -> Value {
        let now = self.state.now();
        let followed: BTreeMap<String, bool> = self
            .followed()
            .iter()
            .map(|(address, one)| (address.to_string(), one.is_connected(now)))
            .collect();
        json!({
            "phase": format!("{:?}", self.phase()),
            "controls": *self.controls(),
            "catalog_age_ms": self.catalog.age_ms(),
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
