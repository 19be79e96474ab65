//! Typed outcome of a request. It decides whether a retry is allowed.

use serde::{Deserialize, Serialize};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached a back end, or the back end reported that it did not
    /// start the request. Always safe to retry.
    NotRun,
    /// The request may have run.
    Unknown,
    /// A back end ran the request and its answer is complete.
    Completed,
}

impl Outcome {
    /// Returns the value for the [`crate::headers::OUTCOME`] header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Completed => "completed",
        }
    }

    /// Parses the value of the [`crate::headers::OUTCOME`] header.
    pub fn parse(text: &str) -> Option<Outcome> {
        [Outcome::NotRun, Outcome::Unknown, Outcome::Completed]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }

    /// Returns whether the request may be dispatched again. `repeatable`: the service allows
    /// a request to run more than once.
    pub fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            Outcome::NotRun => true,
            Outcome::Unknown => repeatable,
            Outcome::Completed => false,
        }
    }
}
