//! Request phases of a daemon in which a test can intervene.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coursestand_discovery::Instance;
use coursestand_model::ServiceId;
use coursestand_proxy::EdgeState;
use coursestand_proxy::answer::Reason;
use coursestand_proxy::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, PendingToken, RequestHead, RequestPhases,
    Target,
};
use coursestand_proxy::retry::RetryVerdict;
use coursestand_proxy::router::Router;
use coursestand_routing::backends::ProbeOutcome;
use coursestand_routing::{BackendReport, Fingerprint};
use tokio::sync::{Notify, oneshot, watch};

/// Runs after a back end was chosen and before the request is sent to it.
pub type AfterChoice = Box<dyn Fn(&Router, &Target) + Send + Sync>;

/// Request phases that run a hook right after a back end was chosen, and that report a closed path
/// when a test says so.
pub struct HookedPhases {
    pub router: Router,
    pub after_choice: AfterChoice,
    pub path: Arc<HookedPath>,
}

/// The path to all back ends. Closed for the first look at it after [`HookedPath::close_once`].
#[derive(Default)]
pub struct HookedPath {
    is_closed: AtomicBool,
    changes: watch::Sender<u64>,
    /// Notified when the closed path was seen.
    pub seen: Notify,
}

impl HookedPath {
    pub fn close_once(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        self.changes.send_modify(|count| *count += 1);
    }
}

impl HookedPhases {
    pub fn new(state: Arc<EdgeState>) -> HookedPhases {
        HookedPhases {
            router: Router::new(state),
            after_choice: Box::new(|_, _| {}),
            path: Arc::default(),
        }
    }
}

impl RequestPhases for HookedPhases {
    fn match_request(&self, head: &RequestHead) -> std::result::Result<Matched, Reason> {
        self.router.match_request(head)
    }
    fn ask_for_trial(&self, matched: &Matched) -> Option<oneshot::Receiver<()>> {
        self.router.ask_for_trial(matched)
    }
    fn ask_for_token(&self, matched: &Matched, attempts: &Attempts) -> Option<PendingToken> {
        self.router.ask_for_token(matched, attempts)
    }
    fn choose(
        &self,
        matched: &Matched,
        attempts: &Attempts,
    ) -> std::result::Result<Target, Reason> {
        let target = self.router.choose(matched, attempts)?;
        (self.after_choice)(&self.router, &target);
        Ok(target)
    }
    fn take_due_probes(&self, service: &ServiceId) -> Vec<Instance> {
        self.router.take_due_probes(service)
    }
    fn probed(&self, instance: &Instance, outcome: ProbeOutcome) {
        self.router.probed(instance, outcome);
    }
    fn crash_record_changes(&self) -> watch::Receiver<u64> {
        self.router.crash_record_changes()
    }
    fn is_recalled(&self, target: &Target) -> bool {
        self.router.is_recalled(target)
    }
    fn may_still_send(&self, target: &Target) -> bool {
        self.router.may_still_send(target)
    }
    fn head_received(&self, target: &Target, report: &BackendReport) {
        self.router.head_received(target, report);
    }
    fn answered(&self, target: &Target, report: &BackendReport) {
        self.router.answered(target, report);
    }
    fn failed(&self, target: &Target, failure: AttemptFailure, report: &BackendReport) {
        self.router.failed(target, failure, report);
    }
    fn crashed(&self, target: &Target, in_flight_requests: Vec<Fingerprint>) {
        self.router.crashed(target, in_flight_requests);
    }
    fn finished(&self, target: &Target, ending: AttemptEnding) {
        self.router.finished(target, ending);
    }
    fn path_changes(&self) -> Option<watch::Receiver<u64>> {
        Some(self.path.changes.subscribe())
    }
    fn is_path_closed(&self, _target: &Target) -> bool {
        let is_closed = self.path.is_closed.swap(false, Ordering::SeqCst);
        if is_closed {
            self.path.seen.notify_one();
        }
        is_closed
    }
    fn may_retry(
        &self,
        matched: &Matched,
        attempts: &Attempts,
        failure: AttemptFailure,
        time_left: Duration,
    ) -> RetryVerdict {
        self.router.may_retry(matched, attempts, failure, time_left)
    }
}
