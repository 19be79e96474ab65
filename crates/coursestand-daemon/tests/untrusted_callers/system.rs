//! One control process and one entry daemon, as real processes with the limits of a small
//! machine, and a back end in this process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coursestand_catalog::patch::Upsert;
use coursestand_catalog::{Item, ItemKey, Limits, Patch, RouteKind, ServiceItem};
use coursestand_discovery::InstancePhase;
use coursestand_lab::items;
use coursestand_model::ServiceId;
use coursestand_model::fleet::FleetSettings;
use reqwest::RequestBuilder;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::backend::SoundBackend;
use crate::crowd::{Crowd, Message};
use crate::deployment::{Deployment, TEST_TIMEOUT, heartbeat_of};
use crate::processes::{Processes, ResourceLimits};

const CONTROL: u8 = 1;
const EDGE: u8 = 11;

/// Limit on the head of a request in the catalog.
pub const MAX_HEADER_BYTES: usize = 16_384;
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const HEADER_TIMEOUT_MS: u64 = 3_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;
const ROUTE_TIMEOUT_MS: u64 = 5_000;

/// Memory of the machine that a process runs on.
const MACHINE_MEMORY_KIB: u64 = 64 * 1024;
/// Descriptors that a process may open, more than a crowd of 300 and its requests take.
pub const MANY_DESCRIPTORS: usize = 1_000;
/// Descriptors that a process may open, fewer than a crowd takes.
pub const FEW_DESCRIPTORS: usize = 200;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for an ordinary request to be answered, refusals and repetitions included.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Statuses which promise that the request was not run.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
const ORDINARY_BODY_BYTES: usize = 100_000;
const LOG_LINES: usize = 5;

/// Held by the running test.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Listening addresses of the processes.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub edge_admin: SocketAddr,
    /// For other entry daemons.
    pub relay: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub control_admin: SocketAddr,
    /// For other processes.
    pub internal: SocketAddr,
}

impl Addresses {
    fn new(control: &FleetSettings, edge: &FleetSettings) -> Addresses {
        let control_interfaces = control.control.as_ref().expect("a control process");
        let edge_interfaces = edge.edge.as_ref().expect("an entry daemon");
        Addresses {
            front: edge_interfaces.listen,
            readiness: edge_interfaces.ready_listen,
            edge_admin: edge.admin_listen,
            relay: SocketAddr::new(edge.ip, edge.internal_ports.0),
            control: control_interfaces.listen,
            directory: control_interfaces.lookup_listen,
            control_admin: control.admin_listen,
            internal: SocketAddr::new(control.ip, control.internal_ports.0),
        }
    }
}

pub struct System {
    /// Dropped before `deployment`, which releases the network.
    processes: Processes,
    deployment: Deployment,
    pub addresses: Addresses,
    backend: SoundBackend,
    heartbeats: JoinHandle<()>,
    limits: ResourceLimits,
    most_descriptors: usize,
    _running: MutexGuard<'static, ()>,
}

