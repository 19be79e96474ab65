//! The entry role: look-ups, the gateway, and what keeps them up to date.

pub mod control_client;
pub mod follower;
pub mod gateway_service;
pub mod prober;
pub mod reporter;
