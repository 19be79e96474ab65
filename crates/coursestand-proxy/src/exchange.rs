//! Runs the phases of a request and does the I/O between them.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use tokio::time::{Instant, timeout, timeout_at};

use crate::answer::{AnswerBody, Reason, own_answer, passed_on};
use crate::answer_times::{AnswerTimes, READING_GRACE};
use crate::caller_limits::SharedLimits;
use crate::collect::{Collected, HELD_BYTES, collect};
use crate::connect_times::ConnectTimes;
use crate::discard::discard;
use crate::header_names::HeaderNames;
use crate::headers::{
    closes_connection, keep_alive_of, load_of, millis_of, size_of, strip_connection_headers,
    text_of,
};
use crate::link_gate::{LinkGate, LinkPermit};
use crate::link_watch::LinkWatch;
use crate::metrics::ProxyMetrics;
use crate::phases::{
    AttemptFailure, Attempts, Matched, RequestHead, RequestPhases, Silence, Target,
};
use crate::pool::{Connection, Pool, RequestBody};
use crate::prepared_body::PreparedBody;
use crate::story::Story;
use crate::streamed_body::StreamedBody;
use crate::verdict::{Verdict, judge};
use coursestand_model::Millis;
use coursestand_routing::LoadReport;

const LOG: &str = "proxy";
/// Part of the time left that making a connection may take.
const CONNECT_PART: u32 = 3;
/// A back end stops at the deadline; its word of that needs a moment to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(80);

/// How sending a request on a connection ended.
type SendOutcome = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

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
    limits: SharedLimits,
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
    /// Load that the back end told, if it answered.
    load: Option<LoadReport>,
}

impl FailedAttempt {
    fn of(failure: AttemptFailure) -> FailedAttempt {
        FailedAttempt {
            failure,
            answer: None,
            load: None,
        }
    }

    /// Whether the same back end may get the request again, which knows its object:
    /// it refused though it says that nothing waits there, or the connection failed
    /// and not the back end.
    fn leaves_back_end_open(&self) -> bool {
        match self.failure {
            AttemptFailure::Shed => self.load.is_some_and(|load| load.waiting == 0),
            AttemptFailure::Silent => true,
            _ => false,
        }
    }
}

/// Keeps a back end counted as having the request until dropped.
struct Started {
    phases: Arc<dyn RequestPhases>,
    target: Target,
}

