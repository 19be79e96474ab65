//! The daemons that requests may be relayed to, and the choice among them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_discovery::RelayPeer;
use coursestand_model::{RegionId, ServiceId};
use rand::seq::IndexedRandom;
use tokio::time::Instant;

/// First and longest time for which a daemon that could not be reached, or that could not serve a
/// service, gets no further requests.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_millis(4_000);

/// Why no daemon was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChoice {
    /// None is known that may serve the request, or it was relayed to all of them.
    NoPeer,
    /// None of the known ones can serve the service at present either.
    UnableToo,
}

/// A time without requests, which grows while they would fail.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    length: Duration,
}

impl Pause {
    /// Returns the pause that follows `previous`.
    fn after(previous: Option<&Pause>, now: Instant) -> Pause {
        let length = previous.map_or(FIRST_PAUSE, |pause| (pause.length * 2).min(MAX_PAUSE));
        Pause {
            until: now + length,
            length,
        }
    }

    fn is_active(&self, now: Instant) -> bool {
        now < self.until
    }
}

#[derive(Default)]
struct Known {
    /// By control process that named them.
    peers: HashMap<SocketAddr, Vec<RelayPeer>>,
    /// Daemons that could not be reached.
    unreachable: HashMap<String, Pause>,
    /// Daemons that could not serve a service.
    unable: HashMap<(String, ServiceId), Pause>,
    /// Services that no known daemon could serve.
    services: HashMap<ServiceId, Pause>,
    outstanding: HashMap<String, usize>,
}

/// The daemons that requests may be relayed to.
#[derive(Default)]
pub struct RelayPeers(Mutex<Known>);

/// A relayed request in flight; counts towards the load of the daemon until it is dropped.
pub struct OutstandingRelay {
    peers: Arc<RelayPeers>,
    name: String,
}

impl Drop for OutstandingRelay {
    fn drop(&mut self) {
        let mut known = self.peers.known();
        if let Some(count) = known.outstanding.get_mut(&self.name) {
            *count = count.saturating_sub(1);
        }
    }
}

impl RelayPeers {
    fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the daemons that `control` named.
    pub fn set(&self, control: SocketAddr, peers: Vec<RelayPeer>) {
        self.known().peers.insert(control, peers);
    }

    /// Returns the number of known daemons.
    pub fn count(&self) -> usize {
        self.known().by_name().len()
    }

    /// Returns whether one of the known daemons is in `region`.
    pub fn are_near(&self, region: &RegionId) -> bool {
        let known = self.known();
        let mut peers = known.by_name().into_values();
        peers.any(|peer| peer.region == *region)
    }

    /// Chooses a daemon for a request of `service`: one in `region` if there is one, and of two
    /// random ones the less loaded. `allowed` are the regions that may serve the request, empty
    /// for all; `tried` the daemons that the request was relayed to before.
    pub fn choose(
        &self,
        service: &ServiceId,
        region: &RegionId,
        allowed: &[RegionId],
        tried: &[String],
    ) -> Result<RelayPeer, PeerChoice> {
        let now = Instant::now();
        let mut known = self.known();
        if known
            .services
            .get(service)
            .is_some_and(|pause| pause.is_active(now))
        {
            return Err(PeerChoice::UnableToo);
        }
        let peers: Vec<RelayPeer> = known
            .by_name()
            .into_values()
            .filter(|peer| allowed.is_empty() || allowed.contains(&peer.region))
            .cloned()
            .collect();
        if peers.is_empty() {
            return Err(PeerChoice::NoPeer);
        }
        let mut usable: Vec<&RelayPeer> = peers
            .iter()
            .filter(|peer| known.is_usable(now, peer, service))
            .collect();
        if usable.is_empty() {
            let pause = Pause::after(known.services.get(service), now);
            known.services.insert(service.clone(), pause);
            return Err(PeerChoice::UnableToo);
        }
        usable.retain(|peer| !tried.contains(&peer.name));
        if usable.is_empty() {
            return Err(PeerChoice::NoPeer);
        }
        let near: Vec<&RelayPeer> = usable
            .iter()
            .copied()
            .filter(|peer| peer.region == *region)
            .collect();
        let candidates = if near.is_empty() { usable } else { near };
        let pair: Vec<&&RelayPeer> = candidates.sample(&mut rand::rng(), 2).collect();
        let least = pair
            .into_iter()
            .min_by(|left, right| known.load_of(left).total_cmp(&known.load_of(right)));
        least
            .map(|peer| (*peer).clone())
            .ok_or(PeerChoice::UnableToo)
    }

    /// Counts a request that is relayed to a daemon.
    pub fn start(peers: &Arc<RelayPeers>, name: &str) -> OutstandingRelay {
        *peers
            .known()
            .outstanding
            .entry(name.to_owned())
            .or_default() += 1;
        OutstandingRelay {
            peers: Arc::clone(peers),
            name: name.to_owned(),
        }
    }

    /// Records that a daemon handled a request of `service`.
    pub fn note_able(&self, name: &str, service: &ServiceId) {
        let mut known = self.known();
        known.services.remove(service);
        known.unreachable.remove(name);
        known.unable.remove(&(name.to_owned(), service.clone()));
    }

    /// Records that a daemon could not be reached, or could not handle any request.
    pub fn note_unreachable(&self, name: &str) {
        let mut known = self.known();
        let pause = Pause::after(known.unreachable.get(name), Instant::now());
        known.unreachable.insert(name.to_owned(), pause);
    }

    /// Records that a daemon reaches no back end of `service` either.
    pub fn note_unable(&self, name: &str, service: &ServiceId) {
        let mut known = self.known();
        let key = (name.to_owned(), service.clone());
        let pause = Pause::after(known.unable.get(&key), Instant::now());
        known.unable.insert(key, pause);
    }
}

impl Known {
    fn by_name(&self) -> BTreeMap<&str, &RelayPeer> {
        let peers = self.peers.values().flatten();
        peers.map(|peer| (peer.name.as_str(), peer)).collect()
    }

    fn is_usable(&self, now: Instant, peer: &RelayPeer, service: &ServiceId) -> bool {
        let unreachable = self.unreachable.get(&peer.name);
        let unable = self.unable.get(&(peer.name.clone(), service.clone()));
        let mut pauses = unreachable.into_iter().chain(unable);
        pauses.all(|pause| !pause.is_active(now))
    }

    /// Returns the requests in flight over the free part of the daemon's link.
    fn load_of(&self, peer: &RelayPeer) -> f64 {
        let outstanding = self.outstanding.get(&peer.name).copied().unwrap_or(0) as f64;
        let free = 1.0 - f64::from(peer.link_use.unwrap_or(0).min(95)) / 100.0;
        (outstanding + 1.0) / free
    }
}
