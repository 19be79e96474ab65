//! A request that crashes each back end that runs it, sent to all entry daemons while the faults
//! go on, and the check of the number of crashes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::Patch;
use coursestand_discovery::{InstancePhase, InstanceUpdate};
use coursestand_lab::items;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_model::ServiceId;
use tokio::task::JoinHandle;

use crate::callers::RequestLog;
use crate::deployment::heartbeat_of;
use crate::{CONTROLS, HEARTBEAT, System, heartbeats};

/// Service whose back ends crash.
const SERVICE: &str = "fragile";
const BACKENDS: usize = 16;
/// Time from the arrival of a fatal request until its back end crashes.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Pause between two fatal requests of one caller.
const PAUSE: Duration = Duration::from_millis(400);
const CALLERS: usize = 3;
/// Limit on the crashes that one request may cause.
const MAX_CRASHES: usize = 5;

/// Back ends that crash on the fatal request, and the tasks that send it and their heartbeats.
pub struct FatalRequests {
    backends: Arc<Vec<ScriptedBackend>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Returns the service and its route.
fn fragile_items() -> Patch {
    let route = items::route(
        SERVICE,
        SERVICE,
        coursestand_catalog::RouteKind::Repeatable,
        2_000,
    );
    Patch {
        upserts: vec![
            items::service(SERVICE),
            items::route_item(SERVICE, 1, route),
        ],
        removals: Vec::new(),
    }
}

impl FatalRequests {
    /// Starts the back ends and the callers, which stop once the log is closed.
    pub async fn start(system: &System, log: &Arc<RequestLog>) -> FatalRequests {
        let status = system.deployment.patch(&CONTROLS, &fragile_items()).await;
        assert_eq!(status, 200, "the service is rejected");
        let mut backends = Vec::new();
        for _ in 0..BACKENDS {
            let behaviour = Behaviour::CrashAfter("deadly", RUN_TIME);
            let started = ScriptedBackend::start(Vec::new(), behaviour).await;
            backends.push(started.expect("a back end"));
        }
        let backends = Arc::new(backends);
        let urls = CONTROLS.map(|host| system.deployment.control_url(host));
        let heartbeats = send_heartbeats(Arc::clone(log), urls.to_vec(), Arc::clone(&backends));
        let mut tasks = vec![tokio::spawn(heartbeats)];
        let edges = system.shape.edges();
        let fronts = edges.iter().map(|host| system.deployment.front(*host));
        let fronts: Vec<SocketAddr> = fronts.collect();
        for caller in 0..CALLERS {
            tasks.push(tokio::spawn(call(Arc::clone(log), fronts.clone(), caller)));
        }
        FatalRequests { backends, tasks }
    }

    /// Waits for the tasks and checks the number of crashes.
    pub async fn finish(self) -> Result<(), String> {
        for task in self.tasks {
            task.await.expect("no panic in the callers");
        }
        let crashed = self.backends.iter().filter(|backend| backend.has_crashed());
        let crashed = crashed.count();
        println!("{crashed} back ends crashed under one request");
        if crashed > MAX_CRASHES {
            return Err(format!("{crashed} back ends crashed under one request"));
        }
        Ok(())
    }
}

/// Returns the heartbeat of a back end.
fn heartbeat(number: usize, address: SocketAddr, sequence: u64) -> InstanceUpdate {
    let id = format!("fragile-{number}");
    let mut update = heartbeat_of(&id, address, sequence, InstancePhase::Ready);
    update.instance.service = ServiceId::from(SERVICE);
    update
}

/// Sends the heartbeats of the back ends that have not crashed.
async fn send_heartbeats(
    log: Arc<RequestLog>,
    urls: Vec<String>,
    backends: Arc<Vec<ScriptedBackend>>,
) {
    let http = client();
    let mut sequence = 0;
    while !log.is_closed() {
        sequence += 1;
        for (number, backend) in backends.iter().enumerate() {
            if backend.has_crashed() {
                continue;
            }
            let update = heartbeat(number, backend.address(), sequence);
            heartbeats::deliver(&http, &urls, &update).await;
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Sends the fatal request to the daemons in turn until the log is closed.
async fn call(log: Arc<RequestLog>, fronts: Vec<SocketAddr>, caller: usize) {
    let http = client();
    for front in fronts.iter().cycle().skip(caller) {
        if log.is_closed() {
            return;
        }
        let url = format!("http://{front}/{SERVICE}/deadly");
        // The daemon may be down.
        let _ = http.get(url).header("host", "h.example").send().await;
        tokio::time::sleep(PAUSE).await;
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .timeout(Duration::from_millis(1_000))
        .build()
        .expect("a client")
}
