//! Probes of back ends that could not be reached: connections without a request, so that no
//! caller waits for a back end that is still down.

use std::sync::Arc;

use coursestand_discovery::Instance;
use coursestand_model::ServiceId;
use coursestand_routing::backends::ProbeOutcome;

use super::Exchange;
use crate::connect_times::connect_failure;
use crate::phases::AttemptFailure;

impl Exchange {
    /// Starts the probes of the service's back ends that are due.
    pub(super) fn start_due_probes(&self, service: &ServiceId) {
        for instance in self.phases.take_due_probes(service) {
            self.start_probe(instance);
        }
    }

    /// Probes one back end. A connection that is accepted is kept for requests.
    fn start_probe(&self, instance: Instance) {
        let phases = Arc::clone(&self.phases);
        let pool = Arc::clone(&self.pool);
        let link = Arc::clone(&self.link);
        let queueing_delay = link.queueing_delay();
        let limit = self.connect_times.limit(&instance.zone, queueing_delay);
        self.metrics.connections.inc();
        tokio::spawn(async move {
            let opened = pool.open(instance.address, limit).await;
            let queueing_delay = queueing_delay.max(link.queueing_delay());
            let outcome = match &opened {
                Ok(_) => ProbeOutcome::Accepted,
                Err(error) => match connect_failure(error.kind, queueing_delay) {
                    AttemptFailure::Congested => ProbeOutcome::Inconclusive,
                    _ => ProbeOutcome::Failed,
                },
            };
            phases.probed(&instance, outcome);
            if let Ok(connection) = opened {
                pool.give_back(instance.incarnation(), connection, None)
                    .await;
            }
        });
    }
}
