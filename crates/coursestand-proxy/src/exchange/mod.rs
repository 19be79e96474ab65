//! Runs the phases of a request and does the I/O between them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Body;
use tokio::time::{Instant, sleep, timeout};

use crate::answer::{AnswerBody, Reason, forwarded_response, local_response};
use crate::answer_times::AnswerTimes;
use crate::caller_limits::SharedLimits;
use crate::connect_times::ConnectTimes;
use crate::crash_detector::CrashDetector;
use crate::discard::discard;
use crate::guarded_body::CallerBody;
use crate::header_names::HeaderNames;
use crate::headers::{millis_of, size_of, strip_connection_headers, text_of};
use crate::link_gate::{LinkGate, LinkPermit};
use crate::link_watch::LinkWatch;
use crate::memory_budget::MemoryBudget;
use crate::metrics::ProxyMetrics;
use crate::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, RequestHead, RequestPhases, Target,
};
use crate::pool::Pool;
use crate::prepared_body::PreparedBody;
use crate::relay::RelayedRequest;
use crate::request_log::{OUTCOME_SERVED, RequestLog};
use crate::retry::{RetryDenial, RetryVerdict};
use crate::unread_headers::UnreadHeaders;
use coursestand_kernel::memory_limit_bytes;
use coursestand_model::Millis;
use coursestand_routing::BackendReport;
use coursestand_routing::fatal_requests::COMMON_CAUSE_MS;

mod attempt;
mod path_probes;
mod probes;
mod recall;
mod relay;
mod tokens;

pub use relay::Relay;

const LOG: &str = "proxy";
/// Upper bound on the retry delay of a request that was queued for longer than its timeout;
/// the admission control uses the same bound. A process that was suspended for longer
/// works at full speed as soon as it resumes.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// How long a request waits for control to grant a trial.
const TRIAL_WAIT: Duration = Duration::from_millis(300);

/// How long a recalled request waits before it may be sent again: by then the reports of all
/// daemons with requests at the crashed back end have arrived.
const REPORT_WAIT: Duration = Duration::from_millis(COMMON_CAUSE_MS + 50);

/// Forwards requests from callers to back ends.
pub struct Exchange {
    phases: Arc<dyn RequestPhases>,
    names: HeaderNames,
    pool: Arc<Pool>,
    metrics: ProxyMetrics,
    gate: Arc<LinkGate>,
    link: Arc<LinkWatch>,
    connect_times: ConnectTimes,
    answer_times: AnswerTimes,
    crash_detector: Arc<CrashDetector>,
    limits: SharedLimits,
    memory: Arc<MemoryBudget>,
    unread_headers: UnreadHeaders,
    /// The planned stop, if it has begun.
    stop: OnceLock<PlannedStop>,
    /// Relays requests to other daemons, if the deployment has any.
    relay: OnceLock<Relay>,
    /// Whether the back ends that may be partitioned are being probed.
    are_paths_probed: Arc<AtomicBool>,
}

/// When a request's head was read, and how long it had been queued before.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    read_at: Instant,
    waited: Duration,
}

/// When a request is abandoned.
#[derive(Clone, Copy, Debug)]
struct Deadline {
    /// The end of its limit, counted from the estimated time at which its caller sent it.
    usual: Instant,
    /// The end of its limit, counted from when it was read. The estimate may be too early, so
    /// a planned stop does not abandon a request before this time.
    latest: Instant,
}

/// A planned stop of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// Requests that are complete from then on are refused unless their time limit ends before
    /// the stop does.
    pub late_from: Instant,
    /// When requests in flight are abandoned.
    pub ends_at: Instant,
}

/// A request that has been read and matched to a route.
struct PreparedRequest {
    parts: Parts,
    body: PreparedBody,
    id: Option<String>,
    matched: Matched,
    deadline: Deadline,
    permit: LinkPermit,
    /// What the daemon that relayed the request tells about it.
    relayed: Option<RelayedRequest>,
}

impl PreparedRequest {
    fn time_left(&self) -> Duration {
        self.deadline
            .usual
            .saturating_duration_since(Instant::now())
    }
}

/// A back end's answer.
struct BackendResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
}

impl BackendResponse {
    /// Returns the size of head and body in bytes, as far as it is known.
    fn size(&self) -> u64 {
        size_of(&self.headers) + self.body.size_hint().lower()
    }
}

/// A failed attempt.
struct FailedAttempt {
    failure: AttemptFailure,
    /// The back end's answer, forwarded when there is no further attempt.
    answer: Option<Box<BackendResponse>>,
    /// The back end's report, if it answered.
    report: BackendReport,
    /// Whether the connection broke before the answer was complete.
    is_broken: bool,
}

