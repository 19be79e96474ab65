//! Frames: a protocol version of two bytes (little endian), followed by the message in
//! the `postcard` encoding.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};

/// Protocol version; both sides must use the same.
pub const PROTOCOL_VERSION: u16 = 1;
/// Maximum size of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

const VERSION_BYTES: usize = size_of::<u16>();

/// Why an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// An operation of the messaging library failed.
    #[snafu(display("messaging with {address}: {source}"))]
    Messaging {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: nng::Error,
    },
    /// No answer arrived before the deadline.
    #[snafu(display("no answer from {address} within {deadline_ms} ms"))]
    Deadline {
        /// Address of the peer.
        address: SocketAddr,
        /// Deadline of the exchange in milliseconds.
        deadline_ms: u128,
    },
    /// A message can't be encoded or decoded.
    #[snafu(display("message of {length} bytes can't be encoded or decoded: {source}"))]
    Codec {
        /// Length of the frame in bytes; 0 when encoding.
        length: usize,
        /// Cause.
        source: postcard::Error,
    },
    /// The frame is too short for a protocol version.
    #[snafu(display("frame of {length} bytes is too short"))]
    TooShort {
        /// Length of the frame.
        length: usize,
    },
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes"))]
    TooLong {
        /// Length of the frame.
        length: usize,
    },
    /// A frame can't be compressed or decompressed.
    #[snafu(display("compressed frame: {source}"))]
    Compression {
        /// Cause.
        source: std::io::Error,
    },
    /// The peer uses a different protocol version.
    #[snafu(display("peer has protocol version {found}, this process has {PROTOCOL_VERSION}"))]
    Version {
        /// Protocol version of the peer.
        found: u16,
    },
}

/// Encodes a message as a frame. Fails if the frame exceeds [`MAX_FRAME_BYTES`].
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

/// Decodes the message of a frame. Fails if its protocol version differs.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, TransportError> {
    let length = frame.len();
    let (version, message) = frame
        .split_at_checked(VERSION_BYTES)
        .ok_or(TransportError::TooShort { length })?;
    let found = u16::from_le_bytes([version[0], version[1]]);
    ensure!(found == PROTOCOL_VERSION, VersionSnafu { found });
    postcard::from_bytes(message).context(CodecSnafu { length })
}
