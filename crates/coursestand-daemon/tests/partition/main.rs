//! Entry daemons are partitioned from all back ends, while callers, control and the other
//! daemons still reach them. Real processes; the partition is injected in front of the back
//! ends.
#![allow(missing_docs)]

#[path = "../fleet/deployment.rs"]
#[allow(dead_code)]
mod deployment;
#[path = "../soak/processes.rs"]
#[allow(dead_code)]
mod processes;

mod callers;
mod network;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use callers::{Answered, Answers, call_daemon};
use coursestand_catalog::{Patch, RouteKind};
use coursestand_discovery::InstancePhase;
use coursestand_lab::items;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use deployment::{Deployment, TEST_TIMEOUT, heartbeat_of};
use googletest::prelude::*;
use network::{Partition, PartitionableRelay, Shape};
use processes::Processes;
use tokio::sync::{Mutex, watch};

const CONTROLS: [u8; 3] = [1, 2, 3];
const EDGES: [u8; 6] = [11, 12, 13, 14, 15, 16];
const BACKENDS: usize = 8;
const WORK: Duration = Duration::from_millis(40);
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Time of normal service before the partition.
const BEFORE: Duration = Duration::from_secs(3);
/// Duration of the partition.
const PARTITIONED: Duration = Duration::from_secs(7);
/// Time after the start of a partition from which requests have to be served.
const DETECTION: Duration = Duration::from_secs(1);
/// Time after the end of the partition until normal service.
const RETURN: Duration = Duration::from_secs(3);
/// Time of normal service that is checked after that.
const AFTER: Duration = Duration::from_secs(2);
/// Required ratio of the served share at partitioned daemons to that at the others.
const MIN_SERVED_RATIO: f64 = 0.98;
/// Allowed increase of the median time to the answer: one trip to the other daemon, which is
/// negligible on loopback, and 10 ms.
const MAX_ADDED_MEDIAN: Duration = Duration::from_millis(10);
/// Statuses which guarantee that the request was not run and will not be run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A deployment of real processes whose daemons can be partitioned from the back ends.
struct System {
    /// Dropped before `deployment`, which releases the network.
    _processes: Processes,
    deployment: Deployment,
    partition: watch::Sender<Partition>,
    backends: Vec<ScriptedBackend>,
    _relays: Vec<PartitionableRelay>,
}

fn initial_items() -> Patch {
    let route = |name: &str, kind| {
        let route = items::route(name, "s", kind, 2_000);
        items::route_item(name, 1, route)
    };
    Patch {
        upserts: vec![
            items::service("s"),
            items::limits(),
            route("safe", RouteKind::Repeatable),
            route("once", RouteKind::Once),
        ],
        removals: Vec::new(),
    }
}