impl FailedAttempt {
    fn of(failure: AttemptFailure) -> FailedAttempt {
        FailedAttempt {
            failure,
            answer: None,
            report: BackendReport::default(),
            is_broken: false,
        }
    }

    /// Returns the failure for a connection that broke while the request was in flight.
    fn broken() -> FailedAttempt {
        FailedAttempt {
            is_broken: true,
            ..FailedAttempt::of(AttemptFailure::Lost)
        }
    }

    /// Returns whether the same back end, for which the request's object is warm, may get the
    /// request again: it refused although it reports that no request waits there, the
    /// connection failed rather than the back end, or nothing was sent. A back end
    /// that asked for a back-off need not be excluded here: the back-off excludes it, and the
    /// end of the back-off is the retry time for a request that finds no other back end.
    fn may_retry_same_backend(&self) -> bool {
        match self.failure {
            AttemptFailure::Shed => {
                let report = &self.report;
                report.backoff_ms.is_some() || report.load.is_some_and(|load| load.waiting == 0)
            }
            AttemptFailure::Silent | AttemptFailure::Withdrawn | AttemptFailure::Partitioned => {
                true
            }
            _ => false,
        }
    }
}

impl Attempts {
    /// Records a failed attempt at `target`.
    fn note(&mut self, target: &Target, failed: &FailedAttempt) {
        if !failed.may_retry_same_backend() {
            self.excluded.push(target.id().clone());
        }
        self.may_have_run |= failed.failure.may_have_run();
        self.is_recalled |= failed.failure == AttemptFailure::Recalled;
        if failed.is_broken {
            self.broken_backends.push(target.incarnation_hash);
        }
        let is_refused = failed.failure == AttemptFailure::Refused;
        if failed.failure.reached_back_end() {
            self.arrived += 1;
        } else if failed.failure == AttemptFailure::Partitioned {
            self.is_path_lost = true;
        } else if is_refused && !target.sent_request.pick.is_ejected {
            self.refused += 1;
        } else {
            self.unreachable += 1;
        }
    }
}

/// An attempt in progress: the request counts as in flight at the back end until this is
/// dropped.
struct ActiveAttempt {
    phases: Arc<dyn RequestPhases>,
    target: Target,
    is_resolved: AtomicBool,
}

impl ActiveAttempt {
    /// Marks the copy as resolved: the back end has read the request, or never will.
    fn mark_resolved(&self) {
        self.is_resolved.store(true, Ordering::Relaxed);
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let ending = match self.is_resolved.load(Ordering::Relaxed) {
            true => AttemptEnding::Resolved,
            false => AttemptEnding::Unresolved,
        };
        self.phases.finished(&self.target, ending);
    }
}

impl Exchange {
    /// Creates an exchange that takes its decisions from `phases`.
    pub fn new(
        phases: Arc<dyn RequestPhases>,
        names: HeaderNames,
        pool: Arc<Pool>,
        metrics: ProxyMetrics,
    ) -> Exchange {
        Exchange {
            unread_headers: UnreadHeaders::new(metrics.unread_headers.clone()),
            phases,
            names,
            pool,
            memory: MemoryBudget::new(memory_limit_bytes(None), metrics.clone()),
            metrics,
            gate: Arc::new(LinkGate::default()),
            link: Arc::default(),
            connect_times: ConnectTimes::default(),
            answer_times: AnswerTimes::default(),
            crash_detector: Arc::default(),
            limits: SharedLimits::default(),
            stop: OnceLock::new(),
            relay: OnceLock::new(),
            are_paths_probed: Arc::default(),
        }
    }

    /// Lets the process use at most `memory_bytes`, also if the system allows more.
    pub fn with_memory(self, memory_bytes: u64) -> Exchange {
        Exchange {
            memory: MemoryBudget::new(memory_bytes, self.metrics.clone()),
            ..self
        }
    }

    /// Returns the account of what is kept for connections.
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Announces that a planned stop has begun. A request that arrives after this call is
    /// abandoned before the end of the stop, so that none is cut off.
    pub fn begin_stop(&self, stop: PlannedStop) {
        // Only the first planned stop takes effect.
        let _ = self.stop.set(stop);
    }

