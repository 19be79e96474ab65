//! Directory of entry daemons, and the choice of those that a look-up returns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use coursestand_model::hash::{combine, hash_of};
use coursestand_model::{Millis, RegionId, ZoneId};
use serde::{Deserialize, Serialize};

pub use digest::ConnectionDigest;
pub use evidence::{Evidence, NamedDaemon};

mod digest;
mod evidence;

/// Whether an entry daemon accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EdgePhase {
    /// Waits for its first catalog.
    Starting,
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight; look-ups must not return it.
    Draining,
}

/// An entry daemon's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeRecord {
    /// Name of the entry daemon.
    pub name: String,
    /// Random number that identifies this run of the daemon, drawn at its start.
    pub incarnation: u64,
    /// Address of its caller interface.
    pub address: SocketAddr,
    /// Address of its admin interface, which reports readiness.
    pub admin_address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Region of that zone.
    pub region: RegionId,
    /// Whether it accepts requests.
    pub phase: EdgePhase,
}

/// Utilization of an entry daemon's link in percent: the bandwidth that its incoming
/// requests need over that of the link. More than 100 when it rejects requests because the
/// link is at capacity.
pub type LinkUse = u8;

/// Maximum numbers of daemons of its own region and of other regions that a daemon gets to relay
/// requests to.
const MAX_NEAR_PEERS: usize = 8;
const MAX_FAR_PEERS: usize = 4;

/// Utilization in percent up to which requests do not queue for the link, so that balancing
/// has no benefit.
const MIN_BALANCED_LINK_USE: f64 = 35.0;
/// Fraction of the excess over the mean that one look-up corrects. Clients look up about
/// once a second and the utilization is known 1 s to 2 s late: a higher gain overshoots.
const BALANCING_GAIN: f64 = 0.5;

/// A client that looks up entry daemons.
#[derive(Clone, Copy, Debug)]
pub struct LookupClient<'a> {
    /// Its region.
    pub region: &'a RegionId,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// Its address.
    pub address: IpAddr,
}

/// A control process that reports on its connections with entry daemons.
pub type Observer = SocketAddr;

/// Name and incarnation of an entry daemon. Incarnations are random numbers: the time of
/// day may jump back between two starts, so it can't order them.
pub type EdgeIncarnation = (String, u64);

/// Where an entry daemon accepts requests that other daemons relay, and how they prove that they
/// are daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEndpoint {
    /// Internal address.
    pub address: SocketAddr,
    /// Secret that a relayed request must carry, drawn at the daemon's start. Only control
    /// processes and other daemons learn it.
    pub token: u128,
}

/// An entry daemon that relays requests, as another daemon learns of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPeer {
    /// Its name.
    pub name: String,
    /// Where it accepts relayed requests.
    pub endpoint: RelayEndpoint,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Region of that zone.
    pub region: RegionId,
    /// Utilization of its link, if known.
    pub link_use: Option<LinkUse>,
}

#[derive(Clone, Debug)]
struct Entry {
    record: EdgeRecord,
    /// Utilization of its link, if known.
    link_use: Option<LinkUse>,
    /// Where it accepts relayed requests, if it does.
    relay: Option<RelayEndpoint>,
    /// Whether it reported that it is partitioned from all back ends.
    is_partitioned: bool,
    /// Control processes that are connected with it.
    observers: BTreeSet<Observer>,
}

impl Entry {
    /// Returns the daemon as one to which requests may be relayed, if it accepts them.
    fn relay_peer(&self) -> Option<RelayPeer> {
        Some(RelayPeer {
            name: self.record.name.clone(),
            endpoint: self.relay?,
            zone: self.record.zone.clone(),
            region: self.record.region.clone(),
            link_use: self.link_use,
        })
    }
}

/// All entry daemons. An incarnation counts as live while any live control process is
/// connected with it.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    edges: BTreeMap<EdgeIncarnation, Entry>,
    /// Disconnected incarnations that may still serve requests.
    suspects: BTreeMap<EdgeIncarnation, Suspect>,
}

/// An incarnation without a connection to control, and the result of probes by other
/// entry daemons.
#[derive(Clone, Debug)]
struct Suspect {
    record: EdgeRecord,
    since: Millis,
    /// End of the time for which look-ups return it because a probe succeeded.
    reachable_until: Millis,
}

