//! The typed outcome of a request. It alone decides the status, the headers and
//! whether a retry is allowed.

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request was left at a back end, or the back end itself
    /// said that it did not start it. Always safe to send again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// A back end ran the request and its answer is complete.
    Completed,
}

impl Outcome {
    /// The value of the [`crate::headers::OUTCOME`] header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Completed => "completed",
        }
    }

    /// Reads the value of the [`crate::headers::OUTCOME`] header.
    pub fn parse(text: &str) -> Option<Outcome> {
        [Outcome::NotRun, Outcome::Unknown, Outcome::Completed]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }

    /// Whether the same request may be dispatched again. `repeatable` says that
    /// the service allows a request to run more than once.
    pub fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            Outcome::NotRun => true,
            Outcome::Unknown => repeatable,
            Outcome::Completed => false,
        }
    }
}
