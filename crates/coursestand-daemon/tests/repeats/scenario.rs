//! Runs scenarios on a deployment of real processes: a steady rate of requests, back ends that
//! fail them, and process faults at given times. Repeats are counted at the back ends.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coursestand_catalog::{Patch, RouteKind};
use coursestand_discovery::InstancePhase;
use coursestand_lab::items;
use coursestand_lab::repeats::{Arrival, RepeatBound, WorstWindow, repeats, worst_window};
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::deployment::{Deployment, TEST_TIMEOUT, heartbeat_of};
use crate::processes::{Processes, Signal};

const CONTROLS: [u8; 3] = [1, 2, 3];
const FIRST_EDGE: u8 = 11;
/// Disks that may be lost at the same time in a group of three.
const LOST_DISKS: usize = 1;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time within which heartbeats of all back ends arrive.
const HEARTBEATS_RECEIVED_AFTER: Duration = Duration::from_millis(1_500);
/// Time within which a resumed back end has read the buffered requests.
const DRAINED_AFTER: Duration = Duration::from_millis(1_500);
/// Time-out of the callers, longer than that of the route.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);
const ROUTE_TIMEOUT_MS: u64 = 2_000;
/// Requests in a back end's script; it answers all later requests with 200.
const SCRIPT_LENGTH: usize = 2_000;

/// How back ends handle requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendBehaviour {
    /// Run each request, and answer 503 without the proof that it was not run.
    Fail,
    /// Lose this percentage of the answers.
    Lose(u32),
    /// Crash on the fatal request, which is one of this many requests.
    CrashOnOneOf(usize),
    /// Answer with 200; this many back ends report a rate limit in each answer.
    ReportLimit(usize),
}

/// The rate limit that those back ends report, in requests a second.
pub const LIMIT_PER_SECOND: f64 = 5.0;
const LIMITED_ANSWER: Behaviour = Behaviour::AnswerWithHeaders(200, "x-rate-limit: 5.0\r\n");

/// Path of the request that crashes back ends.
const FATAL_PATH: &str = "/safe/deadly";

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Kills and restarts all entry daemons.
    KillDaemons,
    /// Kills and restarts the entry daemon with this number.
    KillDaemon(u8),
    /// Starts the entry daemon with this number, which has not run before.
    StartDaemon(u8),
    /// Suspends all entry daemons with SIGSTOP.
    StopDaemons,
    /// Resumes all entry daemons.
    ContinueDaemons,
    /// Kills and restarts all control processes.
    KillControl,
    /// Suspends all control processes but the first with SIGSTOP.
    StopControl,
    /// Resumes the control processes.
    ContinueControl,
    /// Suspends half of the back ends.
    StopBackends,
    /// Resumes the back ends.
    ContinueBackends,
}

/// A deployment, its load and the faults during the run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub daemons: u8,
    /// Number of entry daemons that are started before the first request.
    pub initial_daemons: u8,
    pub backends: usize,
    pub behaviour: BackendBehaviour,
    pub requests_per_second: f64,
    pub seconds: f64,
    /// Events with their times in seconds, sorted by time.
    pub events: Vec<(f64, Event)>,
    /// Fixed part of the bound on repeats.
    pub retry_extra: f64,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent: usize,
    pub served: usize,
    pub repeats: usize,
    pub worst: WorstWindow,
    /// Number of back ends that crashed.
    pub crashed: usize,
    /// When the first request was sent.
    pub started: Instant,
    /// When requests reached each back end.
    pub arrivals: Vec<Vec<Instant>>,
    /// The answers that callers received.
    pub answers: Vec<ReceivedAnswer>,
}

/// An answer that a caller received.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAnswer {
    /// When the request was sent.
    pub sent_at: Instant,
    pub elapsed: Duration,
    /// 0 when there was no answer.
    pub status: u16,
    /// The `retry-after` time of the answer.
    pub retry_after: Option<Duration>,
}

#[derive(Default)]
struct Record {
    sent: Vec<Instant>,
    answers: Vec<ReceivedAnswer>,
}

impl Record {
    fn served(&self) -> usize {
        let served = self.answers.iter().filter(|answer| answer.status == 200);
        served.count()
    }
}

type SharedRecord = Arc<Mutex<Record>>;

fn lock(record: &SharedRecord) -> std::sync::MutexGuard<'_, Record> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

struct RunningSystem {
    processes: Processes,
    deployment: Deployment,
    backends: Vec<ScriptedBackend>,
    retry_extra: f64,
}

impl RunningSystem {
    fn start(&mut self, host: u8, bootstrap: bool) {
        let mut settings = if CONTROLS.contains(&host) {
            self.deployment.control_settings(host, bootstrap)
        } else {
            self.deployment.edge_settings(host)
        };
        settings.bounds.lost_disks = LOST_DISKS;
        settings.bounds.retry_extra = self.retry_extra;
        self.processes.start(host, &settings);
    }