/// Look-ups return a suspect for this long after another entry daemon found it ready.
const PROBE_VALIDITY_MS: Millis = 2_500;
/// Look-ups return a daemon for this long after a control process that was connected with it
/// restarted. Until then the daemon has reconnected, or a probe has reached it.
const RECONNECT_GRACE_MS: Millis = 1_500;
/// A suspect without a successful probe is removed after this time.
const SUSPECT_TIMEOUT_MS: Millis = 20_000;

impl Directory {
    /// Records that `observer` is connected with this incarnation of the daemon, and with
    /// no other of the same name. Returns whether anything changed.
    pub fn connect(&mut self, observer: Observer, record: &EdgeRecord) -> bool {
        let key = (record.name.clone(), record.incarnation);
        for (other, entry) in &mut self.edges {
            if other.0 == key.0 && *other != key {
                entry.observers.remove(&observer);
            }
        }
        self.edges.retain(|_, entry| !entry.observers.is_empty());
        self.suspects.retain(|other, _| other.0 != key.0);
        let entry = self.edges.entry(key).or_insert_with(|| Entry {
            record: record.clone(),
            link_use: None,
            relay: None,
            is_partitioned: false,
            observers: BTreeSet::new(),
        });
        let is_new_observer = entry.observers.insert(observer);
        // The phase of an incarnation only advances.
        let is_new_phase = record.phase > entry.record.phase;
        if is_new_phase {
            entry.record = record.clone();
        }
        is_new_observer || is_new_phase
    }

    /// Records that `observer` lost its connection with that incarnation of the daemon.
    /// Returns whether anything changed.
    pub fn disconnect(&mut self, observer: Observer, name: &str, incarnation: u64) -> bool {
        let key = (name.to_owned(), incarnation);
        let Some(entry) = self.edges.get_mut(&key) else {
            return false;
        };
        let is_changed = entry.observers.remove(&observer);
        if entry.observers.is_empty() {
            self.edges.remove(&key);
        }
        is_changed
    }

    /// Records that a ready incarnation lost its connections. It may have crashed, or may
    /// be cut off from control and still serve requests: other entry daemons probe it
    /// (indirect probes, after SWIM by Das, Gupta and Motivala, 2002).
    pub fn suspect(&mut self, now: Millis, record: &EdgeRecord) {
        if record.phase != EdgePhase::Ready {
            return;
        }
        let key = (record.name.clone(), record.incarnation);
        self.suspects.entry(key).or_insert_with(|| Suspect {
            record: record.clone(),
            since: now,
            reachable_until: now,
        });
    }

    /// Records that another entry daemon found the suspect ready.
    pub fn note_reachable(&mut self, now: Millis, name: &str, incarnation: u64) {
        let key = (name.to_owned(), incarnation);
        self.set_reachable_until(now + PROBE_VALIDITY_MS, &key);
    }

    fn set_reachable_until(&mut self, until: Millis, incarnation: &EdgeIncarnation) {
        if let Some(suspect) = self.suspects.get_mut(incarnation) {
            suspect.reachable_until = until;
        }
    }

    /// Removes suspects that timed out and returns the others, which are to be probed.
    pub fn suspects(&mut self, now: Millis) -> Vec<EdgeRecord> {
        self.suspects.retain(|_, suspect| {
            let last = suspect.reachable_until.max(suspect.since);
            now < last + SUSPECT_TIMEOUT_MS
        });
        let suspects = self.suspects.values();
        suspects.map(|suspect| suspect.record.clone()).collect()
    }

    /// Reduces the connections that `observer` reported to those with the incarnations in
    /// `connected`: a list of all that it is connected with. `observer` may have restarted, so an
    /// incarnation that no other control process is connected with becomes a suspect. It counts as
    /// reachable at first, since it may be about to reconnect, unless it was a suspect already.
    /// Returns whether anything changed.
    pub fn replace_connections(
        &mut self,
        now: Millis,
        observer: Observer,
        connected: &BTreeSet<EdgeIncarnation>,
    ) -> bool {
        let (is_changed, unobserved) = self.retain_connections(observer, connected);
        for record in unobserved {
            let key = (record.name.clone(), record.incarnation);
            if !self.suspects.contains_key(&key) {
                self.suspect(now, &record);
                self.set_reachable_until(now + RECONNECT_GRACE_MS, &key);
            }
        }
        is_changed
    }

