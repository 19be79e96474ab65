//! Limits on requests and idle connections of callers, as set by the catalog in force.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coursestand_catalog::Limits;
use http::HeaderMap;

/// Limits until a catalog sets others.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 64 * 1024,
    body_bytes: u64::MAX,
    idle: Duration::from_secs(20),
};
/// Minimum idle timeout, also if the catalog sets a shorter one: with a timeout of zero, no
/// caller could send a second request on a connection.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a header line besides its name and value.
const LINE_OVERHEAD_BYTES: usize = 4;

/// The limits in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of all headers of a request.
    pub header_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// How long a connection may be idle.
    pub idle: Duration,
}

impl CallerLimits {
    /// Returns the limits that an item of the catalog sets.
    pub fn of(limits: &Limits) -> CallerLimits {
        CallerLimits {
            header_bytes: limits.max_header_bytes,
            body_bytes: limits.max_body_bytes,
            idle: Duration::from_millis(limits.idle_timeout_ms).max(MIN_IDLE_TIMEOUT),
        }
    }

    /// Returns whether these headers are longer than allowed.
    pub fn exceeds_header_limit(&self, headers: &HeaderMap) -> bool {
        let lines = headers.iter();
        let bytes: usize = lines
            .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD_BYTES)
            .sum();
        bytes as u64 > self.header_bytes
    }
}

/// The limits, shared by all connections; a change applies to open ones as well.
#[derive(Debug)]
pub struct SharedLimits(Mutex<CallerLimits>);

impl Default for SharedLimits {
    fn default() -> SharedLimits {
        SharedLimits(Mutex::new(DEFAULT_LIMITS))
    }
}

impl SharedLimits {
    fn limits(&self) -> MutexGuard<'_, CallerLimits> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits in force.
    pub fn get(&self) -> CallerLimits {
        *self.limits()
    }

    /// Sets the limits in force.
    pub fn set(&self, limits: CallerLimits) {
        *self.limits() = limits;
    }
}
