//! How much of the machine's link the request path uses.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::time::Instant;

/// Bytes of the head of a request or an answer, about.
const HEAD_BYTES: u64 = 400;
/// Weight of the newest interval in the use that is told.
const NEWEST_PART: f64 = 0.5;
const BITS: f64 = 8.0;
const MEGA: f64 = 1_000_000.0;

/// Counts the bytes of requests and answers. Each passes the link once in each
/// direction, so one direction's bytes tell the use of both.
pub struct LinkMeter {
    bytes: AtomicU64,
    rate: Mutex<Rate>,
}

struct Rate {
    since: Instant,
    /// Megabits a second, smoothed.
    mbps: f64,
}

impl Default for LinkMeter {
    fn default() -> LinkMeter {
        LinkMeter {
            bytes: AtomicU64::new(0),
            rate: Mutex::new(Rate {
                since: Instant::now(),
                mbps: 0.0,
            }),
        }
    }
}

impl LinkMeter {
    /// A request or an answer with a body of this many bytes passes.
    pub fn count(&self, body_bytes: u64) {
        self.bytes
            .fetch_add(HEAD_BYTES + body_bytes, Ordering::Relaxed);
    }

    /// Ends an interval, and tells the smoothed rate in megabits a second.
    pub fn sample(&self) -> f64 {
        let bytes = self.bytes.swap(0, Ordering::Relaxed);
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let seconds = (now - rate.since).as_secs_f64().max(f64::MIN_POSITIVE);
        let newest = bytes as f64 * BITS / MEGA / seconds;
        rate.since = now;
        rate.mbps += (newest - rate.mbps) * NEWEST_PART;
        rate.mbps
    }
}
