//! What control processes tell entry daemons of the catalog, and how much at once.
//!
//! A small change goes to each daemon from each control process: nothing is sooner there.
//! A large one is only told of; the daemon asks one of them for it, and gets it packed
//! and in parts, the next as one arrives. So it passes the daemon's link once, no order
//! to leave waits behind more than [`PARTS_AT_ONCE`] parts, and a control process keeps
//! one copy, however many daemons ask. Sent whole by five processes, 1,400 routes took a
//! link of 2 Mbit/s 4.8 s, and 4,232 of them 250 MB of each process after a restart of
//! all.

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
/// Largest frame in bytes that is sent unasked. From five control processes it takes a
/// link of 2 Mbit/s 82 ms; the first catalog of a site with 30 routes is smaller.
const MOST_UNASKED: usize = 4_096;
/// Bytes a second that one connection tells unasked: five take a fifth of 2 Mbit/s. What
/// comes meanwhile is told together, or as a large change. 1,400 changes within 1.4 s
/// take 1.4 kB of each connection in place of 88 (test, one run).
const UNASKED_BYTES_PER_SECOND: f64 = 10_000.0;
/// Shortest time between two changes that are told: each is a packet of its own.
const LEAST_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of one part.
const PART_BYTES: usize = 8_192;
/// Parts that are on their way at once: together 0.13 s of a link of 2 Mbit/s, which is
/// more than a round trip between regions takes, so that the link does not idle.
const PARTS_AT_ONCE: usize = 4;
/// Starting points for which changes are kept ready; daemons ask from few.
const MOST_KEPT: usize = 8;

/// Changes from one version to another, ready to be sent to any number of daemons.
#[derive(Debug)]
pub struct ReadyChanges {
    /// Newest change that they hold.
    version: u64,
    items: usize,
    frame: Bytes,
    packed: OnceLock<Bytes>,
}

impl ReadyChanges {
    fn new(delta: CatalogDelta) -> Result<ReadyChanges, TransportError> {
        let version = delta.version;
        let items = delta.items.len();
        let frame = encode(&ToEdge::Catalog(delta))?;
        Ok(ReadyChanges {
            version,
            items,
            frame: Bytes::from(frame),
            packed: OnceLock::new(),
        })
    }

    fn is_small(&self) -> bool {
        self.frame.len() <= MOST_UNASKED
    }

    fn packed(&self) -> Result<Bytes, TransportError> {
        if let Some(packed) = self.packed.get() {
            return Ok(packed.clone());
        }
        let packed = Bytes::from(compress(&self.frame)?);
        info!(target: LOG, catalog = self.version, items = self.items,
            bytes = self.frame.len(), packed_bytes = packed.len();
            "a large change is ready for entry daemons");
        Ok(self.packed.get_or_init(|| packed).clone())
    }
}

/// Changes up to the newest version, by the version from which they lead there.
#[derive(Debug, Default)]
pub struct CatalogNews {
    kept: Mutex<HashMap<u64, Arc<ReadyChanges>>>,
}

impl CatalogNews {
    /// The changes after `since` up to `version`, which is the newest; `read` gives them
    /// when they aren't kept ready.
    pub fn changes(
        &self,
        since: u64,
        version: u64,
        read: impl FnOnce(u64) -> CatalogDelta,
    ) -> Result<Arc<ReadyChanges>, TransportError> {
        // Held while they are made: the others would make the same.
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(ready) = kept.get(&since)
            && ready.version >= version
        {
            return Ok(Arc::clone(ready));
        }
        let ready = Arc::new(ReadyChanges::new(read(since))?);
        kept.retain(|_, other| other.version >= ready.version);
        if kept.len() >= MOST_KEPT {
            kept.clear();
        }
        kept.insert(since, Arc::clone(&ready));
        Ok(ready)
    }
}

/// What is sent to one daemon next.
#[derive(Debug)]
pub enum Telling {
    /// A frame that is ready.
    Frame(Bytes),
    /// A message.
    Message(ToEdge),
}

/// Parts of packed changes that a daemon asked for.
#[derive(Debug)]
struct Transfer {
    version: u64,
    packed: Bytes,
    sent: usize,
}

