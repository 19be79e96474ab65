//! Operators that change routes of their own: one, several or some hundred at a time, over
//! connections that stay open.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use coursestand_catalog::{Patch, RouteKind};
use coursestand_lab::items;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use reqwest::Client;
use tokio::task::JoinHandle;

use super::CONTROLS;
use super::ledger::Ledger;
use crate::deployment::Deployment;

const OPERATORS: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an operator repeats a change that is not acknowledged.
const MAX_TIME_TO_REPEAT: Duration = Duration::from_secs(3);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(20);
const MAX_REST_MS: u64 = 150;
const SINGLE_ROUTES: u64 = 4;
const SEVERAL_ROUTES: u64 = 6;
const MANY_ROUTES: usize = 300;
/// Distance between the numbers of two operators' routes.
const OPERATOR_OFFSET: usize = 1_000;

/// Operators at work.
pub struct Operators {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Operators {
    pub fn start(deployment: &Deployment, ledger: &Arc<Ledger>, random: &mut StdRng) -> Operators {
        let is_over = Arc::new(AtomicBool::new(false));
        let tasks = (0..OPERATORS).map(|number| {
            let operator = Operator {
                number,
                urls: catalog_urls(deployment),
                client: client(),
                ledger: Arc::clone(ledger),
                random: StdRng::seed_from_u64(random.random()),
                is_over: Arc::clone(&is_over),
                version: 1,
            };
            tokio::spawn(operator.run())
        });
        Operators {
            tasks: tasks.collect(),
            is_over,
        }
    }

    /// Waits until all operators have ended their last change.
    pub async fn finish(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("no panic in an operator");
        }
    }
}

/// Returns a client that keeps its connections open.
pub fn client() -> Client {
    Client::builder()
        .timeout(CALL_TIMEOUT)
        .build()
        .expect("a client")
}

struct Operator {
    number: usize,
    urls: Vec<String>,
    client: Client,
    ledger: Arc<Ledger>,
    random: StdRng,
    is_over: Arc<AtomicBool>,
    version: u64,
}

impl Operator {
    async fn run(mut self) {
        while !self.is_over.load(Ordering::Relaxed) {
            let patch = self.next_change();
            let (client, random) = (&self.client, &mut self.random);
            change(client, &self.urls, &self.ledger, random, &patch).await;
            let rest = Duration::from_millis(self.random.random_range(0..MAX_REST_MS));
            tokio::time::sleep(rest).await;
        }
    }

    fn next_change(&mut self) -> Patch {
        self.version += 1;
        let upserts = match self.random.random_range(0..8) {
            0 => {
                let first = self.number * OPERATOR_OFFSET;
                items::realistic_routes("s", first, MANY_ROUTES, self.version)
            }
            1..3 => (0..SEVERAL_ROUTES)
                .map(|route| self.route(&format!("several-{route}")))
                .collect(),
            _ => {
                let route = self.random.random_range(0..SINGLE_ROUTES);
                vec![self.route(&format!("single-{route}"))]
            }
        };
        Patch {
            upserts,
            removals: Vec::new(),
        }
    }

    fn route(&self, name: &str) -> coursestand_catalog::patch::Upsert {
        let name = format!("operator-{}-{name}", self.number);
        let route = items::route(&name, "s", RouteKind::Repeatable, 2_000);
        items::route_item(&name, self.version, route)
    }
}

/// Sends a change to one process after another until it is acknowledged or given up.
pub async fn change(
    client: &Client,
    urls: &[String],
    ledger: &Ledger,
    random: &mut StdRng,
    patch: &Patch,
) {
    let body = serde_json::to_string(patch).expect("JSON");
    let began_at = Instant::now();
    while began_at.elapsed() < MAX_TIME_TO_REPEAT {
        let url = urls.choose(random).expect("a process");
        let call = ledger.begin_call().await;
        ledger.send(patch);
        let sent = client.post(url).body(body.clone()).send().await;
        if sent.is_ok_and(|answer| answer.status() == 200) {
            ledger.acknowledge(patch);
            return;
        }
        drop(call);
        tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
    }
}

/// Returns where operators send changes.
pub fn catalog_urls(deployment: &Deployment) -> Vec<String> {
    let urls = CONTROLS.map(|host| format!("{}/v1/catalog", deployment.control_url(host)));
    urls.to_vec()
}
