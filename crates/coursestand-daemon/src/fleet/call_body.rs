//! Bodies of calls, with bounds on the bytes that are held at the same time.

use std::io;
use std::time::Duration;

use coursestand_kernel::memory_limit_bytes;
use poem::Body;
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use crate::fleet::large_bodies::{LargeBodies, LargeBody};
use crate::fleet::small_bodies::{SmallBodies, SmallBody};

/// Maximum length of a body in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Bodies up to this length never wait for large ones, so that heartbeats and small changes are
/// always read.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Bytes of large bodies that calls in progress hold together.
const LARGE_BODIES_BYTES: usize = MAX_BODY_BYTES;
/// Divisor of the memory limit that gives the bytes of small bodies that are being read.
const SMALL_BODIES_DIVISOR: u64 = 8;
/// Initial size of the buffer of a body in bytes. Heartbeats fit.
const INITIAL_BYTES: usize = 2 * 1024;
/// Time for a small body to arrive.
const SMALL_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a large body to arrive.
const LARGE_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a body can't be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection failed.
    #[snafu(display("the body can't be read: {source}"))]
    Read {
        /// Cause.
        source: std::io::Error,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {} s", limit.as_secs()))]
    TooSlow {
        /// The limit.
        limit: Duration,
    },
    /// The body is too long.
    #[snafu(display("the body exceeds {MAX_BODY_BYTES} bytes"))]
    TooLong,
    /// Other calls with bodies are in progress.
    #[snafu(display("other calls with bodies are in progress"))]
    Overloaded,
}

/// The body of a call.
pub struct CallBody {
    /// Content.
    pub bytes: Vec<u8>,
    /// Share of the bytes of large bodies; held until the call is answered.
    _share: Option<OwnedSemaphorePermit>,
}

/// Limits on the bodies of calls that are being read.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Bytes of all small bodies that are being read. Beyond it, those that began first are
    /// refused.
    pub small_bytes: usize,
    /// Time for a small body, or the first part of a large one, to arrive.
    pub small_timeout: Duration,
    /// Time for the rest of a large body to arrive, so that a caller that stops sending does not
    /// keep its share.
    pub large_timeout: Duration,
}

impl BodyLimits {
    /// Returns the limits of a process that may use `memory_bytes`.
    pub fn for_memory(memory_bytes: u64) -> BodyLimits {
        BodyLimits {
            small_bytes: (memory_bytes / SMALL_BODIES_DIVISOR) as usize,
            small_timeout: SMALL_BODY_TIMEOUT,
            large_timeout: LARGE_BODY_TIMEOUT,
        }
    }
}

impl Default for BodyLimits {
    fn default() -> BodyLimits {
        BodyLimits::for_memory(memory_limit_bytes(None))
    }
}

/// Reads the bodies of calls.
pub struct CallBodies {
    small: SmallBodies,
    large: LargeBodies,
    limits: BodyLimits,
}

impl Default for CallBodies {
    fn default() -> CallBodies {
        CallBodies::new(BodyLimits::default())
    }
}

impl CallBodies {
    /// Returns a reader of bodies with these limits.
    pub fn new(limits: BodyLimits) -> CallBodies {
        CallBodies {
            small: SmallBodies::new(limits.small_bytes),
            large: LargeBodies::new(LARGE_BODIES_BYTES, limits.large_timeout),
            limits,
        }
    }

    /// Returns a reader of bodies. Large ones must arrive within `timeout`.
    pub fn with_timeout(timeout: Duration) -> CallBodies {
        CallBodies::new(BodyLimits {
            large_timeout: timeout,
            ..BodyLimits::default()
        })
    }

    /// Reads a body. `length` is its announced length; a body without one counts as
    /// [`MAX_BODY_BYTES`] once it turns out to be large. Fails at once if other large bodies
    /// leave no room for it, unless some of them arrive too slowly.
    pub async fn read(&self, body: Body, length: Option<usize>) -> Result<CallBody, BodyError> {
        if length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Err(BodyError::TooLong);
        }
        let mut reader = body.into_async_read();
        let bytes = self.read_small(&mut reader).await?;
        if bytes.len() <= SMALL_BODY_BYTES {
            return Ok(CallBody {
                bytes,
                _share: None,
            });
        }
        let reserved = length.unwrap_or(MAX_BODY_BYTES);
        let share = self.large.begin(reserved).await;
        let share = share.ok_or(BodyError::Overloaded)?;
        let limit = self.limits.large_timeout;
        let bytes = tokio::select! {
            () = share.displaced() => return Err(BodyError::Overloaded),
            read = timeout(limit, read_rest(reader, bytes, reserved, &share)) => {
                read.map_err(|_| BodyError::TooSlow { limit })??
            }
        };
        Ok(CallBody {
            bytes,
            _share: share.complete(),
        })
    }

    /// Reads a small body, or as much of a large one as shows that it is large.
    async fn read_small(&self, reader: impl AsyncRead + Unpin) -> Result<Vec<u8>, BodyError> {
        let limit = self.limits.small_timeout;
        let share = self.small.begin();
        tokio::select! {
            () = share.displaced() => Err(BodyError::Overloaded),
            read = timeout(limit, read_accounted(reader, &share)) => {
                read.map_err(|_| BodyError::TooSlow { limit })?
            }
        }
    }
}

async fn read_accounted(
    reader: impl AsyncRead + Unpin,
    share: &SmallBody<'_>,
) -> Result<Vec<u8>, BodyError> {
    let mut reader = reader.take(SMALL_BODY_BYTES as u64 + 1);
    let mut bytes = Vec::with_capacity(INITIAL_BYTES);
    loop {
        share.grow_to(bytes.capacity());
        let count = reader.read_buf(&mut bytes).await.context(ReadSnafu)?;
        if count == 0 {
            return Ok(bytes);
        }
    }
}

/// Reads the rest of a large body, whose buffer grows to `limit` bytes and no further.
async fn read_rest(
    mut reader: impl AsyncRead + Unpin,
    mut bytes: Vec<u8>,
    limit: usize,
    share: &LargeBody<'_>,
) -> Result<Vec<u8>, BodyError> {
    loop {
        share.note_received(bytes.len());
        if bytes.len() == bytes.capacity() {
            let target = (bytes.len() * 2).min(limit);
            bytes.reserve_exact(target.saturating_sub(bytes.len()));
        }
        if bytes.len() >= limit {
            return match reader.read_u8().await {
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(bytes),
                Err(source) => Err(BodyError::Read { source }),
                Ok(_) => Err(BodyError::TooLong),
            };
        }
        let count = reader.read_buf(&mut bytes).await.context(ReadSnafu)?;
        if count == 0 {
            return Ok(bytes);
        }
    }
}
