//! An emulated network link with a fixed rate. All connections share one first-in, first-out
//! queue on the sender's side.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

pub struct NarrowLink {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl NarrowLink {
    pub fn new(bytes_per_second: f64) -> NarrowLink {
        NarrowLink {
            bytes_per_second,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until these bytes, and all that were queued before them, have passed.
    pub async fn pass(&self, bytes: usize) {
        let passed_at = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            let transmission_time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at = (*free_at).max(Instant::now()) + transmission_time;
            *free_at
        };
        tokio::time::sleep_until(passed_at).await;
    }
}
