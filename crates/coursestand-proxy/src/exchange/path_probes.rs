//! Probes of paths: connections without a request to several back ends, which show whether this
//! daemon is partitioned from them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coursestand_discovery::Instance;
use coursestand_routing::PathProbeOutcome;
use futures::future::join_all;
use tokio::time::sleep;

use super::Exchange;
use crate::link_watch::LinkWatch;
use crate::metrics::ProxyMetrics;
use crate::phases::{PathProbe, RequestPhases};
use crate::pool::Pool;

/// Time within which a back end must accept a probe: more than two round trips between the
/// farthest regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Back ends of a round that are probed first.
const FIRST_PROBES: usize = 4;
/// Time between two checks for due probes while a path is not open.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Queueing delay on the daemon's own link from which on a failed probe proves nothing.
const CONGESTED_DELAY: Duration = Duration::from_millis(50);

/// What probes need.
#[derive(Clone)]
struct Prober {
    phases: Arc<dyn RequestPhases>,
    pool: Arc<Pool>,
    link: Arc<LinkWatch>,
    metrics: ProxyMetrics,
}

impl Exchange {
    /// Checks whether back ends have been silent for too long, and starts to probe paths that are
    /// not open.
    pub(super) fn check_paths(&self) {
        let usual_time = || self.answer_times.longest_silence_limit();
        self.phases.check_silence(&usual_time);
        if self.phases.are_paths_open() || self.are_paths_probed.swap(true, Ordering::AcqRel) {
            return;
        }
        let prober = Prober {
            phases: Arc::clone(&self.phases),
            pool: Arc::clone(&self.pool),
            link: Arc::clone(&self.link),
            metrics: self.metrics.clone(),
        };
        tokio::spawn(prober.run(Arc::clone(&self.are_paths_probed)));
    }
}

impl Prober {
    /// Probes paths until all are open.
    async fn run(self, is_running: Arc<AtomicBool>) {
        while !self.phases.are_paths_open() {
            for probe in self.phases.take_due_path_probes() {
                let prober = self.clone();
                tokio::spawn(async move { prober.probe(probe).await });
            }
            sleep(CHECK_INTERVAL).await;
        }
        is_running.store(false, Ordering::Release);
    }

    async fn probe(&self, probe: PathProbe) {
        let queueing_delay = self.link.queueing_delay();
        let reached = self.reach_any(&probe.instances).await;
        let is_congested = queueing_delay.max(self.link.queueing_delay()) >= CONGESTED_DELAY;
        let outcome = if reached.contains(&true) {
            PathProbeOutcome::Reached
        } else if is_congested || reached.is_empty() {
            PathProbeOutcome::Inconclusive
        } else {
            PathProbeOutcome::Unreached
        };
        log::info!(target: super::LOG, scope = probe.scope.label(), probed = reached.len(),
            reached = reached.iter().filter(|is_reached| **is_reached).count();
            "the path to back ends was probed");
        self.phases.path_probed(&probe.scope, outcome);
    }

    /// Probes a few back ends, and all of them if none of these can be reached. Returns for each
    /// that was probed whether it can be reached.
    async fn reach_any(&self, instances: &[Instance]) -> Vec<bool> {
        let (first, others) = instances.split_at(instances.len().min(FIRST_PROBES));
        let mut reached = join_all(first.iter().map(|instance| self.reach(instance))).await;
        if !reached.contains(&true) {
            reached.extend(join_all(others.iter().map(|instance| self.reach(instance))).await);
        }
        reached
    }

    /// Returns whether a back end accepts a connection, which is kept for requests.
    async fn reach(&self, instance: &Instance) -> bool {
        self.metrics.connections.inc();
        let opened = self.pool.open_and_hold(instance.address, PROBE_TIMEOUT);
        match opened.await {
            Ok(connection) => {
                self.pool
                    .give_back(instance.incarnation(), connection, None)
                    .await;
                true
            }
            Err(_) => false,
        }
    }
}
