//! Puts the parts of a catalog frame together again.

use coursestand_transport::TransportError;
use coursestand_transport::compression::decompress;
use coursestand_transport::frame::decode;

use crate::fleet::wire::{CatalogPart, ToEdge};

/// Parts of one frame that came so far.
#[derive(Debug, Default)]
pub struct CatalogParts {
    version: u64,
    packed: Vec<u8>,
}

impl CatalogParts {
    /// Takes a part in. Returns the message once it is whole. Parts of a frame that was
    /// not begun are passed over: they were sent before the sender was asked anew.
    pub fn take(&mut self, part: CatalogPart) -> Result<Option<ToEdge>, TransportError> {
        if part.offset == 0 {
            self.version = part.version;
            self.packed.clear();
        }
        if part.version != self.version || part.offset != self.packed.len() {
            return Ok(None);
        }
        self.packed.extend(part.bytes);
        if self.packed.len() < part.length {
            return Ok(None);
        }
        let frame = decompress(&std::mem::take(&mut self.packed))?;
        decode(&frame).map(Some)
    }
}
