//! The commands, one module per group.

pub mod bundle;
pub mod control;
pub mod demo;
pub mod drain;
pub mod explain;
pub mod inspect;
pub mod key;
pub mod lab;
pub mod scale;
pub mod schema;
