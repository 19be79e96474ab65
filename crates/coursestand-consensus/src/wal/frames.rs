//! Frames of the files of a log: a 12-byte header (length, CRC-32C of the payload, CRC-32C of
//! these two fields; four bytes each, little endian) and a payload.

use std::io::{BufReader, Read};
use std::path::{Path, PathBuf};

use serde::Serialize;
use snafu::ResultExt;

use super::disk::{Disk, DiskWriter};
use crate::storage::{EncodeSnafu, FileSnafu, StorageError};

const HEADER_BYTES: usize = 12;

/// Writes one frame to `file`, in a single write, and returns its length. Does not sync.
pub(super) fn write_frame<T: Serialize>(
    file: &mut impl DiskWriter,
    path: &Path,
    record: &T,
) -> Result<u64, StorageError> {
    let mut frame = postcard::to_extend(record, vec![0; HEADER_BYTES]).context(EncodeSnafu)?;
    let (header, payload) = frame.split_at_mut(HEADER_BYTES);
    header.copy_from_slice(&Header::of(payload).encode());
    file.append(&frame).context(FileSnafu {
        path,
        operation: "write",
    })?;
    Ok(frame.len() as u64)
}

/// Header of a frame.
struct Header {
    length: u32,
    payload_checksum: u32,
}

impl Header {
    fn of(payload: &[u8]) -> Header {
        Header {
            length: payload.len() as u32,
            payload_checksum: crc32c::crc32c(payload),
        }
    }

    fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut header = [0; HEADER_BYTES];
        header[..4].copy_from_slice(&self.length.to_le_bytes());
        header[4..8].copy_from_slice(&self.payload_checksum.to_le_bytes());
        let checksum = crc32c::crc32c(&header[..8]);
        header[8..].copy_from_slice(&checksum.to_le_bytes());
        header
    }

    /// Returns the header at the beginning of `bytes`, if there is one with a matching checksum.
    fn decode(bytes: &[u8]) -> Option<Header> {
        let header = bytes.first_chunk::<HEADER_BYTES>()?;
        let (fields, checksum) = header.split_at(8);
        if crc32c::crc32c(fields).to_le_bytes() != checksum {
            return None;
        }
        let (length, payload_checksum) = fields.split_at(4);
        Some(Header {
            length: u32::from_le_bytes(length.try_into().ok()?),
            payload_checksum: u32::from_le_bytes(payload_checksum.try_into().ok()?),
        })
    }

    fn matches(&self, payload: &[u8]) -> bool {
        crc32c::crc32c(payload) == self.payload_checksum
    }
}

/// Returns the position in `bytes` at which the first complete frame begins, wherever that is.
fn find_frame(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find(|start| {
        let rest = &bytes[*start..];
        let Some(header) = Header::decode(rest) else {
            return false;
        };
        let payload = rest[HEADER_BYTES..].get(..header.length as usize);
        payload.is_some_and(|payload| header.matches(payload))
    })
}

/// Result of reading a frame.
pub(super) enum FrameRead {
    /// The payload of a complete frame with matching checksums.
    Complete(Vec<u8>),
    /// The file ends here.
    End,
    /// The frame is incomplete or does not match its checksums, and is the last one of the file.
    Incomplete,
    /// The frame does not match its checksums although another one follows, which was written
    /// only after this one had been synced.
    Corrupt {
        /// Description of the fault.
        what: &'static str,
        /// Byte offset at which the next frame begins.
        next: u64,
    },
}

/// Reads the frames of a file, one at a time.
pub(super) struct FrameReader<R> {
    path: PathBuf,
    file: BufReader<R>,
    length: u64,
    offset: u64,
}

impl<R: Read> FrameReader<R> {
    pub(super) fn open<D: Disk<Reader = R>>(
        disk: &D,
        name: &str,
    ) -> Result<FrameReader<R>, StorageError> {
        let path = disk.folder().join(name);
        let (file, length) = disk.open(name).context(FileSnafu {
            path: &path,
            operation: "open",
        })?;
        Ok(FrameReader {
            path,
            file: BufReader::new(file),
            length,
            offset: 0,
        })
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the offset of the next frame.
    pub(super) fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the number of bytes from the next frame to the end of the file.
    pub(super) fn remaining(&self) -> u64 {
        self.length - self.offset
    }

    /// Reads the next frame. Must not be called again unless the result is a complete one.
    pub(super) fn next(&mut self) -> Result<FrameRead, StorageError> {
        let remaining = self.remaining();
        if remaining == 0 {
            return Ok(FrameRead::End);
        }
        if remaining < HEADER_BYTES as u64 {
            return Ok(FrameRead::Incomplete);
        }
        let header = self.read(HEADER_BYTES)?;
        let after_header = remaining - HEADER_BYTES as u64;
        let Some(header) = Header::decode(&header) else {
            // The frame's length is unknown, and the parts of a write that was interrupted may
            // be on the disk in any order.
            let rest = self.read(after_header as usize)?;
            return Ok(match find_frame(&rest) {
                Some(position) => FrameRead::Corrupt {
                    what: "header checksum mismatch",
                    next: self.offset + (HEADER_BYTES + position) as u64,
                },
                None => FrameRead::Incomplete,
            });
        };
        let length = u64::from(header.length);
        if after_header < length {
            return Ok(FrameRead::Incomplete);
        }
        let payload = self.read(header.length as usize)?;
        if !header.matches(&payload) {
            return Ok(match after_header == length {
                true => FrameRead::Incomplete,
                false => FrameRead::Corrupt {
                    what: "record checksum mismatch",
                    next: self.offset + HEADER_BYTES as u64 + length,
                },
            });
        }
        self.offset += HEADER_BYTES as u64 + length;
        Ok(FrameRead::Complete(payload))
    }

    fn read(&mut self, length: usize) -> Result<Vec<u8>, StorageError> {
        let mut bytes = vec![0; length];
        self.file.read_exact(&mut bytes).context(FileSnafu {
            path: &self.path,
            operation: "read",
        })?;
        Ok(bytes)
    }
}
