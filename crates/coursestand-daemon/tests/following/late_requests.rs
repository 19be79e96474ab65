//! Guards against answers that come long after the time-out of their route because requests
//! wait in the queue of a narrow link in front of the daemon, for example behind a large
//! change of the catalog. A daemon that counts the time-out of 1,000 ms from when it reads a
//! request sends the 504 for a request that waited 555 ms 555 ms late.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::{Patch, RouteKind};
use coursestand_daemon::fleet::edge_service::FleetEdge;
use coursestand_dialect::Native;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_kernel::{Health, MonotonicClock, Registry, Service};
use coursestand_lab::items;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::fleet::{BalanceSettings, FleetBounds, FleetEdgeSettings, FleetSettings};
use coursestand_model::{BackendId, RegionId, ServiceId, Span, ZoneId};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::daemon::{addresses, start_controls, time_until};
use crate::narrow_link::NarrowLink;
use crate::scripted_control::{FIRST_CHANGE, ScriptedControl};

/// A link of 2 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 250_000.0;
const DELAY: Duration = Duration::from_millis(20);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Half of the requests that are unanswered at their time-out must be answered within this
/// time after it.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Size of a request on the link.
const REQUEST_BYTES: usize = 300;
/// Size and interval of the bursts of cross traffic, which together use the whole link.
const CROSS_TRAFFIC_BYTES: usize = 5_000;
const CROSS_TRAFFIC_INTERVAL: Duration = Duration::from_millis(20);
const REQUESTS: usize = 32;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Warm-up requests, each on a connection that is then pooled: new connections to the back
/// end would not pass the emulated link.
const WARM_UP_REQUESTS: usize = 60;
const WARM_UP_LATENCY: Duration = Duration::from_millis(400);
/// Time within which the daemon detects the queueing delay from the answers of control.
const QUEUE_DETECTED_AFTER: Duration = Duration::from_millis(600);

/// An entry daemon, its back end and its control processes; callers and control share the
/// link to the daemon.
struct Deployment {
    front: SocketAddr,
    link: Arc<NarrowLink>,
    backend: ScriptedBackend,
    edge: FleetEdge,
    _controls: Vec<ScriptedControl>,
    _seeds: watch::Sender<Vec<SocketAddr>>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn settings(front: SocketAddr) -> FleetSettings {
    FleetSettings {
        name: "edge".to_owned(),
        zone: ZoneId::from("z-1"),
        region: RegionId::from("z"),
        zones: [(ZoneId::from("z-1"), RegionId::from("z"))].into(),
        ip: front.ip(),
        listen_ip: None,
        internal_ports: (0, 0),
        seeds: Vec::new(),
        bootstrap: false,
        admin_listen: free_address(),
        log_level: "info".to_owned(),
        control: None,
        edge: Some(FleetEdgeSettings {
            listen: front,
            ready_listen: free_address(),
        }),
        link_mbps: None,
        memory_mb: None,
        bounds: FleetBounds {
            lost_disks: 2,
            heartbeat: Span(1_500),
            stop: Span(4_000),
            lookup_ttl: Span(5_000),
            retry_ratio: 0.2,
            retry_extra: 64.0,
            retry_window: Span(10_000),
            cold_overage: 1.5,
            cold_slack: 5.0,
        },
        balance: BalanceSettings::default(),
    }
}

fn backend_update(address: SocketAddr) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from("i"),
            born: None,
            service: ServiceId::from("s"),
            address,
            zone: ZoneId::from("z-1"),
            // Never full, so that only the link limits the load.
            capacity: 10_000,
            software: "v1".to_owned(),
            sequence: 1,
            phase: InstancePhase::Ready,
        },
        cold_ms: 0,
    }
}

fn once_route() -> Patch {
    let timeout_ms = ROUTE_TIMEOUT.as_millis() as u64;
    let route = items::route("once", "s", RouteKind::Once, timeout_ms);
    Patch {
        upserts: vec![items::route_item("once", FIRST_CHANGE + 1, route)],
        removals: Vec::new(),
    }
}

