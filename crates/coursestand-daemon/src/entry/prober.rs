//! Probes the back ends on which this daemon holds slots. It sends work to no others, and so
//! only a few daemons probe each back end.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coursestand_gateway::Shared;
use coursestand_kernel::{Registry, Service, ServiceError, Tasks};
use coursestand_model::BackendId;
use coursestand_model::platform::BackendState;
use futures::future::join_all;
use log::info;
use serde_json::{Value, json};

use crate::names;

const LOG: &str = "prober";

/// The service that probes back ends.
pub struct Prober {
    shared: Arc<Shared>,
    interval: Duration,
    tasks: Tasks,
}

impl Prober {
    /// Returns a prober that waits for `interval` between rounds of probes.
    pub fn new(shared: Arc<Shared>, interval: Duration) -> Prober {
        Prober {
            shared,
            interval,
            tasks: Tasks::default(),
        }
    }
}

#[async_trait]
impl Service for Prober {
    fn name(&self) -> &'static str {
        names::PROBER
    }

    async fn start(&self, _registry: &Arc<Registry>) -> Result<(), ServiceError> {
        self.tasks
            .start(run(Arc::clone(&self.shared), self.interval));
        Ok(())
    }

    async fn stop(&self) {
        self.tasks.abort();
    }

    fn dump(&self) -> Value {
        let steering = self.shared.steering();
        let backends: Vec<Value> = steering
            .backends()
            .iter()
            .filter(|backend| backend.slots > 0 || backend.in_use > 0)
            .map(|backend| {
                json!({
                    "backend": backend.id,
                    "slots": backend.slots,
                    "in_use": backend.in_use,
                    "state": backend.state,
                    "failures": backend.failures,
                    "latency_ms": backend.latency_ms,
                    "reported_running": backend.reported_running,
                })
            })
            .collect();
        json!({ "backends": backends })
    }
}

async fn run(shared: Arc<Shared>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        let targets: Vec<(BackendId, String)> = shared
            .steering()
            .backends()
            .iter()
            .filter(|backend| backend.slots > 0 && backend.state == BackendState::Live)
            .map(|backend| (backend.id.clone(), backend.address.to_string()))
            .collect();
        join_all(
            targets
                .into_iter()
                .map(|(id, address)| probe(&shared, id, address)),
        )
        .await;
    }
}

async fn probe(shared: &Shared, id: BackendId, address: String) {
    let answer = shared.backends.probe(&address).await;
    let mut steering = shared.steering();
    let backends = steering.backends_mut();
    let was_usable = backends
        .find(&id)
        .is_some_and(|backend| backend.is_usable());
    backends.note_probe(&id, answer.is_some());
    let mut is_report_due = backends
        .find(&id)
        .is_some_and(|backend| backend.is_usable() != was_usable);
    if let Some(answer) = &answer
        && let Some(backend) = backends.find(&id)
    {
        backend.reported_running = Some(answer.running);
    }
    if let Some(answer) = answer
        && answer.state == BackendState::Leaving
        && backends.note_leaving(&id, answer.epoch)
    {
        info!(target: LOG, "back end {id} is leaving");
        is_report_due = true;
    }
    drop(steering);
    if is_report_due {
        shared.report_now.notify_one();
    }
}
