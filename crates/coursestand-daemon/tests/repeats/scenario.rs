//! Plays a deployment of real processes: steady requests, back ends that fail them, and
//! signals by a timetable. Repeats are counted where they arrive, at the back ends.

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

use crate::deployment::{Deployment, WITHIN, heartbeat_of};
use crate::processes::{Processes, Signal};

const CONTROLS: [u8; 3] = [1, 2, 3];
const FIRST_EDGE: u8 = 11;
/// Disks that may be lost at once among three.
const LOST_DISKS: usize = 1;
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Heartbeats of all back ends have arrived after this.
const KNOWN: Duration = Duration::from_millis(1_500);
/// A back end that goes on has read after this what waited for it.
const SETTLED: Duration = Duration::from_millis(1_500);
/// Longer than a route holds a request.
const PATIENCE: Duration = Duration::from_millis(2_500);
const ROUTE_LIMIT_MS: u64 = 2_000;
/// Requests in a back end's script; after them it answers properly.
const SCRIPT: usize = 2_000;

/// What back ends do with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backends {
    /// Run them, and answer 503 without the proof that they were not run.
    Fail,
    /// Lose this many answers of a hundred.
    Lose(u32),
    /// End under each request of this many, which are all the same one.
    EndUnderOneOf(usize),
    /// Answer properly; so many of them name a rate limit with each answer.
    NameLimit(usize),
}

/// The rate limit that those back ends name, in requests a second.
pub const LIMIT_PER_SECOND: f64 = 5.0;
const NAMES_LIMIT: Behaviour = Behaviour::AnswerWith(200, "x-rate-limit: 5.0\r\n");

/// Path of the request that ends back ends.
const DEADLY: &str = "/safe/deadly";

/// What happens at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// All entry daemons are killed and start again.
    KillDaemons,
    /// One entry daemon is killed and starts again: the one of this number.
    KillDaemon(u8),
    /// An entry daemon that didn't run before starts: the one of this number.
    StartDaemon(u8),
    /// All entry daemons are stopped by a signal.
    StopDaemons,
    /// All entry daemons go on.
    ContinueDaemons,
    /// All control processes are killed and start again.
    KillControl,
    /// All control processes but the first are stopped by a signal.
    StopControl,
    /// The control processes go on.
    ContinueControl,
    /// Half of the back ends stand still.
    StopBackends,
    /// The back ends go on.
    ContinueBackends,
}

/// A deployment and what happens to it.
#[derive(Clone, Debug)]
pub struct Play {
    pub name: String,
    pub daemons: u8,
    /// Entry daemons that run from the beginning on.
    pub started: u8,
    pub backends: usize,
    pub behaviour: Backends,
    pub requests_per_second: f64,
    pub seconds: f64,
    /// Moments in seconds, in their order.
    pub events: Vec<(f64, Event)>,
    /// Fixed part of the bound on repeats.
    pub extra: f64,
}

/// What a play came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub asked: usize,
    pub served: usize,
    pub repeats: usize,
    pub worst: WorstWindow,
    /// Back ends that ended.
    pub ended: usize,
    /// When callers began.
    pub started: Instant,
    /// When requests reached each back end.
    pub arrivals: Vec<Vec<Instant>>,
    /// What callers got.
    pub answers: Vec<Answered>,
}

/// An answer that a caller got.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// When it was asked for.
    pub asked_at: Instant,
    pub took: Duration,
    /// 0 when there was no answer.
    pub status: u16,
    /// When the caller was told to come back.
    pub retry_after: Option<Duration>,
}

#[derive(Default)]
struct Record {
    asked: Vec<Instant>,
    answers: Vec<Answered>,
}

impl Record {
    fn served(&self) -> usize {
        let served = self.answers.iter().filter(|one| one.status == 200);
        served.count()
    }
}

type SharedRecord = Arc<Mutex<Record>>;

fn lock(record: &SharedRecord) -> std::sync::MutexGuard<'_, Record> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

struct World {
    processes: Processes,
    deployment: Deployment,
    backends: Vec<ScriptedBackend>,
    extra: f64,
}