impl Transfer {
    fn next_part(&mut self) -> Option<CatalogPart> {
        let offset = self.sent;
        let end = (offset + PART_BYTES).min(self.packed.len());
        if offset == end {
            return None;
        }
        self.sent = end;
        Some(CatalogPart {
            version: self.version,
            length: self.packed.len(),
            offset,
            bytes: self.packed.slice(offset..end).to_vec(),
        })
    }

    fn is_sent(&self) -> bool {
        self.sent == self.packed.len()
    }
}

/// How far one connection has told a daemon the catalog.
#[derive(Debug)]
pub struct CatalogTelling {
    /// The daemon has all up to this change once it has read what was sent.
    have: u64,
    /// Newest change that it was told of without its content.
    announced: u64,
    /// Something of the catalog was sent on this connection.
    has_told: bool,
    pause: Duration,
    transfer: Option<Transfer>,
}

impl CatalogTelling {
    /// Begins with a daemon that has all up to `have`.
    pub fn new(have: u64) -> CatalogTelling {
        CatalogTelling {
            have,
            announced: 0,
            has_told: false,
            pause: Duration::ZERO,
            transfer: None,
        }
    }

    /// How long the next change should wait after what was told last.
    pub fn pause(&self) -> Duration {
        self.pause
    }

    /// Newest change that the daemon has.
    pub fn have(&self) -> u64 {
        self.have
    }

    /// The daemon has all up to `have`, from wherever.
    pub fn note_have(&mut self, have: u64) {
        self.have = self.have.max(have);
    }

    /// What the daemon is told when the catalog is at `version`.
    pub fn tell(
        &mut self,
        version: u64,
        news: &CatalogNews,
        read: impl FnOnce(u64) -> CatalogDelta,
    ) -> Result<Option<Telling>, TransportError> {
        let is_news = version > self.have.max(self.announced) || !self.has_told;
        if version == 0 || !is_news {
            return Ok(None);
        }
        self.has_told = true;
        self.pause = LEAST_PAUSE;
        let changes = news.changes(self.have, version, read)?;
        if changes.is_small() {
            let takes_s = changes.frame.len() as f64 / UNASKED_BYTES_PER_SECOND;
            self.pause = LEAST_PAUSE.max(Duration::from_secs_f64(takes_s));
            return Ok(Some(self.push(&changes)));
        }
        self.announced = changes.version;
        let announcement = ToEdge::CatalogIsAt(changes.version);
        Ok(Some(Telling::Message(announcement)))
    }

    fn push(&mut self, changes: &ReadyChanges) -> Telling {
        self.have = self.have.max(changes.version);
        Telling::Frame(changes.frame.clone())
    }

    /// The daemon has all up to `have` and asks for the rest, up to `version`.
    pub fn fetch(
        &mut self,
        have: u64,
        version: u64,
        news: &CatalogNews,
        read: impl FnOnce(u64) -> CatalogDelta,
    ) -> Result<Vec<Telling>, TransportError> {
        self.note_have(have);
        let changes = news.changes(self.have, version, read)?;
        if changes.is_small() {
            return Ok(vec![self.push(&changes)]);
        }
        self.announced = changes.version;
        self.transfer = Some(Transfer {
            version: changes.version,
            packed: changes.packed()?,
            sent: 0,
        });
        let parts = (0..PARTS_AT_ONCE).filter_map(|_| self.next_part());
        Ok(parts.collect())
    }

    /// A part of the changes up to `version` arrived: the next one, if there is one.
    pub fn part_taken(&mut self, version: u64) -> Option<Telling> {
        let is_current = self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.version == version);
        is_current.then(|| self.next_part()).flatten()
    }

    fn next_part(&mut self) -> Option<Telling> {
        let transfer = self.transfer.as_mut()?;
        let part = transfer.next_part()?;
        if transfer.is_sent() {
            // All that is sent later on this connection is read later.
            self.have = self.have.max(transfer.version);
            self.transfer = None;
        }
        Some(Telling::Message(ToEdge::CatalogPart(part)))
    }
}
