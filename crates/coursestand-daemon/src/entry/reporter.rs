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

/// Interval between reports unless one is requested earlier.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum interval between reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Length of a period over which demand is measured.
const DEMAND_PERIOD: Duration = Duration::from_secs(2);

/// The service that reports to the control group.
pub struct Reporter {
    daemon: DaemonId,
    shared: Arc<Shared>,
    control: Arc<ControlClient>,
    tasks: Tasks,
}

impl Reporter {
    /// Returns a reporter of the state in `shared` on behalf of `daemon`.
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
    let mut demand_period_start = Instant::now();
    loop {
        // A report follows whether the wait was notified or timed out.
        let _ = tokio::time::timeout(REPORT_INTERVAL, shared.report_now.notified()).await;
        let request = ControlRequest::Report(build_report(&daemon, &shared));
        // Reports are complete, so the next one compensates for a lost one.
        let _ = control.send(&request, REPORT_TIMEOUT, REPORT_TIMEOUT).await;
        if demand_period_start.elapsed() >= DEMAND_PERIOD {
            demand_period_start = Instant::now();
            shared.steering().start_demand_period();
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
    }
}

fn build_report(daemon: &DaemonId, shared: &Shared) -> ReportRequest {
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
