//! Soft state of a control process: back ends and entry daemons, merged with the updates of the
//! other control processes and published to entry daemons.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use bytes::Bytes;
use coursestand_discovery::{
    Directory, EdgeIncarnation, EdgeRecord, Evidence, InstancePhase, InstanceTable, InstanceUpdate,
    NamedDaemon,
};
use coursestand_kernel::MonotonicClock;
use coursestand_model::{BackendId, Millis};
use coursestand_transport::frame::encode;
use log::info;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use crate::fleet::peer_links::PeerLinks;
use crate::fleet::wire::{ControlGroup, PeerMessage, StartTimes, ToEdge};
use crash_records::CrashRecords;
use rate_limits::RateLimits;

pub use heartbeats::{HeartbeatEffect, NotAcknowledged};

mod crash_records;
mod edges;
mod heartbeats;
mod named_edges;
mod peer_reports;
mod rate_limits;

const LOG: &str = "hub";
/// Queue length of an entry daemon. If it is full, the daemon is disconnected and receives the
/// full state when it reconnects.
const SUBSCRIBER_QUEUE_FRAMES: usize = 1_024;
/// Heartbeats that a back end may miss before it is removed. Entry daemons detect its failure
/// much earlier; this only cleans up the table.
const MAX_MISSED_HEARTBEATS: Millis = 20;

/// Names of entry daemons, shared by all connections that announce them.
pub type EdgeNames = Arc<BTreeSet<String>>;

#[derive(Default)]
struct SoftState {
    instances: InstanceTable,
    directory: Directory,
    /// Back ends whose heartbeats were received since the last digest.
    heartbeats_received: HashSet<BackendId>,
    /// Open connections of each entry daemon.
    edge_links: HashMap<EdgeIncarnation, EdgeLink>,
    /// Number of the latest connection of each of the other control processes whose reports hold.
    peer_connections: HashMap<SocketAddr, u64>,
    /// Entry daemons named without a connection, as last logged.
    named_without_connection: BTreeMap<EdgeIncarnation, NamedDaemon>,
}

/// The open connections of one run of an entry daemon.
struct EdgeLink {
    record: EdgeRecord,
    /// Numbers of the connections.
    connections: HashSet<u64>,
}

/// Optional messages that an entry daemon accepts.
#[derive(Clone, Copy, Debug)]
pub struct EdgeSubscriptions {
    /// Findings of other daemons about back ends.
    pub findings: bool,
    /// Crash records of requests.
    pub crash_records: bool,
    /// Rate limits that back ends reported to other daemons.
    pub rate_limits: bool,
    /// Daemons to which requests may be relayed.
    pub relays: bool,
}

/// An entry daemon that receives updates, with its queue.
struct EdgeSubscriber {
    frames: mpsc::Sender<Bytes>,
    subscriptions: EdgeSubscriptions,
}

/// The soft state hub of one control process.
pub struct Hub {
    local_address: SocketAddr,
    clock: MonotonicClock,
    heartbeat: Millis,
    state: Mutex<SoftState>,
    subscribers: Mutex<HashMap<u64, EdgeSubscriber>>,
    /// Crash records of requests.
    crash_records: Mutex<CrashRecords>,
    /// Rate limits that back ends reported.
    rate_limits: Mutex<RateLimits>,
    next_number: AtomicU64,
    links: OnceLock<Arc<PeerLinks>>,
    /// Members of the control group by address.
    controls: watch::Sender<ControlGroup>,
    /// Names of the connected entry daemons.
    edges: watch::Sender<EdgeNames>,
}

impl Hub {
    /// Creates an empty hub; `local_address` is this process's internal address.
    pub fn new(local_address: SocketAddr, clock: MonotonicClock, heartbeat: Millis) -> Hub {
        Hub {
            local_address,
            clock,
            heartbeat,
            state: Mutex::default(),
            subscribers: Mutex::default(),
            crash_records: Mutex::new(CrashRecords::new(local_address)),
            rate_limits: Mutex::default(),
            next_number: AtomicU64::new(0),
            links: OnceLock::new(),
            controls: watch::Sender::default(),
            edges: watch::Sender::default(),
        }
    }

