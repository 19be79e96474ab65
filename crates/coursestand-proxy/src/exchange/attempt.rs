//! One attempt at a back end: obtains a connection, sends the request and reads the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coursestand_routing::{BackendReport, ConnectionAge, PathUse, RateLimitSignal};
use http::header::HeaderValue;
use http::{Request, Response};
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use super::{ActiveAttempt, BackendResponse, Exchange, FailedAttempt, LOG, PreparedRequest};
use crate::answer_times::READING_GRACE;
use crate::collect::{Collected, MAX_BUFFERED_BYTES, collect};
use crate::connect_times::connect_failure;
use crate::headers::strip_answer_headers;
use crate::memory_budget::{MemoryKind, MemoryPermit, NoRoom, STREAM_BYTES};
use crate::phases::{AttemptEnding, AttemptFailure, Attempts, SilentConnection, Target};
use crate::pool::{Connection, RequestBody};
use crate::response_metadata::ResponseMetadata;
use crate::retry::{RetryDenial, RetryVerdict};
use crate::streamed_body::StreamedBody;
use crate::verdict::{Verdict, judge};

/// Divisor of the time left that gives the maximum time for connecting.
const CONNECT_TIME_DIVISOR: u32 = 2;
/// Time for an answer to arrive that the back end sent at the deadline.
pub(super) const ANSWER_GRACE: Duration = Duration::from_millis(80);

/// What has been read of an answer's body.
pub(super) enum CollectedAnswer {
    /// The complete body.
    Complete(Bytes),
    /// Its first parts; the remaining stream follows.
    Partial {
        first: [Bytes; 2],
        rest: Incoming,
        memory: MemoryPermit,
    },
}

/// Why the body of an answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LostBody {
    /// The connection broke.
    Broken,
    /// There was no memory for it.
    NoRoom,
}

/// Result of sending a request on a connection.
type SendOutcome = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

impl Exchange {
    /// Sends the request to one back end and reads its answer.
    pub(super) async fn attempt(
        &self,
        prepared: &mut PreparedRequest,
        started: &ActiveAttempt,
        attempts: &mut Attempts,
    ) -> Result<BackendResponse, FailedAttempt> {
        let target = &started.target;
        let sent = self.send(prepared, target, attempts).await;
        let failure = sent.as_ref().err().map(|failed| failed.failure);
        if failure.is_none_or(|failure| failure.ending() == AttemptEnding::Resolved) {
            started.mark_resolved();
        }
        let (response, mut connection) = sent?;
        let (head, body) = response.into_parts();
        let verdict = judge(
            &self.names,
            prepared.id.as_deref(),
            head.status,
            &head.headers,
        );
        // The metadata of another instance at the address does not describe this one.
        let metadata = match verdict {
            Verdict::Misdirected => ResponseMetadata::default(),
            _ => ResponseMetadata::read(&self.names, head.status, &head.headers),
        };
        let failure = |failure| FailedAttempt {
            report: metadata.report,
            ..FailedAttempt::of(failure)
        };
        self.apply_signals(target, &metadata.report);
        self.unread_headers
            .note(&self.names, target.id().as_str(), &head.headers);
        if let Verdict::Foreign(what) = verdict {
            log::info!(target: LOG, request = prepared.id, instance = target.id().as_str(),
                status = head.status.as_u16(); "not the answer to this request: {what}");
            return Err(failure(AttemptFailure::Lost));
        }
        let collected = match self.collect_answer(prepared, body).await {
            Ok(Ok(collected)) => collected,
            Ok(Err(LostBody::NoRoom)) => return Err(failure(AttemptFailure::Lost)),
            Ok(Err(LostBody::Broken)) => {
                return Err(FailedAttempt {
                    is_broken: true,
                    ..failure(AttemptFailure::Lost)
                });
            }
            Err(_) => return Err(failure(AttemptFailure::TimedOut)),
        };
        let is_repeatable = prepared.matched.route.route.kind.is_repeatable();
        let is_final = match verdict {
            Verdict::Genuine => !(head.status.is_server_error() && is_repeatable),
            _ => false,
        };
        if !is_final {
            connection.note_repeatable(prepared.id.as_deref(), prepared.deadline.latest);
        }
        let mut headers = head.headers;
        strip_answer_headers(&prepared.parts.method, &mut headers);
        let body = match collected {
            CollectedAnswer::Complete(bytes) => {
                connection.answer_completed();
                if !metadata.closes {
                    let pool = Arc::clone(&self.pool);
                    let incarnation = target.incarnation.clone();
                    tokio::spawn(async move {
                        pool.give_back(incarnation, connection, metadata.keep_alive)
                            .await
                    });
                }
                Either::Left(Full::new(bytes))
            }
            CollectedAnswer::Partial {
                first,
                rest,
                memory,
            } => {
                let ends_at = prepared.deadline.latest + ANSWER_GRACE;
                Either::Right(StreamedBody::new(first, rest, connection, ends_at, memory))
            }
        };
        let received = BackendResponse {
            status: head.status,
            headers,
            body,
        };
        match verdict {
            Verdict::Shed => Err(failure(AttemptFailure::Shed)),
            Verdict::Misdirected => Err(failure(AttemptFailure::Misdirected)),
            _ => {
                self.phases.answered(target, &metadata.report);
                if is_final {
                    return Ok(received);
                }
                Err(FailedAttempt {
                    answer: Some(Box::new(received)),
                    ..failure(AttemptFailure::Failed)
                })
            }
        }
    }

