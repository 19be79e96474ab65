//! Distinguishes the crash of a back end from the loss of one connection.
//!
//! A single connection may break: its answer is lost, or a middlebox resets it. So after the
//! first broken connection this daemon connects again. Only if that is refused does the back
//! end count as crashed, and the requests on connections that broke in the meantime were in
//! flight at the crash.
//!
//! A daemon that is partitioned from its back ends sees the same at each of them. So it connects
//! to others at the same time, and counts no crash if these can't be reached either.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_discovery::{Incarnation, Instance};
use coursestand_routing::Fingerprint;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::phases::{CrashReferences, RequestPhases, Target};
use crate::pool::Pool;

const LOG: &str = "proxy";
/// Longest wait for the connection to be accepted or refused. A machine that lost power
/// does not answer; its failure is not attributed to a request, since it stops more back ends
/// than a single request would.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time from the recall of a run until its back end is probed.
const RECALL_PROBE_DELAY: Duration = Duration::from_millis(250);

/// Back ends that are being probed after a broken connection, with the requests that were in
/// flight there.
#[derive(Default)]
pub(crate) struct CrashDetector {
    probes: Mutex<HashMap<Incarnation, Vec<Fingerprint>>>,
}

impl CrashDetector {
    fn probes(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<Fingerprint>>> {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Probes the back end of a recalled run after the time within which it notices that the
    /// connection was closed.
    pub(crate) fn probe_after_recall(
        detector: &Arc<CrashDetector>,
        target: &Target,
        pool: Arc<Pool>,
        phases: Arc<dyn RequestPhases>,
    ) {
        let detector = Arc::clone(detector);
        let target = target.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RECALL_PROBE_DELAY).await;
            CrashDetector::probe(&detector, &target, pool, phases);
        });
    }

    /// Handles a broken connection that had a request in flight: records the request, and
    /// starts one probe of the back end if none is running.
    pub(crate) fn probe(
        detector: &Arc<CrashDetector>,
        target: &Target,
        pool: Arc<Pool>,
        phases: Arc<dyn RequestPhases>,
    ) {
        if let Some(in_flight_requests) = detector.probes().get_mut(&target.incarnation) {
            in_flight_requests.extend(target.fingerprint);
            return;
        }
        let first = Vec::from_iter(target.fingerprint);
        detector.probes().insert(target.incarnation.clone(), first);
        let detector = Arc::clone(detector);
        let target = target.clone();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let references = phases.crash_references(&target);
            let references = tokio::spawn(are_reachable(Arc::clone(&pool), references));
            let opened = pool.open(target.address, PROBE_TIMEOUT).await;
            let was_refused = opened.is_err() && started_at.elapsed() < PROBE_TIMEOUT;
            let has_path = was_refused && references.await.unwrap_or(false);
            let in_flight_requests = detector.probes().remove(&target.incarnation);
            match opened {
                Ok(connection) => pool.give_back(target.incarnation, connection, None).await,
                Err(_) if has_path => {
                    phases.crashed(&target, in_flight_requests.unwrap_or_default())
                }
                Err(_) if was_refused => {
                    log::info!(target: LOG, instance = target.id().as_str(),
                        service = target.service.as_str();
                        "a lost back end is not counted as crashed: others can't be reached either");
                }
                Err(_) => {}
            }
        });
    }
}

/// Returns whether other back ends can be reached, so that the loss of one is its own: one of the
/// same service and zone, or both of those that share only its service and of those that share
/// only its zone. A kind without back ends does not count.
async fn are_reachable(pool: Arc<Pool>, references: CrashReferences) -> bool {
    let CrashReferences {
        near,
        service,
        zone,
    } = references;
    if near.is_empty() && service.is_empty() && zone.is_empty() {
        return true;
    }
    let others = async {
        let has_others = !(service.is_empty() && zone.is_empty());
        let (service, zone) = tokio::join!(
            is_any_reachable(&pool, &service),
            is_any_reachable(&pool, &zone)
        );
        has_others && service.unwrap_or(true) && zone.unwrap_or(true)
    };
    let near = is_any_reachable(&pool, &near);
    tokio::pin!(near, others);
    tokio::select! {
        is_near = near.as_mut() => is_near == Some(true) || others.await,
        are_others = others.as_mut() => are_others || near.await == Some(true),
    }
}

/// Returns whether one of the back ends accepts a connection; none if there are none.
async fn is_any_reachable(pool: &Arc<Pool>, instances: &[Instance]) -> Option<bool> {
    if instances.is_empty() {
        return None;
    }
    let mut probes: FuturesUnordered<_> = instances
        .iter()
        .map(|instance| probe_reference(pool, instance))
        .collect();
    while let Some(is_reached) = probes.next().await {
        if is_reached {
            return Some(true);
        }
    }
    Some(false)
}

/// Connects to a back end and keeps the connection for requests. It need not stay open: a network
/// that accepts connections in place of back ends accepted that to the lost one as well.
async fn probe_reference(pool: &Arc<Pool>, instance: &Instance) -> bool {
    match pool.open(instance.address, PROBE_TIMEOUT).await {
        Ok(connection) => {
            let (pool, incarnation) = (Arc::clone(pool), instance.incarnation());
            tokio::spawn(async move { pool.give_back(incarnation, connection, None).await });
            true
        }
        Err(_) => false,
    }
}
