//! The coursestand daemon: one program whose settings select its roles. This crate composes
//! the services of the other crates.

pub mod control;
pub mod daemon;
pub mod entry;
pub mod fleet;
pub mod names;

pub use daemon::{Daemon, DaemonError};
