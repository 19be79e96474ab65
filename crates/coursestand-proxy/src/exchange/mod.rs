//! Runs the phases of a request and does the I/O between them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout};

use crate::answer::{AnswerBody, Reason, own_answer, passed_on};
use crate::answer_times::AnswerTimes;
use crate::caller_limits::SharedLimits;
use crate::connect_times::ConnectTimes;
use crate::discard::discard;
use crate::end_watch::EndWatch;
use crate::header_names::HeaderNames;
use crate::headers::{millis_of, size_of, strip_connection_headers, text_of};
use crate::link_gate::{LinkGate, LinkPermit};
use crate::link_watch::LinkWatch;
use crate::metrics::ProxyMetrics;
use crate::phases::{
    AttemptEnding, AttemptFailure, Attempts, Matched, RequestHead, RequestPhases, Target,
};
use crate::pool::Pool;
use crate::prepared_body::PreparedBody;
use crate::retry::{RetryDenial, RetryVerdict};
use crate::story::Story;
use crate::unread_headers::UnreadHeaders;
use coursestand_model::Millis;
use coursestand_routing::BackendReport;

mod attempt;
mod tokens;

const LOG: &str = "proxy";
/// Longest time after which a caller is told to come back whose request waited too long:
/// that of the admission. A process that stood still for longer is quick again at once.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How long a request waits for leave to be tried.
const TRIAL_WAIT: Duration = Duration::from_millis(300);

/// Takes requests from callers to back ends.
pub struct Exchange {
    phases: Arc<dyn RequestPhases>,
    names: HeaderNames,
    pool: Arc<Pool>,
    metrics: ProxyMetrics,
    gate: Arc<LinkGate>,
    link: Arc<LinkWatch>,
    connect_times: ConnectTimes,
    answer_times: AnswerTimes,
    ends: Arc<EndWatch>,
    limits: SharedLimits,
    unread_headers: UnreadHeaders,
    /// When the process ends, once a planned stop has begun.
    end: OnceLock<Instant>,
}

/// When a request's head was read, and how long it had waited before.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    read_at: Instant,
    waited: Duration,
}

/// A request that was read and matched.
struct Prepared {
    parts: Parts,
    body: PreparedBody,
    id: Option<String>,
    matched: Matched,
    deadline: Instant,
    permit: LinkPermit,
}

impl Prepared {
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// A back end's answer.
struct Received {
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
}

impl Received {
    /// Bytes of its head and its body, as far as they are known.
    fn size(&self) -> u64 {
        size_of(&self.headers) + self.body.size_hint().lower()
    }
}

/// An attempt without an answer that settles the request.
struct FailedAttempt {
    failure: AttemptFailure,
    /// The back end's own answer, to be passed on when there is no other attempt.
    answer: Option<Box<Received>>,
    /// What the back end said of itself, if it answered.
    report: BackendReport,
    /// Whether the connection broke before the answer was whole.
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

    /// The connection broke while the request was under way.
    fn broken() -> FailedAttempt {
        FailedAttempt {
            is_broken: true,
            ..FailedAttempt::of(AttemptFailure::Lost)
        }
    }