    /// Reads a body up to its end, or as much of it as is buffered.
    pub(super) async fn collect_answer(
        &self,
        prepared: &PreparedRequest,
        mut body: Incoming,
    ) -> Result<Result<CollectedAnswer, LostBody>, Elapsed> {
        if body.size_hint().lower() > MAX_BUFFERED_BYTES as u64 {
            return Ok(self.stream_answer([Bytes::new(), Bytes::new()], body));
        }
        let permit = self.memory.hold(MemoryKind::Answer);
        // Leaves room for the answer to be streamed.
        let collecting = collect(&mut body, MAX_BUFFERED_BYTES, permit, STREAM_BYTES);
        Ok(match self.within_deadline(prepared, collecting).await? {
            Ok(Collected::Complete(bytes)) => Ok(CollectedAnswer::Complete(bytes)),
            Ok(Collected::Partial(first)) => self.stream_answer([first, Bytes::new()], body),
            Ok(Collected::NoRoom(first)) => self.stream_answer(first, body),
            Err(_) => Err(LostBody::Broken),
        })
    }

    fn stream_answer(
        &self,
        first: [Bytes; 2],
        rest: Incoming,
    ) -> Result<CollectedAnswer, LostBody> {
        match self.memory.stream() {
            Ok(memory) => Ok(CollectedAnswer::Partial {
                first,
                rest,
                memory,
            }),
            Err(NoRoom) => Err(LostBody::NoRoom),
        }
    }

    /// Applies and counts the signals of a back end in the head of an answer.
    fn apply_signals(&self, target: &Target, report: &BackendReport) {
        self.phases.head_received(target, report);
        let counters = &self.metrics.backend_signals;
        if report.backoff_ms.is_some() {
            counters.with_label_values(&["backoff"]).inc();
        }
        if report.is_draining {
            counters.with_label_values(&["draining"]).inc();
        }
        if matches!(report.rate, RateLimitSignal::Limited(_)) {
            counters.with_label_values(&["rate-limit"]).inc();
        }
    }

