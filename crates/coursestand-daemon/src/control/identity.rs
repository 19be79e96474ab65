//! The identity of a replica, stored beside its log. A replica that lost its data folder has
//! none, does not vote, and can only rejoin under another identity.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::control::error::{ControlError, IdentityFileSnafu, IdentityFormatSnafu};

const FILE_NAME: &str = "identity.json";

/// Identifies a replica of a control group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The control group.
    pub cluster: u64,
    /// The replica.
    pub replica: u64,
}

fn path_in(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// Reads the identity in `folder`, if there is one.
pub fn read(folder: &Path) -> Result<Option<Identity>, ControlError> {
    let path = path_in(folder);
    let text = match std::fs::read_to_string(&path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        result => result.context(IdentityFileSnafu { path: &path })?,
    };
    let identity = serde_json::from_str(&text).context(IdentityFormatSnafu { path })?;
    Ok(Some(identity))
}

/// Writes and syncs the identity. The file gets its name only once it is complete.
pub fn write(folder: &Path, identity: Identity) -> Result<(), ControlError> {
    let path = path_in(folder);
    let temporary = path.with_extension("tmp");
    let text = serde_json::to_string(&identity).context(IdentityFormatSnafu { path: &path })?;
    let written = File::create(&temporary)
        .and_then(|mut file| {
            file.write_all(text.as_bytes())?;
            file.sync_all()
        })
        .and_then(|()| std::fs::rename(&temporary, &path))
        .and_then(|()| File::open(folder)?.sync_all());
    written.context(IdentityFileSnafu { path })
}
