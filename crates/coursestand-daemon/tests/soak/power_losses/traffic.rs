//! Back ends, and callers that send requests to them through the entry daemons.

use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};

use super::operators;
use crate::callers::{RequestLog, call};
use crate::deployment::heartbeat_of;
use crate::evacuations::{CONTROLS, System};
use crate::{HEARTBEAT, heartbeats};

const BACKENDS: usize = 2;
const CALLERS: usize = 3;
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// Back ends, callers and heartbeats.
pub struct Traffic {
    log: Arc<RequestLog>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    _backends: Vec<ScriptedBackend>,
}

impl Traffic {
    pub async fn start(system: &System) -> Traffic {
        let log = Arc::new(RequestLog::default());
        let mut backends = Vec::new();
        let mut tasks = Vec::new();
        let urls = CONTROLS.map(|host| system.deployment.control_url(host));
        for number in 0..BACKENDS {
            let started = ScriptedBackend::start(Vec::new(), Behaviour::Answer(200)).await;
            let backend = started.expect("a back end");
            let beating = send_heartbeats(
                Arc::clone(&log),
                urls.to_vec(),
                format!("backend-{number}"),
                backend.address(),
            );
            tasks.push(tokio::spawn(beating));
            backends.push(backend);
        }
        let fronts = system
            .edges
            .iter()
            .map(|host| system.deployment.front(*host));
        let fronts: Vec<_> = fronts.collect();
        for caller in 0..CALLERS {
            let calling = call(Arc::clone(&log), fronts.clone(), caller, CALLER_PAUSE);
            tasks.push(tokio::spawn(calling));
        }
        Traffic {
            log,
            tasks,
            _backends: backends,
        }
    }

    /// Ends the traffic and returns the number of served requests.
    pub async fn finish(self) -> usize {
        self.log.close();
        for task in self.tasks {
            task.await.expect("no panic in the traffic");
        }
        let requests = self.log.requests();
        let served = requests.iter().filter(|request| request.status == 200);
        served.count()
    }
}

async fn send_heartbeats(
    log: Arc<RequestLog>,
    urls: Vec<String>,
    id: String,
    address: std::net::SocketAddr,
) {
    let http = operators::client();
    let mut update = heartbeat_of(&id, address, 0, InstancePhase::Ready);
    while !log.is_closed() {
        update.instance.sequence += 1;
        heartbeats::deliver(&http, &urls, &update).await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}