    /// Sets the connections to the other control processes; called once.
    pub fn set_links(&self, links: Arc<PeerLinks>) {
        // Fails only if they are set already.
        let _ = self.links.set(links);
    }

    fn state(&self) -> MutexGuard<'_, SoftState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> Option<&Arc<PeerLinks>> {
        self.links.get()
    }

    /// Watches the members of the control group.
    pub fn controls(&self) -> watch::Receiver<ControlGroup> {
        self.controls.subscribe()
    }

    /// Sets the members of the control group.
    pub fn set_controls(&self, group: ControlGroup) {
        self.controls.send_if_modified(|current| {
            let changed = *current != group;
            *current = group;
            changed
        });
    }

    /// Merges updates from another control process.
    pub fn merge_peer_updates(&self, updates: Vec<InstanceUpdate>) {
        self.merge(self.clock.now(), updates);
    }

    /// Merges updates from a back end and broadcasts the changes to the other control
    /// processes.
    fn merge_and_broadcast(&self, now: Millis, updates: Vec<InstanceUpdate>) {
        let changed = self.merge(now, updates);
        if let Some(links) = self.links()
            && !changed.is_empty()
        {
            links.broadcast(PeerMessage::Instances {
                starts: StartTimes::of(&changed),
                updates: changed,
                receipt: None,
            });
        }
    }

    /// Merges updates, publishes the changed back ends to entry daemons, and returns them.
    fn merge(&self, now: Millis, updates: Vec<InstanceUpdate>) -> Vec<InstanceUpdate> {
        let mut changed = Vec::new();
        {
            let mut state = self.state();
            for update in updates {
                let ids = state.instances.merge(now, update);
                let entries = ids.iter().filter_map(|id| state.instances.get(id));
                changed.extend(entries.map(|entry| entry.to_update(now)));
            }
        }
        self.publish_changes(&changed);
        changed
    }

    fn publish_changes(&self, changed: &[InstanceUpdate]) {
        if changed.is_empty() {
            return;
        }
        for update in changed {
            let instance = &update.instance;
            info!(target: LOG, instance = instance.id.as_str(), service = instance.service.as_str(),
                zone = instance.zone.as_str(), address:% = instance.address, phase:? = instance.phase, born = instance.born, sequence = instance.sequence, cold_ms = update.cold_ms;
                "a back end changed");
        }
        let starts = StartTimes::of(changed);
        self.send_to_subscribers(&ToEdge::Instances(changed.to_vec(), starts));
    }

    fn send_to_subscribers(&self, message: &ToEdge) {
        let Ok(frame) = encode(message) else {
            return;
        };
        let frame = Bytes::from(frame);
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // A full queue ends the connection; the daemon then reconnects and starts over.
        subscribers.retain(|_, subscriber| subscriber.frames.try_send(frame.clone()).is_ok());
    }

    /// Relays a message to the subscribers that accept it, except for its sender. A daemon with
    /// a full queue misses the message: other control processes may relay the same, and the
    /// answer to a request for a trial or a token brings what it lacks.
    fn relay(&self, from: u64, message: &ToEdge, accepts: impl Fn(&EdgeSubscriber) -> bool) {
        let Ok(frame) = encode(message) else {
            return;
        };
        let frame = Bytes::from(frame);
        let subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let others = subscribers.iter().filter(|(number, _)| **number != from);
        for (_, subscriber) in others.filter(|(_, subscriber)| accepts(subscriber)) {
            let _ = subscriber.frames.try_send(frame.clone());
        }
    }

    /// Records heartbeats that another control process received.
    pub fn note_peer_heartbeats(&self, ids: &[BackendId]) {
        let now = self.clock.now();
        let mut state = self.state();
        for id in ids {
            state.instances.note_remote_contact(now, id);
        }
    }

    /// Subscribes an entry daemon. Returns the subscriber's number, its queue, and all back
    /// ends as initial state.
    pub fn subscribe(
        &self,
        subscriptions: EdgeSubscriptions,
    ) -> (u64, mpsc::Receiver<Bytes>, Vec<InstanceUpdate>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (frames, queue) = mpsc::channel(SUBSCRIBER_QUEUE_FRAMES);
        let subscriber = EdgeSubscriber {
            frames,
            subscriptions,
        };
        // Subscribes before it reads the table, so that no update is missed in between.
        self.subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, subscriber);
        let all = self.all_instances();
        (number, queue, all)
    }

    /// Removes a subscriber.
    pub fn unsubscribe(&self, number: u64) {
        self.subscribers
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
            .map(|entry| entry.to_update(now))
            .collect()
    }

    /// Periodic work: sends the digest of heartbeats, and removes silent back ends.
    pub fn tick(&self) {
        let now = self.clock.now();
        let heartbeats_received: Vec<BackendId> = {
            let mut state = self.state();
            state.heartbeats_received.drain().collect()
        };
        if let Some(links) = self.links()
            && !heartbeats_received.is_empty()
        {
            links.broadcast(PeerMessage::HeartbeatsReceived(heartbeats_received));
        }
        self.expire_instances(now);
        self.probe_suspects(now);
        self.log_named_without_connection();
    }

    fn expire_instances(&self, now: Millis) {
        let instance_timeout = MAX_MISSED_HEARTBEATS * self.heartbeat;
        let expired: Vec<InstanceUpdate> = {
            let mut state = self.state();
            let ids = state.instances.expire(now, instance_timeout);
            let entries = ids.iter().filter_map(|id| state.instances.get(id));
            entries.map(|entry| entry.to_update(now)).collect()
        };
        self.publish_changes(&expired);
    }

    /// Returns the numbers of ready back ends, draining back ends and connected entry daemons.
    pub fn counts(&self) -> (usize, usize, usize) {
        let state = self.state();
        let in_phase = |phase| {
            let entries = state.instances.iter();
            entries
                .filter(|entry| entry.instance.phase == phase)
                .count()
        };
        (
            in_phase(InstancePhase::Ready),
            in_phase(InstancePhase::Draining),
            state.directory.connected().count(),
        )
    }

    /// Returns the soft state for the dump.
    pub fn dump(&self) -> Value {
        let now = self.clock.now();
        let state = self.state();
        let instances: Vec<Value> = state
            .instances
            .iter()
            .map(|entry| {
                json!({
                    "id": entry.instance.id,
                    "service": entry.instance.service,
                    "address": entry.instance.address,
                    "zone": entry.instance.zone,
                    "phase": format!("{:?}", entry.instance.phase),
                    "born": entry.instance.born,
                    "sequence": entry.instance.sequence,
                    "cold_ms": entry.cold_until.saturating_sub(now),
                    "heard_ms_ago": now.saturating_sub(entry.last_contact_at),
                })
            })
            .collect();
        let edges: Vec<Value> = state
            .directory
            .connected()
            .map(|record| json!({"name": record.name, "phase": format!("{:?}", record.phase)}))
            .collect();
        let named_without_connection: Vec<Value> = state
            .directory
            .named_without_connection(now, self.local_address)
            .iter()
            .map(|named| named_without_connection_view(now, named))
            .collect();
        json!({
            "instances": instances,
            "edges": edges,
            "named_without_connection": named_without_connection,
            "controls": self.controls.borrow().members,
        })
    }
}

/// Returns a daemon that look-ups name without a connection, for the dump.
fn named_without_connection_view(now: Millis, named: &NamedDaemon) -> Value {
    let (reported_by, reachable_ms) = match &named.evidence {
        Evidence::Connections(observers) => (Some(observers), None),
        Evidence::Reachable { until } => (None, Some(until.saturating_sub(now))),
    };
    json!({
        "name": named.record.name,
        "incarnation": named.record.incarnation,
        "reported_by": reported_by,
        "reachable_ms": reachable_ms,
    })
}
