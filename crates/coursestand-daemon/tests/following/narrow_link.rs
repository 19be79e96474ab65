//! A link that passes so many bytes a second, in the order in which they come, whatever
//! connection they are on: what waits at its sender's side is the queue.

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

    /// Waits until so many bytes have passed, after all that came before.
    pub async fn pass(&self, bytes: usize) {
        let passed_at = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        tokio::time::sleep_until(passed_at).await;
    }
}