impl World {
    fn start(&mut self, host: u8, bootstrap: bool) {
        let mut settings = if CONTROLS.contains(&host) {
            self.deployment.control_settings(host, bootstrap)
        } else {
            self.deployment.edge_settings(host)
        };
        settings.bounds.lost_disks = LOST_DISKS;
        settings.bounds.retry_extra = self.extra;
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

    fn act(&mut self, event: Event, edges: &[u8]) {
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
                    .for_each(ScriptedBackend::stand_still);
            }
            Event::ContinueBackends => {
                self.backends.iter().for_each(ScriptedBackend::go_on);
            }
        }
    }

    fn arrived(&self) -> Vec<Arrival> {
        self.backends
            .iter()
            .flat_map(ScriptedBackend::arrived)
            .collect()
    }
}

fn first_items() -> Patch {
    let route = items::route("safe", "s", RouteKind::Repeatable, ROUTE_LIMIT_MS);
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
    let arrived = backend.arrived();
    arrived.into_iter().map(|arrival| arrival.at).collect()
}

async fn start_backend(behaviour: Backends, number: usize) -> ScriptedBackend {
    let started = match behaviour {
        Backends::Fail => ScriptedBackend::start(vec![], Behaviour::UnprovenRefusal).await,
        Backends::Lose(percent) => {
            let mut random = StdRng::seed_from_u64(number as u64);
            let script = (0..SCRIPT).map(|_| match random.random_range(0..100) {
                drawn if drawn < percent => Behaviour::Lose,
                _ => Behaviour::Answer(200),
            });
            ScriptedBackend::start(script.collect(), Behaviour::Answer(200)).await
        }
        Backends::EndUnderOneOf(_) => {
            ScriptedBackend::start(vec![], Behaviour::EndUnder(DEADLY)).await
        }
        Backends::NameLimit(limited) if number < limited => {
            ScriptedBackend::start(vec![], NAMES_LIMIT).await
        }
        Backends::NameLimit(_) => ScriptedBackend::start(vec![], Behaviour::Answer(200)).await,
    };
    started.expect("a back end")
}