impl Drop for System {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

fn first_items() -> Patch {
    let service = ServiceItem {
        health_path: String::new(),
        max_connections: 1_000,
        cold_start_ms: 0,
        cold_per_second: 9.0,
        notation: String::new(),
    };
    let limits = Limits {
        max_header_bytes: MAX_HEADER_BYTES as u64,
        max_body_bytes: MAX_BODY_BYTES,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        notation: String::new(),
    };
    let first_version = |key, item| Upsert {
        key,
        version: 1,
        item,
    };
    let route = items::route("a", "s", RouteKind::Repeatable, ROUTE_TIMEOUT_MS);
    Patch {
        upserts: vec![
            first_version(
                ItemKey::Service(ServiceId::from("s")),
                Item::Service(service),
            ),
            first_version(ItemKey::Limits, Item::Limits(limits)),
            items::route_item("a", 1, route),
        ],
        removals: Vec::new(),
    }
}

/// Returns the body of a heartbeat.
fn heartbeat(backend: SocketAddr, sequence: u64) -> String {
    let mut heartbeat = heartbeat_of("b", backend, sequence, InstancePhase::Ready);
    // Enough for each caller of a crowd and for ordinary ones.
    heartbeat.instance.capacity = 1_000;
    serde_json::to_string(&heartbeat).expect("JSON")
}

async fn send_heartbeats(url: String, backend: SocketAddr) {
    let http = reqwest::Client::new();
    for sequence in 1.. {
        let body = heartbeat(backend, sequence);
        // Sent again with the next one.
        let _ = http.post(&url).body(body).send().await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

impl System {
    /// Starts the processes, each with this number of descriptors, and waits until the entry
    /// daemon serves.
    pub async fn start(descriptors: usize) -> System {
        let running = RUNNING.lock().await;
        let limits = ResourceLimits {
            data_kib: MACHINE_MEMORY_KIB,
            descriptors,
        };
        let deployment = Deployment::new(&[CONTROL]);
        let mut processes = Processes::new(&deployment.folder.path().join("processes"));
        let mut control = deployment.control_settings(CONTROL, true);
        control.bounds.lost_disks = 0;
        processes.start_limited(CONTROL, &control, limits);
        let mut edge = deployment.edge_settings(EDGE);
        edge.bounds.lost_disks = 0;
        processes.start_limited(EDGE, &edge, limits);
        let status = deployment.patch(&[CONTROL], &first_items()).await;
        assert_eq!(status, 200, "the first items are rejected");
        let backend = SoundBackend::start().await;
        let url = format!("{}/v1/backends/b", deployment.control_url(CONTROL));
        let heartbeats = tokio::spawn(send_heartbeats(url, backend.address()));
        let mut system = System {
            processes,
            addresses: Addresses::new(&control, &edge),
            deployment,
            backend,
            heartbeats,
            limits,
            most_descriptors: 0,
            _running: running,
        };
        system.wait_for_service().await;
        system.expect_ordinary_answers("before the crowd").await;
        system.print_memory("idle");
        system
    }

    async fn wait_for_service(&self) {
        let started = Instant::now();
        while self.deployment.request(EDGE, "/a/x", "probe").await != 200 {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "the daemon serves in time"
            );
            sleep(REPEAT_PAUSE).await;
        }
    }

    fn print_memory(&self, moment: &str) {
        for host in [CONTROL, EDGE] {
            let [data, peak, resident] = ["VmData", "VmHWM", "VmRSS"].map(|field| {
                let bytes = self.processes.memory(host, field);
                bytes.unwrap_or_default() / 1024
            });
            let descriptors = self.processes.open_descriptors(host).unwrap_or_default();
            println!(
                "host {host} {moment}: VmData {data} KiB, VmHWM {peak} KiB, VmRSS {resident} KiB, \
                 {descriptors} descriptors"
            );
        }
    }

    /// Lets callers send each message to `address`, and checks the processes meanwhile and
    /// afterwards, while the connections stay open.
    pub async fn withstand(
        &mut self,
        address: SocketAddr,
        messages: &[(usize, Message)],
        send_time: Duration,
    ) {
        let mut crowd = Crowd::default();
        for (callers, message) in messages {
            crowd.add(address, *callers, message, send_time);
        }
        let sent_at = Instant::now();
        while sent_at.elapsed() < send_time {
            self.check_processes();
            sleep(SAMPLE_INTERVAL).await;
        }
        self.print_memory("after the crowd");
        self.expect_ordinary_answers("after the crowd").await;
        self.check_processes();
        self.print_memory("at the end");
        println!("at most {} open descriptors", self.most_descriptors);
    }

    /// Checks that the processes run within the memory and descriptors of their machines.
    fn check_processes(&mut self) {
        for host in [CONTROL, EDGE] {
            let exited = self.processes.exited_unexpectedly();
            assert!(
                !exited.contains(&host),
                "process {host} ended; its log ends with\n{}",
                self.processes.log_end(host, LOG_LINES)
            );
            // `None` if it ends at this moment, which the next check finds.
            for field in ["VmHWM", "VmRSS"] {
                let bytes = self.processes.memory(host, field).unwrap_or_default();
                assert!(
                    bytes <= MACHINE_MEMORY_KIB * 1024,
                    "process {host}: {field} {bytes} bytes"
                );
            }
            let descriptors = self.processes.open_descriptors(host).unwrap_or_default();
            self.most_descriptors = self.most_descriptors.max(descriptors);
            assert!(
                descriptors < self.limits.descriptors,
                "process {host}: {descriptors} open descriptors"
            );
        }
    }

    /// Sends one ordinary request of each kind to each interface until it is answered.
    async fn expect_ordinary_answers(&mut self, moment: &str) {
        let control = self.deployment.control_url(CONTROL);
        let http = self.deployment.http.clone();
        let addresses = self.addresses;
        let requests = [
            ("a request", self.front_request(None)),
            (
                "a request with a body",
                self.front_request(Some(ORDINARY_BODY_BYTES)),
            ),
            (
                "a readiness check",
                http.get(format!("http://{}/v1/ready", addresses.readiness)),
            ),
            (
                "a read of the catalog",
                http.get(format!("{control}/v1/catalog")),
            ),
            (
                "a heartbeat",
                http.post(format!("{control}/v1/backends/b"))
                    .body(heartbeat(self.backend.address(), 1)),
            ),
            (
                "a look-up",
                http.get(format!(
                    "{}?region=z&zone=z-1",
                    self.deployment.lookup_url(CONTROL)
                )),
            ),
            (
                "metrics of control",
                self.metrics_request(addresses.control_admin),
            ),
            (
                "metrics of the entry daemon",
                self.metrics_request(addresses.edge_admin),
            ),
        ];
        for (kind, request) in requests {
            self.expect_answer(&format!("{kind} {moment}"), request)
                .await;
        }
    }

    fn front_request(&self, body_bytes: Option<usize>) -> RequestBuilder {
        let url = format!("http://{}/a/x", self.addresses.front);
        let http = &self.deployment.http;
        let request = match body_bytes {
            Some(bytes) => http.post(url).body(vec![b'x'; bytes]),
            None => http.get(url),
        };
        request
            .header("host", "h.example")
            .header("x-request-id", "ordinary")
            .header("x-object-key", "k")
    }

    fn metrics_request(&self, admin: SocketAddr) -> RequestBuilder {
        let url = format!("http://{admin}/metrics");
        self.deployment.http.get(url)
    }

    /// Sends a request, each time on a new connection, until it is answered with 200. Only
    /// refusals that promise that it was not run, and closed connections, may come before.
    async fn expect_answer(&mut self, description: &str, request: RequestBuilder) {
        let started = Instant::now();
        loop {
            let attempt = request.try_clone().expect("a body in memory").send().await;
            let outcome = match attempt {
                Ok(answer) if answer.status() == 200 => match answer.bytes().await {
                    Ok(_) => return,
                    Err(error) => error.to_string(),
                },
                Ok(answer) => {
                    let status = answer.status().as_u16();
                    assert!(REFUSALS.contains(&status), "{description}: status {status}");
                    status.to_string()
                }
                Err(error) => error.to_string(),
            };
            self.check_processes();
            assert!(
                started.elapsed() < ANSWER_TIMEOUT,
                "{description} gets no answer: {outcome}"
            );
            sleep(REPEAT_PAUSE).await;
        }
    }
}
