//! The path of a request: check, admit, claim, dispatch, answer, and a retry on another
//! back end if the outcome allows it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coursestand_coordination::once::{
    ClaimAnswer, ClaimId, MAX_RECORDED_BYTES, OnceKey, RecordedAnswer,
};
use coursestand_model::platform::BackendState;
use coursestand_model::{DaemonId, Millis, Outcome, ServiceId, ZoneId, headers};
use coursestand_steering::backends::BackendIndex;
use coursestand_steering::{Admission, Ticket};
use futures::StreamExt;
use poem::http::{HeaderMap, StatusCode};
use poem::{Body, Request, Response};
use tokio::time::Instant;

use crate::answer::{Answer, Content, Reason};
use crate::backend_edge::{BackendAnswer, Dispatch, DispatchError, RequestBody};
use crate::body::{read_all, with_slot};
use crate::claim::Claim;
use crate::metrics::GatewayMetrics;
use crate::once_edge::OnceEdge;
use crate::request::{Call, MAX_BUFFERED_BYTES, WaitLimits, check, strip_connection_headers};
use crate::retry_budget::RetryBudget;
use crate::shared::{Shared, WaitGuard};
use crate::slot_guard::SlotGuard;

/// Maximum dispatches of one request.
const MAX_ATTEMPTS: usize = 3;

/// Serves callers' requests.
pub struct Gateway {
    daemon: DaemonId,
    zone: ZoneId,
    shared: Arc<Shared>,
    once: Arc<dyn OnceEdge>,
    retries: RetryBudget,
    metrics: GatewayMetrics,
    sequence: AtomicU64,
}

/// Result of one attempt.
enum Attempt {
    Answered(Answer),
    Failed(DispatchError),
}

impl Gateway {
    /// Creates the gateway of `daemon` in `zone`.
    pub fn new(
        daemon: DaemonId,
        zone: ZoneId,
        shared: Arc<Shared>,
        once: Arc<dyn OnceEdge>,
        metrics: GatewayMetrics,
    ) -> Gateway {
        Gateway {
            daemon,
            zone,
            shared,
            once,
            retries: RetryBudget::default(),
            metrics,
            sequence: AtomicU64::new(0),
        }
    }

