//! The identity of a replica, kept beside its log. A replica whose folder was
//! lost has none, votes for nobody, and can only join again as another one.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::control::error::{ControlError, IdentityFileSnafu, IdentityTextSnafu};

const FILE: &str = "identity.json";

/// Which replica of which control group this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The control group.
    pub cluster: u64,
    /// The replica.
    pub replica: u64,
}

fn path_in(folder: &Path) -> PathBuf {
    folder.join(FILE)
}

/// The identity in `folder`, if it has one.
pub fn read(folder: &Path) -> Result<Option<Identity>, ControlError> {
    let path = path_in(folder);
    if !path.exists() {
        return Ok(None);
    }
    let text = std::fs::read_to_string(&path).context(IdentityFileSnafu { path: &path })?;
    let identity = serde_json::from_str(&text).context(IdentityTextSnafu { path })?;
    Ok(Some(identity))
}

/// Writes the identity, synced, under its name only once it is whole.
pub fn write(folder: &Path, identity: Identity) -> Result<(), ControlError> {
    let path = path_in(folder);
    let temporary = path.with_extension("tmp");
    let text = serde_json::to_string(&identity).context(IdentityTextSnafu { path: &path })?;
    let written = File::create(&temporary)
        .and_then(|mut file| {
            file.write_all(text.as_bytes())?;
            file.sync_all()
        })
        .and_then(|()| std::fs::rename(&temporary, &path))
        .and_then(|()| File::open(folder)?.sync_all());
    written.context(IdentityFileSnafu { path })
}
