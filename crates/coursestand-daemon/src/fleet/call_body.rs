//! Bodies of calls, with a bound on the bytes of large ones that are held at the same time.

use std::sync::Arc;
use std::time::Duration;

use poem::Body;
use snafu::{ResultExt, Snafu};
use tokio::io::AsyncReadExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum length of a body in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Bodies up to this length are always read, so that heartbeats and small changes never wait for
/// large ones.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Bytes of large bodies that calls in progress hold together.
const LARGE_BODIES_BYTES: usize = MAX_BODY_BYTES;
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
    /// A large body did not arrive in time.
    #[snafu(display("the body did not arrive within {} s", limit.as_secs()))]
    TooSlow {
        /// The limit.
        limit: Duration,
    },
    /// The body is too long.
    #[snafu(display("the body exceeds {MAX_BODY_BYTES} bytes"))]
    TooLong,
    /// Other calls with large bodies are in progress.
    #[snafu(display("calls with large bodies are in progress"))]
    Overloaded,
}

/// The body of a call.
pub struct CallBody {
    /// Content.
    pub bytes: Vec<u8>,
    /// Share of the bytes of large bodies; held until the call is answered.
    _share: Option<OwnedSemaphorePermit>,
}

/// Reads the bodies of calls.
pub struct CallBodies {
    large: Arc<Semaphore>,
    /// Time for a large body to arrive, so that a caller that stops sending does not keep its
    /// share.
    timeout: Duration,
}

impl Default for CallBodies {
    fn default() -> CallBodies {
        CallBodies::with_timeout(LARGE_BODY_TIMEOUT)
    }
}

impl CallBodies {
    /// Returns a reader of bodies. Large ones must arrive within `timeout`.
    pub fn with_timeout(timeout: Duration) -> CallBodies {
        CallBodies {
            large: Arc::new(Semaphore::new(LARGE_BODIES_BYTES)),
            timeout,
        }
    }

    /// Reads a body. `length` is its announced length; a body without one counts as
    /// [`MAX_BODY_BYTES`] once it turns out to be large. Fails at once if other large bodies
    /// leave no room for it.
    pub async fn read(&self, body: Body, length: Option<usize>) -> Result<CallBody, BodyError> {
        if length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Err(BodyError::TooLong);
        }
        let mut reader = body.into_async_read();
        let mut bytes = Vec::new();
        let small_limit = SMALL_BODY_BYTES as u64 + 1;
        (&mut reader)
            .take(small_limit)
            .read_to_end(&mut bytes)
            .await
            .context(ReadSnafu)?;
        if bytes.len() <= SMALL_BODY_BYTES {
            return Ok(CallBody {
                bytes,
                _share: None,
            });
        }
        let reserved = length.unwrap_or(MAX_BODY_BYTES);
        let share = Arc::clone(&self.large)
            .try_acquire_many_owned(reserved as u32)
            .map_err(|_| BodyError::Overloaded)?;
        bytes.reserve(length.unwrap_or_default().saturating_sub(bytes.len()));
        let rest_limit = (MAX_BODY_BYTES - bytes.len()) as u64 + 1;
        let mut rest = reader.take(rest_limit);
        tokio::time::timeout(self.timeout, rest.read_to_end(&mut bytes))
            .await
            .map_err(|_| BodyError::TooSlow {
                limit: self.timeout,
            })?
            .context(ReadSnafu)?;
        if bytes.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        Ok(CallBody {
            bytes,
            _share: Some(share),
        })
    }
}