    /// Returns the state shared with the other services of the daemon.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the metrics of the gateway.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.metrics
    }

    /// Returns the zone of the daemon.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Serves one request for `service`.
    pub async fn serve(&self, service: &str, request: &Request, body: Body) -> Response {
        let timer = self.metrics.duration.start_timer();
        let rules = self.shared.steering().rules();
        let revision = rules.as_ref().map(|rules| rules.revision);
        let answer = match rules {
            Some(rules) if self.shared.lease.is_valid() => {
                match check(&rules, &self.zone, service, request, body).await {
                    Ok(call) => self.execute(call).await,
                    Err(reason) => Answer::not_run(reason),
                }
            }
            _ => Answer::not_run(Reason::NoLease),
        };
        timer.observe_duration();
        self.metrics.count(answer.outcome);
        answer.into_response(revision)
    }

    async fn execute(&self, call: Call) -> Answer {
        self.retries.earn();
        let slot = match self
            .admit(&call.service, &call.origin, call.wait_limits())
            .await
        {
            Ok(slot) => slot,
            Err(answer) => return answer,
        };
        let Some(key) = call.key.clone() else {
            return self.attempt_repeatable(call, slot).await;
        };
        let mut claim = match self.claim(key, call.deadline).await {
            Ok(claim) => claim,
            Err(answer) => return answer,
        };
        self.attempt_claimed(call, slot, &mut claim).await
    }

    /// Chooses a zone and acquires a slot there, waiting for one if allowed.
    async fn admit(
        &self,
        service: &ServiceId,
        origin: &ZoneId,
        limits: WaitLimits,
    ) -> Result<SlotGuard, Answer> {
        let lease_until = self.shared.lease.until();
        let admission = self.shared.steering().admit(service, origin);
        self.wait_for_slot(admission, lease_until, None, limits)
            .await
    }

    async fn wait_for_slot(
        &self,
        mut admission: Admission,
        mut lease_until: Millis,
        excluded: Option<BackendIndex>,
        limits: WaitLimits,
    ) -> Result<SlotGuard, Answer> {
        let wait_until = limits.deadline.min(Instant::now() + limits.max_queue_time);
        let mut waiting = None;
        loop {
            let pool = match admission {
                Admission::Dispatch(ticket) => {
                    let shared = Arc::clone(&self.shared);
                    return Ok(SlotGuard::new(shared, ticket, lease_until));
                }
                Admission::QueueFull => return Err(self.refuse(Reason::NoSlot)),
                Admission::NoBackends => return Err(self.refuse(Reason::NoZone)),
                Admission::Wait(pool) => pool,
            };
            if waiting.is_none() {
                waiting = Some(WaitGuard::start(&self.shared, pool));
                // The leader may grant a slot while the request waits.
                self.shared.report_now.notify_one();
            }
            let notify = self.shared.slot_notify(pool);
            let freed = notify.notified();
            tokio::pin!(freed);
            // Registered before the next check, so that no notification is missed.
            freed.as_mut().enable();
            lease_until = self.shared.lease.until();
            admission = self.shared.steering().admit_to_pool(pool, excluded);
            if matches!(admission, Admission::Dispatch(_)) {
                continue;
            }
            if tokio::time::timeout_at(wait_until, freed).await.is_err() {
                return Err(self.refuse(Reason::NoSlot));
            }
            lease_until = self.shared.lease.until();
            admission = self.shared.steering().admit_to_pool(pool, excluded);
            if matches!(admission, Admission::QueueFull) {
                admission = Admission::Wait(pool);
            }
        }
    }

    /// Refuses a request for lack of capacity, and makes the daemon report its demand early.
    fn refuse(&self, reason: Reason) -> Answer {
        self.shared.report_now.notify_one();
        Answer::not_run(reason)
    }

    async fn claim(&self, key: OnceKey, deadline: Instant) -> Result<Claim<'_>, Answer> {
        let id = ClaimId {
            daemon: self.daemon.clone(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        let mut claim = Claim {
            once: &self.once,
            key,
            id,
            needs_release: true,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let answer = self.once.claim(&claim.key, &claim.id, remaining).await;
        claim.needs_release = matches!(answer, Ok(ClaimAnswer::Granted) | Err(_));
        let refused = match answer {
            Ok(ClaimAnswer::Granted) => return Ok(claim),
            Ok(ClaimAnswer::Taken) => Answer::unknown(Reason::KeyTaken),
            Ok(ClaimAnswer::Completed(recorded)) => recorded_answer(recorded),
            Ok(ClaimAnswer::TooOld) => {
                // It may have run earlier, and its record may have been removed since.
                Answer::unknown(Reason::KeyRefused("the key is too old".to_owned()))
            }
            Ok(ClaimAnswer::FromFuture) => {
                let text = "the key was issued in the future".to_owned();
                Answer::not_run(Reason::KeyRefused(text))
            }
            // Not dispatched by this attempt; an earlier one may have run the request.
            Ok(ClaimAnswer::GivenUp) | Err(_) => Answer::unknown(Reason::NoLedger),
        };
        Err(refused)
    }

    /// Dispatches a claimed request. Retries only if the attempt provably did not run it.
    async fn attempt_claimed(
        &self,
        mut call: Call,
        mut slot: SlotGuard,
        claim: &mut Claim<'_>,
    ) -> Answer {
        for attempt in 1.. {
            let excluded = slot.ticket().clone();
            match self.attempt(&mut call, slot, Some(claim)).await {
                Attempt::Answered(answer) => return answer,
                Attempt::Failed(DispatchError::NotRun { reason }) => {
                    claim.needs_release = true;
                    if !self.may_retry(Outcome::NotRun, attempt, &call) {
                        return Answer::not_run(Reason::BackEnd(reason));
                    }
                    slot = match self
                        .slot_on_other_backend(&excluded, call.wait_limits())
                        .await
                    {
                        Ok(slot) => slot,
                        Err(answer) => return answer,
                    };
                }
                Attempt::Failed(error) => return unknown_answer(error),
            }
        }
        unreachable!("attempts are limited")
    }

    /// Dispatches a repeatable request, and retries on another back end after a failure.
    async fn attempt_repeatable(&self, mut call: Call, mut slot: SlotGuard) -> Answer {
        let mut may_have_run = false;
        for attempt in 1.. {
            let excluded = slot.ticket().clone();
            let error = match self.attempt(&mut call, slot, None).await {
                Attempt::Answered(answer) => return answer.with_earlier_attempts(may_have_run),
                Attempt::Failed(error) => error,
            };
            let outcome = match error {
                DispatchError::NotRun { .. } => Outcome::NotRun,
                _ => Outcome::Unknown,
            };
            may_have_run |= outcome == Outcome::Unknown;
            let next = if self.may_retry(outcome, attempt, &call) {
                self.slot_on_other_backend(&excluded, call.wait_limits())
                    .await
                    .ok()
            } else {
                None
            };
            let Some(next) = next else {
                return final_answer(error, may_have_run);
            };
            slot = next;
        }
        unreachable!("attempts are limited")
    }

    fn may_retry(&self, outcome: Outcome, attempt: usize, call: &Call) -> bool {
        let is_allowed = outcome.allows_retry(call.repeatable)
            && attempt < MAX_ATTEMPTS
            && matches!(call.body, RequestBody::Buffered(_))
            && Instant::now() < call.deadline
            && self.retries.spend();
        if is_allowed {
            self.metrics.retries.inc();
        }
        is_allowed
    }

    async fn slot_on_other_backend(
        &self,
        failed: &Ticket,
        limits: WaitLimits,
    ) -> Result<SlotGuard, Answer> {
        let excluded = Some(failed.backend);
        let lease_until = self.shared.lease.until();
        let admission = self.shared.steering().admit_to_pool(failed.pool, excluded);
        self.wait_for_slot(admission, lease_until, excluded, limits)
            .await
    }

    async fn attempt(
        &self,
        call: &mut Call,
        mut slot: SlotGuard,
        claim: Option<&mut Claim<'_>>,
    ) -> Attempt {
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Attempt::Answered(Answer::not_run(Reason::Deadline));
        }
        let index = slot.ticket().backend;
        let (address, backend) = {
            let steering = self.shared.steering();
            let backend = steering.backends().get(index);
            (backend.address.to_string(), backend.id.0.clone())
        };
        let dispatch = self.dispatch_of(call, address, remaining);
        // If the process was suspended after admission, the slot may have been reassigned to
        // another daemon.
        if !slot.is_covered_by_lease() {
            return Attempt::Answered(Answer::not_run(Reason::NoLease));
        }
        slot.mark_sent(&dispatch.address, &dispatch.request_id, call.deadline);
        let claimed = claim.map(|claim| {
            claim.needs_release = false;
            (claim.key.clone(), claim.id.clone())
        });
        let started = Instant::now();
        match self.shared.backends.dispatch(dispatch).await {
            Ok(answer) => {
                self.note_answer(index, &answer.headers, started.elapsed());
                let answer = self
                    .receive(call.deadline, answer, slot, claimed, backend)
                    .await;
                Attempt::Answered(answer)
            }
            Err(error) => {
                self.note_failure(index);
                if matches!(error, DispatchError::NotRun { .. }) {
                    slot.release();
                }
                Attempt::Failed(error)
            }
        }
    }

    fn dispatch_of(&self, call: &mut Call, address: String, remaining: Duration) -> Dispatch {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let mut headers = call.headers.clone();
        for (name, zone) in [
            (headers::ENTRY_ZONE, &self.zone),
            (headers::ORIGIN_ZONE, &call.origin),
        ] {
            if let Ok(value) = zone.0.parse() {
                headers.insert(name, value);
            }
        }
        let body = match &mut call.body {
            RequestBody::Buffered(bytes) => RequestBody::Buffered(bytes.clone()),
            RequestBody::Streamed(stream) => {
                // Sent only once: `may_retry` rejects a second attempt.
                let stream = std::mem::replace(stream, futures::stream::empty().boxed());
                RequestBody::Streamed(stream)
            }
        };
        Dispatch {
            address,
            request_id: format!("{}-{sequence}", self.daemon),
            method: call.method.clone(),
            path: call.path.clone(),
            headers,
            body,
            deadline: remaining,
        }
    }

    fn note_answer(&self, index: BackendIndex, headers: &HeaderMap, elapsed: Duration) {
        let is_leaving = headers
            .get(headers::BACKEND_STATE)
            .is_some_and(|state| state.as_bytes() == b"leaving");
        let mut steering = self.shared.steering();
        let backends = steering.backends_mut();
        backends.note_answer(index, elapsed.as_secs_f64() * 1000.0);
        if is_leaving {
            let backend = backends.get(index);
            let (id, epoch) = (backend.id.clone(), backend.epoch);
            if backend.state == BackendState::Live {
                backends.note_leaving(&id, epoch);
                self.shared.report_now.notify_one();
            }
        }
    }

    fn note_failure(&self, index: BackendIndex) {
        self.shared.steering().backends_mut().note_failure(index);
        self.shared.report_now.notify_one();
    }

    /// Receives an answer. Short ones are buffered, so that the caller gets an error if they
    /// are truncated; long ones are streamed.
    async fn receive(
        &self,
        deadline: Instant,
        answer: BackendAnswer,
        slot: SlotGuard,
        claimed: Option<(OnceKey, ClaimId)>,
        backend: String,
    ) -> Answer {
        let mut headers = answer.headers;
        strip_connection_headers(&mut headers);
        let status = answer.status;
        let is_short = answer
            .length
            .is_some_and(|length| length <= MAX_BUFFERED_BYTES);
        let body = if is_short {
            let read = read_all(answer.body, deadline).await;
            let Ok(bytes) = read else {
                return unknown_answer(DispatchError::Unknown {
                    reason: "the answer broke off".to_owned(),
                });
            };
            slot.release();
            self.record(claimed, status, Some(&bytes));
            Body::from(bytes)
        } else {
            self.record(claimed, status, None);
            Body::from_bytes_stream(with_slot(answer.body, slot, deadline))
        };
        Answer {
            outcome: Outcome::Completed,
            content: Content::FromBackend {
                status,
                headers,
                body,
            },
            backend: Some(backend),
        }
    }

    fn record(
        &self,
        claimed: Option<(OnceKey, ClaimId)>,
        status: StatusCode,
        body: Option<&Bytes>,
    ) {
        let Some((key, claim)) = claimed else {
            return;
        };
        let body = body
            .filter(|body| body.len() <= MAX_RECORDED_BYTES)
            .map(|body| body.to_vec());
        let answer = RecordedAnswer {
            status: status.as_u16(),
            body,
        };
        self.once.complete(key, claim, answer);
    }
}

fn recorded_answer(recorded: RecordedAnswer) -> Answer {
    let status = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let content = match recorded.body {
        Some(body) => Content::FromBackend {
            status,
            headers: HeaderMap::new(),
            body: Body::from(body),
        },
        None => Content::FromDaemon(Reason::AnswerNotRecorded),
    };
    Answer {
        outcome: Outcome::Completed,
        content,
        backend: None,
    }
}

fn unknown_answer(error: DispatchError) -> Answer {
    match error {
        DispatchError::Deadline => Answer::unknown(Reason::Deadline),
        other => Answer::unknown(Reason::BackEnd(other.to_string())),
    }
}

/// Returns the answer after the last attempt. The outcome is `not-run` only if none of the
/// attempts may have run the request.
fn final_answer(error: DispatchError, may_have_run: bool) -> Answer {
    match error {
        DispatchError::NotRun { reason } if !may_have_run => {
            Answer::not_run(Reason::BackEnd(reason))
        }
        other => unknown_answer(other),
    }
}
