//! Frames: two bytes of protocol version (little endian), then the message in
//! the `postcard` encoding.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// Version of the messages; both sides must have the same.
pub const PROTOCOL_VERSION: u16 = 1;
/// Largest frame in bytes that a process accepts.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

const VERSION_BYTES: usize = size_of::<u16>();

/// Why an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// The messaging library refused an operation.
    #[snafu(display("messaging with {address}: {source}"))]
    Messaging {
        /// The other side.
        address: SocketAddr,
        /// Cause.
        source: nng::Error,
    },
    /// No answer came in time.
    #[snafu(display("no answer from {address} within {deadline_ms} ms"))]
    Deadline {
        /// The other side.
        address: SocketAddr,
        /// Time that the exchange had.
        deadline_ms: u128,
    },
    /// A message can't be encoded or decoded.
    #[snafu(display("message of {length} bytes can't be read or written: {source}"))]
    Codec {
        /// Length of the frame.
        length: usize,
        /// Cause.
        source: postcard::Error,
    },
    /// The frame is shorter than its version.
    #[snafu(display("frame of {length} bytes is too short"))]
    TooShort {
        /// Length of the frame.
        length: usize,
    },
    /// The frame is longer than allowed.
    #[snafu(display("frame of {length} bytes is longer than {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Length of the frame.
        length: usize,
    },
    /// A packed frame can't be read or written.
    #[snafu(display("packed frame: {source}"))]
    Packed {
        /// Cause.
        source: std::io::Error,
    },
    /// The other side speaks another protocol version.
    #[snafu(display("protocol version {found}, this process has {PROTOCOL_VERSION}"))]
    Version {
        /// Version of the other side.
        found: u16,
    },
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, TransportError> {
    let frame = PROTOCOL_VERSION.to_le_bytes().to_vec();
    let frame = postcard::to_extend(message, frame).context(CodecSnafu { length: 0usize })?;
    ensure!(
        frame.len() <= MAX_FRAME_BYTES,
        TooLongSnafu {
            length: frame.len()
        }
    );
    Ok(frame)
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, TransportError> {
    let length = frame.len();
    let (version, message) = frame
        .split_at_checked(VERSION_BYTES)
        .ok_or(TransportError::TooShort { length })?;
    let found = u16::from_le_bytes([version[0], version[1]]);
    ensure!(found == PROTOCOL_VERSION, VersionSnafu { found });
    postcard::from_bytes(message).context(CodecSnafu { length })
}
