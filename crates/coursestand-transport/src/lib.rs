//! Typed request and reply between coursestand processes, over `nng` (TCP), and
//! kept streams of messages over plain TCP ([`stream`]).
//!
//! Every exchange has a deadline and a size limit, and every frame starts with
//! the protocol version, so that processes of different versions refuse each
//! other with a clear error instead of misreading messages.

pub mod client;
mod close;
pub mod frame;
pub mod packed;
pub mod server;
pub mod stream;

pub use client::Client;
pub use frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION, TransportError};
pub use server::{Handler, Server};
