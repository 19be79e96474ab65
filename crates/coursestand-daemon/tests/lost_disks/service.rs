//! Entry daemons and back ends of a group of control processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use tokio::task::JoinHandle;

use crate::callers::{Answered, Answers, call_daemon};
use crate::deployment::{TEST_TIMEOUT, heartbeat_of};
use crate::group::{CONTROLS, Group};

const BACKENDS: usize = 4;
const WORK: Duration = Duration::from_millis(40);
const HEARTBEAT: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn send_heartbeats(urls: Vec<String>, addresses: Vec<SocketAddr>) {
    let http = reqwest::Client::builder()
        .timeout(HEARTBEAT)
        .build()
        .expect("a client");
    for sequence in 1.. {
        for (number, address) in addresses.iter().enumerate() {
            let id = format!("backend-{number}");
            let heartbeat = heartbeat_of(&id, *address, sequence, InstancePhase::Ready);
            let body = serde_json::to_string(&heartbeat).expect("JSON");
            for url in &urls {
                let sent = http.post(format!("{url}/v1/backends/{id}"));
                // Sent again with the next round.
                tokio::spawn(sent.body(body.clone()).send());
            }
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Starts back ends that send heartbeats to all control processes.
pub async fn start_backends(group: &Group) -> Vec<ScriptedBackend> {
    let mut backends = Vec::new();
    for _ in 0..BACKENDS {
        let backend = ScriptedBackend::start(Vec::new(), Behaviour::Slow(WORK)).await;
        backends.push(backend.expect("a back end"));
    }
    let addresses = backends.iter().map(ScriptedBackend::address).collect();
    let urls = CONTROLS.map(|host| group.deployment().control_url(host));
    tokio::spawn(send_heartbeats(urls.to_vec(), addresses));
    backends
}

/// Waits until an entry daemon serves requests.
pub async fn wait_for_service(group: &Group, host: u8) {
    let began_at = Instant::now();
    while group.deployment().request(host, "/safe/0", "probe").await != 200 {
        assert!(began_at.elapsed() < TEST_TIMEOUT, "{host} does not serve");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends requests to entry daemons for `duration`; the task returns the answers.
pub fn call_daemons(group: &Group, hosts: &[u8], duration: Duration) -> JoinHandle<Answers> {
    let answers = Answers::default();
    let end = Instant::now() + duration;
    let calls: Vec<_> = hosts
        .iter()
        .map(|host| call_daemon(*host, group.deployment().front(*host), end, answers.clone()))
        .collect();
    tokio::spawn(async move {
        futures::future::join_all(calls).await;
        answers
    })
}

/// The answers of one daemon in a period.
#[derive(Debug)]
pub struct Served {
    /// Number of answers by status; 0 stands for none.
    pub statuses: BTreeMap<u16, usize>,
    pub slowest: Duration,
}

impl Served {
    pub fn of<'a>(answers: impl Iterator<Item = &'a Answered>) -> Served {
        let mut served = Served {
            statuses: BTreeMap::new(),
            slowest: Duration::ZERO,
        };
        for answer in answers {
            *served.statuses.entry(answer.status).or_default() += 1;
            served.slowest = served.slowest.max(answer.took);
        }
        served
    }
}