    /// Makes the connections that `observer` reported those with `connected`: all that it is
    /// connected with, as it reports without having restarted. Returns whether anything changed.
    pub fn set_connections(&mut self, observer: Observer, connected: &[EdgeRecord]) -> bool {
        let keys = connected
            .iter()
            .map(|record| (record.name.clone(), record.incarnation))
            .collect();
        let (mut is_changed, _) = self.retain_connections(observer, &keys);
        for record in connected {
            is_changed |= self.connect(observer, record);
        }
        is_changed
    }

    /// Removes the connections that `observer` reported except those with `kept`. Returns whether
    /// there were any, and the incarnations that no control process is connected with any more.
    fn retain_connections(
        &mut self,
        observer: Observer,
        kept: &BTreeSet<EdgeIncarnation>,
    ) -> (bool, Vec<EdgeRecord>) {
        let mut is_changed = false;
        let mut unobserved = Vec::new();
        self.edges.retain(|key, entry| {
            if kept.contains(key) || !entry.observers.remove(&observer) {
                return true;
            }
            is_changed = true;
            let is_observed = !entry.observers.is_empty();
            if !is_observed {
                unobserved.push(entry.record.clone());
            }
            is_observed
        });
        (is_changed, unobserved)
    }

    /// Removes all connections that `observer` reported, because it is silent.
    pub fn remove_observer(&mut self, observer: Observer) {
        self.edges.retain(|_, entry| {
            entry.observers.remove(&observer);
            !entry.observers.is_empty()
        });
    }

    /// Returns the incarnations that any live control process is connected with.
    pub fn connected(&self) -> impl Iterator<Item = &EdgeRecord> {
        self.edges.values().map(|entry| &entry.record)
    }

    /// Returns the incarnations that any live control process is connected with and that are not
    /// partitioned from all back ends.
    pub fn connected_to_back_ends(&self) -> impl Iterator<Item = &EdgeRecord> {
        let reachable = self.edges.values().filter(|entry| !entry.is_partitioned);
        reachable.map(|entry| &entry.record)
    }

    /// Returns the incarnations that `observer` is connected with.
    pub fn connected_with(&self, observer: Observer) -> impl Iterator<Item = &EdgeRecord> {
        self.edges
            .values()
            .filter(move |entry| entry.observers.contains(&observer))
            .map(|entry| &entry.record)
    }

    /// Records the link utilization of an incarnation of a daemon.
    pub fn note_link_use(&mut self, name: &str, incarnation: u64, link_use: LinkUse) {
        let key = (name.to_owned(), incarnation);
        if let Some(entry) = self.edges.get_mut(&key) {
            entry.link_use = Some(link_use);
        }
    }

    /// Records where an incarnation of a daemon accepts relayed requests.
    pub fn note_relay(&mut self, name: &str, incarnation: u64, relay: RelayEndpoint) {
        let key = (name.to_owned(), incarnation);
        if let Some(entry) = self.edges.get_mut(&key) {
            entry.relay = Some(relay);
        }
    }

    /// Records whether an incarnation of a daemon is partitioned from all back ends.
    pub fn note_partitioned(&mut self, name: &str, incarnation: u64, is_partitioned: bool) {
        let key = (name.to_owned(), incarnation);
        if let Some(entry) = self.edges.get_mut(&key) {
            entry.is_partitioned = is_partitioned;
        }
    }

    /// Returns the daemons to which `client` may relay requests: ready ones that reach back
    /// ends, at most `MAX_NEAR_PEERS` of its region and `MAX_FAR_PEERS` of other ones. Each
    /// client gets its own subset, so that all daemons are in equally many.
    pub fn relay_peers(&self, client: &EdgeRecord) -> Vec<RelayPeer> {
        let client_hash = hash_of(&client.name);
        let is_candidate = |entry: &&Entry| {
            entry.record.phase == EdgePhase::Ready
                && entry.relay.is_some()
                && !entry.is_partitioned
                && entry.record.name != client.name
        };
        let (mut near, mut far): (Vec<&Entry>, Vec<&Entry>) = self
            .edges
            .values()
            .filter(is_candidate)
            .partition(|entry| entry.record.region == client.region);
        for (entries, most) in [(&mut near, MAX_NEAR_PEERS), (&mut far, MAX_FAR_PEERS)] {
            entries.sort_by_cached_key(|entry| combine(client_hash, hash_of(&entry.record.name)));
            entries.truncate(most);
        }
        near.append(&mut far);
        near.into_iter().filter_map(Entry::relay_peer).collect()
    }

