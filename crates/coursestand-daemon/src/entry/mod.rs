//! The entry role: look-ups, the gateway, and the services that update their state.

pub mod control_client;
pub mod follower;
pub mod gateway_service;
pub mod prober;
pub mod reporter;
