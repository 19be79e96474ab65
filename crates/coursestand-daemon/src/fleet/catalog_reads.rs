//! Reads of the whole catalog by operators.
//!
//! A reader gets a copy that is at least as new as the leader's catalog when its call arrived.
//! The catalog is encoded once per version, from the copy of the process that was asked; all
//! readers share the result. So memory follows the size of the catalog, not the number of
//! readers.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use coursestand_catalog::{Catalog, CatalogDelta};
use coursestand_dialect::Dialect;
use snafu::{ResultExt, Snafu};
use tokio::sync::{Mutex, OwnedMutexGuard, Semaphore};
use tokio::time::Instant;

use crate::control::handle::ControlHandle;
use crate::fleet::peer_links::PeerLinks;
use crate::fleet::questions::newest_catalog_version;
use crate::fleet::wire::{Answer, Question, TrailingFlag};

/// Maximum number of reads in progress.
const MAX_READS: usize = 64;
/// Maximum bytes of encoded catalogs that are still being sent when a newer version is encoded.
/// One is always allowed.
const MAX_UNSENT_BYTES: usize = 32 * 1024 * 1024;
/// Delay before the leader is looked for again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a read waits until this process has the leader's version. Replication to a
/// connected follower takes one round trip and a sync; a blank replica takes longer, and the
/// leader's copy is requested instead.
const LOCAL_COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a read failed.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// No leader answered in time.
    #[snafu(display("no leader is known"))]
    NoLeader,
    /// Too many reads are in progress, or too many older copies are still being sent.
    #[snafu(display("too many reads of the catalog are in progress"))]
    Overloaded,
    /// An item can't be encoded.
    #[snafu(display("the catalog can't be encoded: {source}"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
    /// The encoding ended without a result.
    #[snafu(display("the encoding of the catalog was aborted"))]
    Aborted,
}

/// The encoded catalog.
#[derive(Clone, Debug)]
pub struct EncodedCatalog {
    /// Media type.
    pub content_type: &'static str,
    /// Content, shared by all readers.
    pub body: Bytes,
}

/// An encoded body whose readers can be counted.
struct SharedBody(Arc<Vec<u8>>);

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// The newest encoded catalog, and the older ones that are still being sent.
#[derive(Default)]
struct EncodedCatalogs {
    newest: Option<NewestCatalog>,
    older: Vec<Weak<Vec<u8>>>,
}

struct NewestCatalog {
    version: u64,
    content_type: &'static str,
    body: Arc<Vec<u8>>,
}

impl NewestCatalog {
    fn encoded(&self) -> EncodedCatalog {
        EncodedCatalog {
            content_type: self.content_type,
            body: Bytes::from_owner(SharedBody(Arc::clone(&self.body))),
        }
    }
}

impl EncodedCatalogs {
    /// Returns the newest encoded catalog if it has at least this version.
    fn at_least(&self, version: u64) -> Option<EncodedCatalog> {
        let newest = self.newest.as_ref();
        newest
            .filter(|newest| newest.version >= version)
            .map(NewestCatalog::encoded)
    }

    /// Drops the newest encoded catalog, and returns whether another one may be encoded:
    /// whether the copies that are still being sent are small enough.
    fn make_room(&mut self) -> bool {
        if let Some(outdated) = self.newest.take() {
            self.older.push(Arc::downgrade(&outdated.body));
        }
        self.older.retain(|body| body.strong_count() > 0);
        let unsent = self.older.iter().filter_map(Weak::upgrade);
        let unsent_bytes: usize = unsent.map(|body| body.len()).sum();
        unsent_bytes <= MAX_UNSENT_BYTES
    }

    fn encode(
        &mut self,
        catalog: &Catalog,
        dialect: &dyn Dialect,
    ) -> Result<EncodedCatalog, ReadError> {
        let mut reply = dialect.catalog(catalog).context(EncodeSnafu)?;
        reply.body.shrink_to_fit();
        let newest = NewestCatalog {
            version: catalog.version(),
            content_type: reply.content_type,
            body: Arc::new(reply.body),
        };
        let encoded = newest.encoded();
        self.newest = Some(newest);
        Ok(encoded)
    }
}

/// Answers reads of the catalog.
pub struct CatalogReads {
    control: Arc<ControlHandle>,
    links: Arc<PeerLinks>,
    dialect: Arc<dyn Dialect>,
    slots: Semaphore,
    encoded: Arc<Mutex<EncodedCatalogs>>,
}