    /// Sends the request on an idle connection that has not carried it before, or on a new one;
    /// after a silent connection only on a new one. A request that was not written is sent on the
    /// next connection.
    async fn send(
        &self,
        prepared: &mut PreparedRequest,
        target: &Target,
        attempts: &mut Attempts,
    ) -> Result<(Response<Incoming>, Connection), FailedAttempt> {
        let mut request = self.request_for(prepared, target)?;
        loop {
            let idle = match attempts.silent_connection {
                None => self.pool.take(&target.incarnation, prepared.id.as_deref()),
                Some(_) => None,
            };
            let mut connection = match idle {
                Some(connection) => connection,
                None if target.path_use < PathUse::Open => {
                    prepared.body.give_back(request.into_body());
                    return Err(FailedAttempt::of(AttemptFailure::Partitioned));
                }
                None => match self.open(prepared.deadline.usual, target).await {
                    Ok(connection) => connection,
                    Err(failed) => {
                        prepared.body.give_back(request.into_body());
                        return Err(failed);
                    }
                },
            };
            if !self.phases.may_still_send(target) {
                prepared.body.give_back(request.into_body());
                return Err(FailedAttempt::of(AttemptFailure::Withdrawn));
            }
            self.refresh_deadline(prepared, &mut request);
            let is_reused = connection.is_reused;
            let age = match is_reused {
                true => ConnectionAge::Kept,
                false => ConnectionAge::New,
            };
            self.phases.request_sent(target);
            let sending = connection.send(request);
            let outcome = self
                .await_response(sending, prepared, target, attempts)
                .await
                .map_err(|failure| {
                    self.phases.path_failed(target, age);
                    FailedAttempt::of(failure)
                })?;
            let mut error = match outcome {
                Ok(response) => {
                    self.phases.path_answered(target, age);
                    return Ok((response, connection));
                }
                Err(error) => error,
            };
            // A request that is handed back whole was not written.
            match error.take_message() {
                Some(unsent) if is_reused => request = unsent,
                Some(unsent) => {
                    self.phases.path_failed(target, age);
                    prepared.body.give_back(unsent.into_body());
                    return Err(FailedAttempt::of(AttemptFailure::Unreachable));
                }
                None => {
                    self.phases.path_failed(target, age);
                    return Err(FailedAttempt::broken());
                }
            }
        }
    }

    /// Waits for the first bytes of the answer. A connection that brings none for far longer
    /// than usual is closed if the request may be repeated. This is done only once per
    /// request, since a second silence is caused by the back end.
    async fn await_response(
        &self,
        sending: impl Future<Output = SendOutcome>,
        prepared: &PreparedRequest,
        target: &Target,
        attempts: &mut Attempts,
    ) -> Result<SendOutcome, AttemptFailure> {
        tokio::pin!(sending);
        let sent_at = Instant::now();
        let may_retry = attempts.silent_connection.is_none() && !prepared.body.is_spent();
        if may_retry {
            let is_silent = tokio::select! {
                biased;
                outcome = sending.as_mut() => {
                    self.note_answer(&outcome, target, sent_at, attempts);
                    return Ok(outcome);
                }
                is_silent = self.silence(prepared, target) => is_silent,
            };
            if is_silent && !self.is_stopping() {
                if let Ok(outcome) = timeout(READING_GRACE, sending.as_mut()).await {
                    self.note_answer(&outcome, target, sent_at, attempts);
                    return Ok(outcome);
                }
                // Checked again: a planned stop may have begun while the answer was awaited.
                if !self.is_stopping() {
                    self.handle_silence(prepared, target, attempts, sent_at)?;
                }
            }
        }
        let outcome = self
            .within_deadline(prepared, sending)
            .await
            .map_err(|_| AttemptFailure::TimedOut)?;
        self.note_answer(&outcome, target, sent_at, attempts);
        Ok(outcome)
    }

    /// Returns whether a planned stop has begun. A stopping daemon lets back ends finish: their
    /// silence does not show whether they are at work.
    fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Handles a connection that counts as silent. Fails the attempt if the request may be sent
    /// again.
    fn handle_silence(
        &self,
        prepared: &PreparedRequest,
        target: &Target,
        attempts: &mut Attempts,
        sent_at: Instant,
    ) -> Result<(), AttemptFailure> {
        self.pool
            .close_unanswered_since(&target.incarnation, sent_at);
        let retry = self.may_retry_silent(prepared, attempts, sent_at.elapsed());
        if !retry.is_granted() {
            self.log_silent_wait(prepared, target, retry);
            return Ok(());
        }
        attempts.silent_connection = Some(SilentConnection {
            backend: target.incarnation.clone(),
            sent_at,
            retry,
        });
        Err(AttemptFailure::Silent)
    }

    /// Waits for a part of the answer until the request is abandoned.
    pub(super) async fn within_deadline<T>(
        &self,
        prepared: &PreparedRequest,
        part: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        tokio::pin!(part);
        let outcome = timeout_at(prepared.deadline.usual + ANSWER_GRACE, part.as_mut()).await;
        match (outcome, self.stop.get()) {
            (Err(_), Some(stop)) => {
                timeout_at(prepared.deadline.latest.min(stop.ends_at), part).await
            }
            (outcome, _) => outcome,
        }
    }

    fn silence_limit(&self, prepared: &PreparedRequest, target: &Target) -> Option<Duration> {
        let limit = match target.is_path_trial {
            true => self.answer_times.usual_limit(&target.service, &target.zone),
            false => self
                .answer_times
                .silence_limit(&target.service, &target.zone),
        };
        limit.filter(|limit| *limit < prepared.time_left())
    }

