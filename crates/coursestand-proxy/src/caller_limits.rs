//! Limits on requests and idle connections of callers, as set by the catalog in force.

use std::time::Duration;

use coursestand_catalog::Limits;
use http::HeaderMap;
use tokio::sync::watch;

/// Limits until a catalog sets others.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 64 * 1024,
    body_bytes: u64::MAX,
    header: Duration::from_secs(10),
    idle: Duration::from_secs(20),
};
/// Minimum idle timeout, also if the catalog sets a shorter one: with a timeout of zero, no
/// caller could send a second request on a connection.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time for a head, also if the catalog sets a shorter one: it may cross a link that is full.
const MIN_HEADER_TIMEOUT: Duration = Duration::from_millis(500);
/// Room in the read buffer for what a head has besides its headers: the request line, and spaces
/// that the limit doesn't count.
const REQUEST_LINE_BYTES: u64 = 8 * 1024;
/// Smallest read buffer that the HTTP library accepts.
const MIN_READ_BUFFER_BYTES: u64 = 8 * 1024;
/// Largest read buffer of a connection, whatever the catalog allows.
const MAX_READ_BUFFER_BYTES: u64 = 256 * 1024;
/// Bytes of a header line besides its name and value.
const LINE_OVERHEAD_BYTES: usize = 4;

/// The limits in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of all headers of a request.
    pub header_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// How long a head may take from its first byte.
    pub header: Duration,
    /// How long a connection may be idle.
    pub idle: Duration,
}

impl CallerLimits {
    /// Returns the limits that an item of the catalog sets.
    pub fn of(limits: &Limits) -> CallerLimits {
        CallerLimits {
            header_bytes: limits.max_header_bytes,
            body_bytes: limits.max_body_bytes,
            header: Duration::from_millis(limits.header_timeout_ms).max(MIN_HEADER_TIMEOUT),
            idle: Duration::from_millis(limits.idle_timeout_ms).max(MIN_IDLE_TIMEOUT),
        }
    }

    /// Returns the size in bytes of a connection's read buffer: a head inside the limits fits.
    pub(crate) fn read_buffer_bytes(&self) -> usize {
        let bytes = self.header_bytes.saturating_add(REQUEST_LINE_BYTES);
        bytes.clamp(MIN_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES) as usize
    }

    /// Returns what a connection's read buffer takes at most, in bytes: it grows beyond its size
    /// before it is full.
    pub(crate) fn read_buffer_cost(&self) -> usize {
        self.read_buffer_bytes() * 3 / 2
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
pub struct SharedLimits(watch::Sender<CallerLimits>);

impl Default for SharedLimits {
    fn default() -> SharedLimits {
        SharedLimits(watch::Sender::new(DEFAULT_LIMITS))
    }
}

impl SharedLimits {
    /// Returns the limits in force.
    pub fn get(&self) -> CallerLimits {
        *self.0.borrow()
    }

    /// Sets the limits in force.
    pub fn set(&self, limits: CallerLimits) {
        self.0
            .send_if_modified(|current| std::mem::replace(current, limits) != limits);
    }

    /// Returns a receiver of the limits that are set from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<CallerLimits> {
        self.0.subscribe()
    }
}
