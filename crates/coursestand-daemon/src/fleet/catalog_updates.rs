//! Distribution of catalog changes from control processes to entry daemons, with flow control.
//!
//! Every control process pushes a small change to each daemon, which gives the lowest latency.
//! A large change is only announced: the daemon fetches it from one control process, compressed
//! and in parts, and each part that arrives requests the next. So the change passes the
//! daemon's link once, an order to leave queues behind at most [`MAX_PARTS_IN_FLIGHT`] parts,
//! and a control process holds one copy for all daemons. Sent whole by five processes, 1,400
//! routes would occupy a link of 2 Mbit/s for 4.8 s, and 4,232 routes would take 250 MB of memory
//! in each process after a restart of all.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use coursestand_catalog::CatalogDelta;
use coursestand_transport::TransportError;
use coursestand_transport::compression::compress;
use coursestand_transport::frame::encode;
use log::info;

use crate::fleet::wire::{CatalogPart, ToEdge};

const LOG: &str = "mesh";
/// Largest frame that is pushed, in bytes. Pushed by five control processes, it occupies a
/// link of 2 Mbit/s for 82 ms. The initial catalog of a site with 30 routes is smaller.
const MAX_PUSH_BYTES: usize = 4_096;
/// Push bandwidth of one connection: five connections use a fifth of a 2 Mbit/s link. Changes
/// within the pause are merged, or announced as one large change: 1,400 changes
/// within 1.4 s take 1.4 kB of a connection instead of 88 kB.
const PUSH_BYTES_PER_SECOND: f64 = 10_000.0;
/// Shortest time between two pushes, each of which is a packet of its own.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of one part.
const PART_BYTES: usize = 8_192;
/// Limit of parts in flight. Together they occupy a link of 2 Mbit/s for 0.13 s, longer than
/// a round trip between regions, so that the link does not idle.
const MAX_PARTS_IN_FLIGHT: usize = 4;
/// Limit of versions for which the changes since then are cached; daemons start from few
/// versions.
const MAX_CACHED_CHANGES: usize = 8;

/// Changes from one version to another, encoded once for any number of daemons.
#[derive(Debug)]
pub struct EncodedChanges {
    /// Newest version that the changes lead to.
    version: u64,
    items: usize,
    frame: Bytes,
    compressed: OnceLock<Bytes>,
}

impl EncodedChanges {
    fn new(delta: CatalogDelta) -> Result<EncodedChanges, TransportError> {
        let version = delta.version;
        let items = delta.items.len();
        let frame = encode(&ToEdge::Catalog(delta))?;
        Ok(EncodedChanges {
            version,
            items,
            frame: Bytes::from(frame),
            compressed: OnceLock::new(),
        })
    }

    fn is_small(&self) -> bool {
        self.frame.len() <= MAX_PUSH_BYTES
    }

    fn compressed(&self) -> Result<Bytes, TransportError> {
        if let Some(compressed) = self.compressed.get() {
            return Ok(compressed.clone());
        }
        let compressed = Bytes::from(compress(&self.frame)?);
        info!(target: LOG, catalog = self.version, items = self.items,
            bytes = self.frame.len(), packed_bytes = compressed.len();
            "a large change is ready for entry daemons");
        Ok(self.compressed.get_or_init(|| compressed).clone())
    }
}

/// Cache of encoded changes up to the newest version, by the version that they start from.
#[derive(Debug, Default)]
pub struct CatalogUpdates {
    cached: Mutex<HashMap<u64, Arc<EncodedChanges>>>,
}

impl CatalogUpdates {
    /// Returns the changes after `since` up to `version`, the newest one; calls `read` on a
    /// cache miss. Fails if the changes can't be encoded.
    pub fn changes(
        &self,
        since: u64,
        version: u64,
        read: impl FnOnce(u64) -> CatalogDelta,
    ) -> Result<Arc<EncodedChanges>, TransportError> {
        // Locked while the changes are encoded, so that no other connection encodes the same.
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(changes) = cached.get(&since)
            && changes.version >= version
        {
            return Ok(Arc::clone(changes));
        }
        let changes = Arc::new(EncodedChanges::new(read(since))?);
        cached.retain(|_, other| other.version >= changes.version);
        if cached.len() >= MAX_CACHED_CHANGES {
            cached.clear();
        }
        cached.insert(since, Arc::clone(&changes));
        Ok(changes)
    }
}

/// The next message to one daemon.
#[derive(Debug)]
pub enum CatalogMessage {
    /// An encoded frame.
    Frame(Bytes),
    /// A message to be encoded.
    Message(ToEdge),
}

/// A transfer of compressed changes in parts, at a daemon's request.
#[derive(Debug)]
struct PartTransfer {
    version: u64,
    compressed: Bytes,
    sent: usize,
}

