//! Reports demand and the health of back ends to the control group.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coursestand_coordination::command::BackendEpoch;
use coursestand_coordination::wire::{ControlRequest, ReportRequest};
use coursestand_gateway::Shared;
use coursestand_kernel::{Registry, Service, ServiceError, Tasks};
use coursestand_model::DaemonId;
use coursestand_model::platform::BackendState;
use serde_json::{Value, json};

use crate::entry::control_client::ControlClient;
use crate::names;

/// Time between two reports when nothing presses.
const PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two reports at least.
const PAUSE: Duration = Duration::from_millis(50);
const ATTEMPT: Duration = Duration::from_millis(500);
/// Length of a period of demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(2);

/// Reports to the control group.
pub struct Reporter {
    daemon: DaemonId,
    shared: Arc<Shared>,
    control: Arc<ControlClient>,
    tasks: Tasks,
}

impl Reporter {
    /// Reports what `shared` shows for `daemon`.
    pub fn new(daemon: DaemonId, shared: Arc<Shared>, control: Arc<ControlClient>) -> Reporter {
        Reporter {
            daemon,
            shared,
            control,
            tasks: Tasks::default(),
        }
    }
}

#[async_trait]
impl Service for Reporter {
    fn name(&self) -> &'static str {
        names::REPORTER
    }

    async fn start(&self, _registry: &Arc<Registry>) -> Result<(), ServiceError> {
        self.tasks.start(run(
            self.daemon.clone(),
            Arc::clone(&self.shared),
            Arc::clone(&self.control),
        ));
        Ok(())
    }

    async fn stop(&self) {
        self.tasks.abort();
    }

    fn dump(&self) -> Value {
        let demand: Vec<Value> = self
            .shared
            .steering()
            .demand()
            .into_iter()
            .map(|row| json!({ "service": row.service, "zone": row.zone, "wanted": row.wanted }))
            .collect();
        json!({ "demand": demand })
    }
}

async fn run(daemon: DaemonId, shared: Arc<Shared>, control: Arc<ControlClient>) {
    let mut period_began = Instant::now();
    loop {
        // A notification or the end of the period: either way a report follows.
        let _ = tokio::time::timeout(PERIOD, shared.report_now.notified()).await;
        let request = ControlRequest::Report(report_of(&daemon, &shared));
        // The next report tells it again, so a lost one does no harm.
        let _ = control.ask(&request, ATTEMPT, ATTEMPT).await;
        if period_began.elapsed() >= DEMAND_PERIOD {
            period_began = Instant::now();
            shared.steering().start_demand_period();
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn report_of(daemon: &DaemonId, shared: &Shared) -> ReportRequest {
    let steering = shared.steering();
    let mut report = ReportRequest {
        daemon: daemon.clone(),
        demand: steering.demand(),
        reachable: Vec::new(),
        unreachable: Vec::new(),
        leaving: Vec::new(),
    };
    for backend in steering.backends().iter() {
        if backend.state == BackendState::Leaving {
            report.leaving.push(BackendEpoch {
                backend: backend.id.clone(),
                epoch: backend.epoch,
            });
        } else if backend.slots > 0 && backend.is_usable() {
            report.reachable.push(backend.id.clone());
        } else if backend.slots > 0 {
            report.unreachable.push(backend.id.clone());
        }
    }
    report
}
