//! Errors of the commands and their exit codes.

use std::path::PathBuf;

use coursestand_lab::demo::DemoError;
use coursestand_lab::operator::OperatorError;
use coursestand_model::LoadError;
use snafu::Snafu;

/// Exit code: invalid arguments.
pub const USAGE: u8 = 2;
/// Exit code: a file is invalid or can't be read or written.
pub const INVALID_FILE: u8 = 3;
/// Exit code: a process did not answer, or the answer was negative.
pub const NO_ANSWER: u8 = 4;
/// Exit code: a run violated a guarantee, or no request of it was answered.
pub const GUARANTEE_VIOLATED: u8 = 5;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ToolError {
    /// The arguments are invalid.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is wrong.
        reason: String,
    },
    /// A JSON file is invalid.
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
    /// A key file is invalid or readable by others.
    #[snafu(display("{}: {reason}", path.display()))]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// A call to the control group failed.
    #[snafu(display("{source}"))]
    Operator {
        /// Cause.
        source: OperatorError,
    },
    /// The control group did not accept a change.
    #[snafu(display("not accepted: {answer}"))]
    NotAccepted {
        /// The answer as JSON.
        answer: String,
    },
    /// A deployment could not run.
    #[snafu(display("{source}"))]
    Demo {
        /// Cause.
        source: DemoError,
    },
    /// An HTTP request to a process failed.
    #[snafu(display("{source}"))]
    Http {
        /// Cause.
        source: reqwest::Error,
    },
    /// A value can't be serialized as JSON.
    #[snafu(display("{source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// A run violated a guarantee, or no request of it was answered.
    #[snafu(display("the run violated a guarantee, or no request was answered"))]
    GuaranteeViolated,
}

impl ToolError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            ToolError::Usage { .. } => USAGE,
            ToolError::Load { .. } | ToolError::File { .. } | ToolError::Key { .. } => INVALID_FILE,
            ToolError::GuaranteeViolated => GUARANTEE_VIOLATED,
            _ => NO_ANSWER,
        }
    }
}