impl PartTransfer {
    fn next_part(&mut self) -> Option<CatalogPart> {
        let offset = self.sent;
        let end = (offset + PART_BYTES).min(self.compressed.len());
        if offset == end {
            return None;
        }
        self.sent = end;
        Some(CatalogPart {
            version: self.version,
            length: self.compressed.len(),
            offset,
            bytes: self.compressed.slice(offset..end).to_vec(),
        })
    }

    fn is_sent(&self) -> bool {
        self.sent == self.compressed.len()
    }
}

/// State of the catalog distribution on one connection.
#[derive(Debug)]
pub struct CatalogDistribution {
    /// Version that the daemon has once it has read what was sent.
    version_sent: u64,
    /// Newest version that was announced without its content.
    announced: u64,
    /// Whether anything of the catalog was sent on this connection.
    has_sent: bool,
    pause: Duration,
    transfer: Option<PartTransfer>,
}

impl CatalogDistribution {
    /// Starts with a daemon that has the catalog up to `version_sent`.
    pub fn new(version_sent: u64) -> CatalogDistribution {
        CatalogDistribution {
            version_sent,
            announced: 0,
            has_sent: false,
            pause: Duration::ZERO,
            transfer: None,
        }
    }

    /// Returns the minimum time between the last push and the next one.
    pub fn pause(&self) -> Duration {
        self.pause
    }

    /// Returns the version that the daemon has once it has read what was sent.
    pub fn version_sent(&self) -> u64 {
        self.version_sent
    }

    /// Records that the daemon has the catalog up to `daemon_version`, from any control process.
    pub fn note_version(&mut self, daemon_version: u64) {
        self.version_sent = self.version_sent.max(daemon_version);
    }

    /// Returns the message that brings the daemon to `version` or announces it, or `None` if it
    /// needs none. Fails if the changes can't be encoded.
    pub fn next_message(
        &mut self,
        version: u64,
        updates: &CatalogUpdates,
        read: impl FnOnce(u64) -> CatalogDelta,
    ) -> Result<Option<CatalogMessage>, TransportError> {
        let is_new = version > self.version_sent.max(self.announced) || !self.has_sent;
        if version == 0 || !is_new {
            return Ok(None);
        }
        self.has_sent = true;
        self.pause = MIN_PUSH_INTERVAL;
        let changes = updates.changes(self.version_sent, version, read)?;
        if changes.is_small() {
            let transmit_s = changes.frame.len() as f64 / PUSH_BYTES_PER_SECOND;
            self.pause = MIN_PUSH_INTERVAL.max(Duration::from_secs_f64(transmit_s));
            return Ok(Some(self.push_message(&changes)));
        }
        self.announced = changes.version;
        let announcement = ToEdge::CatalogVersion(changes.version);
        Ok(Some(CatalogMessage::Message(announcement)))
    }

    fn push_message(&mut self, changes: &EncodedChanges) -> CatalogMessage {
        self.version_sent = self.version_sent.max(changes.version);
        CatalogMessage::Frame(changes.frame.clone())
    }

    /// Answers a daemon that has the catalog up to `daemon_version` and requests the changes up
    /// to `version`. Fails if they can't be encoded or compressed.
    pub fn fetch(
        &mut self,
        daemon_version: u64,
        version: u64,
        updates: &CatalogUpdates,
        read: impl FnOnce(u64) -> CatalogDelta,
    ) -> Result<Vec<CatalogMessage>, TransportError> {
        self.note_version(daemon_version);
        let changes = updates.changes(self.version_sent, version, read)?;
        if changes.is_small() {
            return Ok(vec![self.push_message(&changes)]);
        }
        self.announced = changes.version;
        self.transfer = Some(PartTransfer {
            version: changes.version,
            compressed: changes.compressed()?,
            sent: 0,
        });
        let parts = (0..MAX_PARTS_IN_FLIGHT).filter_map(|_| self.next_part());
        Ok(parts.collect())
    }

    /// Returns the next part, if any, after a part of the changes up to `version` arrived.
    pub fn part_received(&mut self, version: u64) -> Option<CatalogMessage> {
        let is_current = self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.version == version);
        is_current.then(|| self.next_part()).flatten()
    }

    fn next_part(&mut self) -> Option<CatalogMessage> {
        let transfer = self.transfer.as_mut()?;
        let part = transfer.next_part()?;
        if transfer.is_sent() {
            // The daemon reads messages in order, so it has this version when it reads later
            // ones.
            self.version_sent = self.version_sent.max(transfer.version);
            self.transfer = None;
        }
        Some(CatalogMessage::Message(ToEdge::CatalogPart(part)))
    }
}