    /// Refuses a request that is complete late in a planned stop, unless its whole time limit is
    /// left: it could still be at work in a back end when it has to be abandoned.
    fn refuse_late(&self, deadline: Deadline) -> Result<(), Reason> {
        let now = Instant::now();
        match self.stop.get() {
            Some(stop) if stop.late_from <= now && stop.ends_at <= deadline.latest => {
                Err(Reason::Stopping)
            }
            _ => Ok(()),
        }
    }

    /// Returns the deadline of a request that may take `limit` from when its caller sent it,
    /// or why it is refused.
    ///
    /// The time that the request was queued before it was read counts against `limit`.
    /// Otherwise, behind a queue of 0.6 s on the link, every request that reaches its timeout
    /// of 1 s would be answered 0.68 s late; with it, at most half a second late. A request
    /// whose timeout had passed when it was read is refused, since no caller waits for it
    /// (`coursestand-daemon/tests/following/late_requests.rs`). During a planned stop the whole
    /// `limit` counts from when the request was read.
    fn deadline_of(&self, arrival: Arrival, limit: Duration) -> Result<Deadline, Reason> {
        if limit <= arrival.waited {
            let retry_delay = arrival.waited.min(MAX_RETRY_DELAY);
            return Err(Reason::LinkFull {
                drained_in_ms: retry_delay.as_millis() as Millis,
            });
        }
        let latest = arrival.read_at + limit;
        match self.stop.get() {
            Some(stop) if stop.ends_at <= arrival.read_at => Err(Reason::Stopping),
            Some(stop) => Ok(Deadline {
                usual: latest.min(stop.ends_at),
                latest: latest.min(stop.ends_at),
            }),
            None => Ok(Deadline {
                usual: latest - arrival.waited,
                latest,
            }),
        }
    }

    /// Returns the limits on requests and idle connections of callers.
    pub fn limits(&self) -> &SharedLimits {
        &self.limits
    }

    /// Closes the idle connections to back ends, for lack of descriptors.
    pub fn close_idle(&self) {
        self.pool.close_idle(|_| false);
    }

    /// Returns the admission control by the capacity of the machine's link.
    pub fn gate(&self) -> &LinkGate {
        &self.gate
    }

    /// Returns the estimator of queueing delay on the machine's link.
    pub fn link(&self) -> &Arc<LinkWatch> {
        &self.link
    }

    /// Returns the headers of answers that this version does not read.
    pub fn unread_headers(&self) -> &UnreadHeaders {
        &self.unread_headers
    }

    /// Returns the metrics of the exchange.
    pub fn metrics(&self) -> &ProxyMetrics {
        &self.metrics
    }

    /// Answers one request. Dropping the future aborts the attempt in flight.
    pub async fn serve(&self, mut request: Request<CallerBody>) -> Response<AnswerBody> {
        RelayedRequest::remove(request.headers_mut());
        let (response, _) = self.answer(request, None).await;
        response
    }

    /// Answers one request, which another daemon relayed if `relayed` is set. Returns with the
    /// answer why this daemon generated it, if it did.
    async fn answer(
        &self,
        request: Request<CallerBody>,
        relayed: Option<RelayedRequest>,
    ) -> (Response<AnswerBody>, Result<(), Reason>) {
        let arrival = Arrival {
            read_at: Instant::now(),
            waited: self.link.queueing_delay(),
        };
        let id = text_of(request.headers(), &self.names.request_id).map(str::to_owned);
        let mut request_log = RequestLog::begin(&self.metrics, id, arrival.read_at, arrival.waited);
        if let Some(relayed) = &relayed {
            request_log.relayed_by(&relayed.origin);
        }
        let result = match self.prepare(request, arrival, relayed).await {
            Ok(prepared) => self.forward(prepared, &mut request_log).await,
            Err(reason) => Err(reason),
        };
        match result {
            Ok(received) => {
                request_log.end(OUTCOME_SERVED, received.status);
                let response = forwarded_response(received.status, received.headers, received.body);
                (response, Ok(()))
            }
            Err(reason) => {
                request_log.end(reason.name(), reason.status());
                (local_response(reason), Err(reason))
            }
        }
    }

    async fn prepare(
        &self,
        request: Request<CallerBody>,
        arrival: Arrival,
        relayed: Option<RelayedRequest>,
    ) -> Result<PreparedRequest, Reason> {
        let (mut parts, body) = request.into_parts();
        let head = self.head_of(&parts);
        let (matched, deadline, permit) = match self.admit(&parts, &body, &head, arrival) {
            Ok(admitted) => admitted,
            Err(reason) => {
                discard(body);
                return Err(reason);
            }
        };
        let limits = self.limits.get();
        let reading =
            PreparedBody::read(&parts.headers, body, &limits, deadline.usual, &self.memory);
        let body = reading.await?;
        self.refuse_late(deadline)?;
        strip_connection_headers(&mut parts.headers);
        parts.headers.remove(&self.names.deadline);
        parts.headers.remove(&self.names.target_instance);
        if let PreparedBody::Buffered(bytes) = &body
            && parts.headers.contains_key(CONTENT_LENGTH)
        {
            parts
                .headers
                .insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
        }
        Ok(PreparedRequest {
            parts,
            body,
            id: head.id,
            matched,
            deadline,
            permit,
            relayed,
        })
    }

