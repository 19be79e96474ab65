//! Answers to callers: a back end's own, or one of this daemon.

use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use coursestand_model::Millis;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{Either, Full};

use crate::streamed_body::StreamedBody;

/// A daemon without a catalog has just started. When all of the fleet has, it
/// takes the control group an election and the hand-over of the catalog to make it
/// ready; who comes back earlier is only refused again.
const STARTING_PAUSE: Duration = Duration::from_millis(1_000);
/// Back ends that were lost come back, or others take their place.
const NO_BACKEND_PAUSE: Duration = Duration::from_millis(500);
/// About the time in which a full back end works a request off.
const SHED_PAUSE: Duration = Duration::from_millis(150);
/// Another daemon or another connection will do.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(50);

/// Callers that are refused together are told to come back at different times,
/// by factors of this range.
const PAUSE_SPREAD: Range<f64> = 0.8..1.4;
/// The same where nothing is served before the pause has ended.
const PAUSE_SPREAD_AFTER_END: Range<f64> = 1.0..1.4;

/// Body of an answer: held whole, or passed on as it comes.
pub type AnswerBody = Either<Full<Bytes>, StreamedBody>;

/// Why this daemon answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It holds no configuration yet.
    NoCatalog,
    /// No route takes the request.
    NoRoute,
    /// The headers are longer than allowed.
    HeadersTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The caller broke off while it sent the body.
    BodyBroken,
    /// The caller's deadline had passed.
    DeadlinePassed,
    /// The daemon is about to end.
    Stopping,
    /// The service has no back end that may be used.
    NoBackend,
    /// Back ends ended under such requests; one is run elsewhere to see.
    Suspected {
        /// When to ask again, in milliseconds.
        again_in_ms: Millis,
    },
    /// Too many back ends ended under such requests.
    Convicted {
        /// Until one is tried, in milliseconds.
        again_in_ms: Millis,
    },
    /// All back ends that may be used asked for a back-off.
    BackingOff {
        /// After which the first of them takes a request again, in milliseconds.
        ends_in_ms: Millis,
    },
    /// All back ends that may be used are at the rate limit that they named.
    RateLimited {
        /// After which the first of them may take a request, in milliseconds.
        again_in_ms: Millis,
    },
    /// All back ends have more than they can work off in time.
    Busy {
        /// After which that is likely to have changed, in milliseconds.
        drained_in_ms: Millis,
    },
    /// The machine's link has no room for it.
    LinkFull {
        /// After which that is likely to have changed, in milliseconds.
        drained_in_ms: Millis,
    },
    /// Back ends refused it, and no further attempt was allowed.
    Shed,
    /// No back end could be reached, and no further attempt was allowed.
    Unreachable,
    /// It may have run; its answer was lost or broken.
    AnswerLost,
    /// It may have run; no answer came in time.
    TimedOut,
}

impl Reason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoCatalog => "no-catalog",
            Reason::NoRoute => "no-route",
            Reason::HeadersTooLong => "headers-too-long",
            Reason::BodyTooLong => "body-too-long",
            Reason::BodyBroken => "body-broken",
            Reason::DeadlinePassed => "deadline-passed",
            Reason::Stopping => "stopping",
            Reason::NoBackend => "no-backend",
            Reason::Suspected { .. } => "suspected",
            Reason::Convicted { .. } => "convicted",
            Reason::BackingOff { .. } => "backing-off",
            Reason::RateLimited { .. } => "rate-limited",
            Reason::Busy { .. } => "busy",
            Reason::LinkFull { .. } => "link-full",
            Reason::Shed => "shed",
            Reason::Unreachable => "unreachable",
            Reason::AnswerLost => "answer-lost",
            Reason::TimedOut => "timed-out",
        }
    }

    /// Status of the answer. 503 promises that the request has not run and never
    /// will; 502 and 504 promise nothing.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::HeadersTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Reason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyBroken => StatusCode::BAD_REQUEST,
            Reason::NoCatalog
            | Reason::DeadlinePassed
            | Reason::Stopping
            | Reason::NoBackend
            | Reason::Suspected { .. }
            | Reason::Convicted { .. }
            | Reason::BackingOff { .. }
            | Reason::RateLimited { .. }
            | Reason::Busy { .. }
            | Reason::LinkFull { .. }
            | Reason::Shed
            | Reason::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
            Reason::AnswerLost => StatusCode::BAD_GATEWAY,
            Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may come back, for answers that promise that the request
    /// was not run.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Reason::NoCatalog => Some(STARTING_PAUSE),
            Reason::NoBackend => Some(NO_BACKEND_PAUSE),
            Reason::Suspected { again_in_ms } | Reason::Convicted { again_in_ms } => {
                Some(Duration::from_millis(again_in_ms))
            }
            Reason::BackingOff { ends_in_ms } => {
                Some(Duration::from_millis(ends_in_ms).max(SHED_PAUSE))
            }
            Reason::RateLimited { again_in_ms } => {
                Some(Duration::from_millis(again_in_ms).max(SHED_PAUSE))
            }
            Reason::Busy { drained_in_ms } | Reason::LinkFull { drained_in_ms } => {
                Some(Duration::from_millis(drained_in_ms))
            }
            Reason::Shed => Some(SHED_PAUSE),
            Reason::Unreachable | Reason::DeadlinePassed | Reason::Stopping => {
                Some(ELSEWHERE_PAUSE)
            }
            _ => None,
        }
    }

    /// Factors of the pause, by which callers come back at different times.
    fn pause_spread(self) -> Range<f64> {
        match self {
            Reason::BackingOff { .. } | Reason::RateLimited { .. } | Reason::Convicted { .. } => {
                PAUSE_SPREAD_AFTER_END
            }
            _ => PAUSE_SPREAD,
        }
    }
}

/// An answer of this daemon.
pub fn own_answer(reason: Reason) -> Response<AnswerBody> {
    let text = format!("{}\n", reason.name());
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = reason.status();
    if let Some(pause) = reason.retry_after() {
        let pause = pause.mul_f64(rand::random_range(reason.pause_spread()));
        let seconds = format!("{:.2}", pause.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// A back end's answer, passed on.
pub fn passed_on(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Asks the caller to use another connection for its next request.
pub fn close_after(response: &mut Response<AnswerBody>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
