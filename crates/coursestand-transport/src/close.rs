//! Closing sockets of the messaging library.

use log::warn;

const LOG: &str = "transport";

/// Runs `close` on a thread of its own: the library waits in it until operations
/// of other threads have ended, which must not block a thread of the runtime.
pub fn close_aside(close: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new()
        .name("close".to_owned())
        .spawn(close);
    if let Err(error) = started {
        warn!(target: LOG, "a socket stays open: {error}");
    }
}
