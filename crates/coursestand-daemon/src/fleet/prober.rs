//! Probes entry daemons that a control process can't reach, at its request.

use std::sync::OnceLock;
use std::time::Duration;

use coursestand_discovery::EdgeRecord;
use reqwest::Client;

use crate::fleet::wire::ToControl;

/// Timeout of a probe; control processes request the next one after a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Sends readiness probes. The client is created on first use, as most daemons never need it.
#[derive(Default)]
pub struct Prober {
    client: OnceLock<Option<Client>>,
}

impl Prober {
    /// Probes a daemon, and returns the message for the control process if it is ready.
    pub async fn find_ready(&self, suspect: EdgeRecord) -> Option<ToControl> {
        let client = self.client.get_or_init(make_client).as_ref()?;
        let url = format!("http://{}/health", suspect.admin_address);
        let answer = client.get(url).send().await.ok()?;
        answer
            .status()
            .is_success()
            .then_some(ToControl::ProbeSucceeded {
                name: suspect.name,
                incarnation: suspect.incarnation,
            })
    }
}

fn make_client() -> Option<Client> {
    Client::builder()
        .timeout(PROBE_TIMEOUT)
        .no_proxy()
        .pool_max_idle_per_host(0)
        .build()
        .ok()
}
