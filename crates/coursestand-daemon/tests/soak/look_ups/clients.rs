//! Clients that look up entry daemons, ten times a second for each zone at each control process.
//! They use a connection as long as it works.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::task::JoinHandle;

use crate::deployment::Deployment;
use crate::evacuations::{CONTROLS, REGION, ZONES};

const LOOK_UP_INTERVAL: Duration = Duration::from_millis(100);
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer to a look-up.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The control process that answered.
    pub control: u8,
    /// When the client had the whole answer.
    pub at: Instant,
    pub took: Duration,
    /// Hosts of the entry daemons in the answer.
    pub named: BTreeSet<u8>,
}

#[derive(Default)]
struct Answers {
    all: Vec<Answer>,
    latest: BTreeMap<u8, Answer>,
}

/// The clients of a run.
pub struct Clients {
    answers: Arc<Mutex<Answers>>,
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

fn lock(answers: &Mutex<Answers>) -> MutexGuard<'_, Answers> {
    answers.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Clients {
    pub fn start(deployment: &Deployment, edges: &[u8]) -> Clients {
        let answers = Arc::<Mutex<Answers>>::default();
        let is_over = Arc::<AtomicBool>::default();
        let hosts: BTreeMap<SocketAddr, u8> = edges
            .iter()
            .map(|host| (deployment.front(*host), *host))
            .collect();
        let start = |control: u8| {
            let url = deployment.lookup_url(control);
            tokio::spawn(look_up_repeatedly(
                control,
                url,
                hosts.clone(),
                Arc::clone(&answers),
                Arc::clone(&is_over),
            ))
        };
        let tasks = CONTROLS.into_iter().map(start).collect();
        Clients {
            answers,
            is_over,
            tasks,
        }
    }

    /// Returns the latest answer of each control process.
    pub fn latest(&self) -> BTreeMap<u8, Answer> {
        lock(&self.answers).latest.clone()
    }

    /// Stops the clients and returns all answers.
    pub async fn finish(self) -> Vec<Answer> {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("no panic in the clients");
        }
        std::mem::take(&mut lock(&self.answers).all)
    }
}

async fn look_up_repeatedly(
    control: u8,
    url: String,
    hosts: BTreeMap<SocketAddr, u8>,
    answers: Arc<Mutex<Answers>>,
    is_over: Arc<AtomicBool>,
) {
    let http = reqwest::Client::builder()
        .timeout(LOOK_UP_TIMEOUT)
        .no_proxy()
        .build()
        .expect("a client");
    let mut interval = tokio::time::interval(LOOK_UP_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !is_over.load(Ordering::Relaxed) {
        interval.tick().await;
        for zone in ZONES {
            let sent_at = Instant::now();
            let query = format!("{url}?region={REGION}&zone={zone}");
            let Some(named) = look_up(&http, &query, &hosts).await else {
                break;
            };
            let answer = Answer {
                control,
                at: Instant::now(),
                took: sent_at.elapsed(),
                named,
            };
            let mut answers = lock(&answers);
            answers.latest.insert(control, answer.clone());
            answers.all.push(answer);
        }
    }
}

/// Returns the hosts of the daemons that a look-up names, or `None` if there is no answer.
async fn look_up(
    http: &reqwest::Client,
    query: &str,
    hosts: &BTreeMap<SocketAddr, u8>,
) -> Option<BTreeSet<u8>> {
    let answer = http.get(query).send().await.ok()?;
    let text = answer.error_for_status().ok()?.text().await.ok()?;
    let value: Value = serde_json::from_str(&text).ok()?;
    let addresses = value["addresses"].as_array()?;
    let named = addresses.iter().filter_map(|address| {
        let address: SocketAddr = address.as_str()?.parse().ok()?;
        hosts.get(&address).copied()
    });
    Some(named.collect())
}
