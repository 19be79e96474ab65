//! Frames of the files of a log: a 12-byte header (length, CRC-32C of the payload, CRC-32C of
//! these two fields; four bytes each, little endian) and a payload.

use std::io::{BufReader, Read};
use std::path::{Path, PathBuf};

use serde::Serialize;
use snafu::ResultExt;

use super::disk::{Disk, DiskWriter};
use crate::storage::{EncodeSnafu, FileSnafu, StorageError};

const HEADER_BYTES: usize = 12;

/// Writes one frame to `file` and returns its length. Does not sync.
pub(super) fn write_frame<T: Serialize>(
    file: &mut impl DiskWriter,
    path: &Path,
    record: &T,
) -> Result<u64, StorageError> {
    let payload = postcard::to_stdvec(record).context(EncodeSnafu)?;
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[4..8].copy_from_slice(&crc32c::crc32c(&payload).to_le_bytes());
    let checksum = crc32c::crc32c(&header[..8]);
    header[8..].copy_from_slice(&checksum.to_le_bytes());
    let written = file.append(&header).and_then(|()| file.append(&payload));
    written.context(FileSnafu {
        path,
        operation: "write",
    })?;
    Ok((HEADER_BYTES + payload.len()) as u64)
}

/// Result of reading a frame.
pub(super) enum FrameRead {
    /// The payload of a complete frame with matching checksums.
    Complete(Vec<u8>),
    /// The file ends here.
    End,
    /// The frame is the last one of the file, and its write was interrupted: it is
    /// incomplete, all zeros, or its payload does not match the checksum.
    Truncated,
    /// The header does not match its checksum, or the payload of a frame that is not the
    /// last one of the file does not match.
    Corrupt(&'static str),
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
            return Ok(FrameRead::Truncated);
        }
        let header = self.read(HEADER_BYTES)?;
        let number = |position: usize| {
            let mut field = [0; 4];
            field.copy_from_slice(&header[position..position + 4]);
            u32::from_le_bytes(field)
        };
        let (length, payload_checksum, header_checksum) = (number(0), number(4), number(8));
        if crc32c::crc32c(&header[..8]) != header_checksum {
            // After a crash the file may have its new size but not its data: zeros.
            let is_zero = header.iter().all(|byte| *byte == 0) && self.is_rest_zero()?;
            return Ok(if is_zero {
                FrameRead::Truncated
            } else {
                FrameRead::Corrupt("header checksum mismatch")
            });
        }
        let after_header = remaining - HEADER_BYTES as u64;
        if after_header < u64::from(length) {
            return Ok(FrameRead::Truncated);
        }
        let payload = self.read(length as usize)?;
        if crc32c::crc32c(&payload) != payload_checksum {
            return Ok(if after_header == u64::from(length) {
                FrameRead::Truncated
            } else {
                FrameRead::Corrupt("record checksum mismatch")
            });
        }
        self.offset += (HEADER_BYTES + payload.len()) as u64;
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

    fn is_rest_zero(&mut self) -> Result<bool, StorageError> {
        let mut buffer = [0; 4_096];
        loop {
            let count = self.file.read(&mut buffer).context(FileSnafu {
                path: &self.path,
                operation: "read",
            })?;
            if count == 0 {
                return Ok(true);
            }
            if buffer[..count].iter().any(|byte| *byte != 0) {
                return Ok(false);
            }
        }
    }
}