/// Whether an entry daemon says that it is ready.
async fn is_ready(deployment: &Deployment, host: u8) -> bool {
    let role = deployment.edge_settings(host).edge.expect("an entry role");
    let url = format!("http://{}/v1/ready", role.ready_listen);
    let answer = deployment.http.get(url).send().await;
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Back ends tell that they live, to one control process after the other.
async fn send_heartbeats(urls: Vec<String>, addresses: Vec<SocketAddr>) {
    let http = reqwest::Client::builder()
        .timeout(Duration::from_millis(300))
        .build()
        .expect("a client");
    for round in 1.. {
        for (number, address) in addresses.iter().enumerate() {
            let id = format!("backend-{number}");
            let news = heartbeat_of(&id, *address, round as u64, InstancePhase::Ready);
            let body = serde_json::to_string(&news).expect("JSON");
            for attempt in 0..urls.len() {
                let url = &urls[(round + number + attempt) % urls.len()];
                let url = format!("{url}/v1/backends/{id}");
                let sent = http.post(url).body(body.clone()).send().await;
                if sent.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// What callers ask for.
#[derive(Clone, Copy, Debug)]
struct Calls {
    per_second: f64,
    behaviour: Backends,
}

impl Calls {
    fn path(&self, number: usize) -> String {
        match self.behaviour {
            Backends::EndUnderOneOf(count) if number.is_multiple_of(count) => DEADLY.to_owned(),
            _ => format!("/safe/{number}"),
        }
    }
}

/// Sends requests at a steady rate, each to the next daemon, until `end`.
async fn call(record: SharedRecord, fronts: Vec<SocketAddr>, calls: Calls, end: Instant) {
    let client = reqwest::Client::builder()
        .timeout(PATIENCE)
        .build()
        .expect("a client");
    let mut asking = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / calls.per_second));
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let front = fronts[number % fronts.len()];
        let path = calls.path(number);
        let asked = ask(client.clone(), Arc::clone(&record), front, path, number);
        asking.spawn(asked);
        while asking.try_join_next().is_some() {}
    }
    asking.join_all().await;
}

async fn ask(
    client: reqwest::Client,
    record: SharedRecord,
    front: SocketAddr,
    path: String,
    number: usize,
) {
    let asked_at = Instant::now();
    lock(&record).asked.push(asked_at);
    let answer = client
        .get(format!("http://{front}{path}"))
        .header("host", items::HOST)
        .header("x-object-key", path)
        .header("x-request-id", format!("safe-{number}"))
        .send()
        .await;
    let answer = answer.ok();
    let status = answer.as_ref().map(|answer| answer.status().as_u16());
    lock(&record).answers.push(Answered {
        asked_at,
        took: asked_at.elapsed(),
        status: status.unwrap_or_default(),
        retry_after: answer.as_ref().and_then(retry_after_of),
    });
}

fn retry_after_of(answer: &reqwest::Response) -> Option<Duration> {
    let text = answer.headers().get("retry-after")?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs_f64)
}

impl Play {
    fn edges(&self) -> Vec<u8> {
        (0..self.daemons)
            .map(|number| FIRST_EDGE + number)
            .collect()
    }

    /// The bound that the settings of a deployment state.
    fn bound(&self) -> RepeatBound {
        RepeatBound {
            ratio: 0.2,
            extra: self.extra,
            window: Duration::from_secs(10),
        }
    }

    /// Plays it. Logs are kept when it breaks the bound on repeats, or when asked for.
    pub async fn run(&self) -> Outcome {
        let deployment = Deployment::new(&CONTROLS);
        let logs = deployment.data_folder(0);
        let mut world = World {
            processes: Processes::new(&logs),
            deployment,
            backends: Vec::new(),
            extra: self.extra,
        };
        let outcome = self.run_in(&mut world).await;
        if outcome.worst.is_over() || std::env::var_os("COURSESTAND_KEEP_LOGS").is_some() {
            let folder = &mut world.deployment.folder;
            folder.disable_cleanup(true);
            println!("{}: logs in {}", self.name, folder.path().display());
        }
        outcome
    }

    async fn run_in(&self, world: &mut World) -> Outcome {
        for host in CONTROLS {
            world.start(host, true);
        }
        let edges = self.edges();
        for host in &edges[..usize::from(self.started)] {
            world.start(*host, true);
        }
        let status = world.deployment.patch(&CONTROLS, &first_items()).await;
        assert_eq!(status, 200, "the first items are refused");
        for number in 0..self.backends {
            world
                .backends
                .push(start_backend(self.behaviour, number).await);
        }
        let urls = CONTROLS.map(|host| world.deployment.control_url(host));
        let addresses = world.backends.iter().map(ScriptedBackend::address);
        let beating = tokio::spawn(send_heartbeats(urls.to_vec(), addresses.collect()));
        self.wait_until_ready(world).await;
        let record = SharedRecord::default();
        let started = Instant::now();
        let end = started + Duration::from_secs_f64(self.seconds);
        let fronts = edges.iter().map(|host| world.deployment.front(*host));
        let calling = tokio::spawn(call(
            Arc::clone(&record),
            fronts.collect(),
            Calls {
                per_second: self.requests_per_second,
                behaviour: self.behaviour,
            },
            end,
        ));
        for (seconds, event) in &self.events {
            let due = started + Duration::from_secs_f64(*seconds);
            tokio::time::sleep_until(due.into()).await;
            world.act(*event, &edges);
        }
        calling.await.expect("the callers ended");
        tokio::time::sleep(SETTLED).await;
        beating.abort();
        let arrived = world.arrived();
        let record = lock(&record);
        Outcome {
            asked: record.asked.len(),
            served: record.served(),
            repeats: repeats(&arrived).len(),
            worst: worst_window(self.bound(), &arrived, &record.asked),
            ended: world
                .backends
                .iter()
                .filter(|backend| backend.has_ended())
                .count(),
            started,
            arrivals: world.backends.iter().map(arrivals_at).collect(),
            answers: record.answers.clone(),
        }
    }

    async fn wait_until_ready(&self, world: &World) {
        let started = Instant::now();
        for host in &self.edges()[..usize::from(self.started)] {
            while !is_ready(&world.deployment, *host).await {
                assert!(started.elapsed() < WITHIN, "daemon {host} is not ready");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        tokio::time::sleep(KNOWN).await;
    }
}