    /// Returns at most `max_answers` addresses for a client: the ready daemons of its region,
    /// those of its zone first; if there are none, all ready ones. Daemons that are partitioned
    /// from all back ends are left out if there are others in the region. If they exceed
    /// `max_answers`, the client gets its own subset of them, see [`sort_for_subset`].
    /// Daemons whose link utilization is above the mean are left out of some answers.
    /// `draw` returns random numbers in `0.0..1.0`.
    pub fn resolve(
        &self,
        now: Millis,
        client: &LookupClient<'_>,
        max_answers: usize,
        mut draw: impl FnMut() -> f64,
    ) -> Vec<SocketAddr> {
        let ready = self.ready(now);
        let mut nearest: Vec<Candidate<'_>> = ready
            .iter()
            .copied()
            .filter(|candidate| candidate.record.region == *client.region)
            .collect();
        if nearest.is_empty() {
            nearest = ready;
        }
        if nearest.iter().any(|candidate| !candidate.is_partitioned) {
            nearest.retain(|candidate| !candidate.is_partitioned);
        }
        if nearest.len() > max_answers {
            sort_for_subset(&mut nearest, client);
        } else {
            nearest.sort_by_key(|candidate| candidate.record.zone != *client.zone);
        }
        let mean = mean_link_use(&nearest);
        let mut addresses: Vec<SocketAddr> = Vec::new();
        let mut left_out: Vec<SocketAddr> = Vec::new();
        for candidate in nearest {
            let address = candidate.record.address;
            if addresses.contains(&address) || addresses.len() >= max_answers {
                continue;
            }
            if draw() < candidate.skip_probability(mean) {
                left_out.push(address);
            } else {
                addresses.push(address);
            }
        }
        if addresses.is_empty() {
            return left_out;
        }
        addresses
    }

    /// Returns the daemons that accept requests: those connected with control, and suspects
    /// that other daemons reach.
    fn ready(&self, now: Millis) -> Vec<Candidate<'_>> {
        let connected = self.edges.values().map(|entry| Candidate {
            record: &entry.record,
            link_use: entry.link_use,
            is_partitioned: entry.is_partitioned,
        });
        let reachable = self.suspects.values().filter_map(|suspect| {
            (now < suspect.reachable_until).then_some(Candidate {
                record: &suspect.record,
                link_use: None,
                is_partitioned: false,
            })
        });
        connected
            .chain(reachable)
            .filter(|candidate| candidate.record.phase == EdgePhase::Ready)
            .collect()
    }
}

/// Sorts daemons of which an answer can only hold the first ones: in a pseudo-random order
/// that is specific to the client (rendezvous hashing by Thaler and Ravishankar, 1998), so
/// that all daemons are in equally many answers. The order of a client does not change, so
/// that it can keep its connections, and a daemon that starts or stops changes one address.
fn sort_for_subset(candidates: &mut [Candidate<'_>], client: &LookupClient<'_>) {
    let client_hash = hash_of(&client.address.to_string());
    candidates
        .sort_by_cached_key(|candidate| combine(client_hash, hash_of(&candidate.record.name)));
}

/// An entry daemon that a look-up may return.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    record: &'a EdgeRecord,
    link_use: Option<LinkUse>,
    is_partitioned: bool,
}

impl Candidate<'_> {
    /// Returns the fraction of answers that leave this daemon out, so that link utilization
    /// is balanced.
    fn skip_probability(&self, mean: f64) -> f64 {
        match self.link_use.map(f64::from) {
            Some(link_use) if link_use > mean.max(MIN_BALANCED_LINK_USE) => {
                BALANCING_GAIN * (link_use - mean) / link_use
            }
            _ => 0.0,
        }
    }
}

/// Returns the mean link utilization of the candidates for which it is known.
fn mean_link_use(candidates: &[Candidate<'_>]) -> f64 {
    let known: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| candidate.link_use.map(f64::from))
        .collect();
    known.iter().sum::<f64>() / known.len().max(1) as f64
}
