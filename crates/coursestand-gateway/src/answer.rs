//! Answers to callers. Status and headers of the daemon's own answers depend only on the
//! outcome and the reason.

use std::time::Duration;

use coursestand_model::{Outcome, headers};
use poem::http::{HeaderMap, StatusCode, header};
use poem::{Body, Response};
use rand::RngExt;
use serde_json::json;

/// Minimum time after which a caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum random addition to the retry time, so that callers do not retry all at once.
const RETRY_AFTER_JITTER_MS: u64 = 1000;
/// Header with the retry time in milliseconds, sent along with `Retry-After`.
pub const RETRY_AFTER_MS: &str = "x-retry-after-ms";

/// Reason for which a request has no answer of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request is malformed.
    BadRequest(String),
    /// The service is not in the bundle.
    UnknownService(String),
    /// The body is longer than the service allows.
    BodyTooLong,
    /// The deadline passed.
    Deadline,
    /// The daemon has no valid lease, so that its rules may be stale.
    NoLease,
    /// No slot became free in time.
    NoSlot,
    /// No zone has back ends for this traffic.
    NoZone,
    /// Every attempt at a back end failed.
    BackEnd(String),
    /// The key is claimed by another attempt.
    KeyTaken,
    /// The key is too old or from the future.
    KeyRefused(String),
    /// The once ledger can't be reached.
    NoLedger,
    /// The request ran, but its answer was not recorded.
    AnswerNotRecorded,
}

impl Reason {
    fn status(&self) -> StatusCode {
        match self {
            Reason::BadRequest(_) | Reason::KeyRefused(_) => StatusCode::BAD_REQUEST,
            Reason::UnknownService(_) => StatusCode::NOT_FOUND,
            Reason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Reason::NoLease | Reason::NoSlot | Reason::NoZone | Reason::NoLedger => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Reason::BackEnd(_) => StatusCode::BAD_GATEWAY,
            Reason::KeyTaken => StatusCode::CONFLICT,
            Reason::AnswerNotRecorded => StatusCode::OK,
        }
    }

    fn text(&self) -> String {
        match self {
            Reason::BadRequest(text) | Reason::KeyRefused(text) => text.clone(),
            Reason::UnknownService(service) => format!("service {service} is not known"),
            Reason::BodyTooLong => "the body is longer than the service allows".to_owned(),
            Reason::Deadline => "the deadline passed".to_owned(),
            Reason::NoLease => "this daemon has no fresh rules".to_owned(),
            Reason::NoSlot => "no capacity is free".to_owned(),
            Reason::NoZone => "no zone can serve this now".to_owned(),
            Reason::BackEnd(text) => text.clone(),
            Reason::KeyTaken => "a request with this key may have run".to_owned(),
            Reason::NoLedger => "the once ledger can't be reached".to_owned(),
            Reason::AnswerNotRecorded => "the request ran; its answer is not kept".to_owned(),
        }
    }

    /// Returns whether a later retry may succeed.
    fn is_temporary(&self) -> bool {
        matches!(
            self,
            Reason::NoLease
                | Reason::NoSlot
                | Reason::NoZone
                | Reason::NoLedger
                | Reason::BackEnd(_)
                | Reason::KeyTaken
        )
    }
}

/// The final answer to a caller.
pub struct Answer {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Status, headers and body.
    pub content: Content,
    /// Name of the back end that answered.
    pub backend: Option<String>,
}

/// Status, headers and body of an answer.
pub enum Content {
    /// Answer of a back end.
    FromBackend {
        /// HTTP status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Body,
    },
    /// Answer of the daemon itself.
    FromDaemon(Reason),
}

impl Answer {
    /// Returns the answer for a request that was not run.
    pub fn not_run(reason: Reason) -> Answer {
        Answer {
            outcome: Outcome::NotRun,
            content: Content::FromDaemon(reason),
            backend: None,
        }
    }

    /// Returns the answer for a request that may have run.
    pub fn unknown(reason: Reason) -> Answer {
        Answer {
            outcome: Outcome::Unknown,
            content: Content::FromDaemon(reason),
            backend: None,
        }
    }

    /// Takes earlier attempts into account: if one of them may have run the request, the
    /// outcome `not-run` becomes `unknown`.
    pub fn with_earlier_attempts(mut self, may_have_run: bool) -> Answer {
        if may_have_run && self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// Converts the answer to an HTTP response.
    pub fn into_response(self, revision: Option<u64>) -> Response {
        let mut response = match self.content {
            Content::FromBackend {
                status,
                headers,
                body,
            } => {
                let mut response = Response::builder().status(status).body(body);
                *response.headers_mut() = headers;
                response
            }
            Content::FromDaemon(reason) => daemon_response(self.outcome, &reason),
        };
        let extra = response.headers_mut();
        insert(extra, headers::OUTCOME, self.outcome.as_str());
        if let Some(revision) = revision {
            insert(extra, headers::REVISION, &revision.to_string());
        }
        if let Some(backend) = self.backend {
            insert(extra, headers::BACKEND, &backend);
        }
        response
    }
}

fn daemon_response(outcome: Outcome, reason: &Reason) -> Response {
    let body = json!({ "outcome": outcome, "reason": reason.text() });
    let mut response = Response::builder()
        .status(reason.status())
        .header(header::CONTENT_TYPE, "application/json")
        .body(body.to_string());
    if reason.is_temporary() {
        let jitter = rand::rng().random_range(0..RETRY_AFTER_JITTER_MS);
        let after = MIN_RETRY_AFTER + Duration::from_millis(jitter);
        let extra = response.headers_mut();
        insert(extra, "retry-after", &after.as_secs().to_string());
        insert(extra, RETRY_AFTER_MS, &after.as_millis().to_string());
    }
    response
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}