    /// Returns the route, the deadline and the link permit of a request of which the head was
    /// read.
    fn admit(
        &self,
        parts: &Parts,
        body: &CallerBody,
        head: &RequestHead,
        arrival: Arrival,
    ) -> Result<(Matched, Deadline, LinkPermit), Reason> {
        if self.limits.get().exceeds_header_limit(&parts.headers) {
            return Err(Reason::HeadersTooLong);
        }
        let matched = self.phases.match_request(head).inspect_err(|reason| {
            log::info!(target: LOG, request = head.id, host = head.host, path = head.path,
                outcome = reason.name(); "no route was found");
        })?;
        if matched.limit.is_zero() {
            return Err(Reason::DeadlinePassed);
        }
        // Checked before the deadline: the request has used the link already, whether or not
        // it is served.
        let permit = self.reserve_link(parts, body, &matched)?;
        let deadline = self.deadline_of(arrival, matched.limit)?;
        self.refuse_late(deadline)?;
        Ok((matched, deadline, permit))
    }

    /// Reserves capacity of the link before the body is read.
    fn reserve_link(
        &self,
        parts: &Parts,
        body: &CallerBody,
        matched: &Matched,
    ) -> Result<LinkPermit, Reason> {
        let target = parts
            .uri
            .path_and_query()
            .map_or(0, |path| path.as_str().len());
        let bytes = target as u64 + size_of(&parts.headers) + body.size_hint().lower();
        self.gate.admit(&matched.route, bytes)
    }

    fn head_of(&self, parts: &Parts) -> RequestHead {
        let host = text_of(&parts.headers, &HOST)
            .or_else(|| parts.uri.host())
            .unwrap_or_default();
        let text = |name| text_of(&parts.headers, name).map(str::to_owned);
        RequestHead {
            id: text(&self.names.request_id),
            method: parts.method.clone(),
            host: host.to_owned(),
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().map(str::to_owned),
            affinity_key: text(&self.names.affinity_key),
            caller_timeout: millis_of(&parts.headers, &self.names.deadline),
        }
    }

    async fn forward(
        &self,
        mut prepared: PreparedRequest,
        request_log: &mut RequestLog<'_>,
    ) -> Result<BackendResponse, Reason> {
        let relayed = prepared.relayed.as_ref();
        let mut attempts = Attempts {
            arrived: relayed.map_or(0, |relayed| relayed.attempts),
            ..Attempts::default()
        };
        request_log.matched(&prepared.matched);
        if let Some(answer) = self.phases.ask_for_trial(&prepared.matched) {
            // If no answer arrives in time, the request is refused as if no trial had been requested.
            let _ = timeout(TRIAL_WAIT.min(prepared.time_left()), answer).await;
        }
        self.check_paths();
        loop {
            attempts.token = self.obtain_token(&prepared, &attempts).await;
            let chosen = match attempts.is_path_lost {
                true => Err(Reason::Partitioned),
                false => self.phases.choose(&prepared.matched, &attempts),
            };
            self.start_due_probes(&prepared.matched.service);
            let target = match chosen {
                Ok(target) => target,
                Err(Reason::Partitioned) => {
                    match self.relay(&mut prepared, &mut attempts, request_log).await {
                        Some(result) => return result,
                        // Back ends are tried all the same: some may be reachable.
                        None => {
                            attempts.is_path_lost = false;
                            attempts.ignores_partition = true;
                            continue;
                        }
                    }
                }
                Err(reason) => {
                    let reason = reason_without_backend(&attempts, reason);
                    log::info!(target: LOG, request = prepared.id, service = prepared.matched.service.as_str(),
                        attempt = attempts.arrived + 1, outcome = reason.name(); "no back end was chosen");
                    return Err(reason);
                }
            };
            request_log.sent_to(&target);
            self.note_own_share(&target, &attempts);
            let started = ActiveAttempt {
                phases: Arc::clone(&self.phases),
                target,
                is_resolved: AtomicBool::new(false),
            };
            let result = self
                .attempt_unless_recalled(&mut prepared, &started, &mut attempts)
                .await;
            let failed = match result {
                Ok(received) => {
                    prepared.permit.answered(received.size());
                    return Ok(received);
                }
                Err(failed) => failed,
            };
            self.note_failure(&started.target, &failed);
            self.check_paths();
            attempts.note(&started.target, &failed);
            request_log.failed(failed.failure);
            let retry = self.decide_retry(&prepared, &attempts, failed.failure);
            self.metrics.count_retry(&prepared.matched.service, retry);
            self.log_failure(&prepared, &started.target, &attempts, &failed, retry);
            let was_recalled = failed.failure == AttemptFailure::Recalled;
            if was_recalled {
                self.detect_crash_after_recall(&started.target);
            }
            drop(started);
            if was_recalled && retry.is_granted() {
                sleep(REPORT_WAIT.min(prepared.time_left())).await;
            }
            if !retry.is_granted() {
                return match failed.answer {
                    Some(answer) => Ok(*answer),
                    None => Err(final_reason(&attempts, failed.failure)),
                };
            }
        }
    }