async fn send_heartbeats(urls: Vec<String>, addresses: Vec<SocketAddr>) {
    let http = reqwest::Client::new();
    for sequence in 1.. {
        for (number, address) in addresses.iter().enumerate() {
            let id = format!("backend-{number}");
            let heartbeat = heartbeat_of(&id, *address, sequence, InstancePhase::Ready);
            let body = serde_json::to_string(&heartbeat).expect("JSON");
            let url = &urls[number % urls.len()];
            let sent = http.post(format!("{url}/v1/backends/{id}")).body(body);
            // Sent again with the next round.
            let _ = sent.send().await;
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

impl System {
    async fn start() -> System {
        let mut deployment = Deployment::new(&CONTROLS);
        if std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() {
            deployment.folder.disable_cleanup(true);
            println!("logs in {}", deployment.folder.path().display());
        }
        let mut processes = Processes::new(&deployment.data_folder(0));
        for host in CONTROLS {
            processes.start(host, &deployment.control_settings(host, true));
        }
        for host in EDGES {
            processes.start(host, &deployment.edge_settings(host));
        }
        let ids = EDGES.map(|host| (processes.id(host), host));
        let (_, daemons) = watch::channel(BTreeMap::from(ids));
        let partition = watch::Sender::new(Partition::none());
        let status = deployment.patch(&CONTROLS, &initial_items()).await;
        assert_eq!(status, 200, "the initial items are rejected");
        let mut backends = Vec::new();
        let mut relays = Vec::new();
        for _ in 0..BACKENDS {
            let backend = ScriptedBackend::start(Vec::new(), Behaviour::Slow(WORK))
                .await
                .expect("a back end");
            let relay = PartitionableRelay::start(
                backend.address(),
                daemons.clone(),
                partition.subscribe(),
            );
            relays.push(relay.await);
            backends.push(backend);
        }
        let addresses = relays.iter().map(PartitionableRelay::address).collect();
        let urls = CONTROLS.map(|host| deployment.control_url(host));
        tokio::spawn(send_heartbeats(urls.to_vec(), addresses));
        let system = System {
            _processes: processes,
            deployment,
            partition,
            backends,
            _relays: relays,
        };
        system.wait_for_service().await;
        system
    }

    async fn wait_for_service(&self) {
        let started = Instant::now();
        for host in EDGES {
            while self.deployment.request(host, "/safe/0", "probe").await != 200 {
                assert!(started.elapsed() < TEST_TIMEOUT, "{host} does not serve");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    fn start_partition(&self, shape: Shape, hosts: &[u8]) {
        let hosts = hosts.iter().copied().collect();
        self.partition.send_replace(Partition { shape, hosts });
    }

    /// Returns how often each request was run.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for run in self.backends.iter().flat_map(ScriptedBackend::runs) {
            *runs.entry(run.id).or_default() += 1;
        }
        runs
    }
}

/// The requests of a period that were sent to a group of daemons.
struct Served {
    served: usize,
    all: usize,
    median: Duration,
    statuses: BTreeMap<u16, usize>,
}

impl Served {
    fn of<'a>(answers: impl Iterator<Item = &'a Answered>) -> Served {
        let answers: Vec<&Answered> = answers.collect();
        let mut times: Vec<Duration> = answers.iter().map(|answer| answer.took).collect();
        times.sort();
        let mut statuses = BTreeMap::new();
        for answer in &answers {
            *statuses.entry(answer.status).or_default() += 1;
        }
        Served {
            served: answers.iter().filter(|answer| answer.status == 200).count(),
            all: answers.len(),
            median: times.get(times.len() / 2).copied().unwrap_or_default(),
            statuses,
        }
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

/// Held by the running test: the tests measure times, and each takes much of a small machine.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Partitions `partitioned` daemons and checks what the callers of all daemons and the back ends
/// observe.
async fn check_partition(shape: Shape, partitioned: &[u8]) {
    let _running = RUNNING.lock().await;
    let system = System::start().await;
    let answers = Answers::default();
    let starts_at = Instant::now() + BEFORE;
    let ends_at = starts_at + PARTITIONED;
    let returned_at = ends_at + RETURN;
    let last = returned_at + AFTER;
    let callers: Vec<_> = EDGES
        .iter()
        .map(|host| {
            let front = system.deployment.front(*host);
            tokio::spawn(call_daemon(*host, front, last, answers.clone()))
        })
        .collect();
    tokio::time::sleep_until(starts_at.into()).await;
    system.start_partition(shape, partitioned);
    tokio::time::sleep_until(ends_at.into()).await;
    system.partition.send_replace(Partition::none());
    for caller in callers {
        caller.await.expect("no panic in the callers");
    }
    let answers = answers.all();
    let served = |is_partitioned: bool, from: Instant, until: Instant| {
        Served::of(answers.iter().filter(|answer| {
            let is_in_period = from <= answer.sent_at && answer.sent_at < until;
            is_in_period && partitioned.contains(&answer.host) == is_partitioned
        }))
    };
    let during = served(true, starts_at + DETECTION, ends_at);
    let others = served(false, starts_at + DETECTION, ends_at);
    let detecting = served(true, starts_at, starts_at + DETECTION);
    let after = served(true, returned_at, last);
    println!(
        "{shape:?}, {} of {} daemons: {} of {} served at the partitioned ones ({:?}), {} of {} at the \
         others; first second {} of {}; median {:?} and {:?}; after it {} of {}",
        partitioned.len(),
        EDGES.len(),
        during.served,
        during.all,
        during.statuses,
        others.served,
        others.all,
        detecting.served,
        detecting.all,
        during.median,
        others.median,
        after.served,
        after.all,
    );
    expect_that!(during.share(), ge(MIN_SERVED_RATIO * others.share()));
    expect_that!(others.share(), ge(MIN_SERVED_RATIO));
    expect_that!(during.median, le(others.median + MAX_ADDED_MEDIAN));
    expect_that!(after.share(), ge(MIN_SERVED_RATIO));
    check_runs(&system.runs(), &answers);
}

/// Checks that no request that may run once ran twice, and that refused requests did not run.
fn check_runs(runs: &BTreeMap<String, usize>, answers: &[Answered]) {
    let twice: Vec<_> = runs
        .iter()
        .filter(|(id, count)| id.starts_with("once") && **count > 1)
        .collect();
    expect_that!(twice, is_empty());
    let refused_and_run: Vec<&Answered> = answers
        .iter()
        .filter(|answer| NOT_RUN_STATUSES.contains(&answer.status))
        .filter(|answer| runs.contains_key(&answer.id))
        .collect();
    expect_that!(refused_and_run, is_empty());
}

/// Guards against callers that are refused at daemons whose connections to all back ends are
/// reset, while the other daemons serve theirs.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_whose_connections_are_reset_serve_their_callers() {
    check_partition(Shape::Reset, &EDGES[..3]).await;
}

/// Guards against callers that wait for their deadline at daemons whose connections to all back
/// ends have fallen silent.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_whose_connections_are_silent_serve_their_callers() {
    check_partition(Shape::Silent, &EDGES[..3]).await;
}

/// Guards against callers that are refused at daemons that can't open new connections to back
/// ends, and need more than they have open.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_that_can_open_no_connection_serve_their_callers() {
    check_partition(Shape::OnlyNewReset, &EDGES[..3]).await;
}

/// Guards against daemons that rely on a particular other daemon, which may be partitioned too.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_daemon_that_reaches_the_back_ends_serves_for_all() {
    check_partition(Shape::Reset, &EDGES[..5]).await;
}
