//! Answers to callers. The outcome and the reason alone decide the status and
//! the headers.

use std::time::Duration;

use coursestand_model::{Outcome, headers};
use poem::http::{HeaderMap, StatusCode, header};
use poem::{Body, Response};
use rand::RngExt;
use serde_json::json;

/// Shortest time after which a caller should come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Milliseconds by which the time to come back is spread, so that callers do not
/// come back all at once.
const RETRY_AFTER_SPREAD_MS: u64 = 1000;
/// Header with the time to come back in milliseconds, beside `Retry-After`.
pub const RETRY_AFTER_MS: &str = "x-retry-after-ms";

/// Why a request has no answer of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request itself is wrong.
    BadRequest(String),
    /// The service is not in the bundle.
    UnknownService(String),
    /// The body is longer than the service allows.
    BodyTooLong,
    /// The deadline passed.
    Deadline,
    /// The daemon can't prove that its rules are fresh.
    NoLease,
    /// No slot became free in time.
    NoSlot,
    /// No zone can serve this traffic now.
    NoZone,
    /// The back ends that were tried did not run it.
    BackEnd(String),
    /// The key is claimed by another attempt.
    KeyTaken,
    /// The key is too old or from the future.
    KeyRefused(String),
    /// The once ledger can't be reached.
    NoLedger,
    /// The request ran, but its answer is not kept.
    AnswerNotKept,
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
            Reason::AnswerNotKept => StatusCode::OK,
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
            Reason::AnswerNotKept => "the request ran; its answer is not kept".to_owned(),
        }
    }

    /// Whether coming back later can help.
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
    /// What became of the request.
    pub outcome: Outcome,
    /// Status, headers and body.
    pub content: Content,
    /// Name of the back end that answered.
    pub backend: Option<String>,
}

/// What an answer carries.
pub enum Content {
    /// Answer of a back end.
    FromBackend {
        /// Status.
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
    /// The request was not run.
    pub fn not_run(reason: Reason) -> Answer {
        Answer {
            outcome: Outcome::NotRun,
            content: Content::FromDaemon(reason),
            backend: None,
        }
    }

    /// The request may have run.
    pub fn unknown(reason: Reason) -> Answer {
        Answer {
            outcome: Outcome::Unknown,
            content: Content::FromDaemon(reason),
            backend: None,
        }
    }

    /// The answer once earlier attempts count: if one of them may have run, the
    /// request is no longer proved not run.
    pub fn after_attempts(mut self, may_have_run: bool) -> Answer {
        if may_have_run && self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        self
    }

    /// Turns the answer into an HTTP response.
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
        let spread = rand::rng().random_range(0..RETRY_AFTER_SPREAD_MS);
        let after = RETRY_AFTER_MIN + Duration::from_millis(spread);
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