impl CatalogReads {
    /// Returns a reader of the catalog that encodes it with `dialect`.
    pub fn new(
        control: Arc<ControlHandle>,
        links: Arc<PeerLinks>,
        dialect: Arc<dyn Dialect>,
    ) -> CatalogReads {
        CatalogReads {
            control,
            links,
            dialect,
            slots: Semaphore::new(MAX_READS),
            encoded: Arc::default(),
        }
    }

    /// Returns the encoded catalog. Fails at once if too many reads are in progress or there has
    /// been no leader for longer than an election takes, and at the deadline if no leader answers.
    pub async fn read(&self, deadline: Instant) -> Result<EncodedCatalog, ReadError> {
        let Ok(_slot) = self.slots.try_acquire() else {
            return Err(ReadError::Overloaded);
        };
        loop {
            if let Some(version) = self.newest_version(deadline).await
                && let Some(encoded) = self.encoded_at_least(version, deadline).await?
            {
                return Ok(encoded);
            }
            let may_wait = self.control.shared.may_wait_for_leader();
            if !may_wait || Instant::now() + RETRY_DELAY >= deadline {
                return Err(ReadError::NoLeader);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the version of the leader's catalog, or `None` if no leader answers. A leader of an
    /// older version answers with the whole catalog.
    async fn newest_version(&self, deadline: Instant) -> Option<u64> {
        if let Some(version) = newest_catalog_version(&self.control) {
            return Some(version);
        }
        match self.ask_leader(true, deadline).await? {
            Answer::CatalogVersion(version) => Some(version),
            Answer::Catalog(delta) => Some(delta.version),
            _ => None,
        }
    }

    async fn ask_leader(&self, version_only: bool, deadline: Instant) -> Option<Answer> {
        let question = Question::ReadCatalog {
            version_only: TrailingFlag(version_only),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let leader = self.leader()?;
        // The leader is asked again, or another one is found, until the deadline.
        self.links.ask(leader, question, remaining).await.ok()
    }

    fn leader(&self) -> Option<SocketAddr> {
        self.control.shared.leader_address()
    }

    /// Returns the encoded catalog at `version` or a newer one, or `None` if it can't be had
    /// before the deadline.
    async fn encoded_at_least(
        &self,
        version: u64,
        deadline: Instant,
    ) -> Result<Option<EncodedCatalog>, ReadError> {
        // One reader at a time holds a copy of the catalog and encodes it; the others wait for
        // the result.
        let locking = Arc::clone(&self.encoded).lock_owned();
        let Ok(mut encoded) = tokio::time::timeout_at(deadline, locking).await else {
            return Ok(None);
        };
        if let Some(known) = encoded.at_least(version) {
            return Ok(Some(known));
        }
        if !encoded.make_room() {
            return Err(ReadError::Overloaded);
        }
        let Some(catalog) = self.catalog_at_least(version, deadline).await else {
            return Ok(None);
        };
        self.encode(encoded, catalog).await.map(Some)
    }

    /// Encodes a catalog. Continues if the reader leaves: the next one gets the result.
    async fn encode(
        &self,
        mut encoded: OwnedMutexGuard<EncodedCatalogs>,
        catalog: Arc<Catalog>,
    ) -> Result<EncodedCatalog, ReadError> {
        let dialect = Arc::clone(&self.dialect);
        let encoding =
            tokio::task::spawn_blocking(move || encoded.encode(&catalog, dialect.as_ref()));
        encoding.await.map_err(|_| ReadError::Aborted)?
    }

    async fn catalog_at_least(&self, version: u64, deadline: Instant) -> Option<Arc<Catalog>> {
        let mut versions = self.control.shared.catalog_versions();
        let is_local = versions.wait_for(|known| *known >= version);
        let limit = deadline.min(Instant::now() + LOCAL_COPY_TIMEOUT);
        if let Ok(Ok(_)) = tokio::time::timeout_at(limit, is_local).await {
            let local = self.control.shared.state().shared_catalog();
            // A replica that has just restarted from its disk may be behind again.
            if local.version() >= version {
                return Some(local);
            }
        }
        match self.ask_leader(false, deadline).await? {
            Answer::Catalog(delta) => Some(Arc::new(catalog_of(delta))),
            _ => None,
        }
    }
}

fn catalog_of(delta: CatalogDelta) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.adopt(delta);
    catalog
}