impl Drop for Started {
    fn drop(&mut self) {
        self.phases.finished(&self.target);
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
            phases,
            names,
            pool,
            metrics,
            gate: Arc::new(LinkGate::default()),
            link: Arc::default(),
            connect_times: ConnectTimes::default(),
            answer_times: AnswerTimes::default(),
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
            return Err(Reason::LinkFull {
                drained_in_ms: arrival.waited.as_millis() as Millis,
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
            host: host.to_owned(),
            path: parts.uri.path().to_owned(),
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
        loop {
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
            let started = Started {
                phases: Arc::clone(&self.phases),
                target,
            };
            let result = self.attempt(&mut prepared, &started, &mut attempts).await;
            let failed = match result {
                Ok(received) => {
                    prepared.permit.answered(received.size());
                    return Ok(received);
                }
                Err(failed) => failed,
            };
            self.note_failure(&prepared, &started.target, &attempts, &failed);
            if !failed.leaves_back_end_open() {
                attempts.tried.push(started.target.id().clone());
            }
            let FailedAttempt {
                failure, answer, ..
            } = failed;
            attempts.may_have_run |= failure.may_have_run();
            if failure == AttemptFailure::Unreachable {
                attempts.unreachable += 1;
            } else {
                attempts.arrived += 1;
            }
            drop(started);
            let left = prepared.deadline.saturating_duration_since(Instant::now());
            // Only a silence of which the repeat was granted ends an attempt.
            let may_retry = failure == AttemptFailure::Silent
                || !prepared.body.is_spent()
                    && self
                        .phases
                        .may_retry(&prepared.matched, &attempts, failure, left);
            if !may_retry {
                return match answer {
                    Some(answer) => Ok(*answer),
                    None => Err(final_reason(&attempts, failure)),
                };
            }
            self.metrics.retries.inc();
        }
    }

    fn note_failure(
        &self,
        prepared: &Prepared,
        target: &Target,
        attempts: &Attempts,
        failed: &FailedAttempt,
    ) {
        self.phases.failed(target, failed.failure, failed.load);
        let kind = failed.failure.name();
        self.metrics.failures.with_label_values(&[kind]).inc();
        let left = prepared.deadline.saturating_duration_since(Instant::now());
        log::info!(target: LOG,
            request = prepared.id,
            route = prepared.matched.route.name,
            version = prepared.matched.route.version,
            instance = target.id().as_str(),
            rank = target.asked.pick.rank,
            load = target.asked.pick.load,
            load_age_ms = target.asked.pick.load_age_ms,
            cold = target.asked.pick.is_cold,
            attempt = attempts.arrived + attempts.unreachable + 1,
            left_ms = left.as_millis() as u64,
            told_running = failed.load.map(|load| load.running),
            told_waiting = failed.load.map(|load| load.waiting),
            outcome = kind;
            "an attempt failed");
    }

    /// Sends the request to one back end and takes its answer in.
    async fn attempt(
        &self,
        prepared: &mut Prepared,
        started: &Started,
        attempts: &mut Attempts,
    ) -> Result<Received, FailedAttempt> {
        let target = &started.target;
        let give_up = prepared.deadline + ANSWER_GRACE;
        let (response, connection) = self.send(prepared, target, attempts, give_up).await?;
        let (head, body) = response.into_parts();
        let verdict = judge(
            &self.names,
            prepared.id.as_deref(),
            head.status,
            &head.headers,
        );
        if let Verdict::Foreign(what) = verdict {
            log::info!(target: LOG, request = prepared.id, instance = target.id().as_str(),
                status = head.status.as_u16(); "not the answer to this request: {what}");
            return Err(FailedAttempt::of(AttemptFailure::Lost));
        }
        let length: Option<usize> =
            text_of(&head.headers, &CONTENT_LENGTH).and_then(|text| text.parse().ok());
        let held = if length.is_some_and(|length| length > HELD_BYTES) {
            Ok(Ok(Collected::Part(Bytes::new(), body)))
        } else {
            timeout_at(give_up, collect(body, HELD_BYTES)).await
        };
        let collected = match held {
            Ok(Ok(collected)) => collected,
            Ok(Err(_)) => return Err(FailedAttempt::of(AttemptFailure::Lost)),
            Err(_) => return Err(FailedAttempt::of(AttemptFailure::TimedOut)),
        };
        let load = load_of(&head.headers, &self.names.server_load);
        let keep_alive = keep_alive_of(&head.headers);
        let closes = closes_connection(&head.headers);
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        let body = match collected {
            Collected::Whole(bytes) => {
                if !closes {
                    let pool = Arc::clone(&self.pool);
                    let incarnation = target.incarnation.clone();
                    tokio::spawn(async move {
                        pool.give_back(incarnation, connection, keep_alive).await
                    });
                }
                Either::Left(Full::new(bytes))
            }
            Collected::Part(first, rest) => {
                Either::Right(StreamedBody::new(first, rest, connection))
            }
        };
        let received = Received {
            status: head.status,
            headers,
            body,
        };
        match verdict {
            Verdict::Shed => Err(FailedAttempt {
                load,
                ..FailedAttempt::of(AttemptFailure::Shed)
            }),
            Verdict::Misdirected => Err(FailedAttempt::of(AttemptFailure::Misdirected)),
            _ => {
                self.phases.answered(target, load);
                let failed = received.status.is_server_error();
                if failed && prepared.matched.route.route.kind.is_repeatable() {
                    return Err(FailedAttempt {
                        failure: AttemptFailure::Failed,
                        answer: Some(Box::new(received)),
                        load,
                    });
                }
                Ok(received)
            }
        }
    }

    /// Sends on an idle connection, or on a new one; after a silence only on a new
    /// one. A request that was not written is sent on the next.
    async fn send(
        &self,
        prepared: &mut Prepared,
        target: &Target,
        attempts: &mut Attempts,
        give_up: Instant,
    ) -> Result<(Response<Incoming>, Connection), FailedAttempt> {
        let mut request = self.request_for(prepared, target)?;
        loop {
            let kept = match attempts.silence {
                None => self.pool.take(&target.incarnation),
                Some(_) => None,
            };
            let mut connection = match kept {
                Some(connection) => connection,
                None => match self.open(prepared.deadline, target).await {
                    Ok(connection) => connection,
                    Err(failed) => {
                        prepared.body.give_back(request.into_body());
                        return Err(failed);
                    }
                },
            };
            self.refresh_deadline(prepared, &mut request);
            let is_reused = connection.is_reused;
            let sending = connection.sender.try_send_request(request);
            let outcome = self
                .answer_to(sending, prepared, target, attempts, give_up)
                .await
                .map_err(FailedAttempt::of)?;
            let mut error = match outcome {
                Ok(response) => return Ok((response, connection)),
                Err(error) => error,
            };
            // Only a request that comes back whole was not written.
            match error.take_message() {
                Some(unsent) if is_reused => request = unsent,
                Some(unsent) => {
                    prepared.body.give_back(unsent.into_body());
                    return Err(FailedAttempt::of(AttemptFailure::Unreachable));
                }
                None => return Err(FailedAttempt::of(AttemptFailure::Lost)),
            }
        }
    }

    /// Waits for the first bytes of the answer. A connection that brings none for far
    /// longer than usual is broken off if the request may be repeated; once, since a
    /// second silence comes from the back end.
    async fn answer_to(
        &self,
        sending: impl Future<Output = SendOutcome>,
        prepared: &Prepared,
        target: &Target,
        attempts: &mut Attempts,
        give_up: Instant,
    ) -> Result<SendOutcome, AttemptFailure> {
        tokio::pin!(sending);
        let sent_at = Instant::now();
        if let Some(limit) = self.silence_limit(prepared, target, attempts) {
            let mut outcome = timeout(limit, sending.as_mut()).await;
            if outcome.is_err() {
                outcome = timeout(READING_GRACE, sending.as_mut()).await;
            }
            if let Ok(outcome) = outcome {
                self.note_answer(&outcome, target, sent_at, attempts);
                return Ok(outcome);
            }
            self.pool.distrust(&target.incarnation, sent_at);
            if self.may_repeat_silent(prepared, attempts, limit) {
                attempts.silence = Some(Silence {
                    backend: target.incarnation.clone(),
                    sent_at,
                });
                return Err(AttemptFailure::Silent);
            }
        }
        let outcome = timeout_at(give_up, sending)
            .await
            .map_err(|_| AttemptFailure::TimedOut)?;
        self.note_answer(&outcome, target, sent_at, attempts);
        Ok(outcome)
    }

    fn silence_limit(
        &self,
        prepared: &Prepared,
        target: &Target,
        attempts: &Attempts,
    ) -> Option<Duration> {
        if attempts.silence.is_some() || prepared.body.is_spent() {
            return None;
        }
        self.answer_times
            .silence_limit(&target.service, &target.zone)
            .filter(|limit| *limit < prepared.left())
    }

    /// Whether a request that got no answer for `waited` may be sent on a new
    /// connection. Takes what that costs from the budget.
    fn may_repeat_silent(
        &self,
        prepared: &Prepared,
        attempts: &Attempts,
        waited: Duration,
    ) -> bool {
        let left = prepared.left();
        let failed = Attempts {
            arrived: attempts.arrived + 1,
            ..attempts.clone()
        };
        let silent = AttemptFailure::Silent;
        left >= waited
            && self
                .phases
                .may_retry(&prepared.matched, &failed, silent, left)
    }

    /// Learns from an answer how long answers take, and that an earlier connection
    /// to the same back end was silent.
    fn note_answer(
        &self,
        outcome: &SendOutcome,
        target: &Target,
        sent_at: Instant,
        attempts: &Attempts,
    ) {
        if outcome.is_err() {
            return;
        }
        self.answer_times
            .note(&target.service, &target.zone, sent_at.elapsed());
        if let Some(silence) = &attempts.silence
            && silence.backend == target.incarnation
        {
            self.pool.note_silence(silence);
        }
    }

    async fn open(&self, deadline: Instant, target: &Target) -> Result<Connection, FailedAttempt> {
        let started = Instant::now();
        let left = deadline.saturating_duration_since(started);
        let limit = self.connect_times.limit(&target.zone);
        self.metrics.connections.inc();
        let connection = self
            .pool
            .open(target.address, limit.min(left / CONNECT_PART))
            .await
            .map_err(|_| FailedAttempt::of(AttemptFailure::Unreachable))?;
        let took = started.elapsed();
        self.link.note_round_trip(target.zone.as_str(), took);
        let delay = self.connect_times.note(&target.zone, took);
        self.gate.note_delay(delay.as_secs_f64() * 1_000.0);
        Ok(connection)
    }

    fn request_for(
        &self,
        prepared: &mut Prepared,
        target: &Target,
    ) -> Result<Request<RequestBody>, FailedAttempt> {
        let Some(body) = prepared.body.take() else {
            return Err(FailedAttempt::of(AttemptFailure::Lost));
        };
        let mut request = Request::new(body);
        *request.method_mut() = prepared.parts.method.clone();
        *request.uri_mut() = prepared.parts.uri.clone();
        *request.headers_mut() = prepared.parts.headers.clone();
        if let Ok(id) = HeaderValue::from_str(target.id().as_str()) {
            request
                .headers_mut()
                .insert(self.names.target_instance.clone(), id);
        }
        Ok(request)
    }

    /// Tells the back end what is left of the time.
    fn refresh_deadline(&self, prepared: &Prepared, request: &mut Request<RequestBody>) {
        let left = prepared.deadline.saturating_duration_since(Instant::now());
        let left = left.as_millis().max(1) as u64;
        request
            .headers_mut()
            .insert(self.names.deadline.clone(), HeaderValue::from(left));
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
