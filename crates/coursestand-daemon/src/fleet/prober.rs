//! Looks, for a control process that can't reach an entry daemon, whether that
//! daemon is ready all the same.

use std::sync::OnceLock;
use std::time::Duration;

use coursestand_discovery::EdgeRecord;
use reqwest::Client;

use crate::fleet::wire::ToControl;

/// Longest time of one probe; the next one comes a second after it was ordered.
const LIMIT: Duration = Duration::from_millis(700);

/// Makes probes; most daemons never make one.
#[derive(Default)]
pub struct Prober {
    client: OnceLock<Option<Client>>,
}

impl Prober {
    /// What to tell the control process if the daemon is ready.
    pub async fn find_ready(&self, suspect: EdgeRecord) -> Option<ToControl> {
        let client = self.client.get_or_init(make_client).as_ref()?;
        let url = format!("http://{}/health", suspect.admin_address);
        let answer = client.get(url).send().await.ok()?;
        answer
            .status()
            .is_success()
            .then_some(ToControl::FoundReady {
                name: suspect.name,
                incarnation: suspect.incarnation,
            })
    }
}

fn make_client() -> Option<Client> {
    Client::builder()
        .timeout(LIMIT)
        .no_proxy()
        .pool_max_idle_per_host(0)
        .build()
        .ok()
}
