//! Closing of the messaging library's sockets.

use log::warn;

const LOG: &str = "transport";

/// Runs `close` on a separate thread: closing blocks until the operations of other
/// threads have ended, which must not block a runtime thread.
pub fn close_in_background(close: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new()
        .name("close".to_owned())
        .spawn(close);
    if let Err(error) = started {
        warn!(target: LOG, "a socket was not closed, since no thread could be started: {error}");
    }
}
