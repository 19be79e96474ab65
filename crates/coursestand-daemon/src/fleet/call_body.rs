//! Bodies of calls, with a bound on the bytes of large ones that are held at the same time.

use std::sync::Arc;

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

/// Why a body can't be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection failed.
    #[snafu(display("the body can't be read: {source}"))]
    Read {
        /// Cause.
        source: std::io::Error,
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
}

impl Default for CallBodies {
    fn default() -> CallBodies {
        CallBodies {
            large: Arc::new(Semaphore::new(LARGE_BODIES_BYTES)),
        }
    }
}

impl CallBodies {
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
        reader
            .take(rest_limit)
            .read_to_end(&mut bytes)
            .await
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
