//! Distinguishes the crash of a back end from the loss of one connection.
//!
//! A single connection may break: its answer is lost, or a middlebox resets it. So after the
//! first broken connection this daemon connects again. Only if that is refused does the back
//! end count as crashed, and the requests on connections that broke in the meantime were in
//! flight at the crash.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_discovery::Incarnation;
use coursestand_routing::Fingerprint;
use tokio::time::Instant;

use crate::phases::{RequestPhases, Target};
use crate::pool::Pool;

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
            let opened = pool.open(target.address, PROBE_TIMEOUT).await;
            let was_refused = opened.is_err() && started_at.elapsed() < PROBE_TIMEOUT;
            let in_flight_requests = detector.probes().remove(&target.incarnation);
            match opened {
                Ok(connection) => pool.give_back(target.incarnation, connection, None).await,
                Err(_) if was_refused => {
                    phases.crashed(&target, in_flight_requests.unwrap_or_default())
                }
                Err(_) => {}
            }
        });
    }
}
