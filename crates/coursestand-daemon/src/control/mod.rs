//! The control role: a replica of the control group, and the leader's duties.

pub mod driver;
pub mod error;
pub mod event;
pub mod exchange;
pub mod handle;
pub mod identity;
pub mod leader;
pub mod leaderless;
mod log_writer;
pub mod operators;
pub mod peers;
pub mod platform;
mod proposals;
pub mod replica;
pub mod shared;
pub mod status;
pub mod tenure;
mod unaddressed;
