//! The coursestand daemon. One program, several roles chosen by its settings;
//! this package composes the services of the other packages.

pub mod control;
pub mod daemon;
pub mod entry;
pub mod fleet;
pub mod names;

pub use daemon::{Daemon, DaemonError};
