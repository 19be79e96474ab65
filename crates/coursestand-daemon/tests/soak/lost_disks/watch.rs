//! Watches which control processes vote and which one leads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use reqwest::Client;
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::evacuations::{CONTROLS, System};
use crate::power_losses::service::votes;

const TIMEOUT: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(50);

/// What a control process said about itself.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub host: u8,
    pub asked_at: Instant,
    pub answered_at: Instant,
    /// Whether it votes by its own log.
    pub votes: bool,
    pub leads: bool,
}

/// Asks each control process again and again.
pub struct Watch {
    is_over: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<Sample>>>,
}

impl Watch {
    pub fn start(system: &System) -> Watch {
        let is_over = Arc::new(AtomicBool::new(false));
        let tasks = CONTROLS.map(|host| {
            let settings = system.deployment.control_settings(host, false);
            let url = format!("http://{}/state", settings.admin_listen);
            tokio::spawn(watch(host, url, Arc::clone(&is_over)))
        });
        Watch {
            is_over,
            tasks: tasks.into(),
        }
    }

    /// Returns all samples, in order for each process.
    pub async fn finish(self) -> Vec<Sample> {
        self.is_over.store(true, Ordering::Relaxed);
        let mut samples = Vec::new();
        for task in self.tasks {
            samples.extend(task.await.expect("no panic in the watch"));
        }
        samples
    }
}

async fn watch(host: u8, url: String, is_over: Arc<AtomicBool>) -> Vec<Sample> {
    let client = Client::builder().timeout(TIMEOUT);
    let client = client.build().expect("a client");
    let mut samples = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let asked_at = Instant::now();
        if let Some(state) = state(&client, &url).await {
            samples.push(Sample {
                host,
                asked_at,
                answered_at: Instant::now(),
                votes: votes(&state["hub"]["replica"]),
                leads: !state["hub"]["leading_term"].is_null(),
            });
        }
        tokio::time::sleep(PAUSE).await;
    }
    samples
}

async fn state(client: &Client, url: &str) -> Option<Value> {
    let text = client.get(url).send().await.ok()?.text().await.ok()?;
    serde_json::from_str(&text).ok()
}