/// Starts a daemon with pooled connections to a back end that answers no further requests.
async fn deployment() -> Deployment {
    let controls = start_controls(DELAY).await;
    let link = Arc::new(NarrowLink::new(LINK_BYTES_PER_SECOND));
    let warm_up = vec![Behaviour::Slow(WARM_UP_LATENCY); WARM_UP_REQUESTS];
    let backend = ScriptedBackend::start(warm_up, Behaviour::NeverAnswer).await;
    let backend = backend.expect("a back end");
    for control in &controls {
        control.set_link(&link);
        control.apply_patch(&once_route(), FIRST_CHANGE + 1);
    }
    let front = free_address();
    let (seeds, seeds_receiver) = watch::channel(addresses(&controls));
    let edge = FleetEdge::new(
        settings(front),
        Arc::new(Native),
        MonotonicClock::default(),
        seeds_receiver,
    );
    let registry = Arc::new(Registry::default());
    edge.start(&registry).await.expect("the daemon starts");
    time_until("the daemon is ready", || edge.health() == Health::Ready).await;
    for control in &controls {
        control.send_backend_update(backend_update(backend.address()));
    }
    time_until("the daemon has the back end", || {
        let dump = edge.dump();
        let backends = dump["backends"].as_array();
        backends.is_some_and(|backends| !backends.is_empty())
    })
    .await;
    let deployment = Deployment {
        front,
        link,
        backend,
        edge,
        _controls: controls,
        _seeds: seeds,
    };
    deployment.warm_up().await;
    deployment
}

struct RequestOutcome {
    id: String,
    status: u16,
    head: String,
    elapsed: Duration,
}

async fn request(front: SocketAddr, link: Arc<NarrowLink>, id: String) -> RequestOutcome {
    let started = Instant::now();
    link.pass(REQUEST_BYTES).await;
    let mut stream = TcpStream::connect(front).await.expect("connected");
    let names = coursestand_proxy::HeaderNames::default();
    let request = format!(
        "POST /once/ HTTP/1.1\r\nhost: {}\r\n{}: {id}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        items::HOST,
        names.request_id
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    let head = String::from_utf8_lossy(&answer).to_lowercase();
    RequestOutcome {
        id,
        status: head[9..12].parse().expect("a status"),
        head,
        elapsed: started.elapsed(),
    }
}

impl Deployment {
    fn spawn_request(&self, id: String) -> tokio::task::JoinHandle<RequestOutcome> {
        tokio::spawn(request(self.front, Arc::clone(&self.link), id))
    }

    async fn warm_up(&self) {
        let tasks: Vec<_> = (0..WARM_UP_REQUESTS)
            .map(|number| self.spawn_request(format!("first-{number}")))
            .collect();
        for task in tasks {
            assert_eq!(task.await.expect("no panic").status, 200);
        }
    }

    /// Fills the link's queue, so that everything on it is delayed by this time.
    fn fill_queue(&self, delay: Duration) {
        let link = Arc::clone(&self.link);
        tokio::spawn(async move {
            let bytes = (delay.as_secs_f64() * LINK_BYTES_PER_SECOND) as usize;
            tokio::spawn(pass(Arc::clone(&link), bytes));
            loop {
                tokio::time::sleep(CROSS_TRAFFIC_INTERVAL).await;
                tokio::spawn(pass(Arc::clone(&link), CROSS_TRAFFIC_BYTES));
            }
        });
    }

    async fn request_regularly(&self, count: usize) -> Vec<RequestOutcome> {
        let mut tasks = Vec::new();
        for number in 0..count {
            tasks.push(self.spawn_request(format!("r-{number}")));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        let mut outcomes = Vec::new();
        for task in tasks {
            outcomes.push(task.await.expect("no panic"));
        }
        outcomes
    }

    fn has_run(&self, id: &str) -> bool {
        self.backend.runs().iter().any(|run| run.id == id)
    }
}

async fn pass(link: Arc<NarrowLink>, bytes: usize) {
    link.pass(bytes).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_delayed_by_the_link_are_not_answered_long_after_their_timeout() {
    let deployment = deployment().await;
    deployment.fill_queue(Duration::from_millis(600));
    let outcomes = deployment.request_regularly(REQUESTS).await;
    let unanswered = |after: Duration| {
        outcomes
            .iter()
            .filter(|outcome| outcome.elapsed > after)
            .count()
    };
    let at_timeout = unanswered(ROUTE_TIMEOUT);
    let after_grace = unanswered(ROUTE_TIMEOUT + ANSWER_GRACE);
    expect_that!(at_timeout, gt(REQUESTS / 2));
    expect_that!(after_grace * 2, le(at_timeout));
    deployment.edge.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_timeout_expired_before_it_was_read_is_refused_at_once() {
    let deployment = deployment().await;
    let delay = Duration::from_millis(1_300);
    deployment.fill_queue(delay);
    tokio::time::sleep(QUEUE_DETECTED_AFTER).await;
    let outcomes = deployment.request_regularly(8).await;
    for outcome in outcomes {
        expect_that!(outcome.status, eq(503), "{}", outcome.id);
        expect_that!(
            outcome.head,
            contains_substring("retry-after"),
            "{}",
            outcome.id
        );
        expect_that!(
            outcome.elapsed,
            lt(delay + Duration::from_millis(300)),
            "{}",
            outcome.id
        );
        expect_that!(deployment.has_run(&outcome.id), eq(false), "{}", outcome.id);
    }
    deployment.edge.stop().await;
}
