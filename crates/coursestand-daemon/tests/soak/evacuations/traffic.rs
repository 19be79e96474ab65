//! Back ends in each zone, and callers that use each entry daemon at a steady rate.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coursestand_discovery::{InstancePhase, InstanceUpdate};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::{ServiceId, ZoneId};
use rand::seq::SliceRandom;
use tokio::task::JoinHandle;

use super::{CONTROLS, SERVICE, ZONES};
use crate::deployment::{Deployment, heartbeat_of};
use crate::heartbeats;

const BACKENDS_PER_ZONE: usize = 2;
/// Time between two requests to all daemons together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(27);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
const WORK_TIME: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const OBJECTS: u64 = 60;

/// A request that reached a back end.
#[derive(Clone, Debug)]
pub struct ZoneArrival {
    pub zone: &'static str,
    /// The entry daemon that its caller used.
    pub edge: u8,
    pub at: Instant,
    pub id: String,
}

struct ZoneBackend {
    zone: &'static str,
    backend: ScriptedBackend,
}

/// Back ends, callers and heartbeats.
pub struct Traffic {
    backends: Arc<Vec<ZoneBackend>>,
    edges: Vec<u8>,
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Traffic {
    pub async fn start(deployment: &Deployment, edges: &[u8]) -> Traffic {
        let mut backends = Vec::new();
        for zone in ZONES {
            for _ in 0..BACKENDS_PER_ZONE {
                let started = ScriptedBackend::start(Vec::new(), Behaviour::Slow(WORK_TIME)).await;
                let backend = started.expect("a back end");
                backends.push(ZoneBackend { zone, backend });
            }
        }
        let is_over = Arc::new(AtomicBool::new(false));
        let urls = CONTROLS.map(|host| deployment.control_url(host));
        let mut tasks = Vec::new();
        for (number, backend) in backends.iter().enumerate() {
            let update = heartbeat(number, backend);
            let beating = send_heartbeats(Arc::clone(&is_over), urls.to_vec(), update);
            tasks.push(tokio::spawn(beating));
        }
        let interval = REQUEST_INTERVAL * edges.len() as u32;
        for edge in edges {
            let front = deployment.front(*edge);
            let calling = call(Arc::clone(&is_over), front, *edge, interval);
            tasks.push(tokio::spawn(calling));
        }
        Traffic {
            edges: edges.to_vec(),
            backends: Arc::new(backends),
            is_over,
            tasks,
        }
    }

    /// Returns all requests that reached back ends so far.
    fn arrivals(&self) -> Vec<ZoneArrival> {
        let backends = self.backends.iter();
        let arrivals = backends.flat_map(|ZoneBackend { zone, backend }| {
            let arrivals = backend.recorded_arrivals().into_iter();
            arrivals.filter_map(move |arrival| {
                Some(ZoneArrival {
                    zone,
                    edge: edge_of(&arrival.id)?,
                    at: arrival.at,
                    id: arrival.id,
                })
            })
        });
        arrivals.collect()
    }

    pub fn has_reached_each_zone_through_each_daemon(&self) -> bool {
        let reached: BTreeSet<(u8, &str)> = self
            .arrivals()
            .iter()
            .map(|arrival| (arrival.edge, arrival.zone))
            .collect();
        reached.len() == self.edges.len() * ZONES.len()
    }

    /// Ends the traffic and returns all requests that reached back ends.
    pub async fn finish(self) -> Vec<ZoneArrival> {
        self.is_over.store(true, Ordering::Relaxed);
        let arrivals = self.arrivals();
        for task in self.tasks {
            task.await.expect("no panic in the traffic");
        }
        arrivals
    }
}

fn heartbeat(number: usize, backend: &ZoneBackend) -> InstanceUpdate {
    let id = format!("zoned-{number}");
    let address = backend.backend.address();
    let mut update = heartbeat_of(&id, address, 0, InstancePhase::Ready);
    update.instance.service = ServiceId::from(SERVICE);
    update.instance.zone = ZoneId::from(backend.zone);
    update
}

async fn send_heartbeats(
    is_over: Arc<AtomicBool>,
    mut urls: Vec<String>,
    mut update: InstanceUpdate,
) {
    let http = reqwest::Client::builder()
        .timeout(HEARTBEAT_TIMEOUT)
        .build()
        .expect("a client");
    while !is_over.load(Ordering::Relaxed) {
        update.instance.sequence += 1;
        urls.shuffle(&mut rand::rng());
        heartbeats::deliver(&http, &urls, &update).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends requests to one daemon at a steady rate, over open connections as long as they last.
async fn call(is_over: Arc<AtomicBool>, front: SocketAddr, edge: u8, interval: Duration) {
    let client = reqwest::Client::builder()
        .timeout(REQUEST_TIMEOUT)
        .build()
        .expect("a client");
    let mut interval = tokio::time::interval(interval);
    for number in 0_u64.. {
        interval.tick().await;
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let request = client
            .get(format!("http://{front}/{SERVICE}/{number}"))
            .header("host", "h.example")
            .header("x-request-id", request_id(edge, number))
            .header("x-object-key", (number % OBJECTS).to_string());
        tokio::spawn(async move {
            // The daemon may be down.
            let _ = request.send().await;
        });
    }
}

fn request_id(edge: u8, number: u64) -> String {
    format!("zoned-{edge}-{number}")
}

/// Returns the daemon to which a request was sent, by the request's identity.
fn edge_of(id: &str) -> Option<u8> {
    let rest = id.strip_prefix("zoned-")?;
    rest.split('-').next()?.parse().ok()
}
