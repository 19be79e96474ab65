//! Typed request and reply between coursestand processes over `nng` (TCP), and
//! persistent message streams over plain TCP ([`stream`]).
//!
//! Every exchange has a deadline and a size limit, and every frame starts with the
//! protocol version, so that processes with different versions reject each other's
//! messages with a clear error instead of misreading them.

pub mod client;
mod close;
pub mod compression;
pub mod frame;
pub mod server;
pub mod stream;

pub use client::Client;
pub use frame::{MAX_FRAME_BYTES, PROTOCOL_VERSION, TransportError};
pub use server::{Handler, Server};
