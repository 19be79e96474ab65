//! `coursestand key`, and the reader of key files.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;

use coursestand_coordination::signing::public_key_text;
use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::arguments::KeyOptions;
use crate::error::{FileSnafu, JsonSnafu, KeySnafu, ToolError};

/// Mode of a key file: readable and writable only by its owner.
const KEY_MODE: u32 = 0o600;
/// Mode bits of the group and of others.
const NON_OWNER_MASK: u32 = 0o077;

/// Contents of a key file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    /// Name of the operator.
    pub operator: String,
    /// Ed25519 secret key as hexadecimal text.
    pub secret: String,
}

/// An operator's name and signing key.
pub struct OperatorKey {
    /// Name of the operator.
    pub operator: String,
    /// The signing key.
    pub key: SigningKey,
}

/// Generates a key, writes it to a file and prints its public key.
pub fn run(options: &KeyOptions) -> Result<(), ToolError> {
    let secret: [u8; 32] = rand::random();
    let key = SigningKey::from_bytes(&secret);
    let content = KeyFile {
        operator: options.operator.clone(),
        secret: hex::encode(secret),
    };
    let text = serde_json::to_string_pretty(&content).context(JsonSnafu)?;
    let path = &options.file;
    OpenOptions::new()
        .create_new(true)
        .write(true)
        .mode(KEY_MODE)
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .context(FileSnafu { path })?;
    println!("{} {}", options.operator, public_key_text(&key));
    Ok(())
}

/// Reads a key file. Rejects a file that others than its owner can access.
pub fn read(path: &Path) -> Result<OperatorKey, ToolError> {
    let mode = std::fs::metadata(path)
        .context(FileSnafu { path })?
        .permissions()
        .mode();
    ensure!(
        mode & NON_OWNER_MASK == 0,
        KeySnafu {
            path,
            reason: format!("found mode {:o}, allowed: {KEY_MODE:o}", mode & 0o777),
        }
    );
    let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let invalid = |reason: String| KeySnafu { path, reason }.build();
    let content: KeyFile =
        serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))?;
    let mut secret = [0; 32];
    hex::decode_to_slice(&content.secret, &mut secret)
        .map_err(|error| invalid(format!("field `secret`: {error}")))?;
    Ok(OperatorKey {
        operator: content.operator,
        key: SigningKey::from_bytes(&secret),
    })
}