    /// Decides whether the request is sent again after an attempt that failed with `failure`.
    fn decide_retry(
        &self,
        prepared: &PreparedRequest,
        attempts: &Attempts,
        failure: AttemptFailure,
    ) -> RetryVerdict {
        // A silent connection ends an attempt only if the retry was granted.
        if failure == AttemptFailure::Silent
            && let Some(silent) = &attempts.silent_connection
        {
            return silent.retry;
        }
        if prepared.body.is_spent() {
            return RetryVerdict::Denied(RetryDenial::BodySpent);
        }
        let time_left = prepared.time_left();
        self.phases
            .may_retry(&prepared.matched, attempts, failure, time_left)
    }

    /// Handles a broken connection: checks whether the back end still accepts connections.
    fn detect_crash(&self, target: &Target) {
        let phases = Arc::clone(&self.phases);
        let pool = Arc::clone(&self.pool);
        CrashDetector::probe(&self.crash_detector, target, pool, phases);
    }

    fn note_failure(&self, target: &Target, failed: &FailedAttempt) {
        self.phases.failed(target, failed.failure, &failed.report);
        let kind = failed.failure.name();
        self.metrics.failures.with_label_values(&[kind]).inc();
        if failed.is_broken {
            self.detect_crash(target);
        }
    }

    /// Logs the last of `attempts`, which failed.
    fn log_failure(
        &self,
        prepared: &PreparedRequest,
        target: &Target,
        attempts: &Attempts,
        failed: &FailedAttempt,
        retry: RetryVerdict,
    ) {
        let report = &failed.report;
        let budget = retry.budget();
        log::info!(target: LOG,
            request = prepared.id,
            route = prepared.matched.route.name,
            version = prepared.matched.route.version,
            instance = target.id().as_str(),
            rank = target.sent_request.pick.rank,
            load = target.sent_request.pick.load,
            load_age_ms = target.sent_request.pick.load_age_ms,
            cold = target.sent_request.pick.is_cold,
            attempt = attempts.arrived + attempts.unreachable + attempts.refused,
            left_ms = prepared.time_left().as_millis() as u64,
            told_running = report.load.map(|load| load.running),
            told_waiting = report.load.map(|load| load.waiting),
            told_backoff_ms = report.backoff_ms,
            told_draining = report.is_draining.then_some(true),
            retry = retry.name(),
            budget_left = budget.map(|budget| budget.remaining),
            budget_daemons = budget.map(|budget| budget.daemons),
            budget_held = budget.map(|budget| budget.withheld),
            outcome = failed.failure.name();
            "an attempt failed");
    }
}

/// Returns the reason when no further back end was chosen.
fn reason_without_backend(attempts: &Attempts, reason: Reason) -> Reason {
    if attempts.may_have_run {
        Reason::AnswerLost
    } else {
        reason
    }
}

/// Returns the reason when the last attempt failed with `failure`. Once any attempt may have
/// run, the answer must not promise that none did.
fn final_reason(attempts: &Attempts, failure: AttemptFailure) -> Reason {
    match failure {
        AttemptFailure::TimedOut => Reason::TimedOut,
        _ if attempts.may_have_run => Reason::AnswerLost,
        AttemptFailure::Refused
        | AttemptFailure::Unreachable
        | AttemptFailure::Congested
        | AttemptFailure::Partitioned => Reason::Unreachable,
        _ => Reason::Shed,
    }
}
