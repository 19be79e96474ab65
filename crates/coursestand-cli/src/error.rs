//! Errors of the tool and their exit codes.

use std::path::PathBuf;

use coursestand_lab::demo::DemoError;
use coursestand_lab::operator::OperatorError;
use coursestand_model::LoadError;
use snafu::Snafu;

/// Exit code: the call's words are off.
pub const USAGE: u8 = 2;
/// Exit code: a file is refused.
pub const REFUSED_FILE: u8 = 3;
/// Exit code: the system gave no answer, or another one than asked for.
pub const NO_ANSWER: u8 = 4;
/// Exit code: a promise was broken in a run.
pub const BROKEN_PROMISE: u8 = 5;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ToolError {
    /// The call's words are off.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is wrong.
        reason: String,
    },
    /// A JSON file is refused.
    #[snafu(display("{source}"))]
    Load {
        /// Cause.
        source: LoadError,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A key file is refused.
    #[snafu(display("{}: {reason}", path.display()))]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The control group did not do what was asked.
    #[snafu(display("{source}"))]
    Operator {
        /// Cause.
        source: OperatorError,
    },
    /// A change was not accepted.
    #[snafu(display("not accepted: {answer}"))]
    NotAccepted {
        /// The answer.
        answer: String,
    },
    /// A deployment could not run.
    #[snafu(display("{source}"))]
    Demo {
        /// Cause.
        source: DemoError,
    },
    /// A process does not answer.
    #[snafu(display("{source}"))]
    Http {
        /// Cause.
        source: reqwest::Error,
    },
    /// A value can't be written as JSON.
    #[snafu(display("{source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// A promise was broken in a run.
    #[snafu(display("a promise was broken or a request was left without a good answer"))]
    BrokenPromise,
}

impl ToolError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            ToolError::Usage { .. } => USAGE,
            ToolError::Load { .. } | ToolError::File { .. } | ToolError::Key { .. } => REFUSED_FILE,
            ToolError::BrokenPromise => BROKEN_PROMISE,
            _ => NO_ANSWER,
        }
    }
}