    fn restart(&mut self, hosts: &[u8]) {
        for host in hosts {
            self.processes.kill(*host);
        }
        for host in hosts {
            self.start(*host, false);
        }
    }

    fn signal(&self, hosts: &[u8], signal: Signal) {
        for host in hosts {
            self.processes.signal(*host, signal);
        }
    }

    fn apply(&mut self, event: Event, edges: &[u8]) {
        match event {
            Event::KillDaemons => self.restart(edges),
            Event::KillDaemon(number) => self.restart(&[FIRST_EDGE + number]),
            Event::StartDaemon(number) => self.start(FIRST_EDGE + number, false),
            Event::StopDaemons => self.signal(edges, Signal::Stop),
            Event::ContinueDaemons => self.signal(edges, Signal::Continue),
            Event::KillControl => self.restart(&CONTROLS),
            Event::StopControl => self.signal(&CONTROLS[1..], Signal::Stop),
            Event::ContinueControl => self.signal(&CONTROLS[1..], Signal::Continue),
            Event::StopBackends => {
                let half = self.backends.len() / 2;
                self.backends[..half]
                    .iter()
                    .for_each(ScriptedBackend::suspend);
            }
            Event::ContinueBackends => {
                self.backends.iter().for_each(ScriptedBackend::resume);
            }
        }
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.backends
            .iter()
            .flat_map(ScriptedBackend::recorded_arrivals)
            .collect()
    }
}

fn first_items() -> Patch {
    let route = items::route("safe", "s", RouteKind::Repeatable, ROUTE_TIMEOUT_MS);
    Patch {
        upserts: vec![
            items::service("s"),
            items::limits(),
            items::route_item("safe", 1, route),
        ],
        removals: Vec::new(),
    }
}

fn arrivals_at(backend: &ScriptedBackend) -> Vec<Instant> {
    let arrivals = backend.recorded_arrivals();
    arrivals.into_iter().map(|arrival| arrival.at).collect()
}

async fn start_backend(behaviour: BackendBehaviour, number: usize) -> ScriptedBackend {
    let started = match behaviour {
        BackendBehaviour::Fail => ScriptedBackend::start(vec![], Behaviour::UnprovenRefusal).await,
        BackendBehaviour::Lose(percent) => {
            let mut random = StdRng::seed_from_u64(number as u64);
            let script = (0..SCRIPT_LENGTH).map(|_| match random.random_range(0..100) {
                value if value < percent => Behaviour::CloseWithoutAnswer,
                _ => Behaviour::Answer(200),
            });
            ScriptedBackend::start(script.collect(), Behaviour::Answer(200)).await
        }
        BackendBehaviour::CrashOnOneOf(_) => {
            ScriptedBackend::start(vec![], Behaviour::CrashOn(FATAL_PATH)).await
        }
        BackendBehaviour::ReportLimit(limited) if number < limited => {
            ScriptedBackend::start(vec![], LIMITED_ANSWER).await
        }
        BackendBehaviour::ReportLimit(_) => {
            ScriptedBackend::start(vec![], Behaviour::Answer(200)).await
        }
    };
    started.expect("a back end")
}

/// Returns whether an entry daemon reports that it is ready.
async fn is_ready(deployment: &Deployment, host: u8) -> bool {
    let role = deployment.edge_settings(host).edge.expect("an entry role");
    let url = format!("http://{}/v1/ready", role.ready_listen);
    let answer = deployment.http.get(url).send().await;
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Sends heartbeats of all back ends, each to the next control process in turn.
async fn send_heartbeats(urls: Vec<String>, addresses: Vec<SocketAddr>) {
    let http = reqwest::Client::builder()
        .timeout(Duration::from_millis(300))
        .build()
        .expect("a client");
    for round in 1.. {
        for (number, address) in addresses.iter().enumerate() {
            let id = format!("backend-{number}");
            let heartbeat = heartbeat_of(&id, *address, round as u64, InstancePhase::Ready);
            let body = serde_json::to_string(&heartbeat).expect("JSON");
            for attempt in 0..urls.len() {
                let url = &urls[(round + number + attempt) % urls.len()];
                let url = format!("{url}/v1/backends/{id}");
                let sent = http.post(url).body(body.clone()).send().await;
                if sent.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
            }
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// The load of the callers.
#[derive(Clone, Copy, Debug)]
struct Load {
    per_second: f64,
    behaviour: BackendBehaviour,
}

impl Load {
    fn path(&self, number: usize) -> String {
        match self.behaviour {
            BackendBehaviour::CrashOnOneOf(count) if number.is_multiple_of(count) => {
                FATAL_PATH.to_owned()
            }
            _ => format!("/safe/{number}"),
        }
    }
}

/// Sends requests at a steady rate, each to the next daemon in turn, until `end`.
async fn send_requests(record: SharedRecord, fronts: Vec<SocketAddr>, load: Load, end: Instant) {
    let client = reqwest::Client::builder()
        .timeout(CALLER_TIMEOUT)
        .build()
        .expect("a client");
    let mut requests = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / load.per_second));
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let front = fronts[number % fronts.len()];
        let path = load.path(number);
        let request = send_request(client.clone(), Arc::clone(&record), front, path, number);
        requests.spawn(request);
        while requests.try_join_next().is_some() {}
    }
    requests.join_all().await;
}

async fn send_request(
    client: reqwest::Client,
    record: SharedRecord,
    front: SocketAddr,
    path: String,
    number: usize,
) {
    let sent_at = Instant::now();
    lock(&record).sent.push(sent_at);
    let answer = client
        .get(format!("http://{front}{path}"))
        .header("host", items::HOST)
        .header("x-object-key", path)
        .header("x-request-id", format!("safe-{number}"))
        .send()
        .await;
    let answer = answer.ok();
    let status = answer.as_ref().map(|answer| answer.status().as_u16());
    lock(&record).answers.push(ReceivedAnswer {
        sent_at,
        elapsed: sent_at.elapsed(),
        status: status.unwrap_or_default(),
        retry_after: answer.as_ref().and_then(retry_after_of),
    });
}

fn retry_after_of(answer: &reqwest::Response) -> Option<Duration> {
    let text = answer.headers().get("retry-after")?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs_f64)
}

