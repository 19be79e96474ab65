//! The error type of the control role.

use std::io::ErrorKind;
use std::path::PathBuf;

use coursestand_consensus::{ProposeError, StorageError};
use snafu::Snafu;

/// Errors of the control role.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The log can't be opened or written.
    #[snafu(display("can't access the log: {source}"))]
    Log {
        /// Cause.
        source: StorageError,
    },
    /// The thread that writes the log can't be started.
    #[snafu(display("can't start the thread that writes the log: {source}"))]
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
    /// The identity file is malformed.
    #[snafu(display("{}: {source}", path.display()))]
    IdentityFormat {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: serde_json::Error,
    },
    /// The replica is already a member of a control group.
    #[snafu(display("this replica is {replica} of control group {cluster}"))]
    AlreadyJoined {
        /// Its control group.
        cluster: u64,
        /// Its identity.
        replica: u64,
    },
    /// The replica is not a member of a control group.
    #[snafu(display("this replica has not joined a control group"))]
    NotJoined,
    /// Another replica or none is the leader.
    #[snafu(display("this replica does not lead the control group"))]
    NotLeader,
    /// The consensus core rejected the proposal.
    #[snafu(display("{source}"))]
    Propose {
        /// Cause.
        source: ProposeError,
    },
    /// It is unknown whether the proposal was committed.
    #[snafu(display("leadership was lost before the change was known to be committed"))]
    LeadershipLost,
    /// Something that the order concerns was ordered after its fence. The order has no effect.
    #[snafu(display("a later order concerns the same; this one was not carried out"))]
    Superseded {
        /// Index up to which the leader has applied the log.
        applied: u64,
    },
    /// The replica has stopped.
    #[snafu(display("this replica has stopped"))]
    Stopped,
}

impl ControlError {
    /// Returns whether the disk refused to read or write, which may pass. A missing folder and
    /// missing permissions do not.
    pub fn is_disk_failure(&self) -> bool {
        let source = match self {
            ControlError::Log {
                source: StorageError::File { source, .. },
            }
            | ControlError::IdentityFile { source, .. } => source,
            _ => return false,
        };
        !matches!(
            source.kind(),
            ErrorKind::NotFound | ErrorKind::PermissionDenied
        )
    }
}
