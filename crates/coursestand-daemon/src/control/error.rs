//! Errors of the control role.

use std::path::PathBuf;

use coursestand_consensus::{ProposeError, StorageError};
use snafu::Snafu;

/// Why the control role can't do something.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The log can't be opened or written.
    #[snafu(display("the log: {source}"))]
    Log {
        /// Cause.
        source: StorageError,
    },
    /// The thread that writes the log can't be started.
    #[snafu(display("the thread that writes the log: {source}"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
    /// The identity file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    IdentityFile {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The identity file is damaged.
    #[snafu(display("{}: {source}", path.display()))]
    IdentityText {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: serde_json::Error,
    },
    /// The replica is a member of a control group already.
    #[snafu(display("this replica is {replica} of control group {cluster}"))]
    Joined {
        /// Its control group.
        cluster: u64,
        /// Its identity.
        replica: u64,
    },
    /// The replica is no member of a control group.
    #[snafu(display("this replica has not joined a control group"))]
    NotJoined,
    /// Another replica leads, or none.
    #[snafu(display("this replica does not lead the control group"))]
    NotLeader,
    /// The consensus core refused the proposal.
    #[snafu(display("{source}"))]
    Propose {
        /// Cause.
        source: ProposeError,
    },
    /// The proposal may or may not be in force.
    #[snafu(display("leadership was lost before the change was known to be committed"))]
    Lost,
    /// The replica has stopped.
    #[snafu(display("this replica has stopped"))]
    Stopped,
}