impl Scenario {
    fn edges(&self) -> Vec<u8> {
        (0..self.daemons)
            .map(|number| FIRST_EDGE + number)
            .collect()
    }

    /// Returns the bound on repeats that results from the settings of the deployment.
    fn bound(&self) -> RepeatBound {
        RepeatBound {
            ratio: 0.2,
            extra: self.retry_extra,
            window: Duration::from_secs(10),
        }
    }

    /// Runs the scenario. Logs are kept if the bound on repeats is exceeded, or if
    /// `COURSESTAND_KEEP_LOGS` is set.
    pub async fn run(&self) -> Outcome {
        let deployment = Deployment::new(&CONTROLS);
        let logs = deployment.data_folder(0);
        let mut system = RunningSystem {
            processes: Processes::new(&logs),
            deployment,
            backends: Vec::new(),
            retry_extra: self.retry_extra,
        };
        let outcome = self.run_in(&mut system).await;
        if outcome.worst.exceeds_bound() || std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() {
            let folder = &mut system.deployment.folder;
            folder.disable_cleanup(true);
            println!("{}: logs in {}", self.name, folder.path().display());
        }
        outcome
    }

    async fn run_in(&self, system: &mut RunningSystem) -> Outcome {
        for host in CONTROLS {
            system.start(host, true);
        }
        let edges = self.edges();
        for host in &edges[..usize::from(self.initial_daemons)] {
            system.start(*host, true);
        }
        let status = system.deployment.patch(&CONTROLS, &first_items()).await;
        assert_eq!(status, 200, "the first items were rejected");
        for number in 0..self.backends {
            system
                .backends
                .push(start_backend(self.behaviour, number).await);
        }
        let urls = CONTROLS.map(|host| system.deployment.control_url(host));
        let addresses = system.backends.iter().map(ScriptedBackend::address);
        let heartbeats = tokio::spawn(send_heartbeats(urls.to_vec(), addresses.collect()));
        self.wait_until_ready(system).await;
        let record = SharedRecord::default();
        let started = Instant::now();
        let end = started + Duration::from_secs_f64(self.seconds);
        let fronts = edges.iter().map(|host| system.deployment.front(*host));
        let callers = tokio::spawn(send_requests(
            Arc::clone(&record),
            fronts.collect(),
            Load {
                per_second: self.requests_per_second,
                behaviour: self.behaviour,
            },
            end,
        ));
        for (seconds, event) in &self.events {
            let due = started + Duration::from_secs_f64(*seconds);
            tokio::time::sleep_until(due.into()).await;
            system.apply(*event, &edges);
        }
        callers.await.expect("no panic in the callers");
        tokio::time::sleep(DRAINED_AFTER).await;
        heartbeats.abort();
        let arrivals = system.arrivals();
        let record = lock(&record);
        Outcome {
            sent: record.sent.len(),
            served: record.served(),
            repeats: repeats(&arrivals).len(),
            worst: worst_window(self.bound(), &arrivals, &record.sent),
            crashed: system
                .backends
                .iter()
                .filter(|backend| backend.has_crashed())
                .count(),
            started,
            arrivals: system.backends.iter().map(arrivals_at).collect(),
            answers: record.answers.clone(),
        }
    }

    async fn wait_until_ready(&self, system: &RunningSystem) {
        let started = Instant::now();
        for host in &self.edges()[..usize::from(self.initial_daemons)] {
            while !is_ready(&system.deployment, *host).await {
                assert!(
                    started.elapsed() < TEST_TIMEOUT,
                    "daemon {host} is not ready"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        tokio::time::sleep(HEARTBEATS_RECEIVED_AFTER).await;
    }
}