    /// Whether the same back end may get the request again, which knows its object:
    /// it refused though it says that nothing waits there, the connection failed and not
    /// the back end, or nothing was sent. A back-off keeps it out by itself, and its end
    /// is when a request that finds no other place may come back.
    fn leaves_back_end_open(&self) -> bool {
        match self.failure {
            AttemptFailure::Shed => {
                let report = &self.report;
                report.backoff_ms.is_some() || report.load.is_some_and(|load| load.waiting == 0)
            }
            AttemptFailure::Silent | AttemptFailure::Withdrawn => true,
            _ => false,
        }
    }
}

impl Attempts {
    /// One at `target` failed.
    fn note(&mut self, target: &Target, failed: &FailedAttempt) {
        if !failed.leaves_back_end_open() {
            self.tried.push(target.id().clone());
        }
        self.may_have_run |= failed.failure.may_have_run();
        if failed.is_broken {
            self.broken_backends.push(target.memory);
        }
        if failed.failure.reached_back_end() {
            self.arrived += 1;
        } else {
            self.unreachable += 1;
        }
    }
}

/// Keeps a back end counted as having the request until dropped.
struct Started {
    phases: Arc<dyn RequestPhases>,
    target: Target,
    is_settled: AtomicBool,
}

impl Started {
    /// The back end has read the request, or never will.
    fn settle(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        let ending = match self.is_settled.load(Ordering::Relaxed) {
            true => AttemptEnding::Settled,
            false => AttemptEnding::InDoubt,
        };
        self.phases.finished(&self.target, ending);
    }
}

impl Exchange {
    /// An exchange that decides by `phases`.
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
            metrics,
            gate: Arc::new(LinkGate::default()),
            link: Arc::default(),
            connect_times: ConnectTimes::default(),
            answer_times: AnswerTimes::default(),
            ends: Arc::default(),
            limits: SharedLimits::default(),
            end: OnceLock::new(),
        }
    }

    /// A planned stop has begun, and the process ends at `end`. A request that
    /// comes from now on is given up before that, so that none is cut off.
    pub fn ends_at(&self, end: Instant) {
        // The first planned stop counts.
        let _ = self.end.set(end);
    }

    /// When a request is given up that may take `limit` from when its caller sent it, or
    /// why it is refused.
    ///
    /// The wait before it was read counts: behind a queue of 0.6 s on the link, every
    /// request that reached its time-out of 1 s was answered 0.68 s later, and now within
    /// half a second; one whose time was over when it was read is refused instead of run
    /// for nobody (`coursestand-daemon/tests/following/late_requests.rs`).
    fn deadline_of(&self, arrival: Arrival, limit: Duration) -> Result<Instant, Reason> {
        if limit <= arrival.waited {
            let drained_in = arrival.waited.min(LONGEST_PAUSE);
            return Err(Reason::LinkFull {
                drained_in_ms: drained_in.as_millis() as Millis,
            });
        }
        let deadline = arrival.read_at + (limit - arrival.waited);
        match self.end.get() {
            Some(end) if *end <= arrival.read_at => Err(Reason::Stopping),
            Some(end) => Ok(deadline.min(*end)),
            None => Ok(deadline),
        }
    }

    /// What callers may send and for how long they may rest.
    pub fn limits(&self) -> &SharedLimits {
        &self.limits
    }

    /// Closes connections to back ends that rest, for want of descriptors.
    pub fn close_idle(&self) {
        self.pool.close_idle(|_| false);
    }

    /// Admits requests by the room on the machine's link.
    pub fn gate(&self) -> &LinkGate {
        &self.gate
    }

    /// Where round trips over the machine's link are noted.
    pub fn link(&self) -> &Arc<LinkWatch> {
        &self.link
    }

    /// Headers of back ends' answers that nothing reads.
    pub fn unread_headers(&self) -> &UnreadHeaders {
        &self.unread_headers
    }

    /// Metrics of the exchange.
    pub fn metrics(&self) -> &ProxyMetrics {
        &self.metrics
    }

    /// Answers one request. Dropped before its end, it breaks off what it sent.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrival = Arrival {
            read_at: Instant::now(),
            waited: self.link.waited(),
        };
        let id = text_of(request.headers(), &self.names.request_id).map(str::to_owned);
        let mut story = Story::begin(&self.metrics, id, arrival.read_at, arrival.waited);
        let result = match self.prepare(request, arrival).await {
            Ok(prepared) => self.carry_out(prepared, &mut story).await,
            Err(reason) => Err(reason),
        };
        match result {
            Ok(received) => {
                story.end("served", received.status);
                passed_on(received.status, received.headers, received.body)
            }
            Err(reason) => {
                story.end(reason.name(), reason.status());
                own_answer(reason)
            }
        }
    }

    async fn prepare(
        &self,
        request: Request<Incoming>,
        arrival: Arrival,
    ) -> Result<Prepared, Reason> {
        let (mut parts, body) = request.into_parts();
        let head = self.head_of(&parts);
        let (matched, deadline, permit) = match self.admit(&parts, &body, &head, arrival) {
            Ok(admitted) => admitted,
            Err(reason) => {
                discard(body);
                return Err(reason);
            }
        };
        let longest = self.limits.get().body_bytes;
        let body = PreparedBody::read(&parts.headers, body, longest, deadline).await?;
        strip_connection_headers(&mut parts.headers);
        parts.headers.remove(&self.names.deadline);
        parts.headers.remove(&self.names.target_instance);
        if let PreparedBody::Held(bytes) = &body
            && parts.headers.contains_key(CONTENT_LENGTH)
        {
            parts
                .headers
                .insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
        }
        Ok(Prepared {
            parts,
            body,
            id: head.id,
            matched,
            deadline,
            permit,
        })
    }

    /// The route and the deadline of a request of which the head was read, and its room
    /// on the link.
    fn admit(
        &self,
        parts: &Parts,
        body: &Incoming,
        head: &RequestHead,
        arrival: Arrival,
    ) -> Result<(Matched, Instant, LinkPermit), Reason> {
        if self.limits.get().are_too_long(&parts.headers) {
            return Err(Reason::HeadersTooLong);
        }
        let matched = self.phases.match_request(head).inspect_err(|reason| {
            log::info!(target: LOG, request = head.id, host = head.host, path = head.path,
                outcome = reason.name(); "no route was found");
        })?;
        if matched.limit.is_zero() {
            return Err(Reason::DeadlinePassed);
        }
        // First: what came has passed the link, whatever becomes of it.
        let permit = self.make_room(parts, body, &matched)?;
        let deadline = self.deadline_of(arrival, matched.limit)?;
        Ok((matched, deadline, permit))
    }

    /// Asks for room on the link, before the body is read.
    fn make_room(
        &self,
        parts: &Parts,
        body: &Incoming,
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
            patience: millis_of(&parts.headers, &self.names.deadline),
        }
    }

    async fn carry_out(
        &self,
        mut prepared: Prepared,
        story: &mut Story<'_>,
    ) -> Result<Received, Reason> {
        let mut attempts = Attempts::default();
        story.matched(&prepared.matched);
        if let Some(answer) = self.phases.ask_for_trial(&prepared.matched) {
            // Without an answer in time the request is refused as it would be without asking.
            let _ = timeout(TRIAL_WAIT.min(prepared.left()), answer).await;
        }
        loop {
            attempts.token = self.obtain_token(&prepared, &attempts).await;
            let target = match self.phases.choose(&prepared.matched, &attempts) {
                Ok(target) => target,
                Err(reason) => {
                    let reason = reason_after(&attempts, reason);
                    log::info!(target: LOG, request = prepared.id, service = prepared.matched.service.as_str(),
                        attempt = attempts.arrived + 1, outcome = reason.name(); "no back end was chosen");
                    return Err(reason);
                }
            };
            story.sent_to(&target);
            self.note_own_part(&target, &attempts);
            let started = Started {
                phases: Arc::clone(&self.phases),
                target,
                is_settled: AtomicBool::new(false),
            };
            let result = self.attempt(&mut prepared, &started, &mut attempts).await;
            let failed = match result {
                Ok(received) => {
                    prepared.permit.answered(received.size());
                    return Ok(received);
                }
                Err(failed) => failed,
            };
            self.note_failure(&started.target, &failed);
            attempts.note(&started.target, &failed);
            let retry = self.retry_after(&prepared, &attempts, failed.failure);
            self.metrics.count_retry(&prepared.matched.service, retry);
            self.tell_failure(&prepared, &started.target, &attempts, &failed, retry);
            drop(started);
            if !retry.is_granted() {
                return match failed.answer {
                    Some(answer) => Ok(*answer),
                    None => Err(final_reason(&attempts, failed.failure)),
                };
            }
        }
    }

    /// Whether the request is sent again after an attempt that ended by `failure`.
    fn retry_after(
        &self,
        prepared: &Prepared,
        attempts: &Attempts,
        failure: AttemptFailure,
    ) -> RetryVerdict {
        // Only a silence of which the retry was granted ends an attempt.
        if failure == AttemptFailure::Silent
            && let Some(silence) = &attempts.silence
        {
            return silence.retry;
        }
        if prepared.body.is_spent() {
            return RetryVerdict::Denied(RetryDenial::BodySpent);
        }
        let left = prepared.left();
        self.phases
            .may_retry(&prepared.matched, attempts, failure, left)
    }

    /// A connection to the back end broke: looks whether anybody is still at its address.
    fn look_for_end(&self, target: &Target) {
        let phases = Arc::clone(&self.phases);
        let pool = Arc::clone(&self.pool);
        EndWatch::look(&self.ends, target, pool, phases);
    }

    fn note_failure(&self, target: &Target, failed: &FailedAttempt) {
        self.phases.failed(target, failed.failure, &failed.report);
        let kind = failed.failure.name();
        self.metrics.failures.with_label_values(&[kind]).inc();
        if failed.is_broken {
            self.look_for_end(target);
        }
    }

    /// Tells of the last of `attempts`, which failed.
    fn tell_failure(
        &self,
        prepared: &Prepared,
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
            rank = target.asked.pick.rank,
            load = target.asked.pick.load,
            load_age_ms = target.asked.pick.load_age_ms,
            cold = target.asked.pick.is_cold,
            attempt = attempts.arrived + attempts.unreachable,
            left_ms = prepared.left().as_millis() as u64,
            told_running = report.load.map(|load| load.running),
            told_waiting = report.load.map(|load| load.waiting),
            told_backoff_ms = report.backoff_ms,
            told_draining = report.is_draining.then_some(true),
            retry = retry.name(),
            budget_left = budget.map(|budget| budget.left),
            budget_daemons = budget.map(|budget| budget.daemons),
            budget_held = budget.map(|budget| budget.held),
            outcome = failed.failure.name();
            "an attempt failed");
    }
}

/// The reason when no further back end was chosen.
fn reason_after(attempts: &Attempts, reason: Reason) -> Reason {
    if attempts.may_have_run {
        Reason::AnswerLost
    } else {
        reason
    }
}

/// The reason when `failure` was the last attempt. Once any attempt may have run,
/// the answer must not promise that none did.
fn final_reason(attempts: &Attempts, failure: AttemptFailure) -> Reason {
    match failure {
        AttemptFailure::TimedOut => Reason::TimedOut,
        _ if attempts.may_have_run => Reason::AnswerLost,
        AttemptFailure::Unreachable => Reason::Unreachable,
        _ => Reason::Shed,
    }
}
