//! One attempt at a back end: a connection, the request, and its answer taken in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coursestand_routing::{BackendReport, RateLimitSignal};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{Request, Response};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio::time::{Instant, timeout, timeout_at};

use super::{Exchange, FailedAttempt, LOG, Prepared, Received, Started};
use crate::answer_times::READING_GRACE;
use crate::collect::{Collected, HELD_BYTES, collect};
use crate::headers::{strip_connection_headers, text_of};
use crate::phases::{AttemptEnding, AttemptFailure, Attempts, Silence, Target};
use crate::pool::{Connection, RequestBody};
use crate::retry::{RetryDenial, RetryVerdict};
use crate::streamed_body::StreamedBody;
use crate::told::Told;
use crate::verdict::{Verdict, judge};

/// Part of the time left that making a connection may take.
const CONNECT_PART: u32 = 3;
/// A back end stops at the deadline; its word of that needs a moment to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(80);

/// How sending a request on a connection ended.
type SendOutcome = Result<Response<Incoming>, TrySendError<Request<RequestBody>>>;

impl Exchange {
    /// Sends the request to one back end and takes its answer in.
    pub(super) async fn attempt(
        &self,
        prepared: &mut Prepared,
        started: &Started,
        attempts: &mut Attempts,
    ) -> Result<Received, FailedAttempt> {
        let target = &started.target;
        let give_up = prepared.deadline + ANSWER_GRACE;
        let sent = self.send(prepared, target, attempts, give_up).await;
        let failure = sent.as_ref().err().map(|failed| failed.failure);
        if failure.is_none_or(|failure| failure.ending() == AttemptEnding::Settled) {
            started.settle();
        }
        let (response, connection) = sent?;
        let (head, body) = response.into_parts();
        let verdict = judge(
            &self.names,
            prepared.id.as_deref(),
            head.status,
            &head.headers,
        );
        // What another instance at the address says of itself tells nothing of this one.
        let told = match verdict {
            Verdict::Misdirected => Told::default(),
            _ => Told::read(&self.names, head.status, &head.headers),
        };
        let failure = |failure| FailedAttempt {
            report: told.report,
            ..FailedAttempt::of(failure)
        };
        self.note_told(target, &told.report);
        self.unread_headers
            .note(&self.names, target.id().as_str(), &head.headers);
        if let Verdict::Foreign(what) = verdict {
            log::info!(target: LOG, request = prepared.id, instance = target.id().as_str(),
                status = head.status.as_u16(); "not the answer to this request: {what}");
            return Err(failure(AttemptFailure::Lost));
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
            Ok(Err(_)) => {
                return Err(FailedAttempt {
                    is_broken: true,
                    ..failure(AttemptFailure::Lost)
                });
            }
            Err(_) => return Err(failure(AttemptFailure::TimedOut)),
        };
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        let body = match collected {
            Collected::Whole(bytes) => {
                if !told.closes {
                    let pool = Arc::clone(&self.pool);
                    let incarnation = target.incarnation.clone();
                    tokio::spawn(async move {
                        pool.give_back(incarnation, connection, told.keep_alive)
                            .await
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
            Verdict::Shed => Err(failure(AttemptFailure::Shed)),
            Verdict::Misdirected => Err(failure(AttemptFailure::Misdirected)),
            _ => {
                self.phases.answered(target, &told.report);
                let failed = received.status.is_server_error();
                if failed && prepared.matched.route.route.kind.is_repeatable() {
                    return Err(FailedAttempt {
                        answer: Some(Box::new(received)),
                        ..failure(AttemptFailure::Failed)
                    });
                }
                Ok(received)
            }
        }
    }

    /// Believes and counts what a back end asked for with an answer.
    fn note_told(&self, target: &Target, report: &BackendReport) {
        self.phases.told(target, report);
        let counters = &self.metrics.backend_words;
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
            if !self.phases.is_open(target) {
                prepared.body.give_back(request.into_body());
                return Err(FailedAttempt::of(AttemptFailure::Withdrawn));
            }
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
                None => return Err(FailedAttempt::broken()),
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
            let retry = self.may_repeat_silent(prepared, attempts, limit);
            if retry.is_granted() {
                attempts.silence = Some(Silence {
                    backend: target.incarnation.clone(),
                    sent_at,
                    retry,
                });
                return Err(AttemptFailure::Silent);
            }
            self.tell_silence_kept(prepared, target, retry);
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
    ) -> RetryVerdict {
        let left = prepared.left();
        if left < waited {
            return RetryVerdict::Denied(RetryDenial::NoTime);
        }
        let failed = Attempts {
            arrived: attempts.arrived + 1,
            ..attempts.clone()
        };
        self.phases
            .may_retry(&prepared.matched, &failed, AttemptFailure::Silent, left)
    }

    /// The answer is waited for on a connection that is silent, since the request may not
    /// be sent again.
    fn tell_silence_kept(&self, prepared: &Prepared, target: &Target, retry: RetryVerdict) {
        self.metrics.count_retry(&target.service, retry);
        let budget = retry.budget();
        log::info!(target: LOG, request = prepared.id, instance = target.id().as_str(),
            service = target.service.as_str(),
            retry = retry.name(),
            budget_left = budget.map(|budget| budget.left),
            budget_daemons = budget.map(|budget| budget.daemons),
            budget_held = budget.map(|budget| budget.held);
            "a silent connection is waited for");
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
