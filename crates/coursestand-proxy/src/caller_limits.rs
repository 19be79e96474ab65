//! What callers may send and for how long they may rest, as the catalog in force
//! says.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_catalog::Limits;
use http::HeaderMap;

/// Limits until a catalog tells others.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 64 * 1024,
    body_bytes: u64::MAX,
    idle: Duration::from_secs(20),
};
/// A connection may rest this long whatever the catalog says: without any rest no
/// caller could send a second request.
const LEAST_IDLE: Duration = Duration::from_millis(500);
/// Bytes of a header line besides its name and value.
const LINE_BYTES: usize = 4;

/// The limits in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of all headers of a request.
    pub header_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// How long a connection may rest without a request.
    pub idle: Duration,
}

impl CallerLimits {
    /// The limits that an item of the catalog sets.
    pub fn of(limits: &Limits) -> CallerLimits {
        CallerLimits {
            header_bytes: limits.max_header_bytes,
            body_bytes: limits.max_body_bytes,
            idle: Duration::from_millis(limits.idle_timeout_ms).max(LEAST_IDLE),
        }
    }

    /// Whether these headers are longer than allowed.
    pub fn are_too_long(&self, headers: &HeaderMap) -> bool {
        let lines = headers.iter();
        let bytes: usize = lines
            .map(|(name, value)| name.as_str().len() + value.len() + LINE_BYTES)
            .sum();
        bytes as u64 > self.header_bytes
    }
}

/// The limits, shared by all connections; a change counts for open ones as well.
#[derive(Debug)]
pub struct SharedLimits(Mutex<CallerLimits>);

impl Default for SharedLimits {
    fn default() -> SharedLimits {
        SharedLimits(Mutex::new(FIRST_LIMITS))
    }
}

impl SharedLimits {
    fn limits(&self) -> MutexGuard<'_, CallerLimits> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limits in force now.
    pub fn get(&self) -> CallerLimits {
        *self.limits()
    }

    /// These limits are in force from now on.
    pub fn set(&self, limits: CallerLimits) {
        *self.limits() = limits;
    }
}
