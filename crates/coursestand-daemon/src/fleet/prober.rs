//! Probes entry daemons that a control process can't reach, at its request.

use std::sync::OnceLock;
use std::time::Duration;

use coursestand_discovery::EdgeRecord;
use reqwest::{Client, Response};
use serde::Deserialize;

use crate::fleet::wire::ToControl;

/// Timeout of a probe; control processes request the next one after a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum length of an answer. A longer one is not that of a daemon.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Sends readiness probes. The client is created on first use, as most daemons never need it.
#[derive(Default)]
pub struct Prober {
    client: OnceLock<Option<Client>>,
}

/// Which run of a process answers.
#[derive(Default, Deserialize)]
struct HealthAnswer {
    /// `None` in the answer of an older version.
    incarnation: Option<u64>,
}

impl Prober {
    /// Probes a daemon, and returns the message for the control process if this very run of it
    /// is ready: another process may have been started at its address.
    pub async fn find_ready(&self, suspect: EdgeRecord) -> Option<ToControl> {
        let client = self.client.get_or_init(make_client).as_ref()?;
        let url = format!("http://{}/health", suspect.admin_address);
        let answer = client.get(url).send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let incarnation = read_answer(answer).await?.incarnation;
        incarnation
            .is_none_or(|incarnation| incarnation == suspect.incarnation)
            .then_some(ToControl::ProbeSucceeded {
                name: suspect.name,
                incarnation: suspect.incarnation,
            })
    }
}

/// Reads who answers. An answer in another format is that of an older version.
async fn read_answer(mut answer: Response) -> Option<HealthAnswer> {
    let mut body = Vec::new();
    while let Some(chunk) = answer.chunk().await.ok()? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_ANSWER_BYTES {
            return None;
        }
    }
    Some(serde_json::from_slice(&body).unwrap_or_default())
}

fn make_client() -> Option<Client> {
    Client::builder()
        .timeout(PROBE_TIMEOUT)
        .no_proxy()
        .pool_max_idle_per_host(0)
        .build()
        .ok()
}