    /// Returns true when the connection counts as silent: after the silence limit, or for a request
    /// that may be repeated when this daemon finds that it is partitioned from the back end.
    /// Returns false when the time of the request is over before.
    async fn silence(&self, prepared: &PreparedRequest, target: &Target) -> bool {
        let limit = async {
            match self.silence_limit(prepared, target) {
                Some(limit) => sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let is_repeatable = prepared.matched.route.route.kind.is_repeatable();
        tokio::select! {
            () = limit => true,
            () = self.path_closed(target), if is_repeatable => true,
            () = sleep_until(prepared.deadline.usual) => false,
        }
    }

    /// Completes when this daemon finds that it is partitioned from the back end.
    async fn path_closed(&self, target: &Target) {
        let Some(mut changes) = self.phases.path_changes() else {
            return std::future::pending().await;
        };
        while !self.phases.is_path_closed(target) {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Returns whether a request that got no answer for `waited` may be sent on a new
    /// connection. Takes the cost of the retry from the budget.
    fn may_retry_silent(
        &self,
        prepared: &PreparedRequest,
        attempts: &Attempts,
        waited: Duration,
    ) -> RetryVerdict {
        let time_left = prepared.time_left();
        if time_left < waited {
            return RetryVerdict::Denied(RetryDenial::NoTime);
        }
        let failed = Attempts {
            arrived: attempts.arrived + 1,
            ..attempts.clone()
        };
        self.phases.may_retry(
            &prepared.matched,
            &failed,
            AttemptFailure::Silent,
            time_left,
        )
    }

    /// Logs that the answer is awaited on a silent connection, since the request may not be
    /// sent again.
    fn log_silent_wait(&self, prepared: &PreparedRequest, target: &Target, retry: RetryVerdict) {
        self.metrics.count_retry(&target.service, retry);
        let budget = retry.budget();
        log::info!(target: LOG, request = prepared.id, instance = target.id().as_str(),
            service = target.service.as_str(),
            retry = retry.name(),
            budget_left = budget.map(|budget| budget.remaining),
            budget_daemons = budget.map(|budget| budget.daemons),
            budget_held = budget.map(|budget| budget.withheld);
            "a silent connection is waited for");
    }

    /// Records how long an answer took, and that an earlier connection to the same back end
    /// was silent.
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
        if let Some(silent) = &attempts.silent_connection
            && silent.backend == target.incarnation
        {
            self.pool.note_silent_connection(silent);
        }
    }

    async fn open(&self, deadline: Instant, target: &Target) -> Result<Connection, FailedAttempt> {
        let started = Instant::now();
        let time_left = deadline.saturating_duration_since(started);
        let queueing_delay = self.link.queueing_delay();
        let limit = self.connect_times.limit(&target.zone, queueing_delay);
        self.metrics.connections.inc();
        let limit = limit.min(time_left / CONNECT_TIME_DIVISOR);
        let opened = tokio::select! {
            biased;
            opened = self.pool.open(target.address, limit) => opened,
            () = self.path_closed(target) => {
                return Err(FailedAttempt::of(AttemptFailure::Partitioned));
            }
        };
        let connection = opened.map_err(|error| {
            let queueing_delay = queueing_delay.max(self.link.queueing_delay());
            let failure = connect_failure(error.kind, queueing_delay);
            if failure != AttemptFailure::Congested {
                self.phases.path_failed(target, ConnectionAge::New);
            }
            FailedAttempt::of(failure)
        })?;
        let took = started.elapsed();
        self.link.note_round_trip(target.zone.as_str(), took);
        let delay = self.connect_times.note(&target.zone, took);
        self.gate.note_delay(delay.as_secs_f64() * 1_000.0);
        Ok(connection)
    }

    fn request_for(
        &self,
        prepared: &mut PreparedRequest,
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

    /// Sets the deadline header to the time left.
    pub(super) fn refresh_deadline(
        &self,
        prepared: &PreparedRequest,
        request: &mut Request<RequestBody>,
    ) {
        let time_left = prepared.time_left().as_millis().max(1) as u64;
        request
            .headers_mut()
            .insert(self.names.deadline.clone(), HeaderValue::from(time_left));
    }
}
