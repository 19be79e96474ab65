//! Reassembles a catalog frame from its parts.

use coursestand_transport::TransportError;
use coursestand_transport::compression::decompress;
use coursestand_transport::frame::decode;

use crate::fleet::wire::{CatalogPart, ToEdge};

/// Parts of one frame that have arrived.
#[derive(Debug, Default)]
pub struct CatalogParts {
    version: u64,
    compressed: Vec<u8>,
}

impl CatalogParts {
    /// Adds a part and returns the message once it is complete. Ignores parts of a frame whose
    /// first part was not seen: they were sent before the transfer was restarted. Fails if the
    /// complete frame can't be decompressed or decoded.
    pub fn add(&mut self, part: CatalogPart) -> Result<Option<ToEdge>, TransportError> {
        if part.offset == 0 {
            self.version = part.version;
            self.compressed.clear();
        }
        if part.version != self.version || part.offset != self.compressed.len() {
            return Ok(None);
        }
        self.compressed.extend(part.bytes);
        if self.compressed.len() < part.length {
            return Ok(None);
        }
        let frame = decompress(&std::mem::take(&mut self.compressed))?;
        decode(&frame).map(Some)
    }
}
